"""Work whose runs wait for their notes on the disk, and whose ends wait for theirs.

Stands before the work for the decisions, and before the relay for the work. What the rules say
(gullyoke/durability/key_ledger.py) and what is queued for the disk happen under one small lock, `pen`, so
that the disk gets the writes of a key in the order of the rules; nothing waits under it.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from hashlib import blake2b

import msgspec

from gullyoke.admission.interface import Idempotency, RequestEvent
from gullyoke.durability import (
    ActionKind,
    KeyLedger,
    KeyRecord,
    LedgerAction,
    RecordWrite,
    RunPhase,
)
from gullyoke.executors import Executor, ExecutorListener, RunOutcome
from gullyoke.runtime import clock
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.messages import Answer
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.pending_request import PendingRequest

NOTE = "n"  # what a note's key begins with
ENDS = (RequestEvent.COMPLETED, RequestEvent.FAILED, RequestEvent.CANCELLED)

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(
    tuple[int, int, int, int, int, tuple[tuple[str, str], ...], bytes]
).decode

Disk = Callable[[str, bytes | None, Callable[[bool], None]], bool]


def digest(request_class: str, key: str) -> str:
    """The key under which a req's note lies."""
    return NOTE + blake2b(f"{request_class}\0{key}".encode(), digest_size=16).hexdigest()


def packed(note: KeyRecord | None) -> bytes | None:
    return None if note is None else encode(tuple(note))


def unpacked(data: bytes) -> KeyRecord | None:
    """A note as the disk has it; None for what is none."""
    try:
        phase, *rest = decode(data)
        return KeyRecord(RunPhase(phase), *rest)
    except (msgspec.MsgspecError, ValueError):
        return None


def noted(request: PendingRequest) -> bool:
    """Whether it needs a note: it must not run twice, and a repeat of it can be known."""
    return bool(request.key) and request.request_class.idempotency is not Idempotency.IDEMPOTENT


