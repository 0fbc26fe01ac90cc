"""A thread for the controller's long computations, which lets requests in between their steps."""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Iterator
from typing import Final

from gullyoke.runtime.metrics import Metrics

PAUSE_S: Final = 0.002  # between two steps: other threads come first where processor time is short


class BackgroundWorker:
    """Runs computations one after the other, each step under the dispatcher's lock.

    A computation run whole would hold the lock for 10 ms, often while a server is young, and every
    request, answer and dependency call would wait behind it. The queue holds one new learning
    episode at most for each that began.

    Args:
        lock: The lock over what the computations read and change.
        metrics: Where an internal error of a computation is counted.
    """

    def __init__(self, lock: threading.Lock, metrics: Metrics) -> None:
        self.lock = lock
        self.metrics = metrics
        self.queue: queue.SimpleQueue[Iterator[None]] = queue.SimpleQueue()

    def start(self) -> None:
        """Start the thread, which runs for as long as the process lives."""
        threading.Thread(target=self._run, name="think", daemon=True).start()

    def put(self, work: Iterator[None]) -> None:
        """Queue a computation; callable from any thread, also under the lock."""
        self.queue.put(work)

    def run_step(self, work: Iterator[None]) -> bool:
        """Run one step of a computation; return whether it has more."""
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
