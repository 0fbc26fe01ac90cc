"""Messages in lines of words ending in CR LF, as the engine and the database use them."""

from __future__ import annotations

from gullyoke.codec.buffer import Buffer
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError

LINE, CONTENT = 4096, 65536  # the longest that are read, in bytes
BUFFER = LINE + CONTENT + 2


def read(buffer: Buffer) -> list[str] | None:
    """The words of the next line, waiting for it.

    None when the peer closed between two messages.
    """
    while (line := buffer.line(LINE)) is None:
        if not buffer.fill():
            if len(buffer):
                raise ConnectionClosedError(CloseReason.CUT)
            return None
    return line.decode("latin-1").split(" ")


def content(buffer: Buffer, size: str) -> bytes:
    """The bytes that follow a line whose last word is their number."""
    if whole(size) > CONTENT:
        raise ConnectionClosedError(CloseReason.GARBLED, f"a content of {size} bytes")
    while (got := buffer.take(int(size) + 2)) is None:
        if not buffer.fill(True):
            raise ConnectionClosedError(CloseReason.CUT)
    if not got.endswith(b"\r\n"):
        raise ConnectionClosedError(CloseReason.GARBLED, "no line end after a content")
    return got[:-2]


def whole(text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) < 19):
        raise ConnectionClosedError(CloseReason.GARBLED, f"{text[:20]!r} is no number")
    return int(text)


def command(*words: object, body: bytes | None = None) -> bytes:
    """One message; with a body, its length is the last word."""
    text = " ".join(str(w) for w in words)
    if body is None:
        return f"{text}\r\n".encode("latin-1")
    return f"{text} {len(body)}\r\n".encode("latin-1") + body + b"\r\n"
