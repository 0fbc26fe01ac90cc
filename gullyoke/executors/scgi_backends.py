"""Work at a pool of application servers that speak SCGI, in the engine's place.

What goes where is decided in gullyoke/routing; here it is carried: a connection a try, a thread
each, read to its end or its time.
"""

from __future__ import annotations

import queue
import socket
import threading
from collections.abc import Callable
from logging import INFO, WARNING
from typing import NamedTuple

from gullyoke.admission.interface import RequestEvent
from gullyoke.codec import scgi
from gullyoke.codec.buffer import Buffer
from gullyoke.executors import ExecutorListener
from gullyoke.routing import (
    SET_ASIDE,
    Dispatch,
    Fate,
    Member,
    Run,
    Send,
    Standing,
    Stated,
    Tell,
    fate_of,
)
from gullyoke.runtime import clock
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError, end_of
from gullyoke.runtime.dispatcher import PendingRequest, log_identity
from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.messages import Answer
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.sockets import ConnectionBrokenError, Until, connected, shut
from gullyoke.runtime.worker_pool import WorkerPool

CONNECT = 1.0  # seconds for a connection to come about, at most
PROMISES = (429, 503)  # statuses by which our callers know that a req never ran


class Address(NamedTuple):
    """A back end's name, as the operator states it, and where it is."""

    name: str
    at: tuple[str, int] | str


class Carriage:
    """A run's try that is being made: its connection while there is one."""

    __slots__ = ("sock",)

    def __init__(self) -> None:
        self.sock: socket.socket | None = None


