"""Routes runs to the back ends of a pool: sends, queues, retries and ends them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from gullyoke.admission.interface import Idempotency, RequestEvent
from gullyoke.routing.backend import Backend, BackendSettings
from gullyoke.routing.outcomes import EVENT_OF_OUTCOME, AttemptOutcome
from gullyoke.routing.pool import BackendPool, MembershipChange
from gullyoke.routing.retry_budget import RetryBudget
from gullyoke.routing.routed_run import RoutedRun
from gullyoke.routing.wait_queue import WaitQueue


class SendAttempt(NamedTuple):
    """Send the run to the back end."""

    run: RoutedRun
    backend: Backend


class RunEnded(NamedTuple):
    """The run is over: report `event` to the admission controller."""

    run: RoutedRun
    event: RequestEvent
    outcome: AttemptOutcome


RouterAction = SendAttempt | RunEnded


class PoolGauges(NamedTuple):
    """Load of the pool, as reported to the admission controller.

    Args:
        busy: Share of the capacity in use, from 0 to 1.
        runnable: Runs in flight or queued, scaled from the capacity to the configured cores.
        capacity: How many runs the pool takes at once.
    """

    busy: float
    runnable: float
    capacity: float


class Router:
    """Decides where runs go; its event methods return the resulting actions in order.

    Not thread-safe: the caller must hold a lock of its own.

    Attributes:
        retries: Number of retries so far.
    """

    def __init__(self, pool: BackendPool, budget: RetryBudget) -> None:
        self.pool = pool
        self.budget = budget
        self.queue = WaitQueue()
        self.retries = 0

    def begin(self, now: int, run: RoutedRun) -> list[RouterAction]:
        """Send or queue a new run, or end it at once if neither is possible."""
        self.budget.on_first_attempt()
        if not self.queue.runs:
            backend = self.pool.pick(now, run.idempotency)
            if backend is not None:
                return [self._send(now, run, backend)]
        if self.queue.add(run, self.pool.capacity(now)):
            return []
        return [RunEnded(run, RequestEvent.NO_CAPACITY, AttemptOutcome.NOT_STARTED)]

    def on_attempt_ended(
        self, now: int, run: RoutedRun, outcome: AttemptOutcome
    ) -> list[RouterAction]:
        """Process the end of the run's latest attempt, and dispatch queued runs."""
        self.pool.on_attempt_ended(now, run.attempted[-1], run, outcome)
        return [self._retry_or_end(now, run, outcome), *self.dispatch_queued(now)]

    def _retry_or_end(self, now: int, run: RoutedRun, outcome: AttemptOutcome) -> RouterAction:
        """Retry the run, or end it.

        A run whose attempt was certainly not started may be retried regardless of its idempotency;
        after a lost connection, a run is retried only if it is idempotent. Other outcomes end the
        run. A retry also needs a client that still waits, budget, time for a typical response
        before the deadline, and a back end that the run was not sent to before.
        """
        lost = outcome is AttemptOutcome.CONNECTION_LOST
        retryable = outcome is AttemptOutcome.NOT_STARTED or (
            lost and run.idempotency is Idempotency.IDEMPOTENT
        )
        run.may_have_run |= lost
        if (
            retryable
            and run.is_awaited()
            and self.budget.allows_retry()
            and now + self.pool.typical_us() < run.deadline
        ):
            backend = self.pool.pick(now, run.idempotency, run.attempted)
            if backend is not None:
                self.budget.spend()
                self.retries += 1
                return self._send(now, run, backend)
        event = EVENT_OF_OUTCOME[outcome]
        if event is RequestEvent.NO_CAPACITY and run.may_have_run:
            event = RequestEvent.FAILED  # NO_CAPACITY states that the request never ran
        return RunEnded(run, event, outcome)

    def _send(self, now: int, run: RoutedRun, backend: Backend) -> SendAttempt:
        run.attempted.append(backend)
        backend.on_sent(now, run)
        return SendAttempt(run, backend)

    def set_probe_gate(self, may_probe: Callable[[str], bool]) -> None:
        """Set the function that decides, by name, whether a back end may be probed now."""
        self.pool.may_probe = may_probe

    def cancel(self, run: RoutedRun) -> list[RouterAction]:
        """Mark a run as cancelled by the admission controller.

        A queued run ends at once; the executor ends one that is at a back end.
        """
        run.cancelled = True
        if self.queue.remove(run):
            return [RunEnded(run, RequestEvent.CANCELLED, AttemptOutcome.CANCELLED)]
        return []

    def configure(
        self, now: int, settings: Iterable[BackendSettings]
    ) -> tuple[list[RouterAction], MembershipChange]:
        """Replace the configured back ends; return the actions and the membership change."""
        change = self.pool.configure(now, settings)
        return self.dispatch_queued(now), change

    def dispatch_queued(self, now: int) -> list[RouterAction]:
        """Send or end queued runs; called after each attempt and at each poll of the gauges."""
        actions: list[RouterAction] = []
        if not self.queue.runs:
            return actions
        capacity = self.pool.capacity(now)
        for run in self.queue.remove_unservable(now, self.pool.typical_us(), capacity):
            actions.append(RunEnded(run, RequestEvent.NO_CAPACITY, AttemptOutcome.NOT_STARTED))
        while self.queue.runs:
            run = self.queue.runs[0]
            backend = self.pool.pick(now, run.idempotency)
            if backend is None:
                break
            self.queue.runs.popleft()
            actions.append(self._send(now, run, backend))
        return actions

    def gauges(self, now: int, cores: int) -> PoolGauges:
        """Return the load of the pool, expressed for a machine with `cores`.

        While all back ends are ejected, all cores count as busy.
        """
        capacity = self.pool.capacity(now)
        wanted = self.pool.in_flight(now) + len(self.queue.runs)
        if not capacity:
            return PoolGauges(1.0, float(max(cores, wanted)), 0.0)
        busy = min(1.0, wanted / capacity)
        return PoolGauges(busy, cores * wanted / capacity, float(capacity))
