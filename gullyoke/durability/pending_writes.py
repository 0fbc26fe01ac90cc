"""How long a write that a request waits for takes: from being queued until the disk has it.

Smoothed like a round-trip time, mean and deviation (Jacobson 1988), with what is in flight now: a
disk that hangs returns nothing, and takes longer each moment. Times are microseconds.
"""

from __future__ import annotations

from typing import Final

FIRST_WRITE_US: Final = 5_000  # that a write is taken to need before one was made
WRITE_TIMEOUT_US: Final = 1_000_000  # a write that is not durable by then is given up
MEAN_GAIN: Final = 1 / 8
DEVIATION_GAIN: Final = 1 / 4
DEVIATIONS: Final = 4  # above the mean that a write may be expected to take


class PendingWrites:
    """The writes in flight, and what the next one is likely to need.

    Attributes:
        started_us: When each write in flight was asked for, by its number and in the order of
            asking: as many as there are requests in flight at the most.
        mean_us: The smoothed time of a write.
        deviation_us: Its smoothed deviation.
    """

    def __init__(self) -> None:
        self.started_us: dict[object, int] = {}
        self.mean_us = float(FIRST_WRITE_US)
        self.deviation_us = FIRST_WRITE_US / 2
        self._measured = False

    def started(self, now_us: int, number: object) -> None:
        """Record that a write was asked for."""
        self.started_us[number] = now_us

    def finished(self, now_us: int, number: object, persisted: bool) -> None:
        """Record that a write is over; only one that is durable is measured."""
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
        """Give what the next write is likely to need.

        No less than the oldest in flight has already taken.
        """
        oldest_us = next(iter(self.started_us.values()), now_us)
        return max(self.mean_us + DEVIATIONS * self.deviation_us, float(now_us - oldest_us))

    def in_time(self, now_us: int, deadline_us: int, run_us: float) -> bool:
        """Whether a write asked for now leaves time for a run that usually takes `run_us`.

        And for the write of its end after it.
        """
        return now_us + 2 * self.expected_us(now_us) + run_us <= deadline_us

    def is_overdue(self, now_us: int, started_us: int, deadline_us: int) -> bool:
        """Whether a write that was asked for at `started_us` is given up now."""
        return now_us - started_us >= WRITE_TIMEOUT_US or now_us >= deadline_us
