"""The admission controller of one server.

A server creates one `AdmissionController` and passes the time, in whole microseconds, to each call.
The controller's decisions go to the server's `CommandExecutor`. `request_path` shows how a request
passes through them; each other module of this package makes one kind of decision.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

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

if TYPE_CHECKING:
    from gullyoke.admission.class_pools import ClassPools

TICKS_PER_LOG_LINE: Final = 100
BUSY_SHARE: Final = 0.9
"""Busy share of the cores above which the threshold binds."""
FEWEST_STATES: Final = 1.25
"""Fewest states of the learner, divided by the running requests that a warm server survives."""
MOST_STATES: Final = 2.5
"""Most states of the learner, divided likewise; fewer if memory holds fewer running requests."""
SMALLEST_REQUEST_KB: Final = 0.1
UNREAD_AGE_DIVISOR: Final = 4
"""Reading is behind if the last request was unread for over the mean objective divided by this."""


class AdmissionController:
    """Decides which requests one server admits, runs and rejects.

    Args:
        now: The time in microseconds.
        executor: Carries out the decisions.
        facts: What the settings of the site state.
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

    # Called by the server.

    def on_request(self, now: int, request: Request) -> None:
        """Start the path of a request that has just been read."""
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
        """Resume the path of a request with an event."""
        state = self.state
        state.now = now
        request.client_disconnected |= event is RequestEvent.CLIENT_DISCONNECTED
        if request in state.open_requests:
            state.resume(request, event)

    def begin_drain(self, notified_at: int, stop_at: int) -> None:
        """Start the drain.

        Args:
            notified_at: When the server was told to drain, from which the grace counts; earlier
                than the last call if this controller was created after that.
            stop_at: When the server stops.
        """
        self.safety.drain_notified_at = notified_at
        self.safety.stop_at = stop_at
        self.executor.set_health(False, True)

    def on_tick(self, now: int, gauges: Gauges) -> None:
        """Adjust all limits to the gauges, and give up the requests that would be too late."""
        state = self.state
        state.now = now
        self.executor.schedule_tick(TICK_US)  # first, so that an error below does not end the ticks
        if gauges.busy is None:
            gauges = gauges._replace(busy=min(1.0, state.running / state.machine.cores))
        self._adjust_limits(now, gauges)
        for request in self.queue.requests_too_late(now) + self.dependency.requests_to_skip(now):
            state.resume(request, RequestEvent.EVICTED)
        self._give_up_late_requests(now)

    def dispatch(self, now: int) -> None:
        """Start an episode if one is due, then the calls and runs for which there is capacity.

        The server calls this after each batch of other calls.
        """
        state = self.state
        state.now = now
        if state.learner is not None and state.learner.needs_episode:
            state.learner.count(now)
            self.executor.run_in_background(state.learner.start_episode())
        dependency = self.dependency
        while dependency.waiting and dependency.request_capacity(
            request := dependency.next_request(), now
        ):
            state.resume(request, RequestEvent.ADMITTED)
        self._dispatch_queue(now)

    def load_snapshot(self, now: int) -> LoadSnapshot:
        """Return the current load of the server."""
        state = self.state
        return LoadSnapshot(
            running=state.running,
            queued=self.queue.size,
            concurrency_limit=self.concurrency.limit,
            rejected_share=state.feedback.rejected_share,
            run_time_ratio=self.queue.run_time_ratio(),
            warming_up=self.safety.speed(now) < 1,
            draining=self.safety.drain_notified_at is not None,
        )

    # Steps of the calls above.

    def _make_learner(self, request: Request) -> Learner:
        """Create the learner, with a state for each running request that fits into memory.

        `FEWEST_STATES` and `MOST_STATES` bound the number of states. All requests are assumed to
        take as much memory as the first one.
        """
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
        """Answer requests that the next tick would answer too late, and stop worthless runs."""
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
        """Start queued requests in the order of the queue while there is capacity."""
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
        """Return whether the run can be stopped and its answer would be too late to earn value."""
        state = self.state
        return (
            request.state in ON_CORES
            and not request.request_class.late_value_share
            and state.can_cancel(request)
            and not request.answered
            and state.now > full_value_deadline(request)
        )

    def _is_reading_behind(self, now: int) -> bool:
        """Return whether the last request waited for long before it was read.

        While reading is behind, no request is dispatched, and reading gets the cores: a request
        that has to be rejected is then rejected while its client can still try another server, and
        not shortly before its deadline.
        """
        return (
            now - self.last_read_at < 2 * TICK_US
            and self.last_unread_age > self.mean_objective / UNREAD_AGE_DIVISOR
        )
