"""Send, to the database.

One call at a time on a connection, from a pool of few; limits kept here.
"""

from __future__ import annotations

import queue
import socket
import threading
from collections import deque
from logging import DEBUG, WARNING

from gullyoke.admission.interface import RequestEvent
from gullyoke.codec import lines
from gullyoke.codec.buffer import Buffer
from gullyoke.codec.lines import command
from gullyoke.dependencies import DependencyListener
from gullyoke.runtime import clock
from gullyoke.runtime.close_reasons import (
    CloseReason,
    ConnectionClosedError,
    PeerKind,
    outcome,
    served,
)
from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.sockets import Receiver, connected, shut
from gullyoke.runtime.timer import Timer

CONNECT = 1.0  # seconds for a connection to come about
PIECE = 0.1  # seconds for the next piece of a reply that has begun
IDLE = 2_000_000  # microseconds after which a connection without a call is closed here

CALL_ENDS = {
    "ROWS": RequestEvent.CALL_SUCCEEDED,
    "FULL": RequestEvent.CALL_NOT_SENT,
    "FAIL": RequestEvent.CALL_OUTCOME_UNKNOWN,
    "TIMEOUT": RequestEvent.CALL_OUTCOME_UNKNOWN,
    "NONE": RequestEvent.CALL_NOT_SENT,
}


class Asked:
    """A call in hand.

    `wire` is the connection that it was written to, None before that; `over` once it has ended or
    is taken back.
    """

    __slots__ = ("data", "over", "request", "wire")

    def __init__(self, request, data: bytes) -> None:
        self.request, self.data, self.wire, self.over = request, data, None, False


class Wire:
    """A connection, the call on it, and the id of the last one before that.

    Its reading thread closes it.
    """

    __slots__ = ("address", "asked", "last", "lock", "open", "since", "sock")

    def __init__(self, sock: socket.socket, address: tuple[str, int]) -> None:
        self.sock, self.address, self.asked, self.last, self.since = (
            sock,
            address,
            None,
            "",
            clock.now(),
        )
        self.lock, self.open = (
            threading.Lock(),
            True,
        )  # no thread may write on a socket that is closed

    def sound(self) -> bool:
        """Whether it stands open with nothing to be read.

        Neither closed by the peer nor out of step.
        """
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            return False
        except BlockingIOError:
            return True
        except OSError:
            return False

    def send(self, asked: Asked) -> None:
        """At most one call is on its way, so it fits what the system buffers, and this does not
        block.
        """
        with self.lock:
            if not self.open:
                return  # the reading side has ended the call
            try:
                if self.sock.send(asked.data, socket.MSG_DONTWAIT) < len(asked.data):
                    shut(self.sock)
            except OSError:
                shut(self.sock)  # the reading side ends the call

    def close(self) -> None:
        with self.lock:
            self.open = False
            self.sock.close()


