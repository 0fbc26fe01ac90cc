"""The parts that decide for one server, and the counts of its requests."""

from __future__ import annotations

from typing import Final

from gullyoke.admission.class_pools import ClassPools
from gullyoke.admission.client_feedback import ClientFeedback
from gullyoke.admission.dependency_limiter import DependencyLimiter
from gullyoke.admission.fair_queue import FairQueue
from gullyoke.admission.interface import (
    CALLING_DEPENDENCY,
    FINISHED,
    QUEUED,
    RUNNING,
    CommandExecutor,
    Idempotency,
    Request,
    RequestEvent,
    RequestState,
    RequestStepper,
    SiteFacts,
    StopMode,
)
from gullyoke.admission.learner import Learner
from gullyoke.admission.safety_limits import SafetyLimits
from gullyoke.admission.tenant_quotas import TokenBucket

OPEN: Final = (QUEUED, RUNNING, CALLING_DEPENDENCY)
"""States in which a request is in some table."""
COUNTED: Final = (QUEUED, RUNNING)
"""States whose requests make up the learner's state."""


class ServerState:
    """What the controller and the paths of requests share.

    Args:
        now: The time in microseconds.
        executor: What carries the decisions out.
        facts: What the site states.
        pools: Class pools; None for none.
    """

    def __init__(
        self, now: int, executor: CommandExecutor, facts: SiteFacts, pools: ClassPools | None
    ) -> None:
        self.now = now
        self.machine = facts.machine
        self.fleet = facts.fleet
        self.stepper = RequestStepper(executor)
        self.safety = SafetyLimits(now, facts.machine, facts.limits)
        self.feedback = ClientFeedback(executor, facts.permissions, facts.fleet.feedback)
        self.dependency = DependencyLimiter(
            now,
            facts.dependency.call_quota,
            facts.dependency.quota_window,
            facts.dependency.linger,
            facts.dependency.slots,
        )
        self.queue = FairQueue(facts.request_classes, facts.fleet.weighs_by_work, self.dependency)
        self.pools = pools
        self.learner: Learner | None = None  # made with the first request
        self.tenant_buckets = {tenant: TokenBucket(now) for tenant in facts.tenants}
        self.open_requests: dict[Request, None] = {}  # in their order; each leaves at its end
        self.running = 0
        self.calling_dependency = 0

    def resume(self, request: Request, event: RequestEvent | None) -> None:
        """Continue a request's path; once it has ended, the request is in no table any more."""
        waits = False
        try:
            waits = self.stepper.step(request, event)
        finally:
            if not waits:
                self._forget(request)

    def _forget(self, request: Request) -> None:
        """Drop a request whose path has ended, or broken: then it is still in some tables."""
        was_open = self.open_requests.pop(request, request) is None
        if was_open and request.state in OPEN:
            if self.queue.contains(request):
                self.queue.remove(request)
            self.dependency.waiting = [
                other for other in self.dependency.waiting if other is not request
            ]
            self.move(request, FINISHED)

    def move(
        self, request: Request, state: RequestState, counted: bool = True, rejections: int = 0
    ) -> None:
        """Move a request into another state, in all counts.

        Args:
            request: The request.
            state: Its new state.
            counted: Whether the learner's state changes with it.
            rejections: 1 where the move is a rejection.
        """
        old_state = request.state
        if old_state is state:
            return
        request.state = state
        self.safety.memory_kb += request.memory_kb * (
            self._memory_factor(state) - self._memory_factor(old_state)
        )
        running_before = self.running
        self.running += (state is RUNNING) - (old_state is RUNNING)
        self.calling_dependency += (state is CALLING_DEPENDENCY) - (old_state is CALLING_DEPENDENCY)
        if self.pools is not None and self.running != running_before:
            self.pools.advance(self.now, running_before)
            if old_state is RUNNING:
                request.core_time += self.pools.virtual_core_time
            else:
                request.core_time -= self.pools.virtual_core_time
        change = (state in COUNTED) - (old_state in COUNTED)
        if change and counted:
            assert self.learner is not None
            self.learner.count(self.now, change, rejections)

    def _memory_factor(self, state: RequestState | None) -> float:
        """Return a request's memory in this state over that of a queued one."""
        if state is RUNNING or state is CALLING_DEPENDENCY:
            return self.machine.running_memory_factor
        return 1.0 if state is QUEUED else 0.0

    def queue_time(self) -> float:
        """Return how many microseconds the cores would take for all that is queued."""
        return self.queue.backlog() / self.machine.cores

    def can_cancel(self, request: Request) -> bool:
        """Return whether the machine can stop the run, and no effect would be left half made."""
        return (
            self.machine.stop_mode is not StopMode.NEVER
            and request.request_class.idempotency is Idempotency.IDEMPOTENT
        )
