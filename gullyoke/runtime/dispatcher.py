"""The admission controller behind its one lock, and the requests in flight."""

from __future__ import annotations

import functools
import threading
from collections import deque
from collections.abc import Callable, Mapping
from typing import Final, NamedTuple

from gullyoke.admission.class_pools import ClassPools
from gullyoke.admission.controller import AdmissionController
from gullyoke.admission.interface import FAIL, CommandExecutor, Gauges, RequestEvent, SiteFacts
from gullyoke.runtime import clock
from gullyoke.runtime.background_worker import BackgroundWorker
from gullyoke.runtime.duplicate_table import DuplicateTable
from gullyoke.runtime.logs import log
from gullyoke.runtime.messages import Answer
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.pending_request import Outcome, PendingRequest

OVERDUE_LOCK_TIMEOUT_S: Final = 0.02  # how long an overdue request waits for the controller
MAX_PENDING_LOG_LINES: Final = 100


class ClassPoolSettings(NamedTuple):
    """Class pools as the operator stated them.

    Args:
        minimum: The share of what is completed that each pool gets at least, if it asks for it.
        classes: The pool of each request class that is named, by the class's name.
    """

    minimum: float
    classes: Mapping[str, str]


def _nothing_to_flush() -> None:
    """Stand in for the flush of an executor that writes its commands at once."""


