"""Makes room for a new connection when the connection limit is reached."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from enum import Enum
from typing import TYPE_CHECKING, Final

from gullyoke.frontends.connection import Connection, State
from gullyoke.runtime import clock
from gullyoke.runtime.close_reasons import CloseReason
from gullyoke.runtime.logs import log, log_fields

if TYPE_CHECKING:
    from gullyoke.frontends.connections import ConnectionTable
    from gullyoke.frontends.listener import Listener

# How long a connection may take for a message while others wait for room.
FIRST_BYTE_TIMEOUT_US: Final = 50_000  # for the first byte of its first message
REST_OF_MESSAGE_TIMEOUT_US: Final = 250_000  # for the rest of any message
MAX_CLOSING: Final = 8  # closing connections that may hold a descriptor beyond the limit
INCOMPLETE: Final = frozenset({State.IDLE, State.READING})  # before a first message is complete


class EvictedState(Enum):
    """The state of a connection that is closed for room; the value is used in logs and counters."""

    SILENT = "silent"  # no byte has come
    READING = "reading"  # its first message is not complete
    READING_AGAIN = "reading_again"  # it was answered, and a later message is not complete
    IDLE = "idle"  # it was answered, and nothing has come since


class Evictor:
    """Closes connections to make room for new ones.

    Guards against clients that fill the table and send nothing or incomplete messages: their
    connections are closed first, the oldest before the others, and until they are overdue a new
    connection waits. A connection that has brought whole requests is closed only if no connection
    without one could be: first those that have begun a message and do not end it, then the one
    that has been idle longest. A request in flight is never given up for a new connection.

    Args:
        table: The connection table.
    """

    def __init__(self, table: ConnectionTable) -> None:
        self.table = table

    def make_room(self, listener: Listener) -> bool:
        """Close connections until a new one of a listener fits; return whether it does now."""
        while not self._fits(listener):
            if not self._close_one(listener):
                return False
        return True

    def _fits(self, listener: Listener) -> bool:
        return self.table.limits.fits(listener, self._counts(listener))

    def _counts(self, newcomer: Listener) -> dict[Listener, int]:
        """Return how many connections each listener would have with the new one."""
        return {each: len(each.connections) + (each is newcomer) for each in self.table.listeners}

    def _close_one(self, newcomer: Listener) -> bool:
        """Close the connection that goes first; return False if the new one has to wait."""
        counts = self._counts(newcomer)
        unanswered = self._evictable(self.table.unanswered, newcomer, counts)
        if self._close_overdue(unanswered):
            return True
        if any(connection.state in INCOMPLETE for connection in unanswered):
            return False
        resumed = self._evictable(self.table.resumed, newcomer, counts)
        if self._close_overdue(resumed):
            return True
        return self._close_idle(self._evictable(self.table.idle, newcomer, counts))

    def _evictable(
        self,
        connections: Collection[Connection],
        newcomer: Listener,
        counts: dict[Listener, int],
    ) -> list[Connection]:
        """Return the connections that may be closed for one of the listener `newcomer`."""
        may_evict = self.table.limits.may_evict
        return [each for each in list(connections) if may_evict(each.listener, newcomer, counts)]

    def _close_overdue(self, connections: Iterable[Connection]) -> bool:
        """Close the first connection that is overdue with its message; return whether one was."""
        now = clock.now()
        for connection in connections:
            state = connection.state
            since = connection.state_since
            if not _is_overdue(state, now - since):
                continue
            if connection.abort_if_quiet(CloseReason.SILENT, state, since):
                self._record(connection, _evicted_state(connection, state))
                return True
        return False

    def _close_idle(self, connections: Iterable[Connection]) -> bool:
        """Close the connection that is longest idle; return whether there was one."""
        for connection in connections:
            if connection.close_if_idle(CloseReason.IDLE):
                self._record(connection, EvictedState.IDLE)
                self._abort_longest_closing()
                return True
        return False

    def _record(self, connection: Connection, state: EvictedState) -> None:
        self.table.mark_closing(connection)
        self.table.metrics.increment(f"connections.evicted_{state.value}")
        log.warning(
            "connection closed for room",
            extra=log_fields(state=state.value, front=connection.listener.frontend.name),
        )

    def _abort_longest_closing(self) -> None:
        """If too many connections wait for their peers to close, abort the one waiting longest."""
        if len(self.table.closing) > MAX_CLOSING:
            oldest: Connection = next(iter(self.table.closing))
            oldest.abort(CloseReason.IDLE, {State.CLOSING}, oldest.state_since)


def _is_overdue(state: State, spent_us: int) -> bool:
    """Return whether the next message on a connection is overdue after `spent_us` in a state."""
    if state is State.IDLE:
        return spent_us > FIRST_BYTE_TIMEOUT_US
    return state is State.READING and spent_us > REST_OF_MESSAGE_TIMEOUT_US


def _evicted_state(connection: Connection, state: State) -> EvictedState:
    if state is State.IDLE:
        return EvictedState.SILENT
    return EvictedState.READING_AGAIN if connection.answered else EvictedState.READING
