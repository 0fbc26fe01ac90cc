"""The line protocol of the engine and the database: words separated by spaces, ended by CR LF.

A message may have a body of bytes; then the last word of its line is the length of the body.
"""

from __future__ import annotations

from typing import Final

from gullyoke.codec.buffer import Buffer
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError

MAX_LINE_BYTES: Final = 4096
MAX_BODY_BYTES: Final = 65536
MAX_NUMBER_DIGITS: Final = 18
LINE_END: Final = b"\r\n"
MAX_MESSAGE_BYTES: Final = (
    MAX_LINE_BYTES + MAX_BODY_BYTES + len(LINE_END)
)  # the maximum size of a message


def read(buffer: Buffer) -> list[str] | None:
    """Read the words of the next line, blocking until it is complete.

    Returns:
        The words; None if the peer closes its side between two messages.

    Raises:
        ConnectionClosedError: The connection closed within the line, or the line is too long.
    """
    while (line := buffer.take_line(MAX_LINE_BYTES)) is None:
        if not buffer.fill():
            if len(buffer):
                raise ConnectionClosedError(CloseReason.CUT)
            return None
    return line.decode("latin-1").split(" ")


def read_body(buffer: Buffer, size: str) -> bytes:
    """Read the body that follows a line.

    Args:
        buffer: The connection's receive buffer.
        size: The last word of the line, the length of the body in bytes.

    Raises:
        ConnectionClosedError: The connection closed within the body, the length is invalid or too
            large, or no CR LF follows the body.
    """
    if parse_whole_number(size) > MAX_BODY_BYTES:
        raise ConnectionClosedError(
            CloseReason.GARBLED, f"body of {size} bytes exceeds {MAX_BODY_BYTES} bytes"
        )
    while (received := buffer.take(int(size) + len(LINE_END))) is None:
        if not buffer.fill(True):
            raise ConnectionClosedError(CloseReason.CUT)
    if not received.endswith(LINE_END):
        raise ConnectionClosedError(CloseReason.GARBLED, f"no CR LF after a body of {size} bytes")
    return received[: -len(LINE_END)]


def parse_whole_number(text: str) -> int:
    """Return the whole number that a word of a message holds.

    Raises:
        ConnectionClosedError: The word is not a whole number, or it is too long.
    """
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS):
        raise ConnectionClosedError(CloseReason.GARBLED, f"{text[:20]!r} is not a whole number")
    return int(text)


def encode_message(*words: object, body: bytes | None = None) -> bytes:
    """Encode a message; if it has a body, the length of the body is added as the last word."""
    text = " ".join(str(word) for word in words)
    if body is None:
        return f"{text}\r\n".encode("latin-1")
    return f"{text} {len(body)}\r\n".encode("latin-1") + body + LINE_END
