"""The dispatcher serializes access to the admission controller and keeps the requests in flight."""

from __future__ import annotations

import functools
import threading
from collections import deque
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Final, NamedTuple

from gullyoke.admission.controller import AdmissionController
from gullyoke.admission.interface import (
    FAIL,
    CommandExecutor,
    Gauges,
    Reject,
    RequestEvent,
    SiteFacts,
)
from gullyoke.runtime import clock
from gullyoke.runtime.background_worker import BackgroundWorker
from gullyoke.runtime.duplicate_table import DuplicateTable
from gullyoke.runtime.logs import log
from gullyoke.runtime.messages import Answer
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.pending_request import Outcome, PendingRequest
from gullyoke.runtime.recent_runs import RecentRuns

if TYPE_CHECKING:
    from gullyoke.admission.class_pools import ClassPools

OVERDUE_LOCK_TIMEOUT_S: Final = 0.02  # how long an overdue request waits for the lock
MAX_PENDING_LOG_LINES: Final = 100


class ClassPoolSettings(NamedTuple):
    """The class pools of the operator's file.

    Args:
        minimum: The share of the completed work that each pool is guaranteed while it has demand.
        classes: The name of the pool of each listed request class, by the name of the class.
    """

    minimum: float
    classes: Mapping[str, str]


def _nothing_to_flush() -> None:
    """Do nothing: the default for executors that write their commands at once."""


