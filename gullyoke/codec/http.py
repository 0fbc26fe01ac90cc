"""HTTP/1.1 messages as the gateways and the name service use them.

One at a time, bodies by length.
"""

from __future__ import annotations

from collections.abc import Callable

from gullyoke.codec.buffer import Buffer
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError
from gullyoke.runtime.messages import Answer, BadRequestError, Message

HEAD, BODY = 4096, 8192  # the longest that are read, in bytes
BUFFER = HEAD + BODY
VERSIONS = (
    "HTTP/1.0",
    "HTTP/1.1",
)  # what an answer begins with, where the request's first word stands
NAMES: dict[str, str] = {}  # fields' names as they came, and in lower case; kept for good
MOST = 128  # of them


def read(buffer: Buffer, begun: Callable[[], None] = lambda: None) -> Message | None:
    """The next message, waiting for it; None if the peer closes first.

    `begun` is called at its first byte.

    Guards against heads without end, lengths that lie and bodies in pieces: nothing is read beyond
    bounds.
    """
    if not len(buffer) and not buffer.fill():
        return None
    begun()
    while (head := buffer.until(b"\r\n\r\n")) is None:
        if len(buffer) > HEAD:
            raise BadRequestError(431, "head too long")
        more(buffer)
    lines = head.decode("latin-1").split("\r\n")[:-2]
    if head.count(b"\n") != len(lines) + 1 or b"\0" in head:  # an end of line to some readers
        raise BadRequestError(400, "line ends")
    first = tuple(lines[0].split(" ", 2))
    if len(first) != 3:
        raise BadRequestError(400, "first line")
    if not first[2].startswith("HTTP/1.") and first[0] not in VERSIONS:
        raise BadRequestError(505, "version")
    fields: dict[str, str] = {}
    for line in lines[1:]:
        name, mark, value = line.partition(":")
        name, value = NAMES.get(name) or named(name), value.strip()
        if not mark:
            raise BadRequestError(400, "field")
        if fields.setdefault(name, value) != value:
            raise BadRequestError(400, f"two values of {name}")
    if "transfer-encoding" in fields:
        raise BadRequestError(501, "transfer coding")
    text = fields.get("content-length", "" if first[0] == "POST" else "0")
    if not text:
        raise BadRequestError(411, "no length")
    if not (text.isascii() and text.isdigit()):
        raise BadRequestError(400, "content length")
    if len(text) > 9 or int(text) > BODY:
        raise BadRequestError(413, "body too long")
    while (body := buffer.take(int(text))) is None:
        more(buffer)
    return Message(first, fields, body)


def named(name: str) -> str:
    """A field's name in lower case.

    Most names come with every message, and are looked up from then on.
    """
    low = name.lower()
    if not low or low != low.strip():
        raise BadRequestError(400, "field")
    if len(NAMES) < MOST:
        NAMES[name] = low
    return low


def more(buffer: Buffer) -> None:
    if not buffer.fill():
        raise ConnectionClosedError(CloseReason.CUT)


def answer(given: Answer, close: bool = False) -> bytes:
    """A whole answer, to be written at once."""
    head = f"HTTP/1.1 {given.line()}\r\nContent-Length: {len(given.body)}\r\n{given.head()}"
    return (head + ("Connection: close\r\n\r\n" if close else "\r\n")).encode(
        "latin-1"
    ) + given.body
