"""Counters of what the server took in, sent and answered."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Callable

from gullyoke.runtime.logs import log, log_fields


class Metrics:
    """Counters by dotted name. Table: one row a name; the names are fixed in the code."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.lock = threading.Lock()

    def increment(self, name: str, n: int = 1) -> None:
        with self.lock:
            self.counters[name] += n

    def record_internal_error(self, where: str, request: str = "-") -> None:
        """An error of our own, in the handling of an exception."""
        self.increment(f"faults.{where}")
        log.exception("fault", extra=log_fields(where=where, request=request))

    def run_forever(self, where: str, step: Callable[[], None]) -> None:
        """A thread's whole life: an error of our own in one step must not end all later ones."""
        while True:
            try:
                step()
            except Exception:
                self.record_internal_error(where)
                time.sleep(0.05)

    def print(self, why: str) -> None:
        with self.lock:
            rows = sorted(self.counters.items())
        log.info(
            "counters", extra=log_fields(why=why, **{name.replace(".", "_"): n for name, n in rows})
        )