class Database:
    """A connection carries one call, and goes back to the pool after exactly one whole reply with
    its id.

    Guards against replies that are spoilt or never come and connections that break: each costs the
    call concerned and no other. And against a reply that comes twice: replies bear the req's id
    alone, so a req never makes its next call on the connection of its last. Tables: `idle`, the
    newest last, closed after IDLE; `waiting`, calls for which no connection is left, one a req at
    most.
    """

    def __init__(self, address: tuple[str, int], most: int, timer: Timer, metrics: Metrics) -> None:
        self.address, self.most, self.timer, self.metrics, self.listener = (
            address,
            most,
            timer,
            metrics,
            None,
        )
        self.lock, self.count, self.last = threading.Lock(), 0, None
        self.idle: list[Wire] = []
        self.waiting: deque[Asked] = deque()
        self.opening: queue.SimpleQueue[Asked] = queue.SimpleQueue()

    def start(self, listener: DependencyListener) -> None:
        self.listener = listener
        threading.Thread(
            target=self.metrics.run_forever,
            args=("database", self.open),
            name="database-open",
            daemon=True,
        ).start()

    def update_address(self, address: tuple[str, int]) -> None:
        """Its address is another from now on.

        New calls go there, those that are out end where they are.
        """
        with self.lock:
            self.address, old, self.idle = address, self.idle, []
        for wire in old:
            shut(wire.sock)

    def close_idle(self) -> None:
        """Idle connections go well before the peer closes them: a call could cross that."""
        with self.lock:
            before = clock.now() - IDLE
            old = [wire for wire in self.idle if wire.since < before]
            self.idle = [wire for wire in self.idle if wire.since >= before]
        for wire in old:
            shut(wire.sock)

    # Given under the desk's lock.

    def call(self, request, try_for: int) -> None:
        data = command("Q", request.request_id, max(1, try_for // 1000), body=request.call_body)
        request.dependency_call = asked = Asked(request, data)
        self.timer.at(self.listener.dispatcher.now + try_for, lambda: self.limit(asked))
        with self.lock:
            wire = self._free(request.request_id)
            if wire is None:
                self._queue(asked)
                return
            wire.asked, asked.wire = asked, wire
        wire.send(asked)

    def abandon(self, request) -> None:
        """Its req is over."""
        asked, request.dependency_call = request.dependency_call, None
        self._withdraw(asked)

    def _free(self, request_id: str) -> Wire | None:
        for at in range(len(self.idle) - 1, -1, -1):
            if self.idle[at].last != request_id:
                wire = self.idle.pop(at)
                if wire.sound():
                    return wire
                shut(wire.sock)
        return None

    def _take(self, wire: Wire, asked: Asked | None = None) -> Asked | None:
        """The next call on a connection that is free.

        `asked`, or one that waits; if there is none, the connection goes to the pool. Guards
        against one whose call was taken back while it came about.
        """
        if asked is None:
            asked = next((one for one in self.waiting if one.request.request_id != wire.last), None)
            if asked is None:
                self.idle.append(wire)
                return None
            self.waiting.remove(asked)
        wire.asked, asked.wire = asked, wire
        return asked

    def _queue(self, asked: Asked) -> None:
        if self.count < self.most:
            self.count += 1
            self.opening.put(asked)
        else:
            self.waiting.append(asked)

    def _withdraw(self, asked: Asked) -> bool:
        """Take a call back, which closes its connection; whether it may have run."""
        with self.lock:
            asked.over, wire = True, asked.wire
            if wire is None:
                self.waiting = deque(x for x in self.waiting if x is not asked)
            elif wire.asked is asked:
                wire.asked = None
                shut(wire.sock)
        return wire is not None

    def limit(self, asked: Asked) -> None:
        """Its time is up."""
        if self._ended(asked):
            self.metrics.increment("calls.given_up")
            self.listener.on_call_ended(
                asked.request,
                RequestEvent.CALL_OUTCOME_UNKNOWN
                if self._withdraw(asked)
                else RequestEvent.CALL_NOT_SENT,
                b"",
            )

    def _ended(self, asked: Asked) -> bool:
        """Whether this is the first to end the call."""
        with self.listener.dispatcher.lock:
            first = asked.request.dependency_call is asked
            if first:
                asked.request.dependency_call = None
            return first

    # The connections, a thread each.

    def open(self) -> None:
        """Starting a thread waits for it, which must not happen under the desk's lock."""
        asked = self.opening.get()
        try:
            threading.Thread(target=self.carry, args=(asked,), name="database", daemon=True).start()
        except RuntimeError as fault:  # no thread to be had
            self.over(None, asked, CloseReason.UNREACHED, str(fault))

    def carry(self, asked: Asked) -> None:
        """A connection's life: opened for a call, and read until it ends."""
        try:
            address = self.address
            wire = Wire(connected(address, CONNECT), address)
        except ConnectionClosedError as fault:
            self.over(None, asked, fault.end, str(fault))
            return
        with self.lock:
            first = self._take(wire, None if asked.over else asked)
        if first is not None:
            wire.send(first)
        end, why = served(
            lambda: self.replies(wire), lambda: self.metrics.record_internal_error("database")
        )
        with self.lock:
            asked, wire.asked = wire.asked, None
            self.idle = [x for x in self.idle if x is not wire]
        wire.close()
        self.over(wire, asked, end, why)

    def over(self, wire: Wire | None, asked: Asked | None, end: CloseReason, why: str) -> None:
        """A connection has ended, or never came about; a call on it ends with it."""
        with self.lock:
            self.count -= 1
            if self.waiting:
                self._queue(self.waiting.popleft())
        self.metrics.increment(f"ends.database.{end.value}")
        if asked is not None or end not in (CloseReason.CLOSED, CloseReason.DECLARED):
            # A day of broken replies would fill the log with one line; the counters go on counting.
            log.log(
                DEBUG if end is self.last else WARNING,
                "connection to the database ended",
                extra=log_fields(end=end.value, why=why, used=wire is not None and bool(wire.last)),
            )
            self.last = end
        if asked is not None and self._ended(asked):
            self.listener.on_call_ended(asked.request, outcome(PeerKind.DATABASE, end), b"")

    def replies(self, wire: Wire) -> CloseReason:
        # Guards, by the piece, against lines without end and lengths that promise more than comes.
        buffer, strange = Buffer(Receiver(wire.sock, PIECE), lines.BUFFER), False
        while (words := lines.read(buffer)) is not None:
            word, body = self.reply(words, buffer)
            asked = wire.asked
            if asked is None or asked.request.request_id != words[0]:
                strange = True  # not ours, but whole: the one that is ours may follow
                continue
            more = None
            with self.lock:
                if wire.asked is not asked:
                    return CloseReason.DECLARED  # taken back meanwhile
                asked.over, wire.asked, wire.last, wire.since = True, None, words[0], clock.now()
                strange |= len(buffer) > 0 or wire.address != self.address
                if not strange:
                    more = self._take(wire)
            if more is not None:
                wire.send(more)
            if self._ended(asked):
                self.listener.on_call_ended(asked.request, word, body)
            if strange:
                return CloseReason.DECLARED
        return CloseReason.CLOSED

    def reply(self, words: list[str], buffer: Buffer) -> tuple[RequestEvent, bytes]:
        if len(words) == 3 and words[1] == "ROWS":
            return RequestEvent.CALL_SUCCEEDED, lines.content(buffer, words[2])
        if len(words) == 2 and words[1] in CALL_ENDS and words[1] != "ROWS":
            return CALL_ENDS[words[1]], b""
        raise ConnectionClosedError(CloseReason.GARBLED, " ".join(words)[:100])
