"""The periodic sweep, which closes silent, stalled and idle connections and finds broken ones."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING, Final

from gullyoke.admission.interface import RequestEvent
from gullyoke.frontends.connection import Connection, State
from gullyoke.runtime import clock
from gullyoke.runtime.close_reasons import CloseReason
from gullyoke.runtime.pending_request import PendingRequest
from gullyoke.runtime.sockets import BROKEN_EVENTS

if TYPE_CHECKING:
    from gullyoke.frontends.connections import ConnectionTable

FIRST_MESSAGE_TIMEOUT_US: Final = 2_500_000  # from the accept to the complete first message
STALL_TIMEOUT_US: Final = 5_000_000  # until a later message is complete, or an answer is written
LINGER_TIMEOUT_US: Final = 300_000  # until the peer closes its side after this server's half-close


class ConnectionSweep:
    """Closes connections that make no progress; runs on the timer's thread.

    Args:
        table: The connection table.
    """

    def __init__(self, table: ConnectionTable) -> None:
        self.table = table

    def run(self) -> None:
        """Close overdue connections, and report disconnected clients to the controller."""
        for connection in list(self.table.open):
            if self._close_overdue(connection, clock.now()):
                self.table.mark_closing(connection)
        self._report_broken([c for c in list(self.table.open) if c.state is State.WAITING])

    def _close_overdue(self, connection: Connection, now: int) -> bool:
        """Close a connection that has passed a timeout; return whether it begins to close now."""
        since = connection.state_since
        state = connection.state
        spent = now - since
        if state is State.CLOSING:
            if connection in self.table.closing and spent > LINGER_TIMEOUT_US:
                connection.abort(CloseReason.IDLE, {state}, since)  # the peer keeps its side open
            return False
        if state in (State.READING, State.WRITING) and spent > STALL_TIMEOUT_US:
            return connection.abort(CloseReason.STALLED, {state}, since)
        no_message_yet = state in (State.IDLE, State.READING) and not connection.answered
        if no_message_yet and now - connection.opened_at > FIRST_MESSAGE_TIMEOUT_US:
            reason = CloseReason.SILENT if state is State.IDLE else CloseReason.STALLED
            return connection.abort(reason, {state}, since)
        if self.table.lifecycle.closing:
            return connection.close_if_idle(CloseReason.LEAVING)
        idle_timeout_us = self.table.lifecycle.idle_timeout_us
        return 0 < idle_timeout_us < spent and connection.close_if_idle(CloseReason.IDLE)

    def _report_broken(self, waiting: list[Connection]) -> None:
        """Report requests whose connection is broken, so that no answer could be written.

        A peer that has closed only its sending direction can still read, and gets its answer.
        """
        poller = select.poll()
        by_descriptor: dict[int, tuple[Connection, PendingRequest | None]] = {}
        for connection in waiting:
            descriptor = connection.sock.fileno()
            if descriptor >= 0:
                poller.register(descriptor, 0)
                by_descriptor[descriptor] = connection, connection.request
        for descriptor, flags in poller.poll(0):
            connection, request = by_descriptor[descriptor]
            if not flags & BROKEN_EVENTS:
                continue
            # Another connection may have the descriptor by now.
            if connection.sock.fileno() != descriptor:
                continue
            if request is not None and not request.client_disconnected:
                self.table.metrics.increment("requests.client_disconnected")
                self.table.dispatcher.notify(request, RequestEvent.CLIENT_DISCONNECTED)
