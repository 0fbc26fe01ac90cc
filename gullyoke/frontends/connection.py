"""One client connection: its state machine, and the one place that closes its socket.

A connection belongs to the thread that serves it. Other threads never close the socket: they ask
for the end by `close_idle` or `abort`, which act only in the states named there, under the
connection's lock. The owner finds the end at its next step and closes.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Collection
from enum import Enum

from gullyoke.runtime import clock
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError
from gullyoke.runtime.pending_request import PendingRequest
from gullyoke.runtime.sockets import discard_input, half_close, shutdown_both

# Ends after which the peer may have sent something that we did not read, and is worth waiting for:
# closing over unread bytes resets the connection, and takes from the peer what it has yet to read.
LINGERING = frozenset(
    {CloseReason.DECLARED, CloseReason.IDLE, CloseReason.LEAVING, CloseReason.GARBLED}
)


class State(Enum):
    """What a connection is doing."""

    IDLE = "idle"  # between two messages
    READING = "reading"  # a message has begun
    WAITING = "waiting"  # its request is in hand
    WRITING = "writing"  # its answer is being written
    CLOSING = "closing"  # its end is decided: whatever still comes is dropped


class Connection:
    """One connection: its state, since when (microseconds), and the request on it.

    `table` is told of what makes a connection fresh, idle or closing (`ConnectionTable`);
    `listener` is where it came in. `end` is None until the end is decided here.
    """

    def __init__(self, sock: socket.socket, listener, table) -> None:
        self.sock, self.listener, self.table = sock, listener, table
        self.lock = threading.Lock()  # over `state`, `since` and `end`
        self.state = State.IDLE
        self.opened = self.since = clock.now()
        self.request: PendingRequest | None = None
        self.served = False  # whether it has had an answer
        self.end: CloseReason | None = None

    # By its own thread.

    def rest(self) -> None:
        """Wait for the next message. Raises `Ended` where the end has been decided."""
        self._enter(State.IDLE)
        if self.served:
            self.table.idle[self] = None

    def begin_message(self) -> None:
        """The first byte of a message has been read.

        Raises `Ended` where it came after our half-close: such a message can't be answered, so
        nothing of it may be run.
        """
        self.table.idle.pop(self, None)
        try:
            self._enter(State.READING)
        except ConnectionClosedError:
            self.table.metrics.increment("messages.crossed")
            raise

    def begin_request(self, request: PendingRequest) -> None:
        """The message is whole and is about to be handed on.

        Raises `Ended` as `begin_message` does.
        """
        self._enter(State.WAITING)
        self.request = request

    def answer(self, data: bytes) -> None:
        """Write a whole answer."""
        self._enter(State.WRITING)
        self.sock.sendall(data)
        self.request, self.served = None, True
        self.table.fresh.pop(self, None)

    def close(self, end: CloseReason) -> None:
        """Close the socket, by the one thread that may.

        Half-close, take what is on its way, close.
        """
        with self.lock:
            self.state, self.end = State.CLOSING, end
        if end in LINGERING:
            half_close(self.sock)
            discard_input(self.sock)
        shutdown_both(self.sock)
        self.sock.close()

    def _enter(self, state: State) -> None:
        with self.lock:
            if self.end is not None:
                raise ConnectionClosedError(self.end)
            self.state, self.since = state, clock.now()

    # By other threads.

    def close_idle(self, end: CloseReason) -> bool:
        """Half-close it if it is idle and nothing of a next message has come.

        Whether that was so.

        The peer sees the end and closes its side. A message that crosses ours on the way is not
        handed on: the peer knows by the end that it was not taken.
        """
        with self.lock:
            if self.state is not State.IDLE or self._readable():
                return False
            self._decide(end)
            half_close(self.sock)
            return True

    def abort(self, end: CloseReason, states: Collection[State], since: int) -> bool:
        """End both directions at once if it is in one of these states since then.

        Whether it was.
        """
        with self.lock:
            if self.state not in states or self.since != since:
                return False
            if self.state is not State.CLOSING:
                self._decide(end)
            shutdown_both(self.sock)
            return True

    def _decide(self, end: CloseReason) -> None:
        self.state, self.end, self.since = State.CLOSING, end, clock.now()
        self.table.idle.pop(self, None)

    def _readable(self) -> bool:
        """Whether something has come that its thread has not read yet, an end included."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True
