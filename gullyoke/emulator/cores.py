"""Processor sharing on a server's cores, with a loss of throughput when they are crowded."""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable


class Cores:
    """Processor sharing by virtual time: a job ends when virtual time has advanced by its work.

    `at(delay, act)` schedules an action on the simulated clock and `now()` returns its time. The
    heap holds the jobs that run; each is removed when it ends.
    """

    def __init__(
        self,
        cores: int,
        crowd_at: float,
        loss: float,
        now: Callable[[], int],
        at: Callable[[int, Callable[[], None]], None],
    ) -> None:
        self.cores, self.crowd_at, self.loss, self.now, self.at = cores, crowd_at, loss, now, at
        self.speed, self.virtual, self.last, self.version = 1.0, 0.0, 0, 0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.count = itertools.count()
        self.done = 0.0  # work done so far
        self.weighted, self.busy = 0.0, 0.0  # integrals over time: jobs running, cores busy

    def __len__(self) -> int:
        return len(self.heap)

    def rate(self) -> float:
        """Return the work that each job gets in a microsecond."""
        n = len(self.heap)
        if not n:
            return 0.0
        over = max(0.0, n / self.cores - self.crowd_at)
        return self.speed * min(1.0, self.cores / n) / (1 + self.loss * over)

    def catch_up(self) -> None:
        """Advance the virtual time and the integrals to the present."""
        now = self.now()
        span, rate = now - self.last, self.rate()
        self.virtual += span * rate
        self.done += span * rate * len(self.heap)
        self.weighted += span * len(self.heap)
        self.busy += span * min(len(self.heap), self.cores)
        self.last = now

    def add(self, work: float, ended: Callable[[], None]) -> None:
        """Start a job of `work` core microseconds and call `ended` when it is done."""
        self.catch_up()
        heapq.heappush(self.heap, (self.virtual + work, next(self.count), ended))
        self._next()

    def set_speed(self, speed: float) -> None:
        """Change the speed of all cores from now on."""
        self.catch_up()
        self.speed = speed
        self._next()

    def _next(self) -> None:
        self.version += 1
        if self.heap and self.rate() > 0:
            version = self.version
            wait = max(0, math.ceil((self.heap[0][0] - self.virtual) / self.rate()))
            self.at(wait, lambda: self._due(version))

    def _due(self, version: int) -> None:
        if version != self.version:
            return
        self.catch_up()
        ended = []
        while self.heap and self.heap[0][0] <= self.virtual + 1e-6:
            ended.append(heapq.heappop(self.heap)[2])
        self._next()
        for action in ended:
            action()
