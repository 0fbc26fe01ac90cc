"""Policies to compare with, never to run.

A plain pool with a short line, and strict priority by value.
"""

from __future__ import annotations

from collections import deque

from gullyoke.admission.interface import FAIL, RUN, CallDependency, Reject, RequestEvent

TICK = 100_000


class PlainPool:
    """So many runs and so many waiting; first come first served, or by value (`strict`).

    Called as the decisions are; what is out of time is answered errored at the next wake-up.
    """

    def __init__(self, executor, runs: int, line: int, strict: bool = False) -> None:
        self.executor, self.runs, self.most, self.strict, self.on = executor, runs, line, strict, 0
        self.line: deque = deque()
        self.open: dict = {}
        executor.schedule_tick(TICK)

    def on_request(self, now: int, request) -> None:
        if len(self.line) >= self.most and self.on >= self.runs:
            worst = (
                min(self.line, key=lambda r: r.request_class.priority_weight, default=request)
                if self.strict
                else request
            )
            if worst.request_class.priority_weight >= request.request_class.priority_weight:
                worst = request
            self.executor.execute(worst, Reject())
            if worst is request:
                return
            self.line.remove(worst)
            self.open.pop(worst, None)
        self.open[request] = None
        self.line.append(request)

    def on_event(self, now: int, request, word: RequestEvent) -> None:
        if word in (RequestEvent.COMPLETED, RequestEvent.FAILED):
            self.on -= 1
            self.open.pop(request, None)
        elif word is RequestEvent.DEPENDENCY_CALL_NEEDED:
            self.executor.execute(request, CallDependency(max(1, request.deadline - now)))
        elif word in (RequestEvent.CALL_OUTCOME_UNKNOWN, RequestEvent.CALL_NOT_SENT):
            self.on -= 1
            self.open.pop(request, None)
            self.executor.execute(request, FAIL)

    def on_tick(self, now: int, gauges) -> None:
        for request in [r for r in self.line if r.deadline <= now + TICK]:
            self.line.remove(request)
            self.open.pop(request, None)
            self.executor.execute(request, FAIL)
        for request in list(self.open):
            if request.deadline <= now + TICK and not request.answered:
                request.answered = True
                self.executor.execute(request, FAIL)
        self.executor.schedule_tick(TICK)

    def dispatch(self, now: int) -> None:
        while self.line and self.on < self.runs:
            request = (
                max(self.line, key=lambda r: r.request_class.priority_weight)
                if self.strict
                else self.line[0]
            )
            self.line.remove(request)
            self.on += 1
            self.executor.execute(request, RUN)

    def begin_drain(self, now: int, stop_at: int) -> None: ...
