"""Property tests of the codecs.

Encoded messages parse back unchanged however their bytes are split, and malformed ones raise an
error that names what is wrong.
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


def buffer_of(data, cuts=(), limit=scgi.MAX_MESSAGE_BYTES):
    """Return a buffer that receives the data split at the cuts, and then the peer's close."""
    edges = [0, *sorted(c % (len(data) + 1) for c in cuts), len(data)]
    return Buffer(Pieces(*[data[a:b] for a, b in itertools.pairwise(edges)], b""), limit)


class Codecs(unittest.TestCase):
    def test_many_header_fields(self):
        """Guards against heads of very many short fields, which take far more memory than bytes."""
        for count in (http.MAX_FIELDS, http.MAX_FIELDS + 1):
            fields = "".join(f"a{i}:\r\n" for i in range(count))
            buffer = buffer_of(f"GET /ping HTTP/1.1\r\n{fields}\r\n".encode())
            if count <= http.MAX_FIELDS:
                self.assertEqual(len(http.read(buffer).fields), count)
                continue
            with self.assertRaisesRegex(BadRequestError, f"{count} header fields") as refused:
                http.read(buffer)
            self.assertEqual(refused.exception.status, 431)

    @QUICK
    @given(FIELDS, st.binary(max_size=300), st.lists(st.integers(0, 2000), max_size=5))
    def test_requests(self, fields, body, cuts):
        """A request encoded for a back end parses back as the same message, however it is split."""
        message = Message(("POST", "/call/view", "HTTP/1.1"), fields, body)
        parsed = scgi.read(buffer_of(scgi_client.encode_request(message, {}), cuts))
        self.assertEqual(parsed, message)

    @QUICK
    @given(
        FIELDS,
        st.binary(max_size=300),
        st.lists(st.integers(0, 2000), max_size=5),
        st.sampled_from([200, 204, 404, 500]),
        st.booleans(),
    )
    def test_answers(self, fields, body, cuts, status, with_length):
        """An answer parses back unchanged, whether its length or the close ends its body."""
        answer = Answer(status, body, tuple(fields.items()))
        data = scgi.encode_answer(answer)
        if not with_length:
            data = data.replace(b"Content-Length: %d\r\n" % len(body), b"", 1)
        self.assertEqual(scgi_client.read_answer(buffer_of(data, cuts, 70_000)), answer)

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
    def test_corrupted(self, fields, body, cut, changes, answer):
        """Corrupted bytes give a message or an error with a text; the buffer stays within its
        limit.
        """
        message = Message(("POST", "/call/view", "HTTP/1.1"), fields, body)
        data = (
            scgi.encode_answer(Answer(200, body, tuple(fields.items())))
            if answer
            else scgi_client.encode_request(message, {})
        )
        for at, inserted, removed in changes:
            at %= len(data) + 1
            data = data[:at] + inserted + data[at + removed :]
        buffer = buffer_of(data, [cut])
        try:
            parsed = scgi_client.read_answer(buffer, 4096) if answer else scgi.read(buffer)
            self.assertIsInstance(parsed, (Answer, Message, type(None)))
        except (BadRequestError, ConnectionClosedError) as error:
            self.assertTrue(str(error))
        self.assertLessEqual(len(buffer.data), scgi.MAX_MESSAGE_BYTES)

    def test_every_cut(self):
        """A request split at any byte parses the same; one that ends early at any byte is refused."""
        message = Message(
            ("POST", "/call/view", "HTTP/1.1"), {"trace-id": "0a", "x-a": "1"}, b"A\r\nB"
        )
        data = scgi_client.encode_request(message, {})
        for at in range(1, len(data)):
            self.assertEqual(scgi.read(buffer_of(data, [at])), message)
            with self.assertRaises((ConnectionClosedError, BadRequestError)):
                scgi.read(buffer_of(data[:at]))
        self.assertIsNone(scgi.read(buffer_of(b"")))

    def test_malformed_answers(self):
        """Each malformed answer raises an error that names what is wrong.

        Guards against an answer that another parser would take for two.
        """
        for data, text in (
            (b"Status: 200 OK\r\nContent-Length: 3\r\n\r\nabcd", "more than one answer"),
            (b"Status: 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "two values"),
            (b"Status: 200 OK\r\nContent-Length: 99999999\r\n\r\n", "exceeds 4096 bytes"),
            (b"Status: 999x\r\n\r\n", "invalid status '999x'"),
            (b"Status: 100 Go\r\n\r\n", "invalid status '100 Go'"),
            (b"X-A: 1\r\n\r\n", "neither status"),
            (b"no field\r\n\r\n", "malformed field 'no field'"),
            (b"Status: 200 OK\r\nX: a\rb\r\n\r\n", "malformed field 'X'"),
            (b"x" * 9000, "head too long"),
            (b"Status: 200 OK\r\n\r\n" + b"x" * 5000, "exceeds 4096 bytes"),
        ):
            with self.subTest(text), self.assertRaisesRegex(ConnectionClosedError, text):
                scgi_client.read_answer(buffer_of(data, (), 20_000), 4096)
        answer = scgi_client.read_answer(buffer_of(b"Location: /a\n\nx"))
        self.assertEqual(
            (answer.status, answer.fields, answer.body), (302, (("Location", "/a"),), b"x")
        )

    @QUICK
    @given(FIELDS, st.binary(max_size=300), st.lists(st.integers(0, 2000), max_size=5))
    def test_both_protocols(self, fields, body, cuts):
        """A request gives the same message by HTTP and by SCGI, except for the protocol version."""
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        data = (
            f"POST /call/view HTTP/1.1\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        by_http = http.read(buffer_of(data, cuts, http.MAX_MESSAGE_BYTES))
        headers = {
            "CONTENT_LENGTH": str(len(body)),
            "SCGI": "1",
            "REQUEST_METHOD": "POST",
            "REQUEST_URI": "/call/view?a=b",
        }
        headers |= {
            "HTTP_" + name.upper().replace("-", "_"): value for name, value in fields.items()
        }
        by_scgi = scgi.read(buffer_of(scgi_client.netstring(headers.items()) + body, cuts))
        del by_http.fields["content-length"]
        self.assertEqual(
            (by_http.start_line[:2], by_http.fields, by_http.body),
            (by_scgi.start_line[:2], by_scgi.fields, by_scgi.body),
        )


if __name__ == "__main__":
    unittest.main()
