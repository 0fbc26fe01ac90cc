"""Chooses the connection that is closed for a new one when the connection limit is reached."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gullyoke.frontends.connection import Connection, State
from gullyoke.runtime import clock
from gullyoke.runtime.close_reasons import CloseReason

if TYPE_CHECKING:
    from gullyoke.frontends.connections import ConnectionTable
    from gullyoke.frontends.listener import Listener

# Grace periods of a new connection while the limit is reached.
FIRST_BYTE_TIMEOUT_US: Final = 50_000  # for the first byte
REST_OF_MESSAGE_TIMEOUT_US: Final = 500_000  # for the rest of the first message
MAX_CLOSING: Final = 8  # closing connections that may hold a descriptor beyond the limit


class Evictor:
    """Closes connections to make place for new ones.

    Guards against clients that fill the table and send nothing or an incomplete message: their
    connections are closed first, starting with the oldest. If there are none, the connection that
    has been idle longest is closed. This can close connections of gateways that connect long before
    they send their first request.

    Args:
        table: The connection table.
    """

    def __init__(self, table: ConnectionTable) -> None:
        self.table = table

    def evict_if_full(self, listener: Listener) -> bool:
        """Close a connection if a new connection of a listener exceeds the limit.

        Returns:
            Whether the new connection is within the limit now.
        """
        table = self.table
        if len(table.listeners) < 2 and len(listener.connections) <= table.limits.max_connections:
            return True
        counts = {each: len(each.connections) for each in table.listeners}
        if table.limits.fits(listener, counts):
            return True
        return self._close_silent(listener, counts) or self._close_idle(listener, counts)

    def _close_silent(self, newcomer: Listener, counts: dict[Listener, int]) -> bool:
        """Close the oldest overdue connection without an answer; return whether there was one."""
        now = clock.now()
        for connection in list(self.table.unanswered):
            if now - connection.opened_at <= FIRST_BYTE_TIMEOUT_US:
                break  # the remaining ones are younger and need no check
            since = connection.state_since
            states = _overdue_states(now - since)
            if not self.table.limits.may_evict(connection.listener, newcomer, counts):
                continue
            if connection.abort(CloseReason.SILENT, states, since):
                self.table.mark_closing(connection)
                return True
        return False

    def _close_idle(self, newcomer: Listener, counts: dict[Listener, int]) -> bool:
        """Close the connection that is longest idle; return whether there was one."""
        for connection in list(self.table.idle):
            if not self.table.limits.may_evict(connection.listener, newcomer, counts):
                continue
            if connection.close_if_idle(CloseReason.IDLE):
                self.table.mark_closing(connection)
                self._abort_longest_closing()
                return True
        return False

    def _abort_longest_closing(self) -> None:
        """If too many connections wait for their peers to close, abort the one waiting longest."""
        if len(self.table.closing) > MAX_CLOSING:
            oldest: Connection = next(iter(self.table.closing))
            oldest.abort(CloseReason.IDLE, {State.CLOSING}, oldest.state_since)


def _overdue_states(spent_us: int) -> set[State]:
    """Return the states in which an unanswered connection is overdue after `spent_us` in them."""
    states = set()
    if spent_us > FIRST_BYTE_TIMEOUT_US:
        states.add(State.IDLE)
    if spent_us > REST_OF_MESSAGE_TIMEOUT_US:
        states.add(State.READING)
    return states
