"""A tenant's quota of a whole fleet, leased as rates to the servers that have its requests now.

The quota is cut into tokens, each a small part of the rate. A server's part is what it has in force
of them (gullyoke/coordination/borrower.py), so the parts of all servers never come to more than the
quota. A server may save up what its rate allows for `SAVED_US`, so a lender takes tokens that come
back for in use for as long.
"""

from __future__ import annotations

from typing import Final

from gullyoke.coordination.limit_parts import LimitPart
from gullyoke.coordination.quota_participant import AddressedQuotaMessage, QuotaParticipant

TOKENS_PER_SERVER: Final = 16  # of the largest fleet: a floor of a quarter is four tokens
SAVED_US: Final = 2_000_000  # for which what a rate allows may be saved up
BIN_US: Final = 500_000  # requests are counted in bins of so long
GROWTH: Final = 1.25  # so much of the present rate is wanted, so that growth finds some
MAX_LEASED_TENANTS: Final = 16  # tenants whose quotas are leased: each costs its own messages


def tokens(largest_fleet: int) -> int:
    """Return how many tokens a quota is cut into."""
    return TOKENS_PER_SERVER * largest_fleet


class ArrivalRate:
    """The rate of requests: the higher one of the last two whole bins.

    The higher one, since what comes in bursts has to be admitted as it comes.
    """

    def __init__(self) -> None:
        """Start at 0."""
        self._bin = 0
        self._counts = [0, 0, 0]  # the present bin first

    def record(self, now: int) -> None:
        """Count a request."""
        self._turn_bins(now)
        self._counts[0] += 1

    def per_second(self, now: int) -> float:
        """Return the rate, in requests a second."""
        self._turn_bins(now)
        return max(self._counts[1:]) * 1e6 / BIN_US

    def _turn_bins(self, now: int) -> None:
        current = now // BIN_US
        if current != self._bin:
            passed = min(3, current - self._bin)
            self._counts = [0] * passed + self._counts[: 3 - passed]
            self._bin = current


class TenantQuotaPart(LimitPart):
    """One server's part of a tenant's quota.

    Attributes:
        rate: The quota of the whole fleet, in requests a second.
        total_tokens: The tokens that it is cut into.
    """

    def __init__(self, participant: QuotaParticipant, rate: float, total_tokens: int) -> None:
        """Start without requests."""
        super().__init__(participant, 0)
        self.rate = rate
        self.total_tokens = total_tokens
        self.arrivals = ArrivalRate()

    def used(self, now: int) -> int:
        """Return how many tokens the present rate uses, no more than there are."""
        return min(self.wanted(now, 1.0), self.participant.in_force(now))

    def wanted(self, now: int, growth: float = GROWTH) -> int:
        """Return how many tokens `growth` times the present rate comes to."""
        if self.rate <= 0:
            return 0
        arriving = self.arrivals.per_second(now)
        return -int(-growth * arriving * self.total_tokens // self.rate)

    def count_request(self, now: int) -> float:
        """Count a request and return this server's part of the quota, in requests a second."""
        self.arrivals.record(now)
        return self.rate_in_force(now)

    def rate_in_force(self, now: int) -> float:
        """Return this server's part of the quota, in requests a second."""
        return self.participant.in_force(now) * self.rate / self.total_tokens

    def tick(self, now: int) -> list[AddressedQuotaMessage]:
        """Return what is to be sent now; to be called a few times a second."""
        wanted = self.wanted(now)
        self.refused += wanted > self.participant.in_force(now)
        self.peak.record(now, wanted)
        self.participant.needed = self.peak.highest(now)
        self.participant.used = self.used(now)
        return self.participant.tick(now)
