"""A client connection: its state machine, and the only place where its socket is closed.

A connection belongs to the thread that serves it. Other threads never close the socket. They call
`close_if_idle` or `abort`, which shut the socket down, under the connection's lock and only in
certain states. The owning thread notices this at its next read or write, and closes the socket.
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
from gullyoke.runtime.sockets import discard_input, half_close, is_broken, shutdown_both

if TYPE_CHECKING:
    from gullyoke.frontends.connections import ConnectionTable
    from gullyoke.frontends.listener import Listener

# Reasons after which unread bytes of the peer are discarded before the close. Closing a socket with
# unread bytes resets the connection, and the peer loses what it has not read yet.
LINGER_REASONS: Final = frozenset(
    {CloseReason.DECLARED, CloseReason.IDLE, CloseReason.LEAVING, CloseReason.GARBLED}
)


class State(Enum):
    """The state of a connection."""

    IDLE = "idle"  # between two messages
    READING = "reading"  # a message has begun
    WAITING = "waiting"  # the request is in flight
    WRITING = "writing"  # the answer is being written
    CLOSING = "closing"  # being closed; bytes that still arrive are discarded


class Connection:
    """A client connection.

    Args:
        sock: The socket of the connection.
        listener: The listener that accepted it.
        table: The connection table, which lists the new, the idle and the closing connections.

    Attributes:
        state: The current state.
        state_since: When it entered the state, in microseconds of the clock.
        opened_at: When it was accepted, in microseconds of the clock.
        request: The request in flight; None between two requests.
        answered: Whether an answer was written.
        close_reason: Why this server closes the connection; None before that decision.
    """

    def __init__(self, sock: socket.socket, listener: Listener, table: ConnectionTable) -> None:
        self.sock = sock
        self.listener = listener
        self.table = table
        self.lock = threading.Lock()  # guards `state`, `state_since` and `close_reason`
        self.state = State.IDLE
        self.opened_at = self.state_since = clock.now()
        self.request: PendingRequest | None = None
        self.answered = False
        self.close_reason: CloseReason | None = None

    # Called by the owning thread.

    def become_idle(self) -> None:
        """Enter the idle state, in which the next message is awaited.

        Raises:
            ConnectionClosedError: The connection is closing.
        """
        self._set_state(State.IDLE)
        if self.answered:
            self.table.idle[self] = None

    def begin_message(self) -> None:
        """Enter the reading state after the first byte of a message was read.

        Raises:
            ConnectionClosedError: The message arrived after this server's half-close. It cannot be
                answered, so it must not be run.
        """
        self.table.idle.pop(self, None)
        try:
            self._set_state(State.READING)
        except ConnectionClosedError:
            self.table.metrics.increment("messages.crossed")
            raise
        if self.answered:
            self.table.resumed[self] = None

    def begin_request(self, request: PendingRequest) -> None:
        """Enter the waiting state before the request of a complete message is submitted.

        Guards against runs for a client that has left: what it had sent before can still be read.

        Raises:
            ConnectionClosedError: The connection is closing, or the client has reset it; the
                request must not be run.
        """
        self._set_state(State.WAITING)
        self.table.resumed.pop(self, None)
        if is_broken(self.sock):
            raise ConnectionClosedError(CloseReason.RESET, "reset before its request was begun")
        self.request = request

    def write_answer(self, data: bytes) -> None:
        """Write a complete answer.

        Raises:
            ConnectionClosedError: The connection is closing.
            OSError: The connection failed.
        """
        self._set_state(State.WRITING)
        self.table.resumed.pop(self, None)
        self.sock.sendall(data)
        self.request = None
        self.answered = True
        self.table.unanswered.pop(self, None)

    def close(self, reason: CloseReason) -> None:
        """Close the connection; called by the owning thread only.

        After the reasons in `LINGER_REASONS` the socket is half-closed first, and the peer's
        remaining bytes are discarded.
        """
        with self.lock:
            self.state = State.CLOSING
            self.close_reason = reason
        if reason in LINGER_REASONS:
            half_close(self.sock)
            discard_input(self.sock)
        shutdown_both(self.sock)
        self.sock.close()

    def _set_state(self, state: State) -> None:
        with self.lock:
            if self.close_reason is not None:
                raise ConnectionClosedError(self.close_reason)
            self.state = state
            self.state_since = clock.now()

    # Called by other threads.

    def close_if_idle(self, reason: CloseReason) -> bool:
        """Half-close the connection if it is idle and no byte of a next message has arrived.

        The peer then closes its side. A message that the peer sends before it sees the half-close
        is not run, and the peer can infer this from the close.

        Returns:
            Whether the connection was idle and is now closing.
        """
        with self.lock:
            if self.state is not State.IDLE or self._readable():
                return False
            self._begin_close(reason)
            half_close(self.sock)
            return True

    def abort_if_quiet(self, reason: CloseReason, state: State, since: int) -> bool:
        """Shut down both directions if the connection is in a state and nothing is unread on it.

        Unread bytes wait for the owning thread, so the delay may be this server's.

        Args:
            reason: Why it is closed.
            state: The state in which it may be closed.
            since: As for `abort`.

        Returns:
            Whether it was shut down.
        """
        with self.lock:
            if self.state is not state or self.state_since != since or self._readable():
                return False
            self._begin_close(reason)
            shutdown_both(self.sock)
            return True

    def abort(self, reason: CloseReason, states: Collection[State], since: int) -> bool:
        """Shut down both directions if the connection is still in a given state.

        Args:
            reason: Why it is closed.
            states: The states in which it may be closed.
            since: The `state_since` that the caller has seen. If it differs, the connection has
                made progress and is left open.

        Returns:
            Whether it was shut down.
        """
        with self.lock:
            if self.state not in states or self.state_since != since:
                return False
            if self.state is not State.CLOSING:
                self._begin_close(reason)
            shutdown_both(self.sock)
            return True

    def _begin_close(self, reason: CloseReason) -> None:
        self.state = State.CLOSING
        self.close_reason = reason
        self.state_since = clock.now()
        self.table.idle.pop(self, None)
        self.table.resumed.pop(self, None)

    def _readable(self) -> bool:
        """Return whether there are unread bytes, or the connection has ended."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True
