"""The client of the dependency: a small pool of connections with one call at a time on each."""

from __future__ import annotations

import queue
import threading
from collections import deque
from logging import DEBUG, WARNING
from typing import Final

from gullyoke.admission.interface import RequestEvent
from gullyoke.codec import lines
from gullyoke.codec.buffer import Buffer
from gullyoke.dependencies import DependencyListener
from gullyoke.dependencies.call import DependencyCall
from gullyoke.dependencies.connection import DependencyConnection
from gullyoke.dependencies.reply import DependencyReply, read_reply
from gullyoke.runtime import clock
from gullyoke.runtime.close_reasons import (
    CloseReason,
    ConnectionClosedError,
    PeerKind,
    event_for_closed,
    serve_connection,
)
from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.pending_request import PendingRequest
from gullyoke.runtime.sockets import Receiver, open_connection
from gullyoke.runtime.timer import Timer

CONNECT_TIMEOUT_S: Final = 1.0
REPLY_PIECE_TIMEOUT_S: Final = 0.1  # longest wait for the next bytes of a reply that has begun
IDLE_TIMEOUT_US: Final = 2_000_000  # after this time the client closes an idle connection


class DependencyClient:
    """Makes calls and reports their ends.

    A connection returns to the pool only after exactly one complete reply with the id of its call.
    An invalid or missing reply or a broken connection therefore affects one call only. Replies
    identify their call by the request's id alone, so no two calls of a request use one connection:
    a duplicate of the reply to the first call, however late, would be taken for the reply to the
    second one.

    `lock` guards the pool. It may be acquired while the dispatcher's lock is held; the dispatcher's
    lock must not be acquired while `lock` is held.

    Attributes:
        idle: Connections without a call, the most recently used last.
        connection_count: Number of connections that are open or being opened.
    """

    def __init__(
        self,
        address: tuple[str, int] | None,
        max_connections: int,
        timer: Timer,
        metrics: Metrics,
        request_lock: threading.Lock,
    ) -> None:
        """Create a client without connections.

        Args:
            address: Address of the dependency; None if none is configured; all calls then fail.
            max_connections: Maximum number of connections.
            timer: Runs the timeouts of calls.
            metrics: Counters.
            request_lock: The dispatcher's lock, which guards `dependency_call` of requests.
        """
        self._address = address
        self._max_connections = max_connections
        self._timer = timer
        self._metrics = metrics
        self._request_lock = request_lock
        self._listener: DependencyListener
        self.lock = threading.Lock()
        self.connection_count = 0
        self.idle: list[DependencyConnection] = []
        self._queued: deque[DependencyCall] = deque()  # calls without a connection
        self._to_connect: queue.SimpleQueue[DependencyCall] = queue.SimpleQueue()
        self._last_reason: CloseReason | None = None

    def start(self, listener: DependencyListener) -> None:
        """Start the thread that starts a thread for each connection."""
        self._listener = listener
        threading.Thread(
            target=self._metrics.run_forever,
            args=("database", self._start_connection),
            name="database-open",
            daemon=True,
        ).start()

    def update_address(self, address: tuple[str, int]) -> None:
        """Use another address for new calls; calls in progress stay on their connections."""
        with self.lock:
            self._address = address
            idle = self.idle
            self.idle = []
        for connection in idle:
            connection.shut_down()

    def close_idle(self) -> None:
        """Close idle connections well before the peer does.

        A connection that the peer closes could be in use for a new call at that moment.
        """
        with self.lock:
            oldest = clock.now() - IDLE_TIMEOUT_US
            expired = [connection for connection in self.idle if connection.idle_since < oldest]
            self.idle = [connection for connection in self.idle if connection.idle_since >= oldest]
        for connection in expired:
            connection.shut_down()

    # Called under the dispatcher's lock.

    def call(self, request: PendingRequest, now: int, timeout_us: int) -> None:
        """Make the call that the request's run waits for; it times out after `timeout_us`."""
        call = DependencyCall(request, timeout_us)
        request.dependency_call = call
        self._timer.call_at(now + timeout_us, lambda: self.on_timeout(call))
        with self.lock:
            connection = self._take_idle(request)
            if connection is None:
                self._queue(call)
                return
            self._assign(connection, call)
        connection.send(call)

    def abandon(self, request: PendingRequest) -> None:
        """Withdraw the call, if any, of a request that is over."""
        call = request.dependency_call
        if call is not None:
            request.dependency_call = None
            self._withdraw(call)

    # The pool; called with `lock` held.

    def _take_idle(self, request: PendingRequest) -> DependencyConnection | None:
        """Remove and return an idle connection for a call of this request; None if there is none.

        The connection is the most recently used one that carried no call of the request. Unusable
        connections found on the way are shut down.
        """
        for index in range(len(self.idle) - 1, -1, -1):
            if self.idle[index].may_carry_call_of(request):
                connection = self.idle.pop(index)
                if connection.is_usable():
                    return connection
                connection.shut_down()
        return None

    def _assign(self, connection: DependencyConnection, call: DependencyCall) -> None:
        connection.call = call
        call.connection = connection
        call.request.call_connections += (connection,)

    def _assign_queued(self, connection: DependencyConnection) -> DependencyCall | None:
        """Assign a queued call to a free connection and return it, or make the connection idle."""
        for call in self._queued:
            if connection.may_carry_call_of(call.request):
                self._queued.remove(call)
                self._assign(connection, call)
                return call
        self.idle.append(connection)
        return None

    def _queue(self, call: DependencyCall) -> None:
        """Have a connection opened for a call, or queue the call at the connection limit.

        At the limit, an idle connection that may not carry the call makes room for one that may.
        """
        if self.connection_count < self._max_connections:
            self.connection_count += 1
            self._to_connect.put(call)
            return
        self._queued.append(call)
        if self.idle:
            self.idle.pop(0).shut_down()

    # The end of a call.

    def _withdraw(self, call: DependencyCall) -> bool:
        """Withdraw a call and shut its connection down; return whether the call may have run."""
        with self.lock:
            call.is_over = True
            connection = call.connection
            if connection is None:
                self._queued = deque(queued for queued in self._queued if queued is not call)
            elif connection.call is call:
                connection.call = None
                connection.shut_down()
        return connection is not None

    def on_timeout(self, call: DependencyCall) -> None:
        """End a call that has timed out, unless it has ended already."""
        if self.claim_end(call):
            self._metrics.increment("calls.given_up")
            may_have_run = self._withdraw(call)
            self._listener.on_call_ended(
                call.request,
                RequestEvent.CALL_OUTCOME_UNKNOWN if may_have_run else RequestEvent.CALL_NOT_SENT,
                b"",
            )

    def claim_end(self, call: DependencyCall) -> bool:
        """Mark the call as ended; return whether the caller is first and has to report the end."""
        with self._request_lock:
            is_first = call.request.dependency_call is call
            if is_first:
                call.request.dependency_call = None
            return is_first

    # Connections, each on a thread of its own.

    def _start_connection(self) -> None:
        """Start the thread of a connection for the next call that needs one.

        Thread.start blocks until the thread runs, so it must not be called under a lock.
        """
        call = self._to_connect.get()
        try:
            threading.Thread(
                target=self._run_connection, args=(call,), name="database", daemon=True
            ).start()
        except RuntimeError as fault:  # the system has no thread left
            self._on_connection_ended(None, call, CloseReason.UNREACHED, str(fault))

    def _run_connection(self, call: DependencyCall) -> None:
        """Open a connection for a call, and read replies until the connection ends."""
        try:
            address = self._address
            connection = DependencyConnection(open_connection(address, CONNECT_TIMEOUT_S), address)
        except ConnectionClosedError as fault:
            self._on_connection_ended(None, call, fault.reason, str(fault))
            return
        self._send_first_call(connection, call)
        reason, text = serve_connection(
            lambda: self._read_replies(connection),
            lambda: self._metrics.record_internal_error("database"),
        )
        with self.lock:
            last_call = connection.call
            connection.call = None
            self.idle = [idle for idle in self.idle if idle is not connection]
        connection.close()
        self._on_connection_ended(connection, last_call, reason, text)

    def _send_first_call(self, connection: DependencyConnection, call: DependencyCall) -> None:
        """Send the call that the connection was opened for.

        If that call was withdrawn while the connection was opened, a queued call is sent instead.
        """
        first: DependencyCall | None = call
        with self.lock:
            if call.is_over:
                first = self._assign_queued(connection)
            else:
                self._assign(connection, call)
        if first is not None:
            connection.send(first)

    def _on_connection_ended(
        self,
        connection: DependencyConnection | None,
        call: DependencyCall | None,
        reason: CloseReason,
        text: str,
    ) -> None:
        """Process a connection that has ended or could not be opened, and end its call."""
        with self.lock:
            self.connection_count -= 1
            if self._queued:
                self._queue(self._queued.popleft())
        self._metrics.increment(f"ends.database.{reason.value}")
        if call is not None or reason not in (CloseReason.CLOSED, CloseReason.DECLARED):
            # Repeats are logged at debug level, so a failing dependency does not fill the log;
            # the counter above counts each.
            used = connection is not None and bool(connection.last_request_id)
            log.log(
                DEBUG if reason is self._last_reason else WARNING,
                "connection to the database closed",
                extra=log_fields(end=reason.value, why=text, used=used),
            )
            self._last_reason = reason
        if call is not None and self.claim_end(call):
            event = event_for_closed(PeerKind.DATABASE, reason)
            assert event is not None
            self._listener.on_call_ended(call.request, event, b"")

    def _read_replies(self, connection: DependencyConnection) -> CloseReason:
        """Read replies until the connection can't be used any more.

        The timeout and the bounded buffer guard against endless lines and against bodies that are
        shorter than their announced length.
        """
        buffer = Buffer(Receiver(connection.sock, REPLY_PIECE_TIMEOUT_S), lines.MAX_MESSAGE_BYTES)
        is_in_sync = True
        while (reply := read_reply(buffer)) is not None:
            call = connection.call
            if call is None or call.request.request_id != reply.request_id:
                is_in_sync = False  # a reply to another call; the expected one may follow
                continue
            is_in_sync = is_in_sync and len(buffer) == 0
            if not self._end_call(connection, call, reply, is_in_sync):
                return CloseReason.DECLARED
        return CloseReason.CLOSED

    def _end_call(
        self,
        connection: DependencyConnection,
        call: DependencyCall,
        reply: DependencyReply,
        is_in_sync: bool,
    ) -> bool:
        """End a call with its reply; return whether the connection may carry another call."""
        next_call = None
        with self.lock:
            if connection.call is not call:
                return False  # the call was withdrawn meanwhile
            call.is_over = True
            connection.call = None
            connection.last_request_id = reply.request_id
            connection.idle_since = clock.now()
            is_reusable = is_in_sync and connection.address == self._address
            if is_reusable:
                next_call = self._assign_queued(connection)
        if next_call is not None:
            connection.send(next_call)
        if self.claim_end(call):
            self._listener.on_call_ended(call.request, reply.event, reply.body)
        return is_reusable
