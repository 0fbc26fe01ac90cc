"""The way of a run through the pool: sent, queued, retried or ended."""

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
    """The run is over: report `event` to the decisions."""

    run: RoutedRun
    event: RequestEvent
    outcome: AttemptOutcome


RouterAction = SendAttempt | RunEnded


class PoolGauges(NamedTuple):
    """What the decisions hear of the pool.

    Args:
        busy: Share of the pool that is busy.
        runnable: Runs that want a core, scaled to the cores of the settings.
        capacity: How many runs the pool takes at once.
    """

    busy: float
    runnable: float
    capacity: float


class Router:
    """Every method takes the time and gives the actions that follow, in order.

    Not thread-safe: its caller guards it with a lock of its own.

    Attributes:
        retries: Retries so far.
    """

    def __init__(self, pool: BackendPool, budget: RetryBudget) -> None:
        self.pool = pool
        self.budget = budget
        self.queue = WaitQueue()
        self.retries = 0

    def begin(self, now: int, run: RoutedRun) -> list[RouterAction]:
        """A new run: sent, queued, or ended at once because it can't be run."""
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
        """The latest attempt of the run has ended."""
        self.pool.on_attempt_ended(now, run.attempted[-1], run, outcome)
        return [self._retry_or_end(now, run, outcome), *self.dispatch_queued(now)]

    def _retry_or_end(self, now: int, run: RoutedRun, outcome: AttemptOutcome) -> RouterAction:
        """A retry, or the end of the run.

        What is known not to have run may be retried whatever its idempotency, what may have run
        only where it may run again. No retry is made without budget, without time left for a
        typical answer, or at a back end that the run was at.
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
            event = RequestEvent.FAILED  # no promise that it never ran: an earlier attempt may have
        return RunEnded(run, event, outcome)

    def _send(self, now: int, run: RoutedRun, backend: Backend) -> SendAttempt:
        run.attempted.append(backend)
        backend.on_sent(now, run)
        return SendAttempt(run, backend)

    def set_probe_gate(self, may_probe: Callable[[str], bool]) -> None:
        """Ask `may_probe` before a back end of that name is probed."""
        self.pool.may_probe = may_probe

    def cancel(self, run: RoutedRun) -> list[RouterAction]:
        """The decisions asked for its end.

        A queued run ends at once; one at a back end is ended by its executor.
        """
        run.cancelled = True
        if self.queue.remove(run):
            return [RunEnded(run, RequestEvent.CANCELLED, AttemptOutcome.CANCELLED)]
        return []

    def configure(
        self, now: int, settings: Iterable[BackendSettings]
    ) -> tuple[list[RouterAction], MembershipChange]:
        """Replace the configured back ends: what follows, and who was added and drains."""
        change = self.pool.configure(now, settings)
        return self.dispatch_queued(now), change

    def dispatch_queued(self, now: int) -> list[RouterAction]:
        """Send or end queued runs: called whenever an attempt has ended and at each tick."""
        actions: list[RouterAction] = []
        if not self.queue.runs:
            return actions
        capacity = self.pool.capacity(now)
        for run in self.queue.take_hopeless(now, self.pool.typical_us(), capacity):
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
        """The state of the pool in terms of a machine with `cores`.

        With all back ends ejected no core is free.
        """
        capacity = self.pool.capacity(now)
        wanted = self.pool.in_flight(now) + len(self.queue.runs)
        if not capacity:
            return PoolGauges(1.0, float(max(cores, wanted)), 0.0)
        busy = min(1.0, wanted / capacity)
        return PoolGauges(busy, cores * wanted / capacity, float(capacity))