class Dispatcher:
    """Serializes all calls of the admission controller, and delivers the answer of each request.

    Requests and events reach the controller through `handle` only. Nothing blocks under the lock:
    the results of a call (answers, commands, log lines) are written after the lock is released.

    Args:
        facts: The site's settings.
        metrics: The server's counters.
        flush: Called at the end of `handle` to write the controller's commands; must not block.
        duplicates: The duplicate table; None for one in memory.

    Attributes:
        controller: The admission controller; None until `create_controller`.
        requests: The requests in flight by id; each is removed when it is finished.
        recent_runs: The ids of the requests whose run has ended lately.
        duplicates: The duplicate table.
        background_work: Runs the controller's long computations.
        now: When the last call of the controller began, in microseconds of the clock.
        drain_notified_at: When the process was told to drain, in microseconds of the clock; None
            before that.
        stop_at: When the process stops; None until the drain begins.
        handling: Whether a thread is inside `handle` and holds the lock.
        deferred_events: Events caused by a call, delivered before the lock is released.
        answer_gates: The gates of the requests answered during a call, to release after the lock.
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
        self.lock = threading.Lock()  # guards the controller and all state that its calls change
        self.outcome_lock = threading.Lock()  # guards the outcome of every request
        self.controller: AdmissionController | None = None
        self.executor: CommandExecutor | None = None
        self.requests: dict[str, PendingRequest] = {}
        self.recent_runs = RecentRuns(max(each.timeout for each in facts.request_classes))
        if duplicates is None:
            duplicates = DuplicateTable(facts.fleet.read_cache_ttl)
        self.duplicates = duplicates
        self.background_work = BackgroundWorker(self.lock, metrics)
        self.deferred_events: deque[tuple[PendingRequest, RequestEvent]] = deque()
        self.answer_gates: list[threading.Lock] = []
        self.pending_log_lines: deque[str] = deque(maxlen=MAX_PENDING_LOG_LINES)
        self.handling = False
        self.now = clock.now()
        self.drain_notified_at: int | None = None
        self.stop_at: int | None = None
        self._flush = flush
        self._class_pools: ClassPoolSettings | None = None

    def set_class_pools(self, minimum: float, classes: Mapping[str, str]) -> None:
        """Divide core time between pools of request classes; called before `create_controller`.

        Args:
            minimum: As in `ClassPoolSettings`.
            classes: As in `ClassPoolSettings`.
        """
        self._class_pools = ClassPoolSettings(minimum, classes)

    def create_controller(self, executor: CommandExecutor, started_at: int) -> None:
        """Create the controller; called once, when the engine is known to be up.

        Args:
            executor: Carries out the controller's commands.
            started_at: When the engine started, in microseconds of the clock.
        """
        with self.lock:
            self.executor = executor
            self.now = clock.now()
            pools = self._create_class_pools(started_at)
            controller = AdmissionController(started_at, executor, self.facts, pools)
            if self.drain_notified_at is not None and self.stop_at is not None:
                controller.begin_drain(self.drain_notified_at, self.stop_at)
            self.controller = controller

    def _create_class_pools(self, started_at: int) -> ClassPools | None:
        if self._class_pools is None:
            return None
        from gullyoke.admission.class_pools import ClassPools  # only some operator's files need it

        minimum, classes = self._class_pools
        pool_of = {each: classes.get(each.name, each) for each in self.facts.request_classes}
        return ClassPools(started_at, self.facts.machine.cores, pool_of, minimum)

    def handle(
        self,
        act: Callable[[], None],
        request: PendingRequest | None = None,
        lock_timeout_s: float = -1,
    ) -> None:
        """Run `act`, which calls the controller, under the lock, and deliver the results.

        Does nothing before `create_controller`, or if the lock is not acquired in time.

        Args:
            act: Calls the controller.
            request: The request that the call concerns; it fails if `act` raises.
            lock_timeout_s: How many seconds to wait for the lock; -1 for no limit.
        """
        if not self.lock.acquire(timeout=lock_timeout_s):
            return
        try:
            if self.controller is not None:
                self.now = clock.now()
                self.handling = True
                self._run_guarded(act, request)
                self._run_guarded(self._dispatch, None)
                while self.deferred_events:
                    affected, event = self.deferred_events.popleft()
                    self._run_guarded(functools.partial(self._on_event, affected, event), affected)
                    self._run_guarded(self._dispatch, None)
        finally:
            answer_gates = self.answer_gates
            self.answer_gates = []
            self.handling = False
            self.lock.release()
        # If released under the lock, the threads that wait at the gates would wait for the lock.
        for gate in answer_gates:
            gate.release()
        self._flush()
        while self.pending_log_lines:
            log.info(self.pending_log_lines.popleft())

    def _run_guarded(self, act: Callable[[], None], request: PendingRequest | None) -> None:
        """Run `act`; if it raises, count the internal error and finish the request it concerns."""
        try:
            act()
        except Exception:
            self.metrics.record_internal_error("decisions", request.request_id if request else "-")
            if request is not None:
                assert self.executor is not None
                self.executor.finished(request)

    # Called under the lock, through `handle`, and therefore only after `create_controller`.

    def _dispatch(self) -> None:
        assert self.controller is not None
        self.controller.dispatch(self.now)

    def _on_event(self, request: PendingRequest, event: RequestEvent) -> None:
        assert self.controller is not None
        self.controller.on_event(self.now, request, event)

    def post_event(self, request: PendingRequest, event: RequestEvent) -> None:
        """Queue an event caused under the lock; `handle` delivers it before unlocking."""
        self.deferred_events.append((request, event))

    def on_finished(self, request: PendingRequest) -> None:
        """Remove a finished request; a request that has no answer yet gets a failure.

        Called under the lock. A second request with the same id may have been rejected: only the
        request in flight is removed.
        """
        if self.requests.get(request.request_id) is not request:
            return
        del self.requests[request.request_id]
        if request.started_at and not isinstance(request.outcome, Reject):
            self.recent_runs.add(request.request_id, self.now)
        self.answer(request, FAIL)
        if request.key_entry is not None:
            for waiter in self.duplicates.record_run_end(request, None, self.now):
                self.deferred_events.append((waiter, RequestEvent.FAILED))

    # Called from any thread.

    def notify(self, request: PendingRequest, event: RequestEvent) -> None:
        """Report an event on a request in flight to the controller."""
        self.handle(functools.partial(self._on_event, request, event), request)

    def on_tick(self, gauges: Mapping[str, float]) -> None:
        """Run a tick of the controller.

        Args:
            gauges: The gauges by the engine's names for them; a missing gauge was not measured.
        """

        def act() -> None:
            assert self.controller is not None
            self.controller.on_tick(
                self.now,
                Gauges(
                    busy=gauges.get("core_use"),
                    runnable=gauges.get("on_cores"),
                    connections=gauges.get("links"),
                    capacity=gauges.get("room"),
                ),
            )

        self.handle(act)

    def begin_drain(self, notified_at: int, stop_at: int) -> None:
        """Begin the drain, now or when the controller is created.

        Args:
            notified_at: When the process was told to drain, in microseconds of the clock.
            stop_at: When the process stops, in microseconds of the clock.
        """
        with self.lock:
            self.drain_notified_at = notified_at
            self.stop_at = stop_at

        def act() -> None:
            assert self.controller is not None
            self.controller.begin_drain(notified_at, stop_at)

        self.handle(act)

    def answer(
        self, request: PendingRequest, outcome: Outcome, answer: Answer | None = None
    ) -> None:
        """Set the final answer of a request; any later answer is ignored.

        Args:
            request: The request.
            outcome: The outcome of the request.
            answer: The answer of the run; None if there is none.
        """
        with self.outcome_lock:
            if request.outcome is not None:
                return
            request.outcome = outcome
            request.answer = answer
        if self.handling:
            self.answer_gates.append(request.answer_gate)
        else:
            request.answer_gate.release()

    def fail_overdue(self, request: PendingRequest) -> None:
        """Give the controller a last chance to answer an overdue request, then fail the request."""
        self.handle(
            functools.partial(self._on_event, request, RequestEvent.DEADLINE_NEAR),
            request,
            OVERDUE_LOCK_TIMEOUT_S,
        )
        self.metrics.increment("answers.overdue")
        self.answer(request, FAIL)
