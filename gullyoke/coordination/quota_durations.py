"""How long quota leases and the tenures of their lenders last, in microseconds.

The clocks of two processes may show different times, but their rates must differ by at most one
part in `DRIFT_DIVISOR`.
"""

from __future__ import annotations

TENURE_US = 3_000_000  # how long a majority grants a process the name of a lender
QUOTA_LEASE_US = 4_000_000  # how long a lender grants tokens
RENEW_US = 1_000_000  # interval between renewals of tenures, and of quota leases
SHORT_RETRY_US = RENEW_US // 4  # interval between requests while tokens are missing
DEMAND_VALID_US = 3 * RENEW_US  # how long a borrower's last request counts as its demand
FAIR_LEVEL_INTERVAL_US = RENEW_US // 4  # interval between computations of the fair level
ROUNDING_INTERVAL_US = 4 * RENEW_US  # how long the same borrowers get the tokens left by rounding
GROWTH_DIVISOR = 4  # one grant enlarges a lease by at most the lender's tokens divided by this
DRIFT_DIVISOR = 1000


def with_clock_drift_us(duration_us: int) -> int:
    """Return how long to wait so that `duration_us` has passed on the clocks of all others."""
    return duration_us + 2 * duration_us // DRIFT_DIVISOR + 1
