"""Policies to compare with, never to run.

A plain pool with a short line, and strict priority by value.
"""

from __future__ import annotations

from collections import deque

from gullyoke.port import FAIL, RUN, Call, Shed, Word

TICK = 100_000


class PlainPool:
    """So many runs and so many waiting; first come first served, or by value (`strict`).

    Called as the decisions are; what is out of time is answered errored at the next wake-up.
    """

    def __init__(self, door, runs: int, line: int, strict: bool = False) -> None:
        self.door, self.runs, self.most, self.strict, self.on = door, runs, line, strict, 0
        self.line: deque = deque()
        self.open: dict = {}
        door.wake(TICK)

    def read(self, now: int, req) -> None:
        if len(self.line) >= self.most and self.on >= self.runs:
            worst = (
                min(self.line, key=lambda r: r.handler.value, default=req) if self.strict else req
            )
            if worst.handler.value >= req.handler.value:
                worst = req
            self.door.do(worst, Shed())
            if worst is req:
                return
            self.line.remove(worst)
            self.open.pop(worst, None)
        self.open[req] = None
        self.line.append(req)

    def tell(self, now: int, req, word: Word) -> None:
        if word in (Word.DONE, Word.ERRORED):
            self.on -= 1
            self.open.pop(req, None)
        elif word is Word.NEEDS:
            self.door.do(req, Call(max(1, req.due - now)))
        elif word in (Word.CALL_LOST, Word.CALL_UNRUN):
            self.on -= 1
            self.open.pop(req, None)
            self.door.do(req, FAIL)

    def gauges(self, now: int, gauges) -> None:
        for req in [r for r in self.line if r.due <= now + TICK]:
            self.line.remove(req)
            self.open.pop(req, None)
            self.door.do(req, FAIL)
        for req in list(self.open):
            if req.due <= now + TICK and not req.answered:
                req.answered = True
                self.door.do(req, FAIL)
        self.door.wake(TICK)

    def settle(self, now: int) -> None:
        while self.line and self.on < self.runs:
            req = max(self.line, key=lambda r: r.handler.value) if self.strict else self.line[0]
            self.line.remove(req)
            self.on += 1
            self.door.do(req, RUN)

    def leave(self, now: int, stop_at: int) -> None: ...
