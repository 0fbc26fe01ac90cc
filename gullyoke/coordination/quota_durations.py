"""How long quota leases and the tenures of their lenders last, in microseconds.

The clocks of two processes need not agree; only that their rates differ by at most one part in
`DRIFT_DIVISOR` is relied upon.
"""

from __future__ import annotations

TENURE_US = 3_000_000  # for which a majority grants a process the name of a lender
QUOTA_LEASE_US = 4_000_000  # for which a lender grants tokens
RENEW_US = 1_000_000  # between renewals of both
SHORT_RETRY_US = RENEW_US // 4  # between requests of a borrower that has too little
DEMAND_VALID_US = 3 * RENEW_US  # for which a borrower's last request counts as its demand
FAIR_LEVEL_INTERVAL_US = RENEW_US // 4  # between two computations of the fair level
ROUNDING_INTERVAL_US = 4 * RENEW_US  # after which another borrower gets what rounding leaves
GROWTH_DIVISOR = 4  # a quota lease grows by at most this part of the lender's tokens at once
DRIFT_DIVISOR = 1000


def longest_elsewhere_us(duration_us: int) -> int:
    """Return how long to wait here so that `duration_us` has passed on every other clock."""
    return duration_us + 2 * duration_us // DRIFT_DIVISOR + 1
