"""The decisions of one server.

A server makes one `AdmissionController` and calls it with the clock in whole microseconds. The
decisions go out through its `CommandExecutor`. A request's way through them is to be read in
`request_path`; the other modules of this package decide one thing each. What is marked "not from
the paper" there was chosen by measurement; the paper is cited in `learner`.
"""

from __future__ import annotations

import math
from typing import Final

from gullyoke.admission.class_pools import ClassPools
from gullyoke.admission.concurrency_limiter import ConcurrencyLimiter
from gullyoke.admission.interface import (
    CommandExecutor,
    Gauges,
    Request,
    RequestEvent,
    SiteFacts,
)
from gullyoke.admission.learner import Learner
from gullyoke.admission.load_snapshot import LoadSnapshot
from gullyoke.admission.request_path import ON_CORES, RequestPaths
from gullyoke.admission.server_state import ServerState
from gullyoke.admission.timing import RUN_TIMES_PER_OBJECTIVE, TICK_US, full_value_deadline

TICKS_PER_LOG_LINE: Final = 100
BUSY_SHARE: Final = 0.9
"""Share of the cores that is busy from which the threshold binds."""
FEWEST_STATES: Final = 1.25
"""The learner's states, over the running requests that a warm server survives, at least."""
MOST_STATES: Final = 2.5
"""And at most, where memory holds so many running requests."""
SMALLEST_REQUEST_KB: Final = 0.1
UNREAD_AGE_SHARE: Final = 4
"""Reading is behind where a request was unread for the mean objective divided by this."""


