"""The expected duration of a write that a request waits for, from queueing until it is durable.

Mean and deviation are smoothed as for a round-trip time (Jacobson 1988). Writes in flight count as
well: while a disk hangs no write returns, and the expected duration grows with the age of the
oldest write. Times are microseconds.
"""

from __future__ import annotations

from typing import Final

FIRST_WRITE_US: Final = 5_000  # expected duration before the first measurement
WRITE_TIMEOUT_US: Final = 1_000_000  # a write that takes longer is given up
MEAN_GAIN: Final = 1 / 8
DEVIATION_GAIN: Final = 1 / 4
DEVIATIONS: Final = 4  # deviations above the mean in the expected duration of a write


class PendingWrites:
    """The writes in flight and the expected duration of the next one.

    Attributes:
        started_us: The start time of each write in flight, by number, oldest first; at most one
            for each request in flight.
        mean_us: The smoothed duration of a write.
        deviation_us: The smoothed deviation of that duration.
    """

    def __init__(self) -> None:
        self.started_us: dict[object, int] = {}
        self.mean_us = float(FIRST_WRITE_US)
        self.deviation_us = FIRST_WRITE_US / 2
        self._measured = False

    def write_started(self, now_us: int, number: object) -> None:
        """Record that a write was queued."""
        self.started_us[number] = now_us

    def write_finished(self, now_us: int, number: object, persisted: bool) -> None:
        """Record the end of a write; only the duration of a durable write is measured."""
        started_us = self.started_us.pop(number, None)
        if started_us is None or not persisted:
            return
        took_us = now_us - started_us
        if not self._measured:
            self._measured = True
            self.mean_us = float(took_us)
            self.deviation_us = took_us / 2
            return
        self.deviation_us += (abs(took_us - self.mean_us) - self.deviation_us) * DEVIATION_GAIN
        self.mean_us += (took_us - self.mean_us) * MEAN_GAIN

    def expected_us(self, now_us: int) -> float:
        """Return the expected duration of the next write.

        It is at least the time that the oldest write in flight has taken so far.
        """
        oldest_us = next(iter(self.started_us.values()), now_us)
        return max(self.mean_us + DEVIATIONS * self.deviation_us, float(now_us - oldest_us))

    def meets_deadline(self, now_us: int, deadline_us: int, run_us: float) -> bool:
        """Return whether a request can meet its deadline if its record is written now.

        The request needs time for two writes, of its start and of its end, and for its run, which
        usually takes `run_us`.
        """
        return now_us + 2 * self.expected_us(now_us) + run_us <= deadline_us

    def is_overdue(self, now_us: int, started_us: int, deadline_us: int) -> bool:
        """Return whether to give up a write that was queued at `started_us`."""
        return now_us - started_us >= WRITE_TIMEOUT_US or now_us >= deadline_us
