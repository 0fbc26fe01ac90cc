"""Cores shared by all that runs on them: equal parts, less in all past some crowd."""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable


class Cores:
    """Processor sharing by one virtual time: each job ends when that has moved on by its work.

    `at` is called with a delay and an act: it is the model's clock; `now()` its time. Table: the
    heap, left by each job at its end.
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
        self.weighted, self.busy = 0.0, 0.0  # integrals over time: jobs there, cores busy

    def __len__(self) -> int:
        return len(self.heap)

    def rate(self) -> float:
        """Work that each job gets in a microsecond."""
        n = len(self.heap)
        if not n:
            return 0.0
        over = max(0.0, n / self.cores - self.crowd_at)
        return self.speed * min(1.0, self.cores / n) / (1 + self.loss * over)

    def catch_up(self) -> None:
        """Bring the virtual time and the integrals up to now."""
        now = self.now()
        span, rate = now - self.last, self.rate()
        self.virtual += span * rate
        self.done += span * rate * len(self.heap)
        self.weighted += span * len(self.heap)
        self.busy += span * min(len(self.heap), self.cores)
        self.last = now

    def add(self, work: float, ended: Callable[[], None]) -> None:
        self.catch_up()
        heapq.heappush(self.heap, (self.virtual + work, next(self.count), ended))
        self._next()

    def set_speed(self, speed: float) -> None:
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
        for act in ended:
            act()
