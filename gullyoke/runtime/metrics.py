"""Counters of what the server read, sent and answered, and of its internal errors."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Final

from gullyoke.runtime.logs import log, log_fields

RETRY_AFTER_ERROR_S: Final = 0.05  # before the next step of a thread whose last one failed


class Metrics:
    """Counters by dotted name; all names are fixed in the code, so the table is bounded."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.lock = threading.Lock()

    def increment(self, name: str, amount: int = 1) -> None:
        """Add `amount` to a counter."""
        with self.lock:
            self.counters[name] += amount

    def record_internal_error(self, where: str, request: str = "-") -> None:
        """Count and log an unexpected exception; called while it is being handled.

        Args:
            where: The part of the server it occurred in.
            request: The id of the request it occurred on, if any.
        """
        self.increment(f"internal_errors.{where}")
        log.exception("internal error", extra=log_fields(where=where, request=request))

    def run_forever(self, where: str, step: Callable[[], None]) -> None:
        """Run a thread's steps one after the other; an exception in one does not end the thread."""
        while True:
            try:
                step()
            except Exception:
                self.record_internal_error(where)
                time.sleep(RETRY_AFTER_ERROR_S)

    def print(self, why: str) -> None:
        """Log all counters, and why they are logged now."""
        with self.lock:
            counters = sorted(self.counters.items())
        fields = {name.replace(".", "_"): count for name, count in counters}
        log.info("counters", extra=log_fields(why=why, **fields))
