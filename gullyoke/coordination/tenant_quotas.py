"""A tenant's quota for a whole fleet, leased as rates to the servers that now get its requests.

The quota is divided into tokens, each a small part of the rate. A server's part of the quota is the
tokens that it has in force (gullyoke/coordination/borrower.py), so the parts of all servers never
add up to more than the quota. A server may save up the requests that its rate allows for
`SAVED_US`, so a lender counts tokens as in use for `SAVED_US` after the end of their lease.
"""

from __future__ import annotations

from typing import Final

from gullyoke.coordination.limit_parts import LimitPart
from gullyoke.coordination.quota_participant import AddressedQuotaMessage, QuotaParticipant

TOKENS_PER_SERVER: Final = 16  # per server of the largest fleet; a floor share of 1/4 is 4 tokens
SAVED_US: Final = 2_000_000  # requests that the rate allows in this time may be saved up
BIN_US: Final = 500_000  # length of the bins in which requests are counted
GROWTH: Final = 1.25  # tokens requested, relative to the present rate, to allow for growth
MAX_LEASED_TENANTS: Final = 16  # each tenant whose quota is leased costs messages of its own


def tokens(largest_fleet: int) -> int:
    """Return the number of tokens that a quota is divided into."""
    return TOKENS_PER_SERVER * largest_fleet


class ArrivalRate:
    """The rate of requests: the higher of the last two complete bins.

    The higher one is used because bursts have to be admitted as they arrive.
    """

    def __init__(self) -> None:
        """Start at 0."""
        self._bin = 0
        self._counts = [0, 0, 0]  # the current bin first

    def record(self, now: int) -> None:
        """Count a request."""
        self._advance_bins(now)
        self._counts[0] += 1

    def per_second(self, now: int) -> float:
        """Return the rate in requests per second."""
        self._advance_bins(now)
        return max(self._counts[1:]) * 1e6 / BIN_US

    def _advance_bins(self, now: int) -> None:
        current = now // BIN_US
        if current != self._bin:
            passed = min(3, current - self._bin)
            self._counts = [0] * passed + self._counts[: 3 - passed]
            self._bin = current


class TenantQuotaPart(LimitPart):
    """One server's part of a tenant's quota.

    Attributes:
        rate: The quota of the whole fleet, in requests per second.
        total_tokens: The number of tokens that the quota is divided into.
    """

    def __init__(self, participant: QuotaParticipant, rate: float, total_tokens: int) -> None:
        """Start without requests."""
        super().__init__(participant, 0)
        self.rate = rate
        self.total_tokens = total_tokens
        self.arrivals = ArrivalRate()

    def used(self, now: int) -> int:
        """Return how many tokens the present rate uses, at most those in force."""
        return min(self.wanted(now, 1.0), self.participant.in_force(now))

    def wanted(self, now: int, growth: float = GROWTH) -> int:
        """Return how many tokens `growth` times the present rate needs."""
        if self.rate <= 0:
            return 0
        arriving = self.arrivals.per_second(now)
        return -int(-growth * arriving * self.total_tokens // self.rate)

    def count_request(self, now: int) -> float:
        """Count a request and return this server's part of the quota, in requests per second."""
        self.arrivals.record(now)
        return self.rate_in_force(now)

    def rate_in_force(self, now: int) -> float:
        """Return this server's part of the quota, in requests per second."""
        return self.participant.in_force(now) * self.rate / self.total_tokens

    def tick(self, now: int) -> list[AddressedQuotaMessage]:
        """Return the messages to send now; to be called a few times a second."""
        wanted = self.wanted(now)
        self.refused += wanted > self.participant.in_force(now)
        self.peak.record(now, wanted)
        self.participant.needed = self.peak.highest(now)
        self.participant.used = self.used(now)
        return self.participant.tick(now)
