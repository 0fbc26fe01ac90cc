"""Policies for comparison: a plain worker pool, and strict priority by value."""

from __future__ import annotations

from collections import deque

from gullyoke.admission.interface import (
    FAIL,
    RUN,
    CallDependency,
    CommandExecutor,
    Gauges,
    Reject,
    Request,
    RequestEvent,
)
from gullyoke.admission.timing import TICK_US


class PlainPool:
    """A fixed number of concurrent runs and a queue of bounded length, as in many servers.

    It has the entry points of `AdmissionController`. A queued request whose deadline comes before
    the next tick fails; runs are never stopped, and calls are bound by the deadline alone.

    Args:
        executor: Carries out the decisions.
        max_running: Requests that run at once.
        max_queued: Requests that wait for a run.
        by_value: Whether the request with the highest priority weight runs first, not the oldest.
    """

    def __init__(
        self, executor: CommandExecutor, max_running: int, max_queued: int, by_value: bool = False
    ) -> None:
        self.executor = executor
        self.max_running = max_running
        self.max_queued = max_queued
        self.by_value = by_value
        self.running = 0
        self.queue: deque[Request] = deque()
        self.open_requests: dict[Request, None] = {}  # in order of arrival
        executor.schedule_tick(TICK_US)

    def on_request(self, now: int, request: Request) -> None:
        """Queue the request; when pool and queue are full, reject it or one worth less."""
        if len(self.queue) >= self.max_queued and self.running >= self.max_running:
            victim = self._least_valuable(request)
            self.executor.execute(victim, Reject())
            if victim is request:
                return
            self.queue.remove(victim)
            self.open_requests.pop(victim, None)
        self.open_requests[request] = None
        self.queue.append(request)

    def _least_valuable(self, newcomer: Request) -> Request:
        """Return the newcomer or, with `by_value`, a queued request that is worth less."""
        if not self.by_value or not self.queue:
            return newcomer
        queued = min(self.queue, key=_value)
        return newcomer if _value(queued) >= _value(newcomer) else queued

    def on_event(self, now: int, request: Request, event: RequestEvent) -> None:
        """End a run or make the dependency call that it needs; a failed call fails the run."""
        if event in (RequestEvent.COMPLETED, RequestEvent.FAILED):
            self._end_run(request)
        elif event is RequestEvent.DEPENDENCY_CALL_NEEDED:
            timeout = max(1, request.deadline - now)
            self.executor.execute(request, CallDependency(timeout))
        elif event in (RequestEvent.CALL_OUTCOME_UNKNOWN, RequestEvent.CALL_NOT_SENT):
            self._end_run(request)
            self.executor.execute(request, FAIL)

    def _end_run(self, request: Request) -> None:
        self.running -= 1
        self.open_requests.pop(request, None)

    def on_tick(self, now: int, gauges: Gauges) -> None:
        """Fail the requests whose deadline comes before the next tick."""
        for request in [each for each in self.queue if each.deadline <= now + TICK_US]:
            self.queue.remove(request)
            self.open_requests.pop(request, None)
            self.executor.execute(request, FAIL)
        for request in list(self.open_requests):
            if request.deadline <= now + TICK_US and not request.answered:
                request.answered = True
                self.executor.execute(request, FAIL)
        self.executor.schedule_tick(TICK_US)

    def dispatch(self, now: int) -> None:
        """Run queued requests while there is capacity."""
        while self.queue and self.running < self.max_running:
            request = max(self.queue, key=_value) if self.by_value else self.queue[0]
            self.queue.remove(request)
            self.running += 1
            self.executor.execute(request, RUN)

    def begin_drain(self, now: int, stop_at: int) -> None:
        """Do nothing: a plain pool does not support drains."""


def _value(request: Request) -> float:
    return request.request_class.priority_weight