class AdmissionController:
    """One server's decisions.

    Args:
        now: The time in microseconds.
        executor: What carries the decisions out.
        facts: What the site states.
        pools: Class pools; None for none.
    """

    def __init__(
        self,
        now: int,
        executor: CommandExecutor,
        facts: SiteFacts,
        pools: ClassPools | None = None,
    ) -> None:
        self.executor = executor
        self.state = ServerState(now, executor, facts, pools)
        self.paths = RequestPaths(self.state)
        self.queue = self.state.queue
        self.dependency = self.state.dependency
        self.safety = self.state.safety
        self.concurrency = ConcurrencyLimiter(facts.machine.cores)
        self.last_read_at = 0
        self.last_unread_age = 0
        objectives = [each.latency_objective for each in facts.request_classes]
        self.mean_objective = sum(objectives) / len(objectives)
        self.survivable_running = facts.machine.cores * facts.limits.overload_multiple
        executor.schedule_tick(TICK_US)

    @property
    def now(self) -> int:
        """The time of the last call, in microseconds."""
        return self.state.now

    @property
    def learner(self) -> Learner | None:
        """The learner; None before the first request."""
        return self.state.learner

    # What the server calls.

    def on_request(self, now: int, request: Request) -> None:
        """Begin the path of a request that was read now."""
        state = self.state
        state.now = now
        if state.learner is None:
            state.learner = self._make_learner(request)
        self.last_read_at = now
        self.last_unread_age = now - request.arrived
        request.path = self.paths.request_path(request)
        state.open_requests[request] = None
        state.resume(request, None)

    def on_event(self, now: int, request: Request, event: RequestEvent) -> None:
        """Continue the path of a request to which `event` has happened."""
        state = self.state
        state.now = now
        request.client_disconnected |= event is RequestEvent.CLIENT_DISCONNECTED
        if request in state.open_requests:
            state.resume(request, event)

    def begin_drain(self, now: int, stop_at: int) -> None:
        """Drain from now on; the server stops at `stop_at`."""
        state = self.state
        state.now = now
        self.safety.drain_started_at = now
        self.safety.stop_at = stop_at
        self.executor.set_health(False, True)

    def on_tick(self, now: int, gauges: Gauges) -> None:
        """Adjust all limits to the gauges, and give up the requests whose time is over."""
        state = self.state
        state.now = now
        self.executor.schedule_tick(TICK_US)  # first: an error further on must not end the ticks
        if gauges.busy is None:
            gauges = gauges._replace(busy=min(1.0, state.running / state.machine.cores))
        self._adjust_limits(now, gauges)
        for request in self.queue.requests_too_late(now) + self.dependency.requests_to_skip(now):
            state.resume(request, RequestEvent.EVICTED)
        self._give_up_late_requests(now)

    def dispatch(self, now: int) -> None:
        """Start an episode if one is needed, then calls and runs for which there is capacity.

        To be called after each batch of the other calls.
        """
        state = self.state
        state.now = now
        if state.learner is not None and state.learner.needs_episode:
            state.learner.count(now)
            self.executor.run_in_background(state.learner.start_episode())
        dependency = self.dependency
        while dependency.waiting and dependency.has_capacity(
            request := dependency.next_request(), now
        ):
            state.resume(request, RequestEvent.ADMITTED)
        self._dispatch_queue(now)

    def load_snapshot(self, now: int) -> LoadSnapshot:
        """Return how loaded the server is."""
        state = self.state
        return LoadSnapshot(
            running=state.running,
            queued=self.queue.size,
            concurrency_limit=self.concurrency.limit,
            rejected_share=state.feedback.rejected_share,
            pace=self.queue.pace(),
            warming_up=self.safety.speed(now) < 1,
            draining=self.safety.drain_started_at is not None,
        )

    # Steps of the calls.

    def _make_learner(self, request: Request) -> Learner:
        """Make the learner, with as many states as memory holds running requests, within bounds."""
        state = self.state
        runs_in_memory = state.machine.memory_kb / (
            max(request.memory_kb, SMALLEST_REQUEST_KB) * state.machine.running_memory_factor
        )
        max_requests = int(
            max(
                FEWEST_STATES * self.survivable_running,
                min(runs_in_memory, MOST_STATES * self.survivable_running),
            )
        )
        return Learner(
            state.now,
            max_requests,
            state.machine.cores,
            run_time=self.mean_objective / RUN_TIMES_PER_OBJECTIVE,
            holding_cost=1 / self.mean_objective,
        )

    def _adjust_limits(self, now: int, gauges: Gauges) -> None:
        """Adjust all limits at a tick."""
        state = self.state
        assert gauges.busy is not None
        run_capacity = math.inf if gauges.capacity is None else gauges.capacity
        if state.learner is not None:
            state.learner.count(now)
            state.learner.cores_busy = gauges.busy > BUSY_SHARE
            state.learner.run_capacity = run_capacity
            if now // TICK_US % TICKS_PER_LOG_LINE == 0:
                self.executor.log(state.learner.log_line())
        self.safety.expire_keys(now)
        self.dependency.adjust(now)
        ceiling = min(run_capacity, self.safety.max_on_cores(now))
        self.concurrency.adjust(gauges, self.queue.size, ceiling)
        state.feedback.signal_speed(self.safety.speed(now))
        state.feedback.adjust_idle_timeout(gauges.connections, state.fleet.callers)
        if state.pools is not None:
            state.pools.advance(now, state.running)
            state.pools.adjust(TICK_US, self.queue.size > 0)

    def _give_up_late_requests(self, now: int) -> None:
        """Answer what would be too late at the next tick, and stop runs that earn nothing."""
        state = self.state
        stopping = self.safety.is_stopping(now)
        for request in list(state.open_requests):
            if (
                not request.answered
                and not request.client_disconnected
                and (stopping or request.deadline <= now + TICK_US)
            ):
                state.resume(request, RequestEvent.DEADLINE_NEAR)
            elif self._is_worthless(request):
                state.resume(request, RequestEvent.EVICTED)

    def _dispatch_queue(self, now: int) -> None:
        """Give the cores to queued requests, in their turns, while there is capacity."""
        state = self.state
        max_on_cores = self.safety.max_on_cores(now)
        growth_factor = state.machine.running_memory_factor - 1
        while (request := self.queue.next_request()) is not None:
            if not self.safety.may_run(request, now) or self.queue.is_too_late(request, now):
                state.resume(request, RequestEvent.EVICTED)
                continue
            if (
                state.running >= int(self.concurrency.limit)
                or state.running + state.calling_dependency + 1 > max_on_cores
                or self._is_reading_behind(now)
                or not self.safety.has_memory(request.memory_kb * growth_factor)
            ):
                break
            state.resume(request, RequestEvent.ADMITTED)

    def _is_worthless(self, request: Request) -> bool:
        """Return whether a run can be stopped whose answer, being late, would earn nothing."""
        state = self.state
        return (
            request.state in ON_CORES
            and not request.request_class.late_value_share
            and state.can_cancel(request)
            and not request.answered
            and state.now > full_value_deadline(request)
        )

    def _is_reading_behind(self, now: int) -> bool:
        """Return whether requests have grown old before they were read.

        The cores go to reading first then, so that what has to be rejected is rejected while its
        client can still go elsewhere, and not all of it shortly before its deadline.
        """
        return (
            now - self.last_read_at < 2 * TICK_US
            and self.last_unread_age > self.mean_objective / UNREAD_AGE_SHARE
        )
