"""HTTP/1.1 messages (RFC 9112) as gateways and the name service use them.

One message at a time, with bodies by `Content-Length` only.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from gullyoke.codec.buffer import Buffer
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError
from gullyoke.runtime.messages import Answer, BadRequestError, Message

MAX_HEAD_BYTES: Final = 4096
MAX_BODY_BYTES: Final = 8192
MAX_LENGTH_DIGITS: Final = 9
BUFFER: Final = MAX_HEAD_BYTES + MAX_BODY_BYTES  # the most bytes that one message takes
RESPONSE_VERSIONS: Final = ("HTTP/1.0", "HTTP/1.1")  # the first part of a response's first line
MAX_KNOWN_NAMES: Final = 128

# Field names as they came, and in lower case; never removed, up to MAX_KNOWN_NAMES of them.
_known_names: Final[dict[str, str]] = {}


def read(buffer: Buffer, begun: Callable[[], None] = lambda: None) -> Message | None:
    """Read the next message, waiting for it.

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
    while (head := buffer.until(b"\r\n\r\n")) is None:
        if len(buffer) > MAX_HEAD_BYTES:
            raise BadRequestError(431, "head too long")
        _fill(buffer)
    lines = head.decode("latin-1").split("\r\n")[:-2]
    if head.count(b"\n") != len(lines) + 1 or b"\0" in head:  # an end of line to some readers
        raise BadRequestError(400, "line ends")
    start_line = _parse_start_line(lines[0])
    fields = _parse_fields(lines)
    length = _body_length(start_line[0], fields)
    while (body := buffer.take(length)) is None:
        _fill(buffer)
    return Message(start_line, fields, body)


def _parse_start_line(line: str) -> tuple[str, str, str]:
    parts = line.split(" ", 2)
    if len(parts) != 3:
        raise BadRequestError(400, "first line")
    first, second, third = parts
    if not third.startswith("HTTP/1.") and first not in RESPONSE_VERSIONS:
        raise BadRequestError(505, "version")
    return first, second, third


def _parse_fields(lines: list[str]) -> dict[str, str]:
    """Return the fields of a head's lines, the first of which is the start line."""
    fields: dict[str, str] = {}
    for line in lines[1:]:
        raw_name, colon, value = line.partition(":")
        name = _known_names.get(raw_name) or _lower_case(raw_name)
        value = value.strip()
        if not colon:
            raise BadRequestError(400, "field")
        if fields.setdefault(name, value) != value:
            raise BadRequestError(400, f"two values of {name}")
    return fields


def _body_length(method: str, fields: dict[str, str]) -> int:
    if "transfer-encoding" in fields:
        raise BadRequestError(501, "transfer coding")
    text = fields.get("content-length", "" if method == "POST" else "0")
    if not text:
        raise BadRequestError(411, "no length")
    if not (text.isascii() and text.isdigit()):
        raise BadRequestError(400, "content length")
    if len(text) > MAX_LENGTH_DIGITS or int(text) > MAX_BODY_BYTES:
        raise BadRequestError(413, "body too long")
    return int(text)


def _lower_case(name: str) -> str:
    """Return a field's name in lower case, and know it from then on: most come in every message."""
    lower = name.lower()
    if not lower or lower != lower.strip():
        raise BadRequestError(400, "field")
    if len(_known_names) < MAX_KNOWN_NAMES:
        _known_names[name] = lower
    return lower


def _fill(buffer: Buffer) -> None:
    """Receive more of a message that has begun."""
    if not buffer.fill():
        raise ConnectionClosedError(CloseReason.CUT)


def answer(given: Answer, close: bool = False) -> bytes:
    """Return an answer's bytes.

    Args:
        given: The answer.
        close: Whether the connection is closed after it.
    """
    length = len(given.body)
    head = f"HTTP/1.1 {given.status_line()}\r\nContent-Length: {length}\r\n{given.header_lines()}"
    end_of_head = "Connection: close\r\n\r\n" if close else "\r\n"
    return (head + end_of_head).encode("latin-1") + given.body
