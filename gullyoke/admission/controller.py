"""The decisions of one server, and the path that each request takes through them.

A server makes one `AdmissionController` and calls it with the clock in whole microseconds. The
decisions go out through its `CommandExecutor`; `request_path` is the place to read them in order.
The modules beside this one decide one thing each. What is marked "not from the paper" there was
chosen by measurement; the paper is cited in `learner`.
"""

from __future__ import annotations

import math
from collections.abc import Generator
from typing import Final

from gullyoke.admission.class_pools import ClassPools
from gullyoke.admission.client_feedback import ClientFeedback
from gullyoke.admission.concurrency_limiter import ConcurrencyLimiter
from gullyoke.admission.dependency_limiter import DependencyLimiter
from gullyoke.admission.fair_queue import FairQueue
from gullyoke.admission.interface import (
    AWAIT,
    AWAIT_DUPLICATE,
    CALLING_DEPENDENCY,
    CANCEL,
    ENQUEUE,
    FAIL,
    FINISHED,
    FORGET_KEY,
    PAST,
    QUEUED,
    RUN,
    RUNNING,
    SKIP_DEPENDENCY_CALL,
    CallDependency,
    Command,
    CommandExecutor,
    Gauges,
    Idempotency,
    Reject,
    RememberKey,
    Request,
    RequestClass,
    RequestEvent,
    RequestState,
    RequestStepper,
    SiteFacts,
    StopMode,
)
from gullyoke.admission.learner import Learner
from gullyoke.admission.load_snapshot import LoadSnapshot
from gullyoke.admission.safety_limits import SafetyLimits
from gullyoke.admission.tenant_quotas import TokenBucket
from gullyoke.admission.timing import (
    RUN_TIMES_PER_OBJECTIVE,
    TICK_US,
    full_value_deadline,
)

TICKS_PER_LOG_LINE: Final = 100
BUSY_SHARE: Final = 0.9
"""Share of the cores that is busy from which the threshold binds."""
LONG_QUEUE_SHARE: Final = 40
"""Pools bind where the queue takes longer than the mean objective divided by this."""
LARGEST_QUEUE_MEMORY_SHARE: Final = 0.5
"""Of the memory, queued requests leave so much free at most for runs to grow."""
STATES_OVER_RUNNING: Final = 1.25
"""The largest state, over the running requests that a warm server survives, at least."""
STATES_OVER_RUNNING_MAX: Final = 2.5
"""And at most."""
UNREAD_AGE_SHARE: Final = 4
"""Reading is behind where requests were unread for the mean objective divided by this."""
POOL_WAIT_FACTOR: Final = 3
"""A client that its class's pool rejects stays away for so many times the pool's wait."""

ON_CORES: Final = (RUNNING, CALLING_DEPENDENCY)
OPEN: Final = (QUEUED, RUNNING, CALLING_DEPENDENCY)
COUNTED: Final = (QUEUED, RUNNING)
"""States whose requests make up the learner's state."""

LOST_CALLS: Final = (RequestEvent.CALL_OUTCOME_UNKNOWN, RequestEvent.CALL_REPLY_LOST)
RUN_ENDS: Final = (
    RequestEvent.COMPLETED,
    RequestEvent.FAILED,
    RequestEvent.CANCELLED,
    RequestEvent.NOT_STARTED,
    RequestEvent.NO_CAPACITY,
)
CALL_NEEDS: Final = (
    RequestEvent.DEPENDENCY_CALL_NEEDED,
    RequestEvent.CALL_NOT_SENT,
    *LOST_CALLS,
)
GIVEN_UP: Final = (
    RequestEvent.DEADLINE_NEAR,
    RequestEvent.CLIENT_GONE,
    RequestEvent.EVICTED,
)

