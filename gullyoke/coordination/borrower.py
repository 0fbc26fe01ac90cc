"""A process that borrows tokens of a fleet's limit from the lenders.

The process needs no lease for the tokens of its floor. It counts the duration of a quota lease from
before it sent the request, so the lease ends at the borrower before it ends at the lender.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from gullyoke.coordination import quota_durations as durations
from gullyoke.coordination.quota_messages import QuotaGrant, QuotaRequest, QuotaReturn


class BorrowedQuota(NamedTuple):
    """A quota lease as the borrower counts it; `sequence` is that of the request."""

    tokens: int
    until_us: int
    sequence: int


class PendingRequest(NamedTuple):
    """The last request to a lender and the time when it was sent, in microseconds."""

    sequence: int
    sent_at_us: int


class Borrower:
    """One process's share of the limit. Times are microseconds of its monotonic clock.

    Attributes:
        floor: Tokens that the process may use without a lease, from `begins_us` on.
        weight: Scarce tokens are divided in proportion to the weights of the borrowers.
        lenders: Names of the lenders in the order in which they receive requests.
        leases: Quota leases by lender.
        pending: Requests without an answer, by lender.
        unreturned: Lenders whose last grant was smaller than the tokens in use, with the sequence
            of their leases; the excess is returned later.
    """

    def __init__(
        self,
        incarnation: int,
        floor: int,
        lenders: Iterable[str],
        own_lender: str | None = None,
        begins_us: int = 0,
    ) -> None:
        """Start without leases.

        Args:
            incarnation: The random number drawn when the process started.
            floor: Tokens that the process may use without a lease.
            lenders: Names of all lenders.
            own_lender: The lender in this process, if any; it receives requests first.
            begins_us: When the floor begins to count; until then an earlier process may use the
                tokens of the floor.
        """
        self.incarnation = incarnation
        self.floor = floor
        self.begins_us = begins_us
        self.lenders = sorted(lenders, key=lambda lender: (lender != own_lender, lender))
        self.weight = 1.0
        self.leases: dict[str, BorrowedQuota] = {}
        self.pending: dict[str, PendingRequest] = {}
        self.unreturned: dict[str, int] = {}
        self.sequence = 0
        self.next_renewal_us = 0
        self.next_short_retry_us = 0
        self._rounds = 0

    def in_force(self, now: int) -> int:
        """Return how many tokens may be used now; call this again after every wait."""
        borrowed = sum(lease.tokens for lease in self.leases.values() if now < lease.until_us)
        return self.guaranteed(now) + borrowed

    def guaranteed(self, now: int) -> int:
        """Return the floor; 0 while an earlier process may still use it."""
        return self.floor if now >= self.begins_us else 0

    def secured_until(self, now: int, count: int) -> float:
        """Return the time until which this process may use `count` tokens.

        Infinity if the floor covers them; `now` if the process may use fewer tokens.
        """
        count -= self.guaranteed(now)
        if count <= 0:
            return math.inf
        for lease in sorted(self.leases.values(), key=lambda lease: -lease.until_us):
            count -= lease.tokens
            if count <= 0:
                return max(now, lease.until_us)
        return now

    def next_requests(self, now: int, needed: int) -> list[QuotaRequest]:
        """Return the requests that are due to bring the tokens in force to `needed`.

        All leases are renewed together. Missing tokens are requested at a shorter interval than
        renewals, each time from the next lender in the order of `lenders`.
        """
        missing = max(0, needed - self.in_force(now))
        renews = now >= self.next_renewal_us
        if not renews and not (missing and now >= self.next_short_retry_us):
            return []
        if renews:
            self.next_renewal_us = now + durations.RENEW_US
        self.next_short_retry_us = now + durations.SHORT_RETRY_US
        surplus = max(0, self.in_force(now) - max(needed, self.guaranteed(now)))
        next_lender = self.lenders[self._rounds % len(self.lenders)] if self.lenders else None
        self._rounds += 1
        requests = []
        for lender in self.lenders:
            lease = self.leases.get(lender)
            current = lease.tokens if lease and now < lease.until_us else 0
            given_back = min(current, surplus)
            surplus -= given_back
            wanted = current - given_back + (missing if lender == next_lender else 0)
            if (wanted and lender == next_lender) or (renews and current):
                requests.append(self._request(now, lender, wanted, current))
        return requests

    def _request(self, now: int, lender: str, wanted: int, current: int) -> QuotaRequest:
        self.sequence += 1
        self.pending[lender] = PendingRequest(self.sequence, now)
        elsewhere = self.in_force(now) - current
        return QuotaRequest(lender, self.incarnation, self.sequence, wanted, self.weight, elsewhere)

    def handle_grant(self, now: int, grant: QuotaGrant, used: int = 0) -> QuotaReturn | None:
        """Apply a grant; return the message that gives unused tokens back to the lender.

        A smaller grant takes effect at once, except for tokens that are still in use. A grant
        for another process, or for an older request, is ignored.
        """
        pending = self.pending.get(grant.lender)
        if grant.borrower != self.incarnation:
            return None
        if pending is None or grant.sequence != pending.sequence:
            return None
        del self.pending[grant.lender]
        until_us = pending.sent_at_us + durations.QUOTA_LEASE_US  # counted from before the request
        self.leases[grant.lender] = BorrowedQuota(grant.tokens, until_us, grant.sequence)
        return self._return(now, grant.lender, used)

    def next_returns(self, now: int, used: int) -> list[QuotaReturn]:
        """Return the messages that give back tokens which were in use when a grant shrank."""
        return [self._return(now, lender, used) for lender in list(self.unreturned)]

    def _return(self, now: int, lender: str, used: int) -> QuotaReturn:
        lease = self.leases[lender]
        over_used = max(0, used - self.in_force(now))
        self.unreturned.pop(lender, None)
        if over_used:
            self.unreturned[lender] = lease.sequence
        return QuotaReturn(lender, self.incarnation, lease.sequence, lease.tokens + over_used)