class Dispatcher:
    """Serializes everything that the controller is told, and delivers each request's answer.

    `handle` is the only way to the controller. Nothing blocks under its lock: what a call brings
    about (answers, written commands, log lines) goes out after the lock is released.

    Args:
        facts: What is known of the site.
        metrics: The server's counters.
        flush: Writes the commands that were carried out in a call, after it; must not block.
        duplicates: The table of remembered requests; one in memory where none is given.

    Attributes:
        server: The controller; None until `open`.
        requests: The requests in flight by id; each leaves when its path has ended.
        duplicates: The table of remembered requests.
        background_work: The controller's long computations.
        now: When the last call of the controller began, in microseconds of the clock.
        stop_at: When the process stops; None until the drain begins.
        handling: Whether a thread is inside `handle` with the lock.
        deferred_events: Events that a call brought about, delivered before the lock is released.
        answer_gates: Gates of the requests answered in a call, opened after the lock is released.
        pending_log_lines: The controller's log lines, written after the lock is released.
    """

    def __init__(
        self,
        facts: SiteFacts,
        metrics: Metrics,
        flush: Callable[[], None] = _nothing_to_flush,
        duplicates: DuplicateTable | None = None,
    ) -> None:
        self.facts = facts
        self.metrics = metrics
        self.request_classes = {each.name: each for each in facts.request_classes}
        self.tenants = {each.name: each for each in facts.tenants}
        self.lock = threading.Lock()  # over the controller and all that its calls change
        self.answering = threading.Lock()  # over the outcome of every request
        self.server: AdmissionController | None = None
        self.executor: CommandExecutor | None = None
        self.requests: dict[str, PendingRequest] = {}
        if duplicates is None:
            duplicates = DuplicateTable(facts.fleet.read_cache_ttl)
        self.duplicates = duplicates
        self.background_work = BackgroundWorker(self.lock, metrics)
        self.deferred_events: deque[tuple[PendingRequest, RequestEvent]] = deque()
        self.answer_gates: list[threading.Lock] = []
        self.pending_log_lines: deque[str] = deque(maxlen=MAX_PENDING_LOG_LINES)
        self.handling = False
        self.now = clock.now()
        self.stop_at: int | None = None
        self._flush = flush
        self._class_pools: ClassPoolSettings | None = None

    def set_class_pools(self, minimum: float, classes: Mapping[str, str]) -> None:
        """Divide core time between pools of request classes, from `open` on.

        Args:
            minimum: As in `ClassPoolSettings`.
            classes: As in `ClassPoolSettings`.
        """
        self._class_pools = ClassPoolSettings(minimum, classes)

    def open(self, executor: CommandExecutor, started_at: int) -> None:
        """Create the controller; called once, when the engine is known to be up.

        Args:
            executor: What carries out the controller's commands.
            started_at: When the engine started, in microseconds of the clock.
        """
        with self.lock:
            self.executor = executor
            self.now = clock.now()
            pools = self._pools(started_at)
            self.server = AdmissionController(started_at, executor, self.facts, pools)
            if self.stop_at is not None:
                self.server.begin_drain(self.now, self.stop_at)

    def _pools(self, started_at: int) -> ClassPools | None:
        if self._class_pools is None:
            return None
        minimum, classes = self._class_pools
        pool_of = {each: classes.get(each.name, each) for each in self.facts.request_classes}
        return ClassPools(started_at, self.facts.machine.cores, pool_of, minimum)

    def handle(
        self, act: Callable[[], None], request: PendingRequest | None = None, patience: float = -1
    ) -> None:
        """Let `act` call the controller, then deliver what that brings about.

        Does nothing before `open`, or where the lock is not free in time.

        Args:
            act: Calls the controller; run under the lock.
            request: The request it is about, which fails if `act` raises.
            patience: How many seconds to wait for the lock; -1 for ever.
        """
        if not self.lock.acquire(timeout=patience):
            return
        try:
            if self.server is not None:
                self.now = clock.now()
                self.handling = True
                self._guarded(act, request)
                self._guarded(self._dispatch, None)
                while self.deferred_events:
                    late, event = self.deferred_events.popleft()
                    self._guarded(functools.partial(self._on_event, late, event), late)
                    self._guarded(self._dispatch, None)
        finally:
            answer_gates = self.answer_gates
            self.answer_gates = []
            self.handling = False
            self.lock.release()
        for gate in answer_gates:  # opened under the lock, their threads would only wait for it
            gate.release()
        self._flush()
        while self.pending_log_lines:
            log.info(self.pending_log_lines.popleft())

    def _guarded(self, act: Callable[[], None], request: PendingRequest | None) -> None:
        """Run `act`; an internal error in it costs the request it is about a failed answer."""
        try:
            act()
        except Exception:
            self.metrics.record_internal_error("decisions", request.request_id if request else "-")
            if request is not None:
                assert self.executor is not None
                self.executor.finished(request)

    # Run under the lock, through `handle`, and so only once the controller is there.

    def _dispatch(self) -> None:
        assert self.server is not None
        self.server.dispatch(self.now)

    def _on_event(self, request: PendingRequest, event: RequestEvent) -> None:
        assert self.server is not None
        self.server.on_event(self.now, request, event)

    def post_event(self, request: PendingRequest, event: RequestEvent) -> None:
        """Deliver an event that came up under the lock, before the lock is released."""
        self.deferred_events.append((request, event))

    def on_finished(self, request: PendingRequest) -> None:
        """Take out a request whose path has ended; one without an answer has failed.

        Called under the lock. Another request may have come under its id, and was rejected: only
        the one in flight is taken out.
        """
        if self.requests.get(request.request_id) is not request:
            return
        del self.requests[request.request_id]
        self.answer(request, FAIL)
        if request.key_entry is not None:
            for waiter in self.duplicates.run_ended(request, None, self.now):
                self.deferred_events.append((waiter, RequestEvent.FAILED))

    # From any thread.

    def notify(self, request: PendingRequest, event: RequestEvent) -> None:
        """Tell the controller of an event on a request in flight."""
        self.handle(functools.partial(self._on_event, request, event), request)

    def on_tick(self, gauges: Mapping[str, float]) -> None:
        """Tell the controller the gauges at a tick.

        Args:
            gauges: By the names in which the engine reports them; what is missing is not measured.
        """

        def act() -> None:
            assert self.server is not None
            self.server.on_tick(
                self.now,
                Gauges(
                    busy=gauges.get("core_use"),
                    runnable=gauges.get("on_cores"),
                    connections=gauges.get("links"),
                    capacity=gauges.get("room"),
                ),
            )

        self.handle(act)

    def begin_drain(self, stop_after: int) -> None:
        """Begin the drain: the process stops `stop_after` microseconds from now."""
        stop_at = clock.now() + stop_after
        self.stop_at = stop_at

        def act() -> None:
            assert self.server is not None
            self.server.begin_drain(self.now, stop_at)

        self.handle(act)

    def answer(
        self, request: PendingRequest, outcome: Outcome, answer: Answer | None = None
    ) -> None:
        """Give a request its one final answer; whatever comes after the first is ignored.

        Args:
            request: The request.
            outcome: What the answer says.
            answer: What the run answered, if it did.
        """
        with self.answering:
            if request.outcome is not None:
                return
            request.outcome = outcome
            request.answer = answer
        if self.handling:
            self.answer_gates.append(request.answer_gate)
        else:
            request.answer_gate.release()

    def fail_overdue(self, request: PendingRequest) -> None:
        """Answer an overdue request: the controller may once more, else it fails."""
        self.handle(
            functools.partial(self._on_event, request, RequestEvent.DEADLINE_NEAR),
            request,
            OVERDUE_LOCK_TIMEOUT_S,
        )
        self.metrics.increment("answers.overdue")
        self.answer(request, FAIL)
