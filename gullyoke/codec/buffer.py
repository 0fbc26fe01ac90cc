"""The one receive buffer of a connection: grows as needed, up to its limit."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError

INITIAL_BYTES: Final = 2048
MAX_RETAINED_BYTES: Final = 4 * INITIAL_BYTES  # an empty buffer that is larger is given back


class Buffer:
    """Bytes received and not yet taken, at `data[start:end]`.

    Args:
        receive: Fills a view and returns how many bytes it put there, 0 at the peer's end; its
            second argument says whether a message has begun. Raises `ConnectionClosedError` where
            the connection closes in any other way.
        limit: The most bytes that may be there at once.
    """

    def __init__(self, receive: Callable[[memoryview, bool], int], limit: int) -> None:
        self.receive = receive
        self.limit = limit
        self.data = bytearray(INITIAL_BYTES)
        self.start = 0
        self.end = 0

    def __len__(self) -> int:
        return self.end - self.start

    def fill(self, begun: bool = False) -> bool:
        """Receive once, waiting for it.

        Args:
            begun: Whether a message has begun although nothing of it is left in the buffer.

        Returns:
            False when the peer has closed its side.

        Raises:
            ConnectionClosedError: The buffer is full, or the connection closed in another way.
        """
        begun = begun or len(self) > 0
        if self.end == len(self.data):
            self._make_space()
        with memoryview(self.data) as view:
            received = self.receive(view[self.end :], begun)
        self.end += received
        return received > 0

    def _make_space(self) -> None:
        """Compact the buffer, or grow it where it is compact."""
        if self.start:
            size = len(self)
            self.data[:size] = self.data[self.start : self.end]
            self.start = 0
            self.end = size
        elif len(self.data) < self.limit:
            self.data.extend(bytes(min(len(self.data), self.limit - len(self.data))))
        else:
            raise ConnectionClosedError(
                CloseReason.GARBLED, f"over {self.limit} bytes in one message"
            )

    def line(self, max_bytes: int) -> bytes | None:
        """Take the next line, without its end; a bare LF ends one too.

        Returns:
            None while the line is incomplete.

        Raises:
            ConnectionClosedError: The line is longer than `max_bytes`.
        """
        at = self.data.find(b"\n", self.start, self.end)
        if (at < 0 and len(self) > max_bytes) or at - self.start > max_bytes:
            raise ConnectionClosedError(CloseReason.GARBLED, f"a line of over {max_bytes} bytes")
        if at < 0:
            return None
        text = bytes(self.data[self.start : at]).removesuffix(b"\r")
        self._consume(at + 1 - self.start)
        return text

    def until(self, mark: bytes) -> bytes | None:
        """Take everything up to and with `mark`; return None while that has not come."""
        at = self.data.find(mark, self.start, self.end)
        return None if at < 0 else self.take(at + len(mark) - self.start)

    def take(self, size: int) -> bytes | None:
        """Take exactly `size` bytes; return None while they are incomplete."""
        if len(self) < size:
            return None
        taken = bytes(self.data[self.start : self.start + size])
        self._consume(size)
        return taken

    def peek(self, max_bytes: int) -> bytes:
        """Return what is there, up to `max_bytes`, and leave it there."""
        return bytes(self.data[self.start : min(self.end, self.start + max_bytes)])

    def _consume(self, size: int) -> None:
        self.start += size
        if self.start == self.end:
            self.start = 0
            self.end = 0
            if len(self.data) > MAX_RETAINED_BYTES:
                self.data = bytearray(INITIAL_BYTES)
