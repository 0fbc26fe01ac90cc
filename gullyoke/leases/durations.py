"""How long a lease lasts, and how far the rates of two clocks may differ."""

from __future__ import annotations

from typing import NamedTuple


class LeaseDurations(NamedTuple):
    """The durations that all candidates and voters of a lease use.

    Attributes:
        lease_us: Microseconds that a grant lasts on the holder's clock, counted from before the
            holder sends its request.
        drift_ppm: Upper bound on the difference between the rates of two clocks, in parts per
            million. All processes use monotonic clocks, so steps of the wall clock do not matter.
        margin_us: How many microseconds before the end of its lease a holder stops acting.
    """

    lease_us: int = 3_000_000
    drift_ppm: int = 1000
    margin_us: int = 200_000

    def with_clock_drift_us(self, duration_us: int) -> int:
        """Return how long to wait so that `duration_us` has passed on the clocks of all others."""
        return duration_us + 2 * duration_us * self.drift_ppm // 1_000_000 + 1

    def renew_interval_us(self) -> int:
        """Return the time between renewals.

        A holder renews only in the first half of its lease, so three of four renewals may get lost.
        """
        return max(1, self.lease_us // 8)
