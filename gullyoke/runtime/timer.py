"""One thread for everything scheduled: controller ticks, limits of dependency calls, sweeps."""

from __future__ import annotations

import heapq
import itertools
import threading
from collections.abc import Callable
from typing import NamedTuple

from gullyoke.runtime import clock
from gullyoke.runtime.metrics import Metrics


class _Scheduled(NamedTuple):
    """A callback at its time; `number` orders those of one time as they were scheduled."""

    time: int
    number: int
    callback: Callable[[], None]


class Timer(threading.Thread):
    """Runs callbacks in the order of their times.

    The heap holds a few that schedule themselves again and one for each dependency call of the
    last seconds; each leaves when its time has come.
    """

    def __init__(self, metrics: Metrics) -> None:
        super().__init__(name="timer", daemon=True)
        self.metrics = metrics
        self.heap: list[_Scheduled] = []
        self.scheduled = threading.Condition(threading.Lock())  # an earlier callback has come
        self.numbers = itertools.count()

    def call_at(self, time: int, callback: Callable[[], None]) -> None:
        """Call `callback` on the timer's thread at `time` (microseconds of the clock).

        Callable from any thread. A callback must not block: all others wait for it.
        """
        with self.scheduled:
            heapq.heappush(self.heap, _Scheduled(time, next(self.numbers), callback))
            if self.heap[0].callback is callback:
                self.scheduled.notify()

    def run(self) -> None:
        """Run callbacks for as long as the process lives."""
        self.metrics.run_forever("timer", self.run_next)

    def run_next(self) -> None:
        """Wait for the next callback's time and run it."""
        with self.scheduled:
            while not self.heap or self.heap[0].time > clock.now():
                self.scheduled.wait(self._seconds_to_next())
            callback = heapq.heappop(self.heap).callback
        callback()

    def _seconds_to_next(self) -> float | None:
        if not self.heap:
            return None
        return (self.heap[0].time - clock.now()) / 1e6