class Backends:
    """Tables: `runs`, one row a run that is not over, and `carried`, its connection.

    A run leaves both when the decisions hear of its end.

    `linger` is how long, in microseconds, an answer is still waited for after its caller's time,
    and a run whose connection broke is counted; `closes` whether closing the connection stops the
    application.
    """

    def __init__(
        self,
        dispatch: Dispatch,
        cores: int,
        linger: int,
        closes: bool,
        most: int,
        metrics: Metrics,
        cold: bool = False,
    ) -> None:
        self.dispatch, self.cores, self.linger, self.closes = dispatch, cores, linger, closes
        self.most, self.metrics, self.listener, self.cold = most, metrics, None, cold
        self.lock = threading.Lock()  # over `dispatch` and `runs`; taken after the desk's
        self.where: dict[str, tuple[str, int] | str] = {}
        self.runs: dict[PendingRequest, Run] = {}
        self.carried: dict[Run, Carriage] = {}
        self.opening: queue.SimpleQueue[Send] = queue.SimpleQueue()
        self.crew = WorkerPool(self.carry)

    def start(self, listener: ExecutorListener) -> None:
        self.listener = listener
        threading.Thread(
            target=self.metrics.run_forever,
            args=("backends", self.open),
            name="backends-open",
            daemon=True,
        ).start()
        listener.on_engine_hello("cold" if self.cold else "warm", 0)

    def update_address(self, address: tuple[str, int]) -> None:
        """The engine's address means nothing here."""

    def state(self, addresses: list[Address], stated: list[Stated]) -> None:
        """These are the back ends from now on; those no longer stated finish what they have."""
        with self.lock:
            self.where |= {a.name: a.at for a in addresses}
            moves, came, go = self.dispatch.state(clock.now(), stated)
            self.where = {
                name: at for name, at in self.where.items() if name in self.dispatch.pool.members
            }
        if came or go:
            log.info(
                "back ends stated",
                extra=log_fields(came=",".join(came) or "-", leaving=",".join(go) or "-"),
            )
        self.follow(moves)

    def ill(self) -> set[str]:
        """Those that are set aside."""
        with self.lock:
            return {
                name
                for name, m in self.dispatch.pool.members.items()
                if m.health.standing in SET_ASIDE
            }

    # Commands, given under the desk's lock.

    def start_run(self, request: PendingRequest) -> None:
        run = Run(request)
        with self.lock:
            self.runs[request] = run
            moves = self.dispatch.begin(clock.now(), run)
        self.follow(moves, self.listener.dispatcher.post_event)

    def send_call_reply(self, request: PendingRequest, reply: bytes) -> None:
        """No call of a back end's run comes by us."""

    def skip_call(self, request: PendingRequest) -> None:
        """As above."""

    def cancel_run(self, request: PendingRequest) -> None:
        """The decisions ask for its end, which they do only where closing stops it.

        The thread that reads finds the end and tells it.
        """
        with self.lock:
            run = self.runs.get(request)
            if run is None:
                return
            moves = self.dispatch.stop(clock.now(), run)
            carriage = self.carried.get(run)
            sock = carriage.sock if carriage else None
            if sock is not None and self.closes:
                shut(sock)
        self.follow(moves, self.listener.dispatcher.post_event)

    def flush(self) -> None:
        """Each run has a thread of its own, which sends it."""

    def poll_gauges(self, tag: int) -> None:
        """The decisions' wake-up: the line moves on, and they hear how the pool stands."""
        with self.lock:
            now = clock.now()
            moves = self.dispatch.turn(now)
            busy, wanting, room = self.dispatch.gauges(now, self.cores)
        self.follow(moves)
        self.listener.on_gauges(str(tag), {"core_use": busy, "on_cores": wanting, "room": room})

    # Moves.

    def follow(
        self, moves: list, tell: Callable[[PendingRequest, RequestEvent], None] | None = None
    ) -> None:
        """Carry them out. `tell` is given where the desk's lock is held."""
        for move in moves:
            if isinstance(move, Send):
                self.give(move)
            elif tell is not None:
                self.over(move)
                self.metrics.increment(f"runs.{move.word.name.lower()}")
                tell(move.run.request, move.word)
            else:
                self.told(move, None)

    def give(self, send: Send) -> None:
        """To a thread that rests, or to the one that starts threads, which takes too long for
        here.
        """
        self.metrics.increment("backends.sent")
        send.run.request.backend_name = send.member.stated.name
        if not self.crew.hand(send):
            self.opening.put(send)

    def over(self, move: Tell) -> None:
        with self.lock:
            self.runs.pop(move.run.request, None)

    def told(self, move: Tell, answer: Answer | None) -> None:
        self.over(move)
        self.listener.on_backend_run_ended(move.run.request, move.word, answer)

    # The tries, a thread each.

    def open(self) -> None:
        send = self.opening.get()
        try:
            threading.Thread(
                target=self.crew.work, args=(send,), name="backend", daemon=True
            ).start()
            self.metrics.increment("threads.backend")
        except RuntimeError as fault:  # no thread to be had
            self.ended(send, Fate.UNRUN, None, str(fault))

    def carry(self, send: Send) -> None:
        """One try, whatever comes of it."""
        carriage, answer, why = Carriage(), None, ""
        try:
            answer = self.exchange(send, carriage)
            fate = Fate.DONE if answer.status < 500 else Fate.FAILED
        except ConnectionBrokenError as ended:
            fate, why = fate_of(self.end(send, ended.end), True), str(ended)
        except ConnectionClosedError as ended:
            fate, why = fate_of(self.end(send, ended.end), False), str(ended)
        except OSError as broken:
            fate, why = fate_of(self.end(send, end_of(broken)), True), str(broken)
        except Exception:
            self.metrics.record_internal_error("backends", send.run.request.request_id)
            fate, why = fate_of(CloseReason.FAULT, True), "fault"
        if carriage.sock is not None:
            shut(carriage.sock)
            carriage.sock.close()
        self.ended(send, fate, answer, why)

    def end(self, send: Send, end: CloseReason) -> CloseReason:
        """Closed here, where that was asked for."""
        return CloseReason.DECLARED if send.run.stopped and self.closes else end

    def exchange(self, send: Send, carriage: Carriage) -> Answer:
        """The req out and its answer in.

        Raises `Ended` before its first byte was written, then `Broken`.
        """
        run, request = send.run, send.run.request
        until = run.due + self.linger
        left = (until - clock.now()) / 1e6
        if left <= 0:
            raise ConnectionClosedError(
                CloseReason.DECLARED, "its time is over"
            )  # no fault of the back end's
        with self.lock:
            where = self.where[send.member.stated.name]
        carriage.sock = connected(where, min(CONNECT, left))
        with self.lock:
            self.carried[run] = carriage
            if run.stopped and self.closes:
                raise ConnectionClosedError(CloseReason.DECLARED, "stopped")
        over = {
            "max-wait-ms": str(max(0, (run.due - clock.now()) // 1000)),
            "accepted-at-ms": str(clock.unix_ms()),
        }
        wire = Until(carriage.sock, until)
        wire.send(scgi.request(request.message, over))
        try:
            answer = scgi.read_answer(Buffer(wire, scgi.ANSWER_HEAD + self.most + 1), self.most)
        except ConnectionClosedError as ended:
            raise ConnectionBrokenError(ended.end, str(ended)) from None
        # What a back end refuses has reached it: our callers must not read the promise that it
        # never ran.
        return answer._replace(status=502) if answer.status in PROMISES else answer

    def ended(self, send: Send, fate: Fate, answer: Answer | None, why: str) -> None:
        """What the try came to, for the router; and what follows."""
        run, request, now = send.run, send.run.request, clock.now()
        self.metrics.increment(f"backends.{fate.value}")
        if fate not in (Fate.DONE, Fate.STOPPED):
            log.warning(
                "try at a back end failed",
                extra=log_fields(fate=fate.value, why=why, **log_identity(request)),
            )
        with self.lock:
            self.carried.pop(run, None)
            before = send.member.health.standing
            moves = self.dispatch.ended(now, run, fate)
            after, until = send.member.health.standing, send.member.health.until
        if before is not after:
            self.stands(send.member, after, until - now)
        for move in moves:
            if isinstance(move, Tell) and move.run is run:
                self.told(move, answer)
            else:
                if isinstance(move, Send) and move.run is run:
                    self.metrics.increment("backends.again")
                self.follow([move])

    def stands(self, member: Member, standing: Standing, span: int) -> None:
        aside = standing in (Standing.OUT, Standing.AWAY)
        self.metrics.increment(f"backends.to_{standing.value}")
        trial = {"trial_in_ms": span // 1000} if aside else {}
        log.log(
            WARNING if aside else INFO,
            "back end stands otherwise",
            extra=log_fields(back_end=member.stated.name, standing=standing.value, **trial),
        )

    def print(self) -> None:
        """A line for each back end, as asked for with the counters."""
        with self.lock:
            now, rows = clock.now(), []
            for name, m in self.dispatch.pool.members.items():
                rows.append(
                    {
                        "back_end": name,
                        "standing": m.health.standing.value,
                        "in_hand": m.in_hand(now),
                        "limit": int(m.limit.now),
                        "response_ms": int(m.pace) // 1000,
                        "sent": m.sent,
                        "faults": f"{m.health.share(now):.2f}",
                    }
                )
            line, again = len(self.dispatch.line.runs), self.dispatch.again
        for row in rows:
            log.info("back end", extra=log_fields(**row))
        log.info("back ends", extra=log_fields(in_line=line, again=again))
