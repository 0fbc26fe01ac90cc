"""The one buffer of a connection.

Grows as it needs, is compacted in place, and never beyond its bound.
"""

from __future__ import annotations

from collections.abc import Callable

from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError

FIRST = 2048


class Buffer:
    """Bytes received and not yet taken, at `data[start:end]`.

    `receive` fills a view and returns how many bytes it put there, 0 at the peer's end; its second
    argument says whether a message has begun. It raises `Ended` for whatever else became of the
    connection.
    """

    def __init__(self, receive: Callable[[memoryview, bool], int], most: int) -> None:
        self.receive, self.most = receive, most
        self.data, self.start, self.end = bytearray(FIRST), 0, 0

    def __len__(self) -> int:
        return self.end - self.start

    def fill(self, begun: bool = False) -> bool:
        """Receive once, waiting for it; False when the peer has closed its side."""
        begun = begun or len(self) > 0
        if self.end == len(self.data):
            if self.start:  # compact before growing
                size = len(self)
                self.data[:size] = self.data[self.start : self.end]
                self.start, self.end = 0, size
            elif len(self.data) < self.most:
                self.data.extend(bytes(min(len(self.data), self.most - len(self.data))))
            else:
                raise ConnectionClosedError(
                    CloseReason.GARBLED, f"over {self.most} bytes in one message"
                )
        with memoryview(self.data) as view:
            got = self.receive(view[self.end :], begun)
        self.end += got
        return got > 0

    def line(self, longest: int) -> bytes | None:
        """The next line without its end, or None while it is incomplete.

        A bare LF ends one too.
        """
        at = self.data.find(b"\n", self.start, self.end)
        if (at < 0 and len(self) > longest) or at - self.start > longest:
            raise ConnectionClosedError(CloseReason.GARBLED, f"a line of over {longest} bytes")
        if at < 0:
            return None
        text = bytes(self.data[self.start : at]).removesuffix(b"\r")
        self._took(at + 1 - self.start)
        return text

    def until(self, mark: bytes) -> bytes | None:
        """All up to and with `mark`, or None while it has not come."""
        at = self.data.find(mark, self.start, self.end)
        return None if at < 0 else self.take(at + len(mark) - self.start)

    def take(self, size: int) -> bytes | None:
        """Exactly `size` bytes, or None while they are incomplete."""
        if len(self) < size:
            return None
        got = bytes(self.data[self.start : self.start + size])
        self._took(size)
        return got

    def peek(self, most: int) -> bytes:
        """What is there, `most` bytes of it at the most; it stays."""
        return bytes(self.data[self.start : min(self.end, self.start + most)])

    def _took(self, size: int) -> None:
        self.start += size
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > 4 * FIRST:  # a rare large message leaves no large buffer behind
                self.data = bytearray(FIRST)
