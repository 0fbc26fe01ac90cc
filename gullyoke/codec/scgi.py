"""SCGI, from its published specification (python.ca/scgi/protocol.txt).

Requests are read from gateways and written to backends. A request is a netstring of headers, name
NUL value NUL each, `CONTENT_LENGTH` first and `SCGI` with the value 1, then the body; an answer is
headers, `Status` among them, a blank line and a body up to its length or the close (RFC 3875,
section 6). One request a connection.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from gullyoke.codec.buffer import Buffer
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError
from gullyoke.runtime.messages import Answer, BadRequestError, Message

MAX_HEAD_BYTES: Final = 8192
MAX_BODY_BYTES: Final = 8192
MAX_HEADERS: Final = 128
MAX_LENGTH_DIGITS: Final = 9  # of a netstring's length or a body's
BUFFER: Final = MAX_LENGTH_DIGITS + 1 + MAX_HEAD_BYTES + 1 + MAX_BODY_BYTES + 1  # one request
ANSWER_HEAD: Final = 8192  # the most bytes of a backend's answer before its body
ANSWER_BODY: Final = 2**20  # the most bytes of its body
MAX_ANSWER_LENGTH_DIGITS: Final = 12
# Fields about one connection or one message's framing (RFC 9110, 7.6.1), which are not passed on.
HOP_BY_HOP: Final = frozenset(
    {
        "content-length",
        "connection",
        "keep-alive",
        "transfer-encoding",
        "status",
        "trailer",
        "upgrade",
    }
)
TOKEN: Final = frozenset(
    "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
)  # the characters of a field's name (RFC 9110, 5.6.2)

# Requests read from a gateway, and their answers.


def read(buffer: Buffer, begun: Callable[[], None] = lambda: None) -> Message | None:
    """Read the message of a connection, waiting for it.

    Guards against heads without end, lengths that lie and names that two readers could take for
    different things.

    Args:
        buffer: Where it comes in.
        begun: Called at its first byte.

    Returns:
        None if the peer closes its side before the first byte.

    Raises:
        BadRequestError: What came is no message, or one beyond the limits.
        ConnectionClosedError: The connection closed within the message.
    """
    if not len(buffer) and not buffer.fill():
        return None
    begun()
    size = _read_head_size(buffer)
    while (block := buffer.take(size + 1)) is None:
        _fill(buffer)
    if block[-1:] != b",":
        raise BadRequestError(400, "no comma after the headers")
    headers = _parse_headers(block[:-1])
    length = _body_length(headers)
    while (body := buffer.take(length)) is None:
        _fill(buffer)
    if len(buffer):
        raise BadRequestError(400, "bytes after the body")
    return _to_message(headers, body)


def _fill(buffer: Buffer) -> None:
    """Receive more of a message that has begun."""
    if not buffer.fill():
        raise ConnectionClosedError(CloseReason.CUT)


def _read_head_size(buffer: Buffer) -> int:
    """Read the netstring's length: digits without padding, then a colon."""
    while True:
        digits, colon, _ = buffer.peek(MAX_LENGTH_DIGITS + 1).partition(b":")
        if not digits.isdigit() or digits[:1] == b"0" or len(digits) > MAX_LENGTH_DIGITS:
            raise BadRequestError(400, "no netstring")
        if colon:
            break
        _fill(buffer)
    if int(digits) > MAX_HEAD_BYTES:
        raise BadRequestError(431, "headers too long")
    buffer.take(len(digits) + 1)
    return int(digits)


def _parse_headers(block: bytes) -> dict[str, str]:
    """Return the headers by their names as they came, `CONTENT_LENGTH` first."""
    if not block.endswith(b"\0"):
        raise BadRequestError(400, "a header without its end")
    parts = block[:-1].decode("latin-1").split("\0")
    if len(parts) % 2:
        raise BadRequestError(400, "a name without a value")
    if len(parts) > 2 * MAX_HEADERS:
        raise BadRequestError(431, "too many headers")
    headers: dict[str, str] = {}
    for name, value in zip(parts[::2], parts[1::2], strict=True):
        if not name or not TOKEN.issuperset(name):
            raise BadRequestError(400, "a name that is none")
        if name in headers:
            raise BadRequestError(400, f"two values of {name}")
        if "\r" in value or "\n" in value:  # could become a field of its own at a backend
            raise BadRequestError(400, f"a line end in {name}")
        headers[name] = value
    if parts[0] != "CONTENT_LENGTH":
        raise BadRequestError(400, "CONTENT_LENGTH is not the first header")
    if headers.get("SCGI") != "1":
        raise BadRequestError(400, "SCGI is not 1")
    return headers


def _body_length(headers: dict[str, str]) -> int:
    text = headers["CONTENT_LENGTH"]
    if not (text.isascii() and text.isdigit()) or (len(text) > 1 and text[0] == "0"):
        raise BadRequestError(400, "CONTENT_LENGTH")
    if len(text) > MAX_LENGTH_DIGITS or int(text) > MAX_BODY_BYTES:
        raise BadRequestError(413, "body too long")
    return int(text)


def _to_message(headers: dict[str, str], body: bytes) -> Message:
    """Return the message as HTTP would have brought it: the path without its query.

    `HTTP_X_Y` becomes the field `x-y`.
    """
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
    length = str(len(body))
    if "transfer-encoding" in fields or fields.get("content-length", length) != length:
        raise BadRequestError(400, "another length than CONTENT_LENGTH")
    if "CONTENT_TYPE" in headers:
        fields["content-type"] = headers["CONTENT_TYPE"]
    return Message((method, path, headers.get("SERVER_PROTOCOL", "SCGI/1")), fields, body)


