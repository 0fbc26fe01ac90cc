"""A thread for the admission controller's long computations.

Each computation is split into steps, and requests are handled between two steps.
"""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Iterator
from typing import Final

from gullyoke.runtime.metrics import Metrics

PAUSE_S: Final = 0.002  # between two steps, so that other threads run first when the CPU is busy


class BackgroundWorker:
    """Runs computations one after the other, each step under the dispatcher's lock.

    A computation run in one piece would hold the lock for 10 ms, which happens often shortly after
    a start, and delay every request, answer and dependency call. The queue holds at most one
    computation for each learning episode that began.

    Args:
        lock: Guards the state that the computations read and change.
        metrics: Counts internal errors of the computations.
    """

    def __init__(self, lock: threading.Lock, metrics: Metrics) -> None:
        self.lock = lock
        self.metrics = metrics
        self.queue: queue.SimpleQueue[Iterator[None]] = queue.SimpleQueue()

    def start(self) -> None:
        """Start the thread, which runs until the process ends."""
        threading.Thread(target=self._run, name="background", daemon=True).start()

    def put(self, work: Iterator[None]) -> None:
        """Queue a computation; may be called from any thread, also while the lock is held."""
        self.queue.put(work)

    def run_step(self, work: Iterator[None]) -> bool:
        """Run one step of a computation; return whether there are further steps."""
        with self.lock:
            try:
                next(work)
                return True
            except StopIteration:
                return False
            except Exception:
                self.metrics.record_internal_error("decisions")
                return False

    def _run(self) -> None:
        while True:
            work = self.queue.get()
            while self.run_step(work):
                time.sleep(PAUSE_S)
