"""Threads that do one thing after another and rest in between.

Starting one costs as much as a refusal.
"""

from __future__ import annotations

import queue
from collections.abc import Callable

RESTING, REST = 64, 2.0  # threads that rest at most, and for how many seconds each


class WorkerPool:
    """`act` is what each does with what it is handed.

    Table: `resting`, a box for each thread that rests.
    """

    def __init__(self, act: Callable[[object], None]) -> None:
        self.act = act
        self.resting: list[queue.SimpleQueue] = []

    def assign(self, task: object) -> bool:
        """To a thread that rests; False if none does, and then one has to be started on `work`."""
        try:
            self.resting.pop().put(task)
            return True
        except IndexError:
            return False

    def run_worker(self, task: object) -> None:
        """A thread's life."""
        box: queue.SimpleQueue = queue.SimpleQueue()
        while task is not None:
            self.act(task)
            task = self._rest(box)

    def _rest(self, box: queue.SimpleQueue) -> object | None:
        """The next task, if one comes soon."""
        if len(self.resting) >= RESTING:
            return None
        self.resting.append(box)
        try:
            return box.get(timeout=REST)
        except queue.Empty:
            try:
                self.resting.remove(box)
                return None
            except ValueError:  # taken out at this moment: its task is on its way
                return box.get()
