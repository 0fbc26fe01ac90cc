"""The connection table: accepts client connections, serves each on a thread, and closes them."""

from __future__ import annotations

import socket
import threading
from typing import Final

from gullyoke.codec.buffer import Buffer
from gullyoke.frontends.connection import Connection
from gullyoke.frontends.connection_limits import ConnectionLimits
from gullyoke.frontends.connection_sweep import ConnectionSweep
from gullyoke.frontends.eviction import MAX_CLOSING, Evictor
from gullyoke.frontends.listener import Frontend, Listener
from gullyoke.runtime import clock
from gullyoke.runtime.close_reasons import (
    CloseReason,
    PeerKind,
    event_for_closed,
    serve_connection,
)
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.lifecycle import Lifecycle
from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.messages import Answer, BadRequestError
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.sockets import Receiver
from gullyoke.runtime.worker_pool import WorkerPool

ROOM_POLL_S: Final = 0.02  # interval between checks for connections that have become overdue
#: For how long after a wait for room other new connections may have waited behind it, unaccepted,
#: and how long they are taken to have waited.
WAIT_AFTERMATH_US: Final = 1_000_000
ASSUMED_WAIT_US: Final = 500_000
LOGGED_REASONS: Final = frozenset({CloseReason.GARBLED, CloseReason.STALLED, CloseReason.CUT})