class Promised:
    """`fit` says whether the disk may be asked for a promise, `disk` queues a write.

    Tables: `going`, reqs by key while their run is promised or goes on, `keys`, their keys by id;
    `ends`, by key, what is told once an end is durable. All of a req leaves at the end of its run,
    or when it is left unrun.
    """

    def __init__(
        self,
        inner: Executor,
        dispatcher: Dispatcher,
        ledger: KeyLedger,
        fit: Callable[[], bool],
        disk: Disk,
        metrics: Metrics,
    ) -> None:
        self.inner, self.real, self.ledger, self.fit, self.disk = (
            inner,
            dispatcher,
            ledger,
            fit,
            disk,
        )
        self.metrics, self.pen = metrics, threading.RLock()
        self.going: dict[str, PendingRequest] = {}
        self.keys: dict[str, str] = {}
        self.ends: dict[str, Callable[[bool], None]] = {}
        self.send_call_reply, self.skip_call, self.cancel_run, self.flush = (
            inner.send_call_reply,
            inner.skip_call,
            inner.cancel_run,
            inner.flush,
        )
        self.poll_gauges, self.update_address = inner.poll_gauges, inner.update_address

    def start(self, listener: ExecutorListener) -> None:
        self.listener = listener
        self.on_call_needed = listener.on_call_needed
        self.on_engine_hello = listener.on_engine_hello
        self.on_gauges = listener.on_gauges
        self.is_in_flight = listener.is_in_flight
        self.inner.start(self)

    # From the decisions, under the desk's lock.

    def start_run(self, request: PendingRequest) -> None:
        if not noted(request):
            self.inner.start_run(request)
            return
        key, now, h, fit = (
            digest(request.request_class.name, request.key),
            self.real.now,
            request.request_class,
            self.fit(),
        )
        until = max(now, request.arrived) + (h.key_ttl or 2 * h.timeout)

        def asked() -> RecordWrite | LedgerAction:
            if self.ledger.find(now, key) is None:
                self.going[key], self.keys[request.request_id] = request, key
            return self.ledger.request_run(
                now,
                key,
                request.arrived,
                until,
                request.deadline,
                self.real.controller.queue.run_times[h],
                fit,
            )

        said = self.ruled(asked)
        if (
            said is not None and said.kind is ActionKind.REPORT_DUPLICATE
        ):  # a non-replayable one that may have run before
            self.metrics.increment("keys.known")
            self.real.post_event(request, RequestEvent.FAILED)
        elif said is not None:
            self.carry(said, True)

    def post_event(self, request: PendingRequest, word: RequestEvent) -> None:
        """A word of the work's on a run that it was just given."""
        if word in (RequestEvent.NO_CAPACITY, RequestEvent.NOT_STARTED):
            self.left(request.request_id)
        self.real.post_event(request, word)

    # From the work.

    def on_run_ended(self, request_id: str, end: RunOutcome, result: bytes) -> None:
        if end is RunOutcome.NOT_STARTED:
            self.left(request_id)
            self.listener.on_run_ended(request_id, end, result)
            return
        self.over(
            request_id,
            Answer(200 if end is RunOutcome.COMPLETED else 0, result),
            lambda well: self.listener.on_run_ended(
                request_id, end if well else RunOutcome.FAILED, result if well else b""
            ),
        )

    def on_backend_run_ended(
        self, request: PendingRequest, word: RequestEvent, answer: Answer | None
    ) -> None:
        if word not in ENDS:
            self.left(request.request_id)
            self.listener.on_backend_run_ended(request, word, answer)
            return
        self.over(
            request.request_id,
            answer if answer is not None and word is RequestEvent.COMPLETED else Answer(0),
            lambda well: self.listener.on_backend_run_ended(
                request, word if well else RequestEvent.FAILED, answer if well else None
            ),
        )

    def on_command_refused(self, command: str, request_id: str) -> None:
        if command == "RUN":
            self.left(request_id)
        self.listener.on_command_refused(command, request_id)

    def over(self, request_id: str, answer: Answer, tell: Callable[[bool], None]) -> None:
        """A run is over: `tell` goes on once its end is on the disk, or with False where it can't
        be.
        """
        fit = self.fit()

        def ended() -> RecordWrite | LedgerAction:
            self.going.pop(key, None)
            self.ends[key] = tell
            well = answer.status == 200
            return self.ledger.end_run(
                clock.now(),
                key,
                answer.status if well else 0,
                answer.fields if well else (),
                answer.body if well else b"",
                fit,
            )

        with self.pen:
            key = self.keys.pop(request_id, None)
        if key is None:
            tell(True)
            return
        said = self.ruled(ended)
        if said is not None:
            self.carry(said, False)

    def left(self, request_id: str) -> None:
        """Nothing of it ran."""
        with self.pen:
            key = self.keys.pop(request_id, None)
            if key is None:
                return
            self.going.pop(key, None)
            self.ruled(lambda: self.ledger.abandon(clock.now(), key))

    # Through the disk.

    def ruled(self, rule: Callable[[], RecordWrite | LedgerAction | None]) -> LedgerAction | None:
        """What a rule says; what it wants written is queued before another rule is asked."""
        with self.pen:
            said = rule()
            while isinstance(said, RecordWrite):
                put = said
                queued = self.disk(
                    put.key, packed(put.record), lambda durable, put=put: self.told(put, durable)
                )
                said = None if queued else self.ledger.write_rejected(clock.now(), put)
            return said

    def told(self, put: RecordWrite, durable: bool) -> None:
        """The disk's word on a write, on the committer's thread."""
        self.metrics.increment("keys.kept" if durable else "keys.unkept")
        said = self.ruled(lambda: self.ledger.write_finished(clock.now(), put, durable))
        if said is not None:
            self.carry(said, False)

    def carry(self, act: LedgerAction, inside: bool) -> None:
        """`inside` the desk's lock, or on a thread that does not hold it."""
        with self.pen:
            tell = (
                self.ends.pop(act.key, None)
                if act.kind in (ActionKind.REPORT_END, ActionKind.REPORT_UNKNOWN)
                else None
            )
            request = self.going.get(act.key)
        if tell is not None:
            if act.kind is ActionKind.REPORT_UNKNOWN:
                self.metrics.increment("keys.unknown")
            tell(act.kind is ActionKind.REPORT_END)
        elif act.kind is ActionKind.REJECT and request is not None:
            self.metrics.increment("keys.unrun")
            self.left(request.request_id)
            (self.real.post_event if inside else self.real.notify)(
                request, RequestEvent.NO_CAPACITY
            )
        elif act.kind is ActionKind.RUN and request is not None:
            if inside:
                self.inner.start_run(request)
            else:
                self.real.handle(lambda: self.go(request), request)

    def go(self, request: PendingRequest) -> None:
        """Its note is durable: it runs, unless nobody waits for it any more."""
        if (
            self.real.requests.get(request.request_id) is request
            and not request.answered
            and not request.client_disconnected
        ):
            self.inner.start_run(request)
        else:
            self.left(request.request_id)
            self.real.controller.on_event(self.real.now, request, RequestEvent.NO_CAPACITY)

    def overdue(self, now: int) -> None:
        """Those that have waited for too long, for their run or for their end, go on without."""
        with self.pen:
            acts = self.ledger.time_out_writes(now)
        for act in acts:
            self.metrics.increment("keys.overdue")
            self.carry(act, False)
