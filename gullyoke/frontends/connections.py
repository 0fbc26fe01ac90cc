"""The connections of all listeners.

Accepted, a thread each, ended when silent, stalled or at the stop.
"""

from __future__ import annotations

import select
import socket
import threading
import time
from typing import Protocol

from gullyoke.codec.buffer import Buffer
from gullyoke.frontends.connection import Connection, State
from gullyoke.frontends.connection_limits import ConnectionLimits
from gullyoke.frontends.listening import listening
from gullyoke.runtime import clock
from gullyoke.runtime.close_reasons import CloseReason, PeerKind, event_for_closed, serve_connection
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.lifecycle import Lifecycle
from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.messages import Answer, BadRequestError
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.sockets import Receiver, shutdown_both
from gullyoke.runtime.worker_pool import WorkerPool

FIRST_MESSAGE_US = 2_500_000  # from connecting to a whole first message
STALL_US = 5_000_000  # for a later message to come whole, or an answer to be taken
LINGER_US = 300_000  # for a peer to close its side after our half-close
GREET_US = 50_000  # where room is short: for a newcomer's first byte
HALF_MESSAGE_US = 500_000  # and for the rest of its message
CLOSING_MOST = 8  # connections that may hold a descriptor without a place, closing
ACCEPT_RETRY_S = 0.02  # after an accept that failed
HUNG_UP = select.POLLERR | select.POLLHUP


class Front(Protocol):
    """A protocol's side of a connection.

    `name` stands in counters and logs; `buffer` is the most bytes that one message may take.
    """

    name: str
    buffer: int

    def exchange(self, connection: Connection, buffer: Buffer) -> CloseReason:
        """Messages and their answers, until a side ends it."""


class Listener:
    """Where one front listens.

    Its accepting thread owns the socket and closes it, once it is `shut`. Table: `placed`, its
    connections that take a place; each leaves when its end is decided.
    """

    def __init__(self, sock: socket.socket, front: Front) -> None:
        self.sock, self.front, self.shut = sock, front, False
        self.placed: dict[Connection, None] = {}


