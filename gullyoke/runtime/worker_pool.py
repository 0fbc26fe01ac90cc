"""Threads that do one task after the other and stay idle for a moment in between.

Starting a thread costs as much as rejecting a request.
"""

from __future__ import annotations

import queue
from collections.abc import Callable
from typing import Final, Generic, TypeVar

MAX_IDLE_WORKERS: Final = 64
IDLE_TIMEOUT_S: Final = 2.0  # how long a worker waits for its next task before it ends

Task = TypeVar("Task")


class WorkerPool(Generic[Task]):
    """Idle workers, each with an inbox of its own.

    The owner starts threads: where `assign` returns False, it starts one on `run_worker`.

    Args:
        perform: What a worker does with a task.
    """

    def __init__(self, perform: Callable[[Task], None]) -> None:
        self.perform = perform
        self.idle_inboxes: list[queue.SimpleQueue[Task]] = []

    def assign(self, task: Task) -> bool:
        """Hand a task to an idle worker; return False if there is none."""
        try:
            self.idle_inboxes.pop().put(task)
            return True
        except IndexError:
            return False

    def run_worker(self, first_task: Task) -> None:
        """Perform tasks, beginning with the first, until none comes for a while."""
        inbox: queue.SimpleQueue[Task] = queue.SimpleQueue()
        task: Task | None = first_task
        while task is not None:
            self.perform(task)
            task = self._next_task(inbox)

    def _next_task(self, inbox: queue.SimpleQueue[Task]) -> Task | None:
        """Wait for the next task; return None if none comes soon or too many workers are idle."""
        if len(self.idle_inboxes) >= MAX_IDLE_WORKERS:
            return None
        self.idle_inboxes.append(inbox)
        try:
            return inbox.get(timeout=IDLE_TIMEOUT_S)
        except queue.Empty:
            try:
                self.idle_inboxes.remove(inbox)
                return None
            except ValueError:  # another thread has just taken the inbox: its task is on its way
                return inbox.get()
