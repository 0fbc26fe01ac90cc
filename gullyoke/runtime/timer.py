"""A thread that runs scheduled callbacks: controller ticks, dependency call timeouts, sweeps."""

from __future__ import annotations

import heapq
import itertools
import threading
from collections.abc import Callable
from typing import NamedTuple

from gullyoke.runtime import clock
from gullyoke.runtime.metrics import Metrics


class _Scheduled(NamedTuple):
    """A callback and its time; `number` keeps callbacks of equal time in the order scheduled."""

    time: int
    number: int
    callback: Callable[[], None]


class Timer(threading.Thread):
    """Runs callbacks in the order of their times.

    The heap holds a few callbacks that schedule themselves again, and one for each dependency call
    of the last seconds; each is removed when its time has come.
    """

    def __init__(self, metrics: Metrics) -> None:
        super().__init__(name="timer", daemon=True)
        self.metrics = metrics
        self.heap: list[_Scheduled] = []
        self.scheduled = threading.Condition(threading.Lock())  # notified of a new first callback
        self.numbers = itertools.count()

    def call_at(self, time: int, callback: Callable[[], None]) -> None:
        """Schedule `callback` on the timer's thread at `time`, in microseconds of the clock.

        May be called from any thread. A callback must not block, since it delays all others.
        """
        with self.scheduled:
            heapq.heappush(self.heap, _Scheduled(time, next(self.numbers), callback))
            if self.heap[0].callback is callback:
                self.scheduled.notify()

    def run(self) -> None:
        """Run callbacks until the process ends."""
        self.metrics.run_forever("timer", self.run_next)

    def run_next(self) -> None:
        """Wait for the time of the next callback and run it."""
        with self.scheduled:
            while not self.heap or self.heap[0].time > clock.now():
                self.scheduled.wait(self._seconds_to_next())
            callback = heapq.heappop(self.heap).callback
        callback()

    def _seconds_to_next(self) -> float | None:
        if not self.heap:
            return None
        return (self.heap[0].time - clock.now()) / 1e6