class ConnectionTable:
    """Tables: `open`, the connections that hold a descriptor.

    Of these `fresh`, not yet served, in the order they came; `idle`, served and silent, the longest
    first; `closing`, whose end is decided. Each leaves at its end.
    """

    def __init__(
        self, room: ConnectionLimits, dispatcher: Dispatcher, lifecycle: Lifecycle, metrics: Metrics
    ) -> None:
        self.room, self.dispatcher, self.lifecycle, self.metrics = (
            room,
            dispatcher,
            lifecycle,
            metrics,
        )
        self.open: dict[Connection, None] = {}
        self.fresh: dict[Connection, None] = {}
        self.idle: dict[Connection, None] = {}
        self.closing: dict[Connection, None] = {}
        self.workers = WorkerPool(self.serve)
        self.listeners: list[Listener] = []
        self.admission = threading.Lock()  # one newcomer at a time, whichever listener it comes by
        self.left = threading.Condition(threading.Lock())  # told when a descriptor has come free

    def listen(self, address: tuple[str, int] | str, front: Front) -> None:
        self.listeners.append(Listener(listening(address), front))

    def start(self) -> None:
        for listener in self.listeners:
            threading.Thread(
                target=self.accept, args=(listener,), name="accept", daemon=True
            ).start()

    def accept(self, listener: Listener) -> None:
        """An accepting thread's life.

        It closes the listening socket once that is shut, and not before: closing resets whatever
        waits in the backlog.
        """
        while not listener.shut:
            self.wait_for_descriptor()
            try:
                sock, _ = listener.sock.accept()
            except OSError as fault:
                if not self.lifecycle.closing:  # what waits stays in the backlog
                    # Guards against running out of descriptors or memory.
                    self.metrics.increment("accept.failed")
                    log.warning("accept failed", extra=log_fields(why=fault))
                time.sleep(ACCEPT_RETRY_S)
                continue
            self.take(sock, listener)
        listener.sock.close()

    def wait_for_descriptor(self) -> None:
        """Wait while connections that are closing hold more descriptors than are set aside for
        them.

        Guards against newcomers that come faster than those who made room for them can close:
        together they would take the descriptors that the engine, the database and the name service
        need.
        """
        with self.left:
            while len(self.open) >= self.room.most + CLOSING_MOST and not self.lifecycle.closing:
                self.left.wait(0.1)

    def take(self, sock: socket.socket, listener: Listener) -> None:
        """Serve a connection that has been accepted."""
        with self.admission:
            connection = Connection(sock, listener, self)
            self.metrics.increment("connections.opened")
            self.open[connection] = self.fresh[connection] = listener.placed[connection] = None
            try:
                if sock.family != socket.AF_UNIX:
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                if not self.make_room(listener):
                    self.ended(connection, CloseReason.CROWDED, "")
                    return
                if not self.workers.assign(connection):
                    threading.Thread(
                        target=self.workers.run_worker,
                        args=(connection,),
                        name="gateway",
                        daemon=True,
                    ).start()
                    self.metrics.increment("threads.gateway")
            except (OSError, RuntimeError) as fault:  # no thread to be had, or gone already
                log.warning("connection not served", extra=log_fields(why=fault))
                self.ended(connection, CloseReason.FAULT, str(fault))

    def make_room(self, listener: Listener) -> bool:
        """Too many at once: one goes, so that engine and database can still be reached.

        False if none can.

        Guards against clients that fill the table and say nothing, or half of something: they go
        first, the oldest before the rest, then the one longest idle. It might hurt gateways that
        connect well ahead.
        """
        if len(self.listeners) < 2 and len(listener.placed) <= self.room.most:
            return True
        count = {each: len(each.placed) for each in self.listeners}
        if self.room.fits(listener, count):
            return True
        return self.end_silent(listener, count) or self.end_idle(listener, count)

    def end_silent(self, listener: Listener, count: dict[Listener, int]) -> bool:
        """End the oldest that has said nothing yet, or half of something; whether there was one."""
        now = clock.now()
        for connection in list(self.fresh):
            if now - connection.opened <= GREET_US:
                break  # later ones are younger: a burst costs no look at each
            since = connection.since
            states = {State.IDLE} if now - since > GREET_US else set()
            states |= {State.READING} if now - since > HALF_MESSAGE_US else set()
            if not self.room.may_lose(connection.listener, listener, count):
                continue
            if connection.abort(CloseReason.SILENT, states, since):
                self.on_closing(connection)
                return True
        return False

    def end_idle(self, listener: Listener, count: dict[Listener, int]) -> bool:
        """End the one longest idle; whether there was one."""
        for connection in list(self.idle):
            if self.room.may_lose(connection.listener, listener, count) and connection.close_idle(
                CloseReason.IDLE
            ):
                self.on_closing(connection)
                self.hurry()
                return True
        return False

    def hurry(self) -> None:
        """Too many wait for their peers to close: the one that has waited longest waits no more."""
        if len(self.closing) > CLOSING_MOST:
            oldest = next(iter(self.closing))
            oldest.abort(CloseReason.IDLE, {State.CLOSING}, oldest.since)

    def on_closing(self, connection: Connection) -> None:
        """Its end is decided: its place is free, its descriptor will be."""
        connection.listener.placed.pop(connection, None)
        self.closing[connection] = None
        if connection not in self.open:  # its thread was quicker
            self.closing.pop(connection, None)

    def serve(self, connection: Connection) -> None:
        """A connection's life, on its own thread."""
        front = connection.listener.front
        end, why = serve_connection(
            lambda: front.exchange(connection, Buffer(Receiver(connection.sock), front.buffer)),
            lambda: self.metrics.record_internal_error(front.name),
        )
        self.ended(connection, connection.end or end, why)

    def ended(self, connection: Connection, end: CloseReason, why: str) -> None:
        """The one place where a client connection ends."""
        front = connection.listener.front.name
        self.metrics.increment(f"ends.{front}.{end.value}")
        if end in (CloseReason.GARBLED, CloseReason.STALLED, CloseReason.CUT):
            log.warning(
                "connection of a gateway ended",
                extra=log_fields(end=end.value, why=why, front=front),
            )
        word = event_for_closed(PeerKind.GATEWAY, end)
        if connection.request is not None and word is not None:
            self.dispatcher.notify(connection.request, word)
        for table in (self.fresh, self.idle):
            table.pop(connection, None)
        try:
            connection.close(end)  # may take a moment: it keeps its place so long
        finally:
            for table in (connection.listener.placed, self.open, self.closing):
                table.pop(connection, None)
            with self.left:
                self.left.notify_all()

    def refused(self, connection: Connection, fault: BadRequestError) -> Answer:
        """What came is no request: counted, said, and what is answered."""
        self.metrics.increment(f"unfit.{fault.status}")
        log.warning(
            "message refused",
            extra=log_fields(status=fault.status, why=fault, front=connection.listener.front.name),
        )
        return Answer(fault.status)

    # From the timer.

    def sweep(self) -> None:
        """Silent connections are ended; so are those that a peer holds up."""
        for connection in list(self.open):
            if self.overdue(connection, clock.now()):
                self.on_closing(connection)
        self.hear_gone([c for c in list(self.open) if c.state is State.WAITING])

    def overdue(self, connection: Connection, now: int) -> bool:
        """End a connection whose time is up; whether its end was decided here and now."""
        since, state = connection.since, connection.state
        spent = now - since
        if state is State.CLOSING:
            if connection in self.closing and spent > LINGER_US:  # its peer keeps its side open
                connection.abort(CloseReason.IDLE, {state}, since)
            return False
        if state in (State.READING, State.WRITING) and spent > STALL_US:
            return connection.abort(CloseReason.STALLED, {state}, since)
        unheard = state in (State.IDLE, State.READING) and not connection.served
        if unheard and now - connection.opened > FIRST_MESSAGE_US:
            return connection.abort(
                CloseReason.SILENT if state is State.IDLE else CloseReason.STALLED, {state}, since
            )
        if self.lifecycle.closing:
            return connection.close_idle(CloseReason.LEAVING)
        return 0 < self.lifecycle.idle_timeout_us < spent and connection.close_idle(
            CloseReason.IDLE
        )

    def hear_gone(self, waiting: list[Connection]) -> None:
        """A connection that is broken while its request waits.

        Nobody is there, and nothing could be written.

        A peer that has closed its own direction only may still read, and keeps its answer.
        """
        look, by_number = select.poll(), {}
        for connection in waiting:
            number = connection.sock.fileno()
            if number >= 0:
                look.register(number, 0)
                by_number[number] = connection, connection.request
        for number, seen in look.poll(0):
            connection, request = by_number[number]
            if (
                not seen & HUNG_UP or connection.sock.fileno() != number
            ):  # its number may be another's now
                continue
            if request is not None and not request.client_disconnected:
                self.metrics.increment("reqs.gone")
                self.dispatcher.notify(
                    request, event_for_closed(PeerKind.GATEWAY, CloseReason.RESET)
                )

    def stop_accepting(self) -> None:
        """The end of the drain: take what waits in the backlogs, then no more.

        Idle connections end.
        """
        self.lifecycle.closing = True
        for listener in self.listeners:
            listener.sock.setblocking(False)
            while True:
                try:
                    sock, _ = listener.sock.accept()
                except OSError:
                    break
                sock.setblocking(True)
                self.take(sock, listener)
            listener.shut = True
            shutdown_both(listener.sock)  # wakes its accepting thread, which closes it
        with self.left:
            self.left.notify_all()
        self.sweep()
