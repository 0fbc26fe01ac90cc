"""The receive buffer of a connection, which grows as needed up to a limit."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError

INITIAL_BYTES: Final = 2048
MAX_RETAINED_BYTES: Final = 4 * INITIAL_BYTES  # a larger buffer is freed once it is empty


class Buffer:
    """Bytes that were received and not yet consumed, at `data[start:end]`.

    Args:
        receive: Receives into a view and returns the number of bytes, 0 if the peer has closed its
            side. The second argument of `receive` says whether a message has begun. `receive`
            raises `ConnectionClosedError` if the connection fails.
        limit: The maximum number of unconsumed bytes.
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
        """Receive once, blocking until bytes arrive.

        Args:
            begun: Whether a message has begun although its first bytes are consumed already.

        Returns:
            False if the peer has closed its side.

        Raises:
            ConnectionClosedError: The buffer is full, or the connection failed.
        """
        begun = begun or len(self) > 0
        if self.end == len(self.data):
            self._make_space()
        with memoryview(self.data) as view:
            received = self.receive(view[self.end :], begun)
        self.end += received
        return received > 0

    def _make_space(self) -> None:
        """Move the unconsumed bytes to the front, or grow the buffer if they are there already."""
        if self.start:
            size = len(self)
            self.data[:size] = self.data[self.start : self.end]
            self.start = 0
            self.end = size
        elif len(self.data) < self.limit:
            self.data.extend(bytes(min(len(self.data), self.limit - len(self.data))))
        else:
            raise ConnectionClosedError(CloseReason.GARBLED, f"message exceeds {self.limit} bytes")

    def take_line(self, max_bytes: int) -> bytes | None:
        """Consume the next line and return it without its line end, CR LF or a bare LF.

        Returns:
            The line; None while it is incomplete.

        Raises:
            ConnectionClosedError: The line is longer than `max_bytes`.
        """
        at = self.data.find(b"\n", self.start, self.end)
        if (at < 0 and len(self) > max_bytes) or at - self.start > max_bytes:
            raise ConnectionClosedError(CloseReason.GARBLED, f"line exceeds {max_bytes} bytes")
        if at < 0:
            return None
        text = bytes(self.data[self.start : at]).removesuffix(b"\r")
        self._consume(at + 1 - self.start)
        return text

    def take_until(self, mark: bytes) -> bytes | None:
        """Consume everything up to the end of `mark`; return None while `mark` is missing."""
        at = self.data.find(mark, self.start, self.end)
        return None if at < 0 else self.take(at + len(mark) - self.start)

    def take(self, size: int) -> bytes | None:
        """Consume exactly `size` bytes and return them; return None while there are fewer."""
        if len(self) < size:
            return None
        consumed = bytes(self.data[self.start : self.start + size])
        self._consume(size)
        return consumed

    def peek(self, max_bytes: int) -> bytes:
        """Return up to `max_bytes` unconsumed bytes without consuming them."""
        return bytes(self.data[self.start : min(self.end, self.start + max_bytes)])

    def _consume(self, size: int) -> None:
        self.start += size
        if self.start == self.end:
            self.start = 0
            self.end = 0
            if len(self.data) > MAX_RETAINED_BYTES:
                self.data = bytearray(INITIAL_BYTES)
