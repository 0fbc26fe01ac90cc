"""HTTP/1.1 messages (RFC 9112) as gateways and the service registry use them.

Messages are not pipelined, and the length of a body is given by `Content-Length` only.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from gullyoke.codec.buffer import Buffer
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError
from gullyoke.runtime.messages import Answer, BadRequestError, Message

MAX_HEAD_BYTES: Final = 4096
MAX_FIELDS: Final = 128  # header fields; many short ones take far more memory than their bytes
MAX_BODY_BYTES: Final = 8192
MAX_LENGTH_DIGITS: Final = 9
MAX_MESSAGE_BYTES: Final = MAX_HEAD_BYTES + MAX_BODY_BYTES  # the maximum size of a message
RESPONSE_VERSIONS: Final = ("HTTP/1.0", "HTTP/1.1")  # the first part of a response's start line
MAX_KNOWN_NAMES: Final = 128

# Cache of header field names, as received -> in lower case; entries are never removed.
_known_names: Final[dict[str, str]] = {}


def read(buffer: Buffer, on_first_byte: Callable[[], None] = lambda: None) -> Message | None:
    """Read the next message, blocking until it is complete.

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
    while (head := buffer.take_until(b"\r\n\r\n")) is None:
        if len(buffer) > MAX_HEAD_BYTES:
            raise BadRequestError(431, f"message head exceeds {MAX_HEAD_BYTES} bytes")
        _fill(buffer)
    lines = head.decode("latin-1").split("\r\n")[:-2]
    # Some parsers take a bare LF or a NUL for a line end.
    if head.count(b"\n") != len(lines) + 1 or b"\0" in head:
        raise BadRequestError(400, "message head contains a bare LF or a NUL")
    start_line = _parse_start_line(lines[0])
    fields = _parse_fields(lines)
    length = _body_length(start_line[0], fields)
    while (body := buffer.take(length)) is None:
        _fill(buffer)
    return Message(start_line, fields, body)


def _parse_start_line(line: str) -> tuple[str, str, str]:
    parts = line.split(" ", 2)
    if len(parts) != 3:
        raise BadRequestError(400, f"start line {line[:40]!r} does not have three parts")
    first, second, third = parts
    if not third.startswith("HTTP/1.") and first not in RESPONSE_VERSIONS:
        raise BadRequestError(505, f"start line {line[:40]!r} does not name HTTP/1.0 or HTTP/1.1")
    return first, second, third


def _parse_fields(lines: list[str]) -> dict[str, str]:
    """Return the header fields of a message head; its first line is the start line."""
    if len(lines) - 1 > MAX_FIELDS:
        raise BadRequestError(431, f"{len(lines) - 1} header fields exceed {MAX_FIELDS}")
    fields: dict[str, str] = {}
    for line in lines[1:]:
        raw_name, colon, value = line.partition(":")
        name = _known_names.get(raw_name) or _lower_case(raw_name)
        value = value.strip()
        if not colon:
            raise BadRequestError(400, f"header line {line[:20]!r} has no colon")
        if fields.setdefault(name, value) != value:
            raise BadRequestError(400, f"header field {name} has two values")
    return fields


def _body_length(method: str, fields: dict[str, str]) -> int:
    if "transfer-encoding" in fields:
        raise BadRequestError(501, "header field transfer-encoding is not supported")
    text = fields.get("content-length", "" if method == "POST" else "0")
    if not text:
        raise BadRequestError(411, "header field content-length is missing or empty")
    if not (text.isascii() and text.isdigit()):
        raise BadRequestError(400, f"content-length {text[:20]!r} is not a whole number")
    if len(text) > MAX_LENGTH_DIGITS or int(text) > MAX_BODY_BYTES:
        raise BadRequestError(
            413,
            f"content-length {text[:20]} exceeds {MAX_BODY_BYTES} bytes"
            f" or {MAX_LENGTH_DIGITS} digits",
        )
    return int(text)


def _lower_case(name: str) -> str:
    """Return a field name in lower case and cache it, since most names occur in every message."""
    lower = name.lower()
    if not lower or lower != lower.strip():
        raise BadRequestError(400, f"header field name {name[:20]!r} is empty or has outer spaces")
    if len(_known_names) < MAX_KNOWN_NAMES:
        _known_names[name] = lower
    return lower


def _fill(buffer: Buffer) -> None:
    """Receive more bytes of a message that has begun."""
    if not buffer.fill():
        raise ConnectionClosedError(CloseReason.CUT)


def encode_answer(answer: Answer, close: bool = False) -> bytes:
    """Encode an answer.

    Args:
        answer: The answer.
        close: Whether the connection is closed after it.
    """
    length = len(answer.body)
    head = f"HTTP/1.1 {answer.status_line()}\r\nContent-Length: {length}\r\n{answer.header_lines()}"
    end_of_head = "Connection: close\r\n\r\n" if close else "\r\n"
    return (head + end_of_head).encode("latin-1") + answer.body