RequestPath = Generator[Command, RequestEvent, None]
SubPath = Generator[Command, RequestEvent, RequestEvent]


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
        self.now = now
        self.executor = executor
        self.stepper = RequestStepper(executor)
        self.machine = facts.machine
        self.fleet = facts.fleet
        self.pools = pools
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
        self.concurrency = ConcurrencyLimiter(facts.machine.cores)
        self.tenant_buckets = {tenant: TokenBucket(now) for tenant in facts.tenants}
        self.open_requests: dict[Request, None] = {}  # in their order; each leaves at its end
        self.running = 0
        self.calling_dependency = 0
        self.last_read_at = 0
        self.last_unread_age = 0
        objectives = [each.latency_objective for each in facts.request_classes]
        self.mean_objective = sum(objectives) / len(objectives)
        self.survivable_running = facts.machine.cores * facts.limits.overload_multiple
        self.learner: Learner | None = None  # made with the first request
        executor.schedule_tick(TICK_US)

    # What the server calls.

    def on_request(self, now: int, request: Request) -> None:
        """Begin the path of a request that was read now."""
        self.now = now
        if self.learner is None:
            self.learner = self._make_learner(request)
        self.last_read_at = now
        self.last_unread_age = now - request.arrived
        request.path = self.request_path(request)
        self.open_requests[request] = None
        self._resume(request, None)

    def on_event(self, now: int, request: Request, event: RequestEvent) -> None:
        """Continue the path of a request to which `event` has happened."""
        self.now = now
        request.client_gone |= event is RequestEvent.CLIENT_GONE
        if request in self.open_requests:
            self._resume(request, event)

    def begin_drain(self, now: int, stop_at: int) -> None:
        """Drain from now on; the server stops at `stop_at`."""
        self.now = now
        self.safety.drain_started_at = now
        self.safety.stop_at = stop_at
        self.executor.set_health(False, True)

    def on_tick(self, now: int, gauges: Gauges) -> None:
        """Adjust all limits to the gauges, and give up the requests whose time is over."""
        self.now = now
        self.executor.schedule_tick(TICK_US)  # first: an error further on must not end the ticks
        if gauges.busy is None:
            gauges = gauges._replace(busy=min(1.0, self.running / self.machine.cores))
        self._adjust_limits(now, gauges)
        for request in self.queue.requests_too_late(now) + self.dependency.requests_to_skip(now):
            self._resume(request, RequestEvent.EVICTED)
        self._give_up_late_requests(now)

    def dispatch(self, now: int) -> None:
        """Start an episode if one is due, then calls and runs for which there is capacity.

        To be called after each batch of the other calls.
        """
        self.now = now
        if self.learner is not None and self.learner.episode_due:
            self.learner.count(now)
            self.executor.run_in_background(self.learner.start_episode())
        dependency = self.dependency
        while dependency.waiting and dependency.has_capacity(
            request := dependency.next_request(), now
        ):
            self._resume(request, RequestEvent.ADMITTED)
        self._dispatch_queue(now)

    def load_snapshot(self, now: int) -> LoadSnapshot:
        """Return how loaded the server is."""
        return LoadSnapshot(
            running=self.running,
            queued=self.queue.size,
            concurrency_limit=self.concurrency.limit,
            rejected_share=self.feedback.rejected_share,
            pace=self.queue.pace(),
            warming_up=self.safety.speed(now) < 1,
            draining=self.safety.drain_started_at is not None,
        )

    # A request's path.

    def request_path(self, request: Request) -> RequestPath:
        """Take a request from its reading to its one final answer and its end."""
        request_class = request.request_class
        self._note_quota(request)
        if not self.safety.may_run(request, self.now):
            # A duplicate's first request may have run, so that "not run" could be wrong.
            yield FAIL if request.duplicate_of else self.feedback.reject(False, leaving=True)
            return
        is_keyed = request_class.idempotency is Idempotency.KEYED
        is_idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
        cache_ttl = self.fleet.read_cache_ttl if is_idempotent else 0
        if request.duplicate_of and (is_keyed or (cache_ttl and _has_begun(request.duplicate_of))):
            yield from self._answer_from_duplicate(request)
            return
        rejection = self._accept_or_reject(request)
        if rejection is not None:
            yield rejection
            return

        key_ttl = request_class.key_ttl if is_keyed else 0
        if key_ttl:
            self.safety.key_expiries[request] = self.now + key_ttl
            yield RememberKey(key_ttl)
        self.queue.add(request)
        self.feedback.count_decision(False)
        event = yield ENQUEUE
        self.queue.remove(request)
        if event is not RequestEvent.ADMITTED:
            yield from self._leave_queue(request, event)
            return

        self.queue.turn_taken(request)
        self._move(request, RUNNING)
        request.started_at = self.now
        if cache_ttl and request.has_key and self.safety.has_memory(self.machine.key_kb):
            duration = request_class.latency_objective + cache_ttl
            self.safety.key_expiries[request] = self.now + duration
            yield RememberKey(duration)
        event = yield RUN
        while event not in RUN_ENDS:
            if event is RequestEvent.CALL_SUCCEEDED:
                event = yield AWAIT
            elif event in CALL_NEEDS:
                event = yield from self._call_dependency(request, event)
            else:
                event = yield from self._abandon(request, event)
        self._move(request, FINISHED)
        if event is RequestEvent.NO_CAPACITY or event is RequestEvent.NOT_STARTED:
            yield from self._end_without_run(request, event)
        if event is not RequestEvent.NO_CAPACITY:
            self._count_run(request, event)

    def _accept_or_reject(self, request: Request) -> Reject | None:
        """Return the rejection of a request, or None once its state is queued."""
        request_class = request.request_class
        rejection = self._reject_hopeless(request)
        if rejection is not None:
            return rejection
        pools = self.pools
        # Pools act where there is a queue: what is dispatched at once is not theirs to reject.
        pools_bind = pools is not None and self._has_long_queue(request_class)
        if pools is not None and not pools.take(request_class) and pools_bind:
            self._count_rejection()
            pool_wait = pools.capacity_wait(request_class)
            return self.feedback.reject(False, backlog=POOL_WAIT_FACTOR * pool_wait)
        if not self._make_room(request):
            self._count_rejection()
            return self.feedback.reject(False)
        reserved = 0
        if pools is not None and pools_bind:
            reserved = pools.reserved_requests(request_class)
        return self._apply_threshold(request, reserved)

    def _reject_hopeless(self, request: Request) -> Reject | None:
        """Reject what could not be answered in time."""
        accepting = request.request_class.accepting
        # An answer at the next tick would come too late, or what runs need is not to be had.
        if request.deadline <= self.now + TICK_US or not accepting:
            return self.feedback.reject(accepting, leaving=not accepting)
        backlog = self.queue.backlog(request.request_class) / self.machine.cores
        assert self.learner is not None
        if self.learner.is_binding() and self.queue.is_too_late(request, self.now + int(backlog)):
            self._count_rejection()
            return self.feedback.reject(self.queue.is_too_late(request, self.now), backlog=backlog)
        return None

    def _has_long_queue(self, request_class: RequestClass) -> bool:
        """Return whether the threshold binds and the queue takes a while."""
        assert self.learner is not None
        if not self.learner.is_binding():
            return False
        return self._queue_time() > request_class.latency_objective / LONG_QUEUE_SHARE

    def _make_room(self, request: Request) -> bool:
        """Give up queued requests until the memory suffices; return False if it doesn't.

        Queued requests leave memory for some to run.
        """
        machine = self.machine
        free_cores = max(0, machine.cores - self.running - self.calling_dependency)
        spare_kb = min(
            LARGEST_QUEUE_MEMORY_SHARE * machine.memory_kb,
            free_cores * request.memory_kb * (machine.running_memory_factor - 1),
        )
        key_kb = machine.key_kb if _key_ttl(request.request_class) else 0
        while not self.safety.has_memory(request.memory_kb + spare_kb + key_kb):
            victim = self.queue.choose_victim(self.now, request)
            if victim is request:
                return False
            self._resume(victim, RequestEvent.EVICTED)
        return True

    def _apply_threshold(self, request: Request, reserved: int) -> Reject | None:
        """Queue the request if the learner admits it, or in the place of a worse one.

        Args:
            request: The request.
            reserved: Requests for which the threshold keeps places.

        Returns:
            The rejection, where the request itself is the worst.
        """
        assert self.learner is not None
        if self.learner.admits(reserved):
            self._move(request, QUEUED)
            return None
        self._count_rejection()
        victim = self.queue.choose_victim(self.now, request)
        if victim is request:
            return self.feedback.reject(False, backlog=self._queue_time())
        self._move(request, QUEUED, counted=False)
        victim.displaced = True  # by the newcomer: the learner's state stays as it is
        self._resume(victim, RequestEvent.EVICTED)
        return None

    def _leave_queue(self, request: Request, event: RequestEvent) -> RequestPath:
        """End the path of a request that never ran."""
        self._move(request, FINISHED, counted=not request.displaced, rejections=1)
        if _key_ttl(request.request_class):  # a later attempt may be the one that runs
            self.safety.key_expiries.pop(request, None)
            yield FORGET_KEY
        if event is not RequestEvent.CLIENT_GONE:
            hopeless = event is RequestEvent.DEADLINE_NEAR or self.queue.is_too_late(
                request, self.now
            )
            yield self.feedback.reject(hopeless, backlog=self._queue_time())

    def _call_dependency(self, request: Request, event: RequestEvent) -> SubPath:
        """Wait for a call's turn and make it, or go on without it, or give the run up."""
        request_class = request.request_class
        self._move(request, CALLING_DEPENDENCY)
        if request.answered or request.client_gone:
            return (yield from self._abandon(request, RequestEvent.DEADLINE_NEAR))
        is_idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
        late = self.now + self.dependency.expected_wait(self.now) > full_value_deadline(request)
        has_failed = event is not RequestEvent.DEPENDENCY_CALL_NEEDED
        if request_class.degraded_value_share > 0 and (late or has_failed):
            return (yield from self._skip_call(request))
        if late and not request_class.late_value_share and is_idempotent:
            return (yield from self._abandon(request, RequestEvent.EVICTED))
        if event in LOST_CALLS and not is_idempotent:  # the call may have had its effect
            return (yield from self._abandon(request, RequestEvent.DEADLINE_NEAR))
        if not self.dependency.has_capacity(request, self.now) or self.dependency.waiting:
            self.dependency.waiting.append(request)
            event = yield AWAIT
            self.dependency.waiting.remove(request)
            if event is RequestEvent.EVICTED and request_class.degraded_value_share > 0:
                return (yield from self._skip_call(request))
            if event is not RequestEvent.ADMITTED:
                return (yield from self._abandon(request, event))
        return (yield from self._make_call(request, is_idempotent))

    def _skip_call(self, request: Request) -> SubPath:
        """Let the run go on without its call."""
        self._move(request, RUNNING)
        return (yield SKIP_DEPENDENCY_CALL)

    def _make_call(self, request: Request, is_idempotent: bool) -> SubPath:
        """Make the call; return its end, or that it is needed again."""
        started_at = self.now
        timeout = self.dependency.call_timeout(request, self.now)
        self.dependency.call_started(timeout)
        event = yield CallDependency(timeout)
        while event in GIVEN_UP:
            event = yield from self._abandon(request, event)
        took = self.now - started_at
        lost_alone = self.dependency.call_ended(self.now, event, took, timeout)
        if event is RequestEvent.CALL_SUCCEEDED:
            self._move(request, RUNNING)
        if lost_alone and event in LOST_CALLS and is_idempotent:
            return RequestEvent.DEPENDENCY_CALL_NEEDED
        return event

    def _abandon(self, request: Request, event: RequestEvent) -> SubPath:
        """Answer a run that nobody waits for, if it must be, and cancel it where that is safe."""
        if not request.client_gone and not request.answered:
            request.answered = True
            yield self.feedback.reject(True) if event is RequestEvent.EVICTED else FAIL
        if self._can_cancel(request):
            yield CANCEL
        return (yield AWAIT)

    def _answer_from_duplicate(self, request: Request) -> RequestPath:
        """Answer a duplicate from its first request: it never runs beside it, nor is rejected."""
        # Too late for the next tick, or no memory. Its first request may have run: no rejection.
        if request.deadline <= self.now + TICK_US or not self.safety.has_memory(request.memory_kb):
            yield FAIL
            return
        self._move(request, QUEUED, counted=False)
        event = yield AWAIT_DUPLICATE
        self._move(request, FINISHED, counted=False)
        if event is RequestEvent.DEADLINE_NEAR:
            yield FAIL

    def _end_without_run(self, request: Request, event: RequestEvent) -> RequestPath:
        """End the path of a request whose run was never begun."""
        if self.safety.key_expiries.pop(request, None):
            yield FORGET_KEY  # a later attempt may be the one that runs
        has_client = not request.answered and not request.client_gone
        if event is RequestEvent.NO_CAPACITY and has_client:
            yield self.feedback.reject(False, backlog=self._queue_time())

    # Steps of the calls.

    def _make_learner(self, request: Request) -> Learner:
        """Make the learner, with as many states as memory holds running requests, within bounds."""
        runs_in_memory = self.machine.memory_kb / (
            max(request.memory_kb, 0.1) * self.machine.running_memory_factor
        )
        max_requests = int(
            max(
                STATES_OVER_RUNNING * self.survivable_running,
                min(runs_in_memory, STATES_OVER_RUNNING_MAX * self.survivable_running),
            )
        )
        return Learner(
            self.now,
            max_requests,
            self.machine.cores,
            run_time=self.mean_objective / RUN_TIMES_PER_OBJECTIVE,
            holding_cost=1 / self.mean_objective,
        )

    def _adjust_limits(self, now: int, gauges: Gauges) -> None:
        """Adjust all limits at a tick."""
        assert gauges.busy is not None
        run_capacity = math.inf if gauges.capacity is None else gauges.capacity
        if self.learner is not None:
            self.learner.count(now)
            self.learner.cores_busy = gauges.busy > BUSY_SHARE
            self.learner.run_capacity = run_capacity
            if now // TICK_US % TICKS_PER_LOG_LINE == 0:
                self.executor.log(self.learner.log_line())
        self.safety.expire_keys(now)
        self.dependency.adjust(now)
        ceiling = min(run_capacity, self.safety.max_on_cores(now))
        self.concurrency.adjust(gauges, self.queue.size, ceiling)
        self.feedback.signal_speed(self.safety.speed(now))
        self.feedback.adjust_idle_timeout(gauges.connections, self.fleet.callers)
        if self.pools is not None:
            self.pools.advance(now, self.running)
            self.pools.adjust(TICK_US, self.queue.size > 0)

    def _give_up_late_requests(self, now: int) -> None:
        """Answer what would be too late at the next tick, and stop runs that earn nothing."""
        stopping = self.safety.is_stopping(now)
        for request in list(self.open_requests):
            if (
                not request.answered
                and not request.client_gone
                and (stopping or request.deadline <= now + TICK_US)
            ):
                self._resume(request, RequestEvent.DEADLINE_NEAR)
            elif self._is_worthless(request):
                self._resume(request, RequestEvent.EVICTED)

    def _dispatch_queue(self, now: int) -> None:
        """Give the cores to queued requests, in their turns, while there is capacity."""
        max_on_cores = self.safety.max_on_cores(now)
        growth_factor = self.machine.running_memory_factor - 1
        while (request := self.queue.next_request()) is not None:
            if not self.safety.may_run(request, now) or self.queue.is_too_late(request, now):
                self._resume(request, RequestEvent.EVICTED)
                continue
            if (
                self.running >= int(self.concurrency.limit)
                or self.running + self.calling_dependency + 1 > max_on_cores
                or self._is_reading_behind(now)
                or not self.safety.has_memory(request.memory_kb * growth_factor)
            ):
                break
            self._resume(request, RequestEvent.ADMITTED)

    def _is_worthless(self, request: Request) -> bool:
        """Return whether a run can be stopped whose answer, being late, would earn nothing."""
        return (
            request.state in ON_CORES
            and not request.request_class.late_value_share
            and self._can_cancel(request)
            and not request.answered
            and self.now > full_value_deadline(request)
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

    def _can_cancel(self, request: Request) -> bool:
        """Return whether the machine can stop the run, and no effect would be left half made."""
        return (
            self.machine.stop_mode is not StopMode.NEVER
            and request.request_class.idempotency is Idempotency.IDEMPOTENT
        )

    def _queue_time(self) -> float:
        """Return how many microseconds the cores would take for all that is queued."""
        return self.queue.backlog() / self.machine.cores

    # Accounts.

    def _resume(self, request: Request, event: RequestEvent | None) -> None:
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
            self._move(request, FINISHED)

    def _move(
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
                request.core_time += -self.pools.virtual_core_time
        change = (state in COUNTED) - (old_state in COUNTED)
        if change and counted:
            assert self.learner is not None
            self.learner.count(self.now, change, rejections)

    def _memory_factor(self, state: RequestState | None) -> float:
        """Return a request's memory in this state over that of a queued one."""
        if state is RUNNING or state is CALLING_DEPENDENCY:
            return self.machine.running_memory_factor
        return 1.0 if state is QUEUED else 0.0

    def _count_rejection(self) -> None:
        """Count a rejected arrival in the learner."""
        assert self.learner is not None
        self.learner.count(self.now, 0, 1)

    def _count_run(self, request: Request, event: RequestEvent) -> None:
        """Learn from a run that has ended; one that broke off took at least so long."""
        request_class = request.request_class
        run_time = self.now - request.started_at
        completed = event is RequestEvent.COMPLETED
        if completed and self.pools is not None:
            self.pools.run_finished(request_class, request.core_time)
        if completed or run_time > self.queue.run_times[request_class]:
            self.queue.run_finished(request_class, run_time)

    def _note_quota(self, request: Request) -> None:
        """Note whether the request is over its tenant's quota, by this server's part of it."""
        tenant = request.tenant
        if tenant is None:
            return
        rate = tenant.leased_quota(self.now) or tenant.quota / max(1, self.fleet.size)
        within_quota = self.tenant_buckets[tenant].take(self.now, rate / 1e6)
        request.over_quota = not within_quota


def _has_begun(first: object) -> bool:
    """Return whether the first request of a duplicate was begun."""
    return first is PAST or (isinstance(first, Request) and first.state in ON_CORES)


def _key_ttl(request_class: RequestClass) -> int:
    """Return for how many microseconds the key of such a request is remembered while it waits."""
    return request_class.key_ttl if request_class.idempotency is Idempotency.KEYED else 0
