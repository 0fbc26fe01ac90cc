"""Which connection is closed for a new one where there are as many as there may be."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gullyoke.frontends.connection import Connection, State
from gullyoke.runtime import clock
from gullyoke.runtime.close_reasons import CloseReason

if TYPE_CHECKING:
    from gullyoke.frontends.connections import ConnectionTable
    from gullyoke.frontends.listener import Listener

FIRST_BYTE_US: Final = 50_000  # at the limit: for a new connection's first byte
REST_OF_MESSAGE_US: Final = 500_000  # and for the rest of its first message
MAX_CLOSING: Final = 8  # connections that hold a descriptor beyond the limit while they close


class Evictor:
    """Makes place for new connections.

    Guards against clients that fill the table and send nothing, or half of something: they are
    closed first, the oldest before the rest, then the connection longest idle. That may cost
    gateways that connect well ahead of their first request.

    Args:
        table: The connections.
    """

    def __init__(self, table: ConnectionTable) -> None:
        self.table = table

    def make_place(self, listener: Listener) -> bool:
        """Close a connection if there are too many with a listener's new one.

        Returns:
            Whether there is place for the new one now.
        """
        table = self.table
        if len(table.listeners) < 2 and len(listener.connections) <= table.limits.max_connections:
            return True
        counts = {each: len(each.connections) for each in table.listeners}
        if table.limits.fits(listener, counts):
            return True
        return self._close_silent(listener, counts) or self._close_idle(listener, counts)

    def _close_silent(self, newcomer: Listener, counts: dict[Listener, int]) -> bool:
        """Close the oldest that has sent nothing, or half of something; return if there was one."""
        now = clock.now()
        for connection in list(self.table.unanswered):
            if now - connection.opened_at <= FIRST_BYTE_US:
                break  # later ones are younger: a burst costs no look at each
            since = connection.state_since
            states = _overdue_states(now - since)
            if not self.table.limits.may_evict(connection.listener, newcomer, counts):
                continue
            if connection.abort(CloseReason.SILENT, states, since):
                self.table.on_closing(connection)
                return True
        return False

    def _close_idle(self, newcomer: Listener, counts: dict[Listener, int]) -> bool:
        """Close the connection longest idle; return whether there was one."""
        for connection in list(self.table.idle):
            if not self.table.limits.may_evict(connection.listener, newcomer, counts):
                continue
            if connection.close_idle(CloseReason.IDLE):
                self.table.on_closing(connection)
                self._abort_longest_closing()
                return True
        return False

    def _abort_longest_closing(self) -> None:
        """Where too many wait for their peers to close, abort the one that has waited longest."""
        if len(self.table.closing) > MAX_CLOSING:
            oldest: Connection = next(iter(self.table.closing))
            oldest.abort(CloseReason.IDLE, {State.CLOSING}, oldest.state_since)


def _overdue_states(spent_us: int) -> set[State]:
    """Return the states in which an unanswered connection is overdue after so long in them."""
    states = set()
    if spent_us > FIRST_BYTE_US:
        states.add(State.IDLE)
    if spent_us > REST_OF_MESSAGE_US:
        states.add(State.READING)
    return states
