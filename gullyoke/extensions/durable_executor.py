"""An executor that makes key records durable before runs start and before their ends are reported.

It lies between the dispatcher and the executor that runs the requests. One lock is held while the
key ledger (gullyoke/durability/key_ledger.py) is called and its writes are queued for the disk, so
that the disk gets the writes of a key in the ledger's order. Nothing waits for the disk under this
lock.
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

RECORD_KEY_PREFIX = "n"  # the first character of the key of each record
BODY_DIGEST_BYTES = 16
END_EVENTS = (RequestEvent.COMPLETED, RequestEvent.FAILED, RequestEvent.CANCELLED)

encode = msgspec.msgpack.Encoder().encode
_decode_record = msgspec.msgpack.Decoder(
    tuple[int, int, int, int, int, tuple[tuple[str, str], ...], bytes, bytes]
).decode
_decode_record_without_digest = msgspec.msgpack.Decoder(
    tuple[int, int, int, int, int, tuple[tuple[str, str], ...], bytes]
).decode

QueueWrite = Callable[[str, bytes | None, Callable[[bool], None]], bool]


def record_key(request_class: str, key: str) -> str:
    """Return the key under which a request's record is stored."""
    return (
        RECORD_KEY_PREFIX + blake2b(f"{request_class}\0{key}".encode(), digest_size=16).hexdigest()
    )


def body_digest(key: str, body: bytes) -> bytes:
    """Return what tells the body of a request apart from others under the same idempotency key.

    The digest is keyed with the idempotency key, which is not stored: whoever reads the store can't
    even try out bodies.
    """
    secret = blake2b(key.encode()).digest()
    return blake2b(body, digest_size=BODY_DIGEST_BYTES, key=secret).digest()


def pack_key_record(record: KeyRecord | None) -> bytes | None:
    """Return a record in its stored form; for None, return None, which removes the record."""
    if record is None:
        return None
    return encode(tuple(record) if record.body_digest else tuple(record)[:-1])


def unpack_key_record(data: bytes) -> KeyRecord | None:
    """Return a stored record, with or without a body digest; None if the data is invalid."""
    for decode in (_decode_record, _decode_record_without_digest):
        try:
            phase, *rest = decode(data)
            return KeyRecord(RunPhase(phase), *rest)
        except (msgspec.MsgspecError, ValueError):
            continue
    return None


def needs_record(request: PendingRequest) -> bool:
    """Return whether a request needs a record: it has a key and is not idempotent."""
    return bool(request.key) and request.request_class.idempotency is not Idempotency.IDEMPOTENT


