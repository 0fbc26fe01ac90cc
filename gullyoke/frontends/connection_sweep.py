"""The regular look at all connections: silent, stalled and idle ones, and those that are broken."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING, Final

from gullyoke.admission.interface import RequestEvent
from gullyoke.frontends.connection import Connection, State
from gullyoke.runtime import clock
from gullyoke.runtime.close_reasons import CloseReason
from gullyoke.runtime.pending_request import PendingRequest

if TYPE_CHECKING:
    from gullyoke.frontends.connections import ConnectionTable

FIRST_MESSAGE_US: Final = 2_500_000  # from connecting to a whole first message
STALL_US: Final = 5_000_000  # for a later message to come whole, or an answer to be taken
LINGER_US: Final = 300_000  # for a peer to close its side after our half-close
HUNG_UP: Final = select.POLLERR | select.POLLHUP


class ConnectionSweep:
    """Ends what peers hold up, from the timer's thread.

    Args:
        table: The connections.
    """

    def __init__(self, table: ConnectionTable) -> None:
        self.table = table

    def run(self) -> None:
        """Close overdue connections, and tell the controller of clients that are gone."""
        for connection in list(self.table.open):
            if self._close_overdue(connection, clock.now()):
                self.table.on_closing(connection)
        self._notice_broken([c for c in list(self.table.open) if c.state is State.WAITING])

    def _close_overdue(self, connection: Connection, now: int) -> bool:
        """Close a connection whose time is up; return whether that was decided here and now."""
        since = connection.state_since
        state = connection.state
        spent = now - since
        if state is State.CLOSING:
            if connection in self.table.closing and spent > LINGER_US:
                connection.abort(CloseReason.IDLE, {state}, since)  # its peer keeps its side open
            return False
        if state in (State.READING, State.WRITING) and spent > STALL_US:
            return connection.abort(CloseReason.STALLED, {state}, since)
        no_message_yet = state in (State.IDLE, State.READING) and not connection.answered
        if no_message_yet and now - connection.opened_at > FIRST_MESSAGE_US:
            reason = CloseReason.SILENT if state is State.IDLE else CloseReason.STALLED
            return connection.abort(reason, {state}, since)
        if self.table.lifecycle.closing:
            return connection.close_idle(CloseReason.LEAVING)
        idle_timeout_us = self.table.lifecycle.idle_timeout_us
        return 0 < idle_timeout_us < spent and connection.close_idle(CloseReason.IDLE)

    def _notice_broken(self, waiting: list[Connection]) -> None:
        """Tell the controller of requests whose connection is broken: no answer could be written.

        A peer that has closed its own direction only may still read, and keeps its answer.
        """
        poller = select.poll()
        by_descriptor: dict[int, tuple[Connection, PendingRequest | None]] = {}
        for connection in waiting:
            descriptor = connection.sock.fileno()
            if descriptor >= 0:
                poller.register(descriptor, 0)
                by_descriptor[descriptor] = connection, connection.request
        for descriptor, seen in poller.poll(0):
            connection, request = by_descriptor[descriptor]
            if not seen & HUNG_UP:
                continue
            if connection.sock.fileno() != descriptor:  # it may be another connection's by now
                continue
            if request is not None and not request.client_disconnected:
                self.table.metrics.increment("requests.client_disconnected")
                self.table.dispatcher.notify(request, RequestEvent.CLIENT_DISCONNECTED)
