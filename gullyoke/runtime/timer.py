"""One thread for all that is due at a time: the decisions' wake-up, limits of calls, the sweep."""

from __future__ import annotations

import heapq
import itertools
import threading
from collections.abc import Callable

from gullyoke.runtime import clock
from gullyoke.runtime.metrics import Metrics


class Timer(threading.Thread):
    """Acts in order of their times.

    Table: the heap, which an act leaves when due; it holds a few that come again and one for each
    call of the last seconds.
    """

    def __init__(self, metrics: Metrics) -> None:
        super().__init__(name="timer", daemon=True)
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.bell, self.count, self.metrics = (
            threading.Condition(threading.Lock()),
            itertools.count(),
            metrics,
        )

    def call_at(self, time: int, act: Callable[[], None]) -> None:
        with self.bell:
            heapq.heappush(self.heap, (time, next(self.count), act))
            if self.heap[0][2] is act:
                self.bell.notify()

    def run(self) -> None:
        self.metrics.run_forever("timer", self.next)

    def next(self) -> None:
        with self.bell:
            while not self.heap or self.heap[0][0] > clock.now():
                self.bell.wait((self.heap[0][0] - clock.now()) / 1e6 if self.heap else None)
            act = heapq.heappop(self.heap)[2]
        act()
