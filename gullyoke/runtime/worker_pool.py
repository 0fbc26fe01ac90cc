"""A pool of threads that are reused for later tasks and end after a short idle time.

Threads are reused because starting one costs as much as rejecting a request.
"""

from __future__ import annotations

import queue
from collections.abc import Callable
from typing import Final, Generic, TypeVar

MAX_IDLE_WORKERS: Final = 64
IDLE_TIMEOUT_S: Final = 2.0  # how long an idle worker waits for a task before it ends

Task = TypeVar("Task")


class WorkerPool(Generic[Task]):
    """The idle workers, each with its own inbox.

    The owner of the pool starts the threads: if `assign` returns False, it starts a thread that
    runs `run_worker`.

    Args:
        perform: Carries out a task.
    """

    def __init__(self, perform: Callable[[Task], None]) -> None:
        self.perform = perform
        self.idle_inboxes: list[queue.SimpleQueue[Task]] = []

    def assign(self, task: Task) -> bool:
        """Assign a task to an idle worker; return False if there is none."""
        try:
            self.idle_inboxes.pop().put(task)
            return True
        except IndexError:
            return False

    def run_worker(self, first_task: Task) -> None:
        """Perform tasks, beginning with `first_task`, until none is assigned for a while."""
        inbox: queue.SimpleQueue[Task] = queue.SimpleQueue()
        task: Task | None = first_task
        while task is not None:
            self.perform(task)
            task = self._next_task(inbox)

    def _next_task(self, inbox: queue.SimpleQueue[Task]) -> Task | None:
        """Wait for the next task; return None after a timeout or if too many workers are idle."""
        if len(self.idle_inboxes) >= MAX_IDLE_WORKERS:
            return None
        self.idle_inboxes.append(inbox)
        try:
            return inbox.get(timeout=IDLE_TIMEOUT_S)
        except queue.Empty:
            try:
                self.idle_inboxes.remove(inbox)
                return None
            except ValueError:  # `assign` has just removed the inbox and is about to put a task in
                return inbox.get()
