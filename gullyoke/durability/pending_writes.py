"""How long a promise takes: from being queued until the disk has it.

Smoothed like a round trip, mean and deviation (Jacobson 1988), with what is out now: a disk that
hangs says nothing, and takes longer each moment.
"""

from __future__ import annotations

FIRST = 5_000  # microseconds that a promise is taken to need before one was made
WRITE_TIMEOUT_US = 1_000_000  # a promise that is not there by then is given up


class PendingWrites:
    """Table: `out`, when each promise that is out was asked for, in the order of asking.

    As many as there are reqs in hand at the most.
    """

    def __init__(self) -> None:
        self.mean, self.off, self.known = float(FIRST), FIRST / 2, False
        self.out: dict[object, int] = {}

    def began(self, now: int, key: object) -> None:
        self.out[key] = now

    def ended(self, now: int, key: object, well: bool) -> None:
        began = self.out.pop(key, None)
        if began is None or not well:
            return
        took = now - began
        if not self.known:
            self.mean, self.off, self.known = float(took), took / 2, True
            return
        self.off += (abs(took - self.mean) - self.off) / 4
        self.mean += (took - self.mean) / 8

    def usual(self, now: int) -> float:
        """What the next one is likely to need, in microseconds.

        No less than the oldest that is out has had.
        """
        oldest = next(iter(self.out.values()), now)
        return max(self.mean + 4 * self.off, float(now - oldest))

    def in_time(self, now: int, due: int, run: float) -> bool:
        """Whether a promise asked for now leaves time for a run that usually takes `run`, and for
        its end.
        """
        return now + 2 * self.usual(now) + run <= due

    def is_overdue(self, now: int, began: int, due: int) -> bool:
        """Whether one that was asked for then is given up now."""
        return now - began >= WRITE_TIMEOUT_US or now >= due
