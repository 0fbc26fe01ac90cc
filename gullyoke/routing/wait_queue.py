"""Runs that the decisions have started while no back end takes one."""

from __future__ import annotations

from collections import deque

from gullyoke.routing.routed_run import RoutedRun


class WaitQueue:
    """A short queue, first in, first out: the decisions have put its runs in order.

    It takes as many runs as the pool runs at once, and none when the pool takes none: it covers
    what is on its way to a back end and is no second admission queue. A run leaves it when it is
    sent or ended.
    """

    def __init__(self) -> None:
        self.runs: deque[RoutedRun] = deque()

    def add(self, run: RoutedRun, capacity: int) -> bool:
        """Append a run; False, without adding it, where `capacity` runs wait already."""
        if len(self.runs) >= capacity:
            return False
        self.runs.append(run)
        return True

    def remove(self, run: RoutedRun) -> bool:
        """Take a run out; whether it was queued."""
        try:
            self.runs.remove(run)
            return True
        except ValueError:
            return False

    def take_hopeless(self, now: int, typical_us: float, capacity: int) -> list[RoutedRun]:
        """Take out the runs that are not worth waiting for.

        Those whose deadline comes before the typical response time has passed or whose caller no
        longer waits, then the youngest for as long as more than `capacity` are queued.
        """
        hopeless = [
            run for run in self.runs if now + typical_us > run.deadline or not run.is_awaited()
        ]
        for run in hopeless:
            self.runs.remove(run)
        while len(self.runs) > capacity:
            hopeless.append(self.runs.pop())
        return hopeless
