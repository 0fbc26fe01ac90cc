"""The server side of SCGI, by its published specification (python.ca/scgi/protocol.txt).

This module parses requests from gateways and encodes their answers; `scgi_client` is the side
towards back ends. A request is a netstring of headers, each as name NUL value NUL, followed by the
body; `CONTENT_LENGTH` is the first header, and `SCGI` must be 1. An answer has headers, with
`Status` among them, a blank line, and a body that ends at its stated length or when the connection
closes (RFC 3875, section 6). A connection carries one request.
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
MAX_LENGTH_DIGITS: Final = 9  # in the length of a netstring or of a body
#: The maximum size of a request: length, colon, headers, comma and body, and one byte more, so that
#: a byte after the body is detected.
MAX_MESSAGE_BYTES: Final = MAX_LENGTH_DIGITS + 1 + MAX_HEAD_BYTES + 1 + MAX_BODY_BYTES + 1
TOKEN_CHARACTERS: Final = frozenset(
    "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
)  # the characters that a field name may have (RFC 9110, 5.6.2)


def read(buffer: Buffer, on_first_byte: Callable[[], None] = lambda: None) -> Message | None:
    """Read the message of a connection, blocking until it is complete.

    Guards against endless headers, wrong lengths, and names that two parsers could read
    differently.

    Args:
        buffer: The connection's receive buffer.
        on_first_byte: Called when the first byte of the message has arrived.

    Returns:
        The message; None if the peer closes its side before the first byte.

    Raises:
        BadRequestError: The message is malformed or exceeds a limit.
        ConnectionClosedError: The connection closed within the message.
    """
    if not len(buffer) and not buffer.fill():
        return None
    on_first_byte()
    size = _read_head_size(buffer)
    while (block := buffer.take(size + 1)) is None:
        _fill(buffer)
    if block[-1:] != b",":
        raise BadRequestError(400, f"no comma after headers of {size} bytes")
    headers = _parse_headers(block[:-1])
    length = _body_length(headers)
    while (body := buffer.take(length)) is None:
        _fill(buffer)
    if len(buffer):
        raise BadRequestError(400, f"{len(buffer)} bytes or more after a body of {length} bytes")
    return _to_message(headers, body)


def _fill(buffer: Buffer) -> None:
    """Receive more bytes of a message that has begun."""
    if not buffer.fill():
        raise ConnectionClosedError(CloseReason.CUT)


def _read_head_size(buffer: Buffer) -> int:
    """Read the length of the headers' netstring: digits without leading zeros, then a colon."""
    while True:
        digits, colon, _ = buffer.peek(MAX_LENGTH_DIGITS + 1).partition(b":")
        if not digits.isdigit() or digits[:1] == b"0" or len(digits) > MAX_LENGTH_DIGITS:
            raise BadRequestError(400, f"netstring length {digits!r} is malformed")
        if colon:
            break
        _fill(buffer)
    if int(digits) > MAX_HEAD_BYTES:
        raise BadRequestError(431, f"headers of {int(digits)} bytes exceed {MAX_HEAD_BYTES} bytes")
    buffer.take(len(digits) + 1)
    return int(digits)


def _parse_headers(block: bytes) -> dict[str, str]:
    """Return the headers in the order received; `CONTENT_LENGTH` must be the first."""
    if not block.endswith(b"\0"):
        raise BadRequestError(400, f"last header {block[-20:]!r} does not end with a NUL")
    parts = block[:-1].decode("latin-1").split("\0")
    if len(parts) % 2:
        raise BadRequestError(400, f"last header {parts[-1][:20]!r} has no value")
    if len(parts) > 2 * MAX_HEADERS:
        raise BadRequestError(431, f"{len(parts) // 2} headers exceed the limit of {MAX_HEADERS}")
    headers: dict[str, str] = {}
    for name, value in zip(parts[::2], parts[1::2], strict=True):
        if not name or not TOKEN_CHARACTERS.issuperset(name):
            raise BadRequestError(400, f"header name {name[:20]!r} is not a token")
        if name in headers:
            raise BadRequestError(400, f"header {name[:20]} occurs twice")
        if "\r" in value or "\n" in value:  # a back end could parse the rest as another field
            raise BadRequestError(400, f"value of header {name[:20]} contains a CR or LF")
        headers[name] = value
    if parts[0] != "CONTENT_LENGTH":
        raise BadRequestError(400, f"first header is {parts[0][:20]}, not CONTENT_LENGTH")
    if headers.get("SCGI") != "1":
        raise BadRequestError(400, f"header SCGI is {headers.get('SCGI', '')[:20]!r}, not 1")
    return headers


def _body_length(headers: dict[str, str]) -> int:
    text = headers["CONTENT_LENGTH"]
    if not (text.isascii() and text.isdigit()) or (len(text) > 1 and text[0] == "0"):
        raise BadRequestError(400, f"CONTENT_LENGTH {text[:20]!r} is not a whole number")
    if len(text) > MAX_LENGTH_DIGITS or int(text) > MAX_BODY_BYTES:
        raise BadRequestError(413, f"CONTENT_LENGTH {text[:20]} exceeds {MAX_BODY_BYTES} bytes")
    return int(text)


def _to_message(headers: dict[str, str], body: bytes) -> Message:
    """Return the message in the form in which it comes by HTTP.

    The path is stripped of its query, and the header `HTTP_X_Y` becomes the field `x-y`.
    """
    path = headers.get("PATH_INFO") or headers.get("REQUEST_URI", "").partition("?")[0]
    method = headers.get("REQUEST_METHOD", "")
    if not method or not path:
        raise BadRequestError(400, f"method {method[:20]!r} or path {path[:20]!r} is empty")
    fields: dict[str, str] = {}
    for name, value in headers.items():
        if name.startswith("HTTP_"):
            field = name[5:].replace("_", "-").lower()
            if field in fields:
                raise BadRequestError(400, f"header field {field[:20]} has two values")
            fields[field] = value.strip()
    length = str(len(body))
    if "transfer-encoding" in fields or fields.get("content-length", length) != length:
        raise BadRequestError(400, f"HTTP length fields do not agree with CONTENT_LENGTH {length}")
    if "CONTENT_TYPE" in headers:
        fields["content-type"] = headers["CONTENT_TYPE"]
    return Message((method, path, headers.get("SERVER_PROTOCOL", "SCGI/1")), fields, body)


def encode_answer(answer: Answer) -> bytes:
    """Encode an answer."""
    length = len(answer.body)
    head = (
        f"Status: {answer.status_line()}\r\nContent-Length: {length}\r\n{answer.header_lines()}\r\n"
    )
    return head.encode("latin-1") + answer.body
