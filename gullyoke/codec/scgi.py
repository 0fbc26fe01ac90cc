"""SCGI, from its published specification (python.ca/scgi/protocol.txt).

Here requests are read from gateways and their answers written; `scgi_client` is the side towards
backends. A request is a netstring of headers, name NUL value NUL each, `CONTENT_LENGTH` first and
`SCGI` with the value 1, then the body; an answer is headers, `Status` among them, a blank line and
a body up to its length or the close (RFC 3875, section 6). One request a connection.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from gullyoke.codec.buffer import Buffer
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError
from gullyoke.runtime.messages import Answer, BadRequestError, Message

MAX_HEAD_BYTES: Final = 8192
MAX_BODY_BYTES: Final = 8192
MAX_HEADERS: Final = 128
MAX_LENGTH_DIGITS: Final = 9  # of a netstring's length or a body's
BUFFER: Final = MAX_LENGTH_DIGITS + 1 + MAX_HEAD_BYTES + 1 + MAX_BODY_BYTES + 1  # one request
TOKEN: Final = frozenset(
    "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
)  # the characters of a field's name (RFC 9110, 5.6.2)


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
