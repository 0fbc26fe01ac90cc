"""Property tests of the codecs.

What is written reads back, cuts change nothing, what is malformed is named.
"""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from test_scenarios import Pieces

from gullyoke.codec import http, scgi, scgi_client
from gullyoke.codec.buffer import Buffer
from gullyoke.runtime.close_reasons import ConnectionClosedError
from gullyoke.runtime.messages import Answer, BadRequestError, Message

VALUES = st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=40)
NAMES = st.from_regex(r"x-[a-z][a-z0-9]{0,10}(-[a-z0-9]{1,5})?", fullmatch=True)
FIELDS = st.dictionaries(NAMES, VALUES.filter(bool), max_size=8)
QUICK = settings(max_examples=120, deadline=None, derandomize=True)


def reading(data, cuts=(), most=scgi.BUFFER):
    """A buffer that gets the data in pieces that end at the cuts, then its end."""
    edges = [0, *sorted(c % (len(data) + 1) for c in cuts), len(data)]
    return Buffer(Pieces(*[data[a:b] for a, b in itertools.pairwise(edges)], b""), most)


class Codecs(unittest.TestCase):
    @QUICK
    @given(FIELDS, st.binary(max_size=300), st.lists(st.integers(0, 2000), max_size=5))
    def test_reqs(self, fields, body, cuts):
        """A request written for a backend reads back as the same message, however it is cut."""
        message = Message(("POST", "/call/view", "HTTP/1.1"), fields, body)
        got = scgi.read(reading(scgi_client.request(message, {}), cuts))
        self.assertEqual(got, message)

    @QUICK
    @given(
        FIELDS,
        st.binary(max_size=300),
        st.lists(st.integers(0, 2000), max_size=5),
        st.sampled_from([200, 204, 404, 500]),
        st.booleans(),
    )
    def test_answers(self, fields, body, cuts, status, with_length):
        """An answer reads back unchanged, with its length told or to the close."""
        answer = Answer(status, body, tuple(fields.items()))
        data = scgi.answer(answer)
        if not with_length:
            data = data.replace(b"Content-Length: %d\r\n" % len(body), b"", 1)
        self.assertEqual(scgi_client.read_answer(reading(data, cuts, 70_000)), answer)

    @QUICK
    @given(
        FIELDS,
        st.binary(max_size=100),
        st.integers(0, 10**6),
        st.lists(
            st.tuples(st.integers(0, 10**6), st.binary(max_size=3), st.integers(0, 3)), max_size=4
        ),
        st.booleans(),
    )
    def test_spoilt(self, fields, body, cut, changes, answer):
        """Whatever bytes come: a message or a named fault, and nothing is kept beyond the
        bounds.
        """
        message = Message(("POST", "/call/view", "HTTP/1.1"), fields, body)
        data = (
            scgi.answer(Answer(200, body, tuple(fields.items())))
            if answer
            else scgi_client.request(message, {})
        )
        for at, new, gone in changes:
            at %= len(data) + 1
            data = data[:at] + new + data[at + gone :]
        buffer = reading(data, [cut])
        try:
            got = scgi_client.read_answer(buffer, 4096) if answer else scgi.read(buffer)
            self.assertIsInstance(got, (Answer, Message, type(None)))
        except (BadRequestError, ConnectionClosedError) as fault:
            self.assertTrue(str(fault))
        self.assertLessEqual(len(buffer.data), scgi.BUFFER)

    def test_every_cut(self):
        """Cut at each byte a req is the same; ended at each byte it is none."""
        message = Message(
            ("POST", "/call/view", "HTTP/1.1"), {"trace-id": "0a", "x-a": "1"}, b"A\r\nB"
        )
        data = scgi_client.request(message, {})
        for at in range(1, len(data)):
            self.assertEqual(scgi.read(reading(data, [at])), message)
            with self.assertRaises((ConnectionClosedError, BadRequestError)):
                scgi.read(reading(data[:at]))
        self.assertIsNone(scgi.read(reading(b"")))

    def test_answers_that_are_none(self):
        """Each is spoilt, by name.

        Guards against an answer that another reader would take for two.
        """
        for data, said in (
            (b"Status: 200 OK\r\nContent-Length: 3\r\n\r\nabcd", "more than one answer"),
            (b"Status: 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "two values"),
            (b"Status: 200 OK\r\nContent-Length: 99999999\r\n\r\n", "an answer of over"),
            (b"Status: 999x\r\n\r\n", "status"),
            (b"Status: 100 Go\r\n\r\n", "status"),
            (b"X-A: 1\r\n\r\n", "neither status"),
            (b"no field\r\n\r\n", "a field"),
            (b"Status: 200 OK\r\nX: a\rb\r\n\r\n", "a field"),
            (b"x" * 9000, "head too long"),
            (b"Status: 200 OK\r\n\r\n" + b"x" * 5000, "an answer of over"),
        ):
            with self.subTest(said), self.assertRaisesRegex(ConnectionClosedError, said):
                scgi_client.read_answer(reading(data, (), 20_000), 4096)
        got = scgi_client.read_answer(reading(b"Location: /a\n\nx"))
        self.assertEqual((got.status, got.fields, got.body), (302, (("Location", "/a"),), b"x"))

    @QUICK
    @given(FIELDS, st.binary(max_size=300), st.lists(st.integers(0, 2000), max_size=5))
    def test_both(self, fields, body, cuts):
        """The same req through both protocols is the same message, but for the version it came
        by.
        """
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        data = (
            f"POST /call/view HTTP/1.1\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        one = http.read(reading(data, cuts, http.BUFFER))
        headers = {
            "CONTENT_LENGTH": str(len(body)),
            "SCGI": "1",
            "REQUEST_METHOD": "POST",
            "REQUEST_URI": "/call/view?a=b",
        }
        headers |= {
            "HTTP_" + name.upper().replace("-", "_"): value for name, value in fields.items()
        }
        two = scgi.read(reading(scgi_client.netstring(headers.items()) + body, cuts))
        del one.fields["content-length"]
        self.assertEqual(
            (one.start_line[:2], one.fields, one.body), (two.start_line[:2], two.fields, two.body)
        )


if __name__ == "__main__":
    unittest.main()