class DurableExecutor:
    """Delays runs and the reports of their ends until their records are durable.

    The entries of a request are removed at the end of its run, or when it is abandoned before.

    Attributes:
        pending_requests: the requests whose records are being written or that run, by key.
        key_by_request: the keys of these requests, by request id.
        end_reports: by key, a function to call with whether the end of the run is durable.
    """

    def __init__(
        self,
        inner: Executor,
        dispatcher: Dispatcher,
        ledger: KeyLedger,
        disk_accepts: Callable[[], bool],
        queue_write: QueueWrite,
        metrics: Metrics,
    ) -> None:
        """Create the executor.

        Args:
            inner: the executor that runs the requests.
            dispatcher: the dispatcher.
            ledger: decides what has to be durable.
            disk_accepts: returns whether the disk accepts writes that requests wait for.
            queue_write: queues a write; returns whether that was possible.
            metrics: counts the outcomes.
        """
        self.inner, self._dispatcher, self.ledger, self.disk_accepts, self.queue_write = (
            inner,
            dispatcher,
            ledger,
            disk_accepts,
            queue_write,
        )
        self.metrics, self.lock = metrics, threading.RLock()
        self.pending_requests: dict[str, PendingRequest] = {}
        self.key_by_request: dict[str, str] = {}
        self.end_reports: dict[str, Callable[[bool], None]] = {}
        self.send_call_reply, self.skip_call, self.cancel_run, self.flush = (
            inner.send_call_reply,
            inner.skip_call,
            inner.cancel_run,
            inner.flush,
        )
        self.poll_gauges, self.update_address = inner.poll_gauges, inner.update_address

    def start(self, listener: ExecutorListener) -> None:
        """Start the inner executor, with this one as its listener."""
        self.listener = listener
        self.on_notice_read = listener.on_notice_read
        self.on_call_needed = listener.on_call_needed
        self.on_call_reply_unconfirmed = listener.on_call_reply_unconfirmed
        self.on_engine_hello = listener.on_engine_hello
        self.on_gauges = listener.on_gauges
        self.is_in_flight = listener.is_in_flight
        self.inner.start(self)

    # Called by the dispatcher, under its lock.

    def start_run(self, request: PendingRequest) -> None:
        """Start the run of a request; if it needs a record, only once that record is durable."""
        if not needs_record(request):
            self.inner.start_run(request)
            return
        key, now, keyed_class, disk_ok = (
            record_key(request.request_class.name, request.key),
            self._dispatcher.now,
            request.request_class,
            self.disk_accepts(),
        )
        window_end = max(now, request.arrived) + (keyed_class.key_ttl or 2 * keyed_class.timeout)

        def begin_run() -> RecordWrite | LedgerAction:
            if self.ledger.find(request.arrived, key) is None:
                self.pending_requests[key], self.key_by_request[request.request_id] = request, key
            return self.ledger.request_run(
                now,
                key,
                request.arrived,
                window_end,
                request.deadline,
                self._dispatcher.controller.queue.run_times[keyed_class],
                disk_ok,
                body_digest(request.key, request.message.body),
            )

        action = self.call_ledger(begin_run)
        # The request is a duplicate of one that may have run before.
        if action is not None and action.kind is ActionKind.REPORT_DUPLICATE:
            self.metrics.increment("keys.known")
            self._dispatcher.post_event(request, RequestEvent.FAILED)
        elif action is not None:
            self.perform(action, True)

    def post_event(self, request: PendingRequest, event: RequestEvent) -> None:
        """Deliver an event of a run; abandon the request's record if the run did not start."""
        if event in (RequestEvent.NO_CAPACITY, RequestEvent.NOT_STARTED):
            self.abandon_request(request.request_id)
        self._dispatcher.post_event(request, event)

    # Called by the inner executor.

    def on_run_ended(self, request_id: str, end: RunOutcome, result: bytes) -> None:
        """Report the end of a run at the engine once its record is durable."""
        if end is RunOutcome.NOT_STARTED:
            self.abandon_request(request_id)
            self.listener.on_run_ended(request_id, end, result)
            return
        self.record_end(
            request_id,
            Answer(200 if end is RunOutcome.COMPLETED else 0, result),
            lambda durable: self.listener.on_run_ended(
                request_id, end if durable else RunOutcome.FAILED, result if durable else b""
            ),
        )

    def on_backend_run_ended(
        self, request: PendingRequest, event: RequestEvent, answer: Answer | None
    ) -> None:
        """Report the end of a run at a back end once its record is durable."""
        if event not in END_EVENTS:
            self.abandon_request(request.request_id)
            self.listener.on_backend_run_ended(request, event, answer)
            return
        self.record_end(
            request.request_id,
            answer if answer is not None and event is RequestEvent.COMPLETED else Answer(0),
            lambda durable: self.listener.on_backend_run_ended(
                request, event if durable else RequestEvent.FAILED, answer if durable else None
            ),
        )

    def on_command_refused(self, command: str, request_id: str) -> None:
        """Abandon the request where the engine has refused its run."""
        if command == "RUN":
            self.abandon_request(request_id)
        self.listener.on_command_refused(command, request_id)

    def record_end(self, request_id: str, answer: Answer, tell: Callable[[bool], None]) -> None:
        """Record the end of a run, then call `tell` with whether it is durable."""
        disk_ok = self.disk_accepts()

        def finish_run() -> RecordWrite | LedgerAction:
            self.pending_requests.pop(key, None)
            self.end_reports[key] = tell
            completed = answer.status == 200
            return self.ledger.end_run(
                clock.now(),
                key,
                answer.status if completed else 0,
                answer.fields if completed else (),
                answer.body if completed else b"",
                disk_ok,
            )

        with self.lock:
            key = self.key_by_request.pop(request_id, None)
        if key is None:
            tell(True)
            return
        action = self.call_ledger(finish_run)
        if action is not None:
            self.perform(action, False)

    def abandon_request(self, request_id: str) -> None:
        """Abandon the record of a request that has not run."""
        with self.lock:
            key = self.key_by_request.pop(request_id, None)
            if key is None:
                return
            self.pending_requests.pop(key, None)
            self.call_ledger(lambda: self.ledger.abandon(clock.now(), key))

    # The ledger and its writes.

    def call_ledger(
        self, call: Callable[[], RecordWrite | LedgerAction | None]
    ) -> LedgerAction | None:
        """Call the ledger with `call`, then queue the write or return the action that it returns.

        The write is queued under the lock, before the ledger can return another one.
        """
        with self.lock:
            outcome = call()
            while isinstance(outcome, RecordWrite):
                write = outcome
                queued = self.queue_write(
                    write.key,
                    pack_key_record(write.record),
                    lambda durable, write=write: self.on_write_finished(write, durable),
                )
                outcome = None if queued else self.ledger.write_rejected(clock.now(), write)
            return outcome

    def on_write_finished(self, write: RecordWrite, durable: bool) -> None:
        """Pass the outcome of a write to the ledger; called on the committer's thread."""
        self.metrics.increment("keys.kept" if durable else "keys.unkept")
        action = self.call_ledger(lambda: self.ledger.write_finished(clock.now(), write, durable))
        if action is not None:
            self.perform(action, False)

    def perform(self, action: LedgerAction, locked: bool) -> None:
        """Carry out an action of the ledger.

        Args:
            action: the action.
            locked: whether the caller holds the dispatcher's lock.
        """
        with self.lock:
            tell = (
                self.end_reports.pop(action.key, None)
                if action.kind in (ActionKind.REPORT_END, ActionKind.REPORT_UNKNOWN)
                else None
            )
            request = self.pending_requests.get(action.key)
        if tell is not None:
            if action.kind is ActionKind.REPORT_UNKNOWN:
                self.metrics.increment("keys.unknown")
            tell(action.kind is ActionKind.REPORT_END)
        elif action.kind is ActionKind.REJECT and request is not None:
            self.metrics.increment("keys.unrun")
            self.abandon_request(request.request_id)
            (self._dispatcher.post_event if locked else self._dispatcher.notify)(
                request, RequestEvent.NO_CAPACITY
            )
        elif action.kind is ActionKind.RUN and request is not None:
            if locked:
                self.inner.start_run(request)
            else:
                self._dispatcher.handle(lambda: self.start_recorded_run(request), request)

    def start_recorded_run(self, request: PendingRequest) -> None:
        """Start a request whose record is durable, unless no client waits for it any more."""
        if (
            self._dispatcher.requests.get(request.request_id) is request
            and not request.answered
            and not request.client_disconnected
        ):
            self.inner.start_run(request)
        else:
            self.abandon_request(request.request_id)
            self._dispatcher.controller.on_event(
                self._dispatcher.now, request, RequestEvent.NO_CAPACITY
            )

    def apply_timeouts(self, now: int) -> None:
        """Act on the requests whose writes are not durable in time, as the policy says."""
        with self.lock:
            actions = self.ledger.time_out_writes(now)
        for action in actions:
            self.metrics.increment("keys.overdue")
            self.perform(action, False)