def answer(given: Answer) -> bytes:
    """Return an answer's bytes."""
    length = len(given.body)
    head = (
        f"Status: {given.status_line()}\r\nContent-Length: {length}\r\n{given.header_lines()}\r\n"
    )
    return head.encode("latin-1") + given.body


# Requests written to a backend, and its answers.


def netstring(headers: Iterable[tuple[str, str]]) -> bytes:
    """Return headers, name NUL value NUL each, with their length before and a comma after them."""
    block = "".join(f"{name}\0{value}\0" for name, value in headers).encode("latin-1")
    return b"%d:%b," % (len(block), block)


def request(message: Message, overrides: dict[str, str]) -> bytes:
    """Return a request's bytes.

    Args:
        message: The request.
        overrides: Fields that take the place of the message's own; an empty one is left out.
    """
    method, path, _ = message.start_line
    fields = {
        name: value
        for name, value in (message.fields | overrides).items()
        if value and name not in HOP_BY_HOP
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
    if content_type := fields.pop("content-type", ""):
        headers.append(("CONTENT_TYPE", content_type))
    headers += [("HTTP_" + name.upper().replace("-", "_"), value) for name, value in fields.items()]
    return netstring(headers) + message.body


def read_answer(buffer: Buffer, max_body_bytes: int = ANSWER_BODY) -> Answer:
    """Read a backend's answer, waiting for it.

    Raises:
        ConnectionClosedError: CLOSED where nothing came, CUT where the connection closed within
            the answer, GARBLED where it is no answer, is too long, or is followed by anything.
    """
    while (head_bytes := _take_answer_head(buffer)) is None:
        if len(buffer) > ANSWER_HEAD:
            raise ConnectionClosedError(CloseReason.GARBLED, "an answer's head too long")
        if not buffer.fill(True):
            raise ConnectionClosedError(CloseReason.CUT if len(buffer) else CloseReason.CLOSED)
    head = _parse_answer_head(head_bytes)
    if head.length is None:
        body = _read_body_to_close(buffer, max_body_bytes)
    else:
        body = _read_body(buffer, head.length, max_body_bytes)
    return Answer(head.status, body, head.fields)


def _read_body_to_close(buffer: Buffer, max_body_bytes: int) -> bytes:
    while len(buffer) <= max_body_bytes and buffer.fill(True):
        pass
    if len(buffer) > max_body_bytes:
        raise _answer_too_long(max_body_bytes)
    return buffer.take(len(buffer)) or b""


def _read_body(buffer: Buffer, length: int, max_body_bytes: int) -> bytes:
    if length > max_body_bytes:
        raise _answer_too_long(max_body_bytes)
    while (body := buffer.take(length)) is None:
        if not buffer.fill(True):
            raise ConnectionClosedError(CloseReason.CUT)
    if len(buffer):
        raise ConnectionClosedError(CloseReason.GARBLED, "more than one answer")
    return body


def _answer_too_long(max_body_bytes: int) -> ConnectionClosedError:
    return ConnectionClosedError(CloseReason.GARBLED, f"an answer of over {max_body_bytes} bytes")


def _take_answer_head(buffer: Buffer) -> bytes | None:
    """Take everything up to and with the blank line, whose line ends may be bare."""
    seen = buffer.peek(ANSWER_HEAD)
    found = [at + len(mark) for mark in (b"\r\n\r\n", b"\n\n") if (at := seen.find(mark)) >= 0]
    return buffer.take(min(found)) if found else None


class AnswerHead(NamedTuple):
    """The head of a backend's answer.

    Args:
        status: The HTTP status.
        fields: The fields that are passed on, in their order.
        length: The body's length in bytes; None where it ends with the connection.
    """

    status: int
    fields: tuple[tuple[str, str], ...]
    length: int | None


def _parse_answer_head(head: bytes) -> AnswerHead:
    status: int | None = None
    length: int | None = None
    fields: list[tuple[str, str]] = []
    seen: set[str] = set()
    for line in head.decode("latin-1").rstrip("\r\n").split("\n"):
        name, value = _parse_answer_field(line)
        lower = name.lower()
        if lower in ("status", "content-length") and lower in seen:
            raise ConnectionClosedError(CloseReason.GARBLED, f"two values of {lower}")
        seen.add(lower)
        if lower == "status":
            status = _parse_answer_status(value)
        elif lower == "content-length":
            length = _parse_answer_length(value)
        elif lower not in HOP_BY_HOP:
            fields.append((name, value))
    if not seen & {"status", "content-type", "location"}:
        raise ConnectionClosedError(CloseReason.GARBLED, "neither status nor type nor location")
    if status is None:
        status = 302 if "location" in seen else 200
    return AnswerHead(status, tuple(fields), length)


def _parse_answer_field(line: str) -> tuple[str, str]:
    name, colon, value = line.removesuffix("\r").partition(":")
    value = value.strip(" \t")
    if not colon or not name or not TOKEN.issuperset(name) or not _is_plain(value):
        raise ConnectionClosedError(CloseReason.GARBLED, f"a field {name[:20]!r}")
    return name, value


def _parse_answer_status(value: str) -> int:
    digits = value[:3]
    ends = value[3:4] in ("", " ")
    if not (digits.isascii() and digits.isdigit() and ends and digits >= "200"):
        raise ConnectionClosedError(CloseReason.GARBLED, "status")
    return int(digits)


def _parse_answer_length(value: str) -> int:
    if not (value.isascii() and value.isdigit()) or len(value) > MAX_ANSWER_LENGTH_DIGITS:
        raise ConnectionClosedError(CloseReason.GARBLED, "length")
    return int(value)


def _is_plain(value: str) -> bool:
    """Return whether nothing in a value ends the field for some readers."""
    return not any(character in value for character in "\0\r\n")
