"""Counters of the server's messages, events and internal errors."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Final

from gullyoke.runtime.logs import log, log_fields

RETRY_AFTER_ERROR_S: Final = 0.05  # pause of a thread after a step that raised an exception


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
        """Count and log an unexpected exception; called while the exception is handled.

        Args:
            where: The part of the server that raised it.
            request: The id of the request it concerns; "-" for none.
        """
        self.increment(f"internal_errors.{where}")
        log.exception("internal error", extra=log_fields(where=where, request=request))

    def run_forever(self, where: str, step: Callable[[], None]) -> None:
        """Run the step of a thread in an endless loop; an exception does not end the thread."""
        while True:
            try:
                step()
            except Exception:
                self.record_internal_error(where)
                time.sleep(RETRY_AFTER_ERROR_S)

    def log_counters(self, why: str) -> None:
        """Log all counters and the reason why they are logged now."""
        with self.lock:
            counters = sorted(self.counters.items())
        fields = {name.replace(".", "_"): count for name, count in counters}
        log.info("counters", extra=log_fields(why=why, **fields))
