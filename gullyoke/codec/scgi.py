"""SCGI, from its published specification (python.ca/scgi/protocol.txt).

Reqs in, and out to back ends.

A req is a netstring of headers, name NUL value NUL each, `CONTENT_LENGTH` first and `SCGI` with the
value 1, then the body; an answer is headers, `Status` among them, a blank line and a body up to its
length or the close (RFC 3875, section 6). One req a connection.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from gullyoke.codec.buffer import Buffer
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError
from gullyoke.runtime.messages import Answer, BadRequestError, Message

HEAD, BODY, COUNT = 8192, 8192, 128  # the longest head and body in bytes, and the most headers
DIGITS = 9  # the longest netstring length that is looked at
BUFFER = DIGITS + 1 + HEAD + 1 + BODY + 1
ANSWER_HEAD, ANSWER_BODY = 8192, 2**20  # the longest answer of a back end that is read, in bytes
ANSWER_BUFFER = ANSWER_HEAD + ANSWER_BODY + 1
OWN = {
    "content-length",
    "connection",
    "keep-alive",
    "transfer-encoding",
    "status",
    "trailer",
    "upgrade",
}
TOKEN = frozenset("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")


# A req read.


def read(buffer: Buffer, begun: Callable[[], None] = lambda: None) -> Message | None:
    """The message of a connection, waiting for it.

    None if the peer closes before its first byte.

    Raises `Unfit` for what is no message and `Ended` where the connection ends within one. Guards
    against heads without end, lengths that lie and names that two readers could take for different
    things.
    """
    if not len(buffer) and not buffer.fill():
        return None
    begun()
    size = head_size(buffer)
    while (block := buffer.take(size + 1)) is None:
        _more(buffer)
    if block[-1:] != b",":
        raise BadRequestError(400, "no comma after the headers")
    headers = headers_of(block[:-1])
    length = _length(headers)
    while (body := buffer.take(length)) is None:
        _more(buffer)
    if len(buffer):
        raise BadRequestError(400, "bytes after the body")
    return message_of(headers, body)


def _more(buffer: Buffer) -> None:
    if not buffer.fill():
        raise ConnectionClosedError(CloseReason.CUT)


def head_size(buffer: Buffer) -> int:
    """The netstring's length: digits without padding, then a colon."""
    while True:
        digits, mark, _ = buffer.peek(DIGITS + 1).partition(b":")
        if not digits.isdigit() or digits[:1] == b"0" or len(digits) > DIGITS:
            raise BadRequestError(400, "no netstring")
        if mark:
            break
        _more(buffer)
    if int(digits) > HEAD:
        raise BadRequestError(431, "headers too long")
    buffer.take(len(digits) + 1)
    return int(digits)


def headers_of(block: bytes) -> dict[str, str]:
    """The headers, by their names as they came; `CONTENT_LENGTH` is the first of them."""
    if not block.endswith(b"\0"):
        raise BadRequestError(400, "a header without its end")
    parts = block[:-1].decode("latin-1").split("\0")
    if len(parts) % 2:
        raise BadRequestError(400, "a name without a value")
    if len(parts) > 2 * COUNT:
        raise BadRequestError(431, "too many headers")
    headers: dict[str, str] = {}
    for name, value in zip(parts[::2], parts[1::2], strict=True):
        if not name or not TOKEN.issuperset(name):
            raise BadRequestError(400, "a name that is none")
        if name in headers:
            raise BadRequestError(400, f"two values of {name}")
        if "\r" in value or "\n" in value:  # could become a field of its own behind us
            raise BadRequestError(400, f"a line end in {name}")
        headers[name] = value
    if parts[0] != "CONTENT_LENGTH":
        raise BadRequestError(400, "CONTENT_LENGTH is not the first header")
    if headers.get("SCGI") != "1":
        raise BadRequestError(400, "SCGI is not 1")
    return headers


def _length(headers: dict[str, str]) -> int:
    text = headers["CONTENT_LENGTH"]
    if not (text.isascii() and text.isdigit()) or (len(text) > 1 and text[0] == "0"):
        raise BadRequestError(400, "CONTENT_LENGTH")
    if len(text) > 9 or int(text) > BODY:
        raise BadRequestError(413, "body too long")
    return int(text)


def message_of(headers: dict[str, str], body: bytes) -> Message:
    """As HTTP would have brought it: the path without its query, `HTTP_X_Y` as the field `x-y`."""
    path = headers.get("PATH_INFO") or headers.get("REQUEST_URI", "").partition("?")[0]
    method = headers.get("REQUEST_METHOD", "")
    if not method or not path:
        raise BadRequestError(400, "no method or path")
    fields: dict[str, str] = {}
    for name, value in headers.items():
        if name.startswith("HTTP_"):
            field = name[5:].replace("_", "-").lower()
            if field in fields:
                raise BadRequestError(400, f"two values of {field}")
            fields[field] = value.strip()
    if "transfer-encoding" in fields or fields.get("content-length", str(len(body))) != str(
        len(body)
    ):
        raise BadRequestError(400, "another length than CONTENT_LENGTH")
    if "CONTENT_TYPE" in headers:
        fields["content-type"] = headers["CONTENT_TYPE"]
    return Message((method, path, headers.get("SERVER_PROTOCOL", "SCGI/1")), fields, body)