class ConnectionTable:
    """All client connections of all listeners.

    The dictionaries keep connections in the order of insertion. A connection is removed from all of
    them no later than when it is closed.

    Args:
        limits: The limits for the number of connections.
        dispatcher: Receives the events of requests whose client disconnected.
        lifecycle: Has the server's idle timeout, and whether the server is closing.
        metrics: The server's counters.

    Attributes:
        open: The connections that hold a descriptor.
        unanswered: The connections without an answer so far, oldest first.
        resumed: The connections that were answered and have begun another message.
        idle: The connections that were answered and await a message, longest idle first.
        closing: The connections that this server is closing and the peer has not closed yet.
        listeners: The listeners that accept connections.
    """

    def __init__(
        self,
        limits: ConnectionLimits,
        dispatcher: Dispatcher,
        lifecycle: Lifecycle,
        metrics: Metrics,
    ) -> None:
        self.limits = limits
        self.dispatcher = dispatcher
        self.lifecycle = lifecycle
        self.metrics = metrics
        self.open: dict[Connection, None] = {}
        self.unanswered: dict[Connection, None] = {}
        self.resumed: dict[Connection, None] = {}
        self.idle: dict[Connection, None] = {}
        self.closing: dict[Connection, None] = {}
        self.listeners: list[Listener] = []
        self.workers: WorkerPool[Connection] = WorkerPool(self._serve)
        self.add_lock = threading.Lock()  # all listeners together add one connection at a time
        self.descriptor_freed = threading.Condition(threading.Lock())
        self._evictor = Evictor(self)
        self._sweep = ConnectionSweep(self)

    def listen(self, address: tuple[str, int] | str, frontend: Frontend) -> None:
        """Listen on an address for a front end; connections are accepted from `start` on."""
        self.listeners.append(Listener(address, frontend, self))

    def start(self) -> None:
        """Start to accept connections."""
        for listener in self.listeners:
            listener.start()

    def stop_accepting(self) -> None:
        """Accept the connections in the backlogs and no others, and close the idle connections."""
        self.lifecycle.closing = True
        for listener in self.listeners:
            listener.stop()
        with self.descriptor_freed:
            self.descriptor_freed.notify_all()
        self.sweep()

    def sweep(self) -> None:
        """Close silent, stalled and idle connections, and report broken ones."""
        self._sweep.run()

    # Called by the accepting threads.

    def add(self, sock: socket.socket, listener: Listener) -> None:
        """Serve an accepted connection as soon as the limit leaves a place for it.

        Until then later connections wait in the listener's queue. At the end of the drain nothing
        waits any more: a connection without a place is closed.
        """
        began_at = clock.now()
        if not self._add_if_room(sock, listener):
            self.metrics.increment("connections.waited")
            listener.waited_until = began_at
            while not self._add_if_room(sock, listener):
                with self.descriptor_freed:
                    self.descriptor_freed.wait(ROOM_POLL_S)
                listener.waited_until = clock.now()
            log.warning(
                "connection waited for room",
                extra=log_fields(
                    front=listener.frontend.name,
                    wait_ms=(listener.waited_until - began_at) // 1000,
                ),
            )

    def _add_if_room(self, sock: socket.socket, listener: Listener) -> bool:
        """Serve an accepted connection; return False if it has to wait.

        Closing connections hold descriptors too. New and closing ones together must not use up the
        descriptors that the engine, the database and the service registry need.
        """
        with self.add_lock:
            has_room = (
                self._evictor.make_room(listener)
                and len(self.open) < self.limits.max_connections + MAX_CLOSING
            )
            if not (has_room or self.lifecycle.closing):
                return False
            connection = self._register(sock, listener)
            try:
                if sock.family != socket.AF_UNIX:
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                if has_room:
                    self._assign(connection)
                else:
                    self._close(connection, CloseReason.CROWDED, "")
            except (OSError, RuntimeError) as error:  # closed already, or no thread can be started
                log.warning("accepted connection is not served", extra=log_fields(why=error))
                self._close(connection, CloseReason.FAULT, str(error))
            return True

    def _register(self, sock: socket.socket, listener: Listener) -> Connection:
        connection = Connection(sock, listener, self)
        if connection.opened_at - listener.waited_until < WAIT_AFTERMATH_US:
            connection.opened_at -= ASSUMED_WAIT_US
        self.metrics.increment("connections.opened")
        self.open[connection] = None
        self.unanswered[connection] = None
        listener.connections[connection] = None
        return connection

    def _assign(self, connection: Connection) -> None:
        """Assign a connection to an idle worker, or to a new one if none is idle."""
        if self.workers.assign(connection):
            return
        threading.Thread(
            target=self.workers.run_worker, args=(connection,), name="gateway", daemon=True
        ).start()
        self.metrics.increment("threads.gateway")

    # Called by the thread that serves a connection.

    def _serve(self, connection: Connection) -> None:
        """Serve a connection until it closes."""
        frontend = connection.listener.frontend

        def serve() -> CloseReason:
            buffer = Buffer(Receiver(connection.sock), frontend.max_message_bytes)
            return frontend.serve(connection, buffer)

        closed = serve_connection(serve, lambda: self.metrics.record_internal_error(frontend.name))
        self._close(connection, connection.close_reason or closed.reason, closed.why)

    def answer_bad_request(self, connection: Connection, error: BadRequestError) -> Answer:
        """Count and log an invalid request; return the answer to it."""
        self.metrics.increment(f"bad_requests.{error.status}")
        log.warning(
            "bad request",
            extra=log_fields(
                status=error.status, why=error, front=connection.listener.frontend.name
            ),
        )
        return Answer(error.status)

    def _close(self, connection: Connection, reason: CloseReason, why: str) -> None:
        """Close a connection that is no longer served; all connections are closed here."""
        frontend = connection.listener.frontend.name
        self.metrics.increment(f"ends.{frontend}.{reason.value}")
        if reason in LOGGED_REASONS:
            log.warning(
                "client connection closed",
                extra=log_fields(end=reason.value, why=why, front=frontend),
            )
        event = event_for_closed(PeerKind.GATEWAY, reason)
        if connection.request is not None and event is not None:
            self.dispatcher.notify(connection.request, event)
        self.unanswered.pop(connection, None)
        self.resumed.pop(connection, None)
        self.idle.pop(connection, None)
        try:
            # May take a while; until then the connection counts towards the limit.
            connection.close(reason)
        finally:
            connection.listener.connections.pop(connection, None)
            self.open.pop(connection, None)
            self.closing.pop(connection, None)
            with self.descriptor_freed:
                self.descriptor_freed.notify_all()

    # Called by the thread that has decided to close a connection.

    def mark_closing(self, connection: Connection) -> None:
        """Move a connection to `closing`; it no longer counts towards its listener's limit."""
        connection.listener.connections.pop(connection, None)
        self.closing[connection] = None
        if connection not in self.open:  # the connection's own thread has closed it
            self.closing.pop(connection, None)
