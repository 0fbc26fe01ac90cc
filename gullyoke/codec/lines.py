"""Messages in lines of words that end in CR LF, as the engine and the database use them."""

from __future__ import annotations

from typing import Final

from gullyoke.codec.buffer import Buffer
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError

MAX_LINE_BYTES: Final = 4096
MAX_CONTENT_BYTES: Final = 65536
MAX_NUMBER_DIGITS: Final = 18
LINE_END: Final = b"\r\n"
BUFFER: Final = MAX_LINE_BYTES + MAX_CONTENT_BYTES + len(LINE_END)  # what one message takes at most


def read(buffer: Buffer) -> list[str] | None:
    """Read the words of the next line, waiting for it.

    Returns:
        None if the peer closes its side between two messages.

    Raises:
        ConnectionClosedError: The connection closed within the line, or the line is too long.
    """
    while (line := buffer.line(MAX_LINE_BYTES)) is None:
        if not buffer.fill():
            if len(buffer):
                raise ConnectionClosedError(CloseReason.CUT)
            return None
    return line.decode("latin-1").split(" ")


def content(buffer: Buffer, size: str) -> bytes:
    """Read the bytes that follow a line, whose last word is their number.

    Raises:
        ConnectionClosedError: The connection closed within them, they are too many, or no line
            end follows them.
    """
    if whole(size) > MAX_CONTENT_BYTES:
        raise ConnectionClosedError(CloseReason.GARBLED, f"a content of {size} bytes")
    while (received := buffer.take(int(size) + len(LINE_END))) is None:
        if not buffer.fill(True):
            raise ConnectionClosedError(CloseReason.CUT)
    if not received.endswith(LINE_END):
        raise ConnectionClosedError(CloseReason.GARBLED, "no line end after a content")
    return received[: -len(LINE_END)]


def whole(text: str) -> int:
    """Return the whole number that a word states.

    Raises:
        ConnectionClosedError: It states none.
    """
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS):
        raise ConnectionClosedError(CloseReason.GARBLED, f"{text[:20]!r} is no number")
    return int(text)


def command(*words: object, body: bytes | None = None) -> bytes:
    """Return a message's bytes; with a body, its length becomes the last word."""
    text = " ".join(str(word) for word in words)
    if body is None:
        return f"{text}\r\n".encode("latin-1")
    return f"{text} {len(body)}\r\n".encode("latin-1") + body + LINE_END