def answer(given: Answer) -> bytes:
    """A whole answer, to be written at once."""
    head = f"Status: {given.line()}\r\nContent-Length: {len(given.body)}\r\n{given.head()}\r\n"
    return head.encode("latin-1") + given.body


# A req written to a back end, and its answer.


def netstring(headers: Iterable[tuple[str, str]]) -> bytes:
    block = "".join(f"{name}\0{value}\0" for name, value in headers).encode("latin-1")
    return b"%d:%b," % (len(block), block)


def request(message: Message, over: dict[str, str]) -> bytes:
    """The message whole, with the fields of `over` in the place of its own (an empty one is left
    out).
    """
    method, path, _ = message.first
    fields = {
        name: value for name, value in (message.fields | over).items() if value and name not in OWN
    }
    headers = [
        ("CONTENT_LENGTH", str(len(message.body))),
        ("SCGI", "1"),
        ("REQUEST_METHOD", method),
        ("REQUEST_URI", path),
        ("SCRIPT_NAME", ""),
        ("PATH_INFO", path),
        ("QUERY_STRING", ""),
        ("SERVER_PROTOCOL", "HTTP/1.1"),
    ]
    if kind := fields.pop("content-type", ""):
        headers.append(("CONTENT_TYPE", kind))
    headers += [("HTTP_" + name.upper().replace("-", "_"), value) for name, value in fields.items()]
    return netstring(headers) + message.body


def read_answer(buffer: Buffer, most: int = ANSWER_BODY) -> Answer:
    """A back end's answer to its end, with `most` bytes of body.

    Raises `Ended`: CLOSED where nothing came, CUT where it ends within the answer, GARBLED for what
    is none, is too long, or has more behind it.
    """
    while (head := _answer_head(buffer)) is None:
        if len(buffer) > ANSWER_HEAD:
            raise ConnectionClosedError(CloseReason.GARBLED, "an answer's head too long")
        if not buffer.fill(True):
            raise ConnectionClosedError(CloseReason.CUT if len(buffer) else CloseReason.CLOSED)
    status, fields, length = answer_fields(head)
    if length is None:
        while len(buffer) <= most and buffer.fill(True):
            pass
        if len(buffer) > most:
            raise ConnectionClosedError(CloseReason.GARBLED, f"an answer of over {most} bytes")
        return Answer(status, buffer.take(len(buffer)), fields)
    if length > most:
        raise ConnectionClosedError(CloseReason.GARBLED, f"an answer of over {most} bytes")
    while (body := buffer.take(length)) is None:
        if not buffer.fill(True):
            raise ConnectionClosedError(CloseReason.CUT)
    if len(buffer):
        raise ConnectionClosedError(CloseReason.GARBLED, "more than one answer")
    return Answer(status, body, fields)


def _answer_head(buffer: Buffer) -> bytes | None:
    """Up to and with the blank line, whose line ends may be bare."""
    seen = buffer.peek(ANSWER_HEAD)
    found = [at + len(mark) for mark in (b"\r\n\r\n", b"\n\n") if (at := seen.find(mark)) >= 0]
    return buffer.take(min(found)) if found else None


def answer_fields(head: bytes) -> tuple[int, tuple[tuple[str, str], ...], int | None]:
    """Status, fields to be handed on, and the body's length where it is told."""
    status, length, fields, named = None, None, [], set()
    for raw in head.decode("latin-1").rstrip("\r\n").split("\n"):
        name, mark, value = raw.removesuffix("\r").partition(":")
        value, low = value.strip(" \t"), name.lower()
        if not mark or not name or not TOKEN.issuperset(name) or not _plain(value):
            raise ConnectionClosedError(CloseReason.GARBLED, f"a field {name[:20]!r}")
        if low in ("status", "content-length") and low in named:
            raise ConnectionClosedError(CloseReason.GARBLED, f"two values of {low}")
        named.add(low)
        if low == "status":
            digits = value[:3]
            if not (
                digits.isascii()
                and digits.isdigit()
                and value[3:4] in ("", " ")
                and digits >= "200"
            ):
                raise ConnectionClosedError(CloseReason.GARBLED, "status")
            status = int(digits)
        elif low == "content-length":
            if not (value.isascii() and value.isdigit()) or len(value) > 12:
                raise ConnectionClosedError(CloseReason.GARBLED, "length")
            length = int(value)
        elif low not in OWN:
            fields.append((name, value))
    if not named & {"status", "content-type", "location"}:
        raise ConnectionClosedError(CloseReason.GARBLED, "neither status nor type nor location")
    if status is None:
        status = 302 if "location" in named else 200
    return status, tuple(fields), length


def _plain(value: str) -> bool:
    """Nothing in it that ends a field for some readers."""
    return not any(c in value for c in "\0\r\n")
