"""The queue of started runs that no back end accepts yet."""

from __future__ import annotations

from collections import deque

from gullyoke.routing.routed_run import RoutedRun


class WaitQueue:
    """A short first-in, first-out queue; the admission controller has already ordered the runs.

    The queue holds at most as many runs as the pool's capacity, and none while the capacity is 0:
    it absorbs short delays before a run is sent, and is not a second admission queue.
    """

    def __init__(self) -> None:
        self.runs: deque[RoutedRun] = deque()

    def add(self, run: RoutedRun, capacity: int) -> bool:
        """Append a run; return False without adding it if `capacity` runs are queued already."""
        if len(self.runs) >= capacity:
            return False
        self.runs.append(run)
        return True

    def remove(self, run: RoutedRun) -> bool:
        """Remove a run; return whether it was queued."""
        try:
            self.runs.remove(run)
            return True
        except ValueError:
            return False

    def remove_unservable(self, now: int, typical_us: float, capacity: int) -> list[RoutedRun]:
        """Remove and return the runs that should not wait any longer.

        These are runs whose deadline is less than the typical response time away, runs whose client
        no longer waits, and then the newest runs until at most `capacity` are queued.
        """
        unservable = [
            run for run in self.runs if now + typical_us > run.deadline or not run.is_awaited()
        ]
        for run in unservable:
            self.runs.remove(run)
        while len(self.runs) > capacity:
            unservable.append(self.runs.pop())
        return unservable
