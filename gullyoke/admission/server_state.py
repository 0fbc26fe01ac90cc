"""The parts of one server's admission controller, and the counts of its requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

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

if TYPE_CHECKING:
    from gullyoke.admission.class_pools import ClassPools

OPEN: Final = (QUEUED, RUNNING, CALLING_DEPENDENCY)
"""States in which a request is in a table of the controller."""
COUNTED: Final = (QUEUED, RUNNING)
"""States whose requests count in the learner's state."""


class ServerState:
    """The state that the controller and the request paths share.

    Args:
        now: The time in microseconds.
        executor: Carries out the decisions.
        facts: What the settings of the site state.
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
        self.learner: Learner | None = None  # created at the first request
        self.tenant_buckets = {tenant: TokenBucket(now) for tenant in facts.tenants}
        # In the order in which the requests were read; each is dropped when its path ends.
        self.open_requests: dict[Request, None] = {}
        self.running = 0
        self.calling_dependency = 0

    def resume(self, request: Request, event: RequestEvent | None) -> None:
        """Resume the path of a request; if the path ends, drop the request from all tables."""
        suspended = False
        try:
            suspended = self.stepper.step(request, event)
        finally:
            if not suspended:
                self._forget(request)

    def _forget(self, request: Request) -> None:
        """Drop a request whose path has ended; after an error some tables still hold it."""
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
        """Move a request into another state, and update all counts.

        Args:
            request: The request.
            state: Its new state.
            counted: Whether the learner counts the change.
            rejections: 1 if the request is rejected by the move, or else 0.
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
        """Return a request's memory in this state divided by that of a queued request."""
        if state is RUNNING or state is CALLING_DEPENDENCY:
            return self.machine.running_memory_factor
        return 1.0 if state is QUEUED else 0.0

    def queue_time(self) -> float:
        """Return how many microseconds the cores would take for all queued requests."""
        return self.queue.backlog() / self.machine.cores

    def can_cancel(self, request: Request) -> bool:
        """Return whether the run can be stopped, without leaving an effect half done."""
        return (
            self.machine.stop_mode is not StopMode.NEVER
            and request.request_class.idempotency is Idempotency.IDEMPOTENT
        )
