"""The path of each request through the admission controller."""

from __future__ import annotations

from collections.abc import Generator
from typing import Final

from gullyoke.admission.arrivals import ArrivalDecisions, key_ttl
from gullyoke.admission.interface import (
    AWAIT,
    AWAIT_DUPLICATE,
    CALLING_DEPENDENCY,
    CANCEL,
    ENQUEUE,
    FAIL,
    FINISHED,
    FORGET_KEY,
    QUEUED,
    REMEMBERED_REQUEST,
    RUN,
    RUNNING,
    SKIP_DEPENDENCY_CALL,
    CallDependency,
    Command,
    Idempotency,
    RememberKey,
    Request,
    RequestEvent,
)
from gullyoke.admission.server_state import ServerState
from gullyoke.admission.timing import TICK_US, full_value_deadline

ON_CORES: Final = (RUNNING, CALLING_DEPENDENCY)

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
    RequestEvent.CLIENT_DISCONNECTED,
    RequestEvent.EVICTED,
)

RequestPath = Generator[Command, RequestEvent, None]
SubPath = Generator[Command, RequestEvent, RequestEvent]
"""A part of a path; it returns the event with which the path continues."""


class RequestPaths:
    """Creates the paths of one server's requests; start reading at `request_path`.

    Args:
        state: The server's state.
    """

    def __init__(self, state: ServerState) -> None:
        self.state = state
        self.arrivals = ArrivalDecisions(state)

    def request_path(self, request: Request) -> RequestPath:
        """Process a request from its arrival to its one final answer and its end."""
        state = self.state
        request_class = request.request_class
        self._count_against_quota(request)
        if not state.safety.may_run(request, state.now):
            # A duplicate's first request may have run, so rejecting the duplicate could be wrong.
            yield FAIL if request.duplicate_of else state.feedback.reject(False, unavailable=True)
            return
        is_keyed = request_class.idempotency is Idempotency.KEYED
        is_idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
        cache_ttl = state.fleet.read_cache_ttl if is_idempotent else 0
        if request.duplicate_of and (is_keyed or (cache_ttl and _has_begun(request.duplicate_of))):
            yield from self._answer_from_duplicate(request)
            return
        if request.duplicate_of and not is_idempotent:
            yield FAIL  # the first request may have run, and rejecting this one would deny it
            return
        rejection = self.arrivals.accept_or_reject(request)
        if rejection is not None:
            yield rejection
            return

        key_duration = key_ttl(request_class)
        if key_duration:
            state.safety.key_expiries[request] = state.now + key_duration
            yield RememberKey(key_duration)
        state.queue.add(request)
        state.feedback.count_decision(False)
        event = yield ENQUEUE
        state.queue.remove(request)
        if event is RequestEvent.ADMITTED:
            yield from self._run(request, cache_ttl)
        else:
            yield from self._leave_queue(request, event)

    def _run(self, request: Request, cache_ttl: int) -> RequestPath:
        """Run a request, with its dependency calls, to its end.

        Args:
            request: The request.
            cache_ttl: Microseconds for which the answer may serve duplicates after it was given.
        """
        state = self.state
        state.queue.advance_virtual_time(request)
        state.move(request, RUNNING)
        request.started_at = state.now
        if cache_ttl and request.has_key and state.safety.has_memory(state.machine.key_kb):
            duration = request.request_class.latency_objective + cache_ttl
            state.safety.key_expiries[request] = state.now + duration
            yield RememberKey(duration)
        event = yield RUN
        while event not in RUN_ENDS:
            if event is RequestEvent.CALL_SUCCEEDED:
                event = yield AWAIT
            elif event is RequestEvent.CALL_REPLY_UNCONFIRMED:
                event = yield from self._continue_without_reply(request)
            elif event in CALL_NEEDS:
                event = yield from self._call_dependency(request, event)
            else:
                event = yield from self._abandon(request, event)
        state.move(request, FINISHED)
        if event is RequestEvent.NO_CAPACITY or event is RequestEvent.NOT_STARTED:
            yield from self._end_without_run(request, event)
        if event is not RequestEvent.NO_CAPACITY:
            self._count_run(request, event)

    def _leave_queue(self, request: Request, event: RequestEvent) -> RequestPath:
        """End the path of a request that never ran."""
        state = self.state
        state.move(request, FINISHED, counted=not request.displaced, rejections=1)
        if key_ttl(request.request_class):  # a later attempt may run instead
            state.safety.key_expiries.pop(request, None)
            yield FORGET_KEY
        if event is not RequestEvent.CLIENT_DISCONNECTED:
            too_late = event is RequestEvent.DEADLINE_NEAR or state.queue.is_too_late(
                request, state.now
            )
            yield state.feedback.reject(too_late, backlog=state.queue_time())

    def _call_dependency(self, request: Request, event: RequestEvent) -> SubPath:
        """Wait for capacity and make a call, or continue without the call, or abandon the run."""
        state = self.state
        request_class = request.request_class
        state.move(request, CALLING_DEPENDENCY)
        if request.answered or request.client_disconnected:
            return (yield from self._abandon(request, RequestEvent.DEADLINE_NEAR))
        is_idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
        late = state.now + state.dependency.expected_wait(state.now) > full_value_deadline(request)
        has_failed = event is not RequestEvent.DEPENDENCY_CALL_NEEDED
        if request_class.degraded_value_share > 0 and (late or has_failed):
            return (yield from self._skip_call(request))
        if late and not request_class.late_value_share and is_idempotent:
            return (yield from self._abandon(request, RequestEvent.EVICTED))
        if event in LOST_CALLS and not is_idempotent:  # the call may have taken effect
            return (yield from self._abandon(request, RequestEvent.DEADLINE_NEAR))
        if not state.dependency.request_capacity(request, state.now) or state.dependency.waiting:
            state.dependency.waiting.append(request)
            event = yield AWAIT
            state.dependency.waiting.remove(request)
            if event is RequestEvent.EVICTED and request_class.degraded_value_share > 0:
                return (yield from self._skip_call(request))
            if event is not RequestEvent.ADMITTED:
                return (yield from self._abandon(request, event))
        return (yield from self._make_call(request, is_idempotent))

    def _skip_call(self, request: Request) -> SubPath:
        """Resume the run without its call."""
        state = self.state
        state.move(request, RUNNING)
        return (yield SKIP_DEPENDENCY_CALL)

    def _continue_without_reply(self, request: Request) -> SubPath:
        """Skip the call of a run that may have missed its reply, or wait for the run's next event.

        The skip names its call, so a run that has got the reply ignores it. The reply names none:
        sent again, it could answer the run's next call.
        """
        needs_answer = not request.answered and not request.client_disconnected
        if needs_answer and request.request_class.degraded_value_share > 0:
            return (yield SKIP_DEPENDENCY_CALL)
        return (yield AWAIT)

    def _make_call(self, request: Request, is_idempotent: bool) -> SubPath:
        """Make the call.

        Returns:
            The event that ended the call; `DEPENDENCY_CALL_NEEDED` if it has to be repeated.
        """
        state = self.state
        started_at = state.now
        timeout = state.dependency.call_timeout(request, state.now)
        state.dependency.call_started(timeout)
        event = yield CallDependency(timeout)
        while event in GIVEN_UP:
            event = yield from self._abandon(request, event)
        took = state.now - started_at
        is_isolated_loss = state.dependency.call_ended(state.now, event, took, timeout)
        if event is RequestEvent.CALL_SUCCEEDED:
            state.move(request, RUNNING)
        if is_isolated_loss and event in LOST_CALLS and is_idempotent:
            return RequestEvent.DEPENDENCY_CALL_NEEDED
        return event

    def _abandon(self, request: Request, event: RequestEvent) -> SubPath:
        """Answer a connected client that has no answer yet; cancel the run if that is safe."""
        state = self.state
        if not request.client_disconnected and not request.answered:
            request.answered = True
            yield state.feedback.reject(True) if event is RequestEvent.EVICTED else FAIL
        if state.can_cancel(request):
            yield CANCEL
        return (yield AWAIT)

    def _answer_from_duplicate(self, request: Request) -> RequestPath:
        """Answer a duplicate from the first request; a duplicate neither runs nor is rejected."""
        state = self.state
        # A duplicate near its deadline, or one for which memory is short, fails at once. It is not
        # rejected, as the first request may have run.
        if request.deadline <= state.now + TICK_US or not state.safety.has_memory(
            request.memory_kb
        ):
            yield FAIL
            return
        state.move(request, QUEUED, counted=False)
        event = yield AWAIT_DUPLICATE
        state.move(request, FINISHED, counted=False)
        if event is RequestEvent.DEADLINE_NEAR:
            yield FAIL

    def _end_without_run(self, request: Request, event: RequestEvent) -> RequestPath:
        """End the path of a request whose run never began."""
        state = self.state
        if state.safety.key_expiries.pop(request, None):
            yield FORGET_KEY  # a later attempt may run instead
        has_client = not request.answered and not request.client_disconnected
        if event is RequestEvent.NO_CAPACITY and has_client:
            yield state.feedback.reject(False, backlog=state.queue_time())

    def _count_run(self, request: Request, event: RequestEvent) -> None:
        """Count a run that has ended; the time of an incomplete run is a lower bound."""
        state = self.state
        request_class = request.request_class
        run_time = state.now - request.started_at
        completed = event is RequestEvent.COMPLETED
        if completed and state.pools is not None:
            state.pools.run_finished(request_class, request.core_time)
        if completed or run_time > state.queue.run_times[request_class]:
            state.queue.run_finished(request_class, run_time)

    def _count_against_quota(self, request: Request) -> None:
        """Count a request against this server's part of its tenant's quota.

        A request that exceeds this part is marked as over quota.
        """
        state = self.state
        tenant = request.tenant
        if tenant is None:
            return
        rate = tenant.count_request(state.now) or tenant.quota / max(1, state.fleet.size)
        within_quota = state.tenant_buckets[tenant].take(state.now, rate / 1e6)
        request.over_quota = not within_quota


def _has_begun(first: object) -> bool:
    """Return whether the run of a duplicate's first request has begun."""
    return first is REMEMBERED_REQUEST or (isinstance(first, Request) and first.state in ON_CORES)
