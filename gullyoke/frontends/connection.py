"""One client connection: its state machine, and the one place that closes its socket.

A connection belongs to the thread that serves it. Other threads never close the socket: they ask
for its end by `close_idle` or `abort`, which act only in the states named there, under the
connection's lock. The owning thread finds the end at its next step and closes.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Collection
from enum import Enum
from typing import TYPE_CHECKING, Final

from gullyoke.runtime import clock
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError
from gullyoke.runtime.pending_request import PendingRequest
from gullyoke.runtime.sockets import discard_input, half_close, shutdown_both

if TYPE_CHECKING:
    from gullyoke.frontends.connections import ConnectionTable
    from gullyoke.frontends.listener import Listener

# Reasons after which the peer may have sent something that was not read, and is worth waiting for:
# closing over unread bytes resets the connection, and takes from the peer what it has yet to read.
LINGERING: Final = frozenset(
    {CloseReason.DECLARED, CloseReason.IDLE, CloseReason.LEAVING, CloseReason.GARBLED}
)


class State(Enum):
    """What a connection is doing."""

    IDLE = "idle"  # between two messages
    READING = "reading"  # a message has begun
    WAITING = "waiting"  # its request is in flight
    WRITING = "writing"  # its answer is being written
    CLOSING = "closing"  # its end is decided: whatever still comes is dropped


class Connection:
    """One client connection.

    Args:
        sock: Its socket.
        listener: The listener it came by.
        table: The table it is in, which lists the new, the idle and the closing connections.

    Attributes:
        state: What it is doing.
        state_since: Since when, in microseconds of the clock.
        opened_at: When it was accepted, in microseconds of the clock.
        request: The request on it; None between two.
        answered: Whether an answer was written to it.
        close_reason: Why it is closing; None until that is decided here.
    """

    def __init__(self, sock: socket.socket, listener: Listener, table: ConnectionTable) -> None:
        self.sock = sock
        self.listener = listener
        self.table = table
        self.lock = threading.Lock()  # over `state`, `state_since` and `close_reason`
        self.state = State.IDLE
        self.opened_at = self.state_since = clock.now()
        self.request: PendingRequest | None = None
        self.answered = False
        self.close_reason: CloseReason | None = None

    # Called by the owning thread.

    def become_idle(self) -> None:
        """Note that the next message is waited for.

        Raises:
            ConnectionClosedError: The connection is closing.
        """
        self._enter(State.IDLE)
        if self.answered:
            self.table.idle[self] = None

    def begin_message(self) -> None:
        """Note that the first byte of a message was read.

        Raises:
            ConnectionClosedError: It came after our half-close. Such a message cannot be answered,
                so nothing of it may be run.
        """
        self.table.idle.pop(self, None)
        try:
            self._enter(State.READING)
        except ConnectionClosedError:
            self.table.metrics.increment("messages.crossed")
            raise

    def begin_request(self, request: PendingRequest) -> None:
        """Note that the message is whole and its request is about to be submitted.

        Raises:
            ConnectionClosedError: As `begin_message` does.
        """
        self._enter(State.WAITING)
        self.request = request

    def write_answer(self, data: bytes) -> None:
        """Write a whole answer.

        Raises:
            ConnectionClosedError: The connection is closing.
            OSError: The connection broke.
        """
        self._enter(State.WRITING)
        self.sock.sendall(data)
        self.request = None
        self.answered = True
        self.table.unanswered.pop(self, None)

    def close(self, reason: CloseReason) -> None:
        """Half-close, read what still comes, close: by the owning thread, the only one that may."""
        with self.lock:
            self.state = State.CLOSING
            self.close_reason = reason
        if reason in LINGERING:
            half_close(self.sock)
            discard_input(self.sock)
        shutdown_both(self.sock)
        self.sock.close()

    def _enter(self, state: State) -> None:
        with self.lock:
            if self.close_reason is not None:
                raise ConnectionClosedError(self.close_reason)
            self.state = state
            self.state_since = clock.now()

    # Called by other threads.

    def close_idle(self, reason: CloseReason) -> bool:
        """Half-close it if it is idle and nothing of a next message has come.

        The peer sees the end and closes its side. A message that crosses the half-close on the way
        is not run: by the end the peer knows that it was not taken.

        Returns:
            Whether it was idle.
        """
        with self.lock:
            if self.state is not State.IDLE or self._readable():
                return False
            self._decide_to_close(reason)
            half_close(self.sock)
            return True

    def abort(self, reason: CloseReason, states: Collection[State], since: int) -> bool:
        """Shut both directions down if it is in one of these states since then.

        Returns:
            Whether it was.
        """
        with self.lock:
            if self.state not in states or self.state_since != since:
                return False
            if self.state is not State.CLOSING:
                self._decide_to_close(reason)
            shutdown_both(self.sock)
            return True

    def _decide_to_close(self, reason: CloseReason) -> None:
        self.state = State.CLOSING
        self.close_reason = reason
        self.state_since = clock.now()
        self.table.idle.pop(self, None)

    def _readable(self) -> bool:
        """Return whether something has come that its thread has not read yet, or its end."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True
