"""How long a lease lasts, and how far two clocks may run apart."""

from __future__ import annotations

from typing import NamedTuple


class LeaseDurations(NamedTuple):
    """The durations that candidates and voters of a lease go by.

    Attributes:
        lease_us: Microseconds that a grant lasts, by the holder's clock from before its request.
        drift_ppm: By how many parts in a million the rates of two clocks differ at the most. Each
            side counts on its monotonic clock, so steps of the wall clock do not matter.
        margin_us: Microseconds before the end of its lease from which a holder no longer acts.
    """

    lease_us: int = 3_000_000
    drift_ppm: int = 1000
    margin_us: int = 200_000

    def longest_elsewhere_us(self, duration_us: int) -> int:
        """Return how long to wait here so that `duration_us` has passed on every other clock."""
        return duration_us + 2 * duration_us * self.drift_ppm // 1_000_000 + 1

    def renew_interval_us(self) -> int:
        """Return the time between renewals.

        A holder renews in the first half of its lease alone, so it can lose three of four.
        """
        return max(1, self.lease_us // 8)
