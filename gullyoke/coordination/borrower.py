"""A process that borrows tokens of a fleet's limit from its lenders.

It has its floor without asking. It counts a quota lease from before its request, so that it ends
here before it does at the lender.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from gullyoke.coordination import quota_durations as durations
from gullyoke.coordination.quota_messages import QuotaGrant, QuotaRequest, QuotaReturn


class BorrowedQuota(NamedTuple):
    """A quota lease as its borrower counts it; `sequence` is that of its request."""

    tokens: int
    until_us: int
    sequence: int


class PendingRequest(NamedTuple):
    """The last request to a lender, and when it was sent, in microseconds."""

    sequence: int
    sent_at_us: int


class Borrower:
    """One process' share of the limit. Times are microseconds of its monotonic clock.

    Attributes:
        floor: Tokens that it has without a lease, from `begins_us` on.
        weight: Its part of what is scarce is proportional to this.
        lenders: Names of the lenders in the order in which they are asked.
        leases: Quota leases by lender.
        pending: Requests without an answer, by lender.
        unreturned: Lenders to which more is in use than they grant now, with the sequence of their
            leases.
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
            incarnation: The random number drawn at the process' start.
            floor: Tokens that the process has without a lease.
            lenders: Names of all lenders.
            own_lender: The lender that this process is, if any; it is asked first.
            begins_us: From when the floor counts: until then an earlier process may use it.
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
        """Return how many tokens may be used now; to be called again after every wait."""
        borrowed = sum(lease.tokens for lease in self.leases.values() if now < lease.until_us)
        return self.guaranteed(now) + borrowed

    def guaranteed(self, now: int) -> int:
        """Return the floor; 0 while an earlier process may use it."""
        return self.floor if now >= self.begins_us else 0

    def secured_until(self, now: int, count: int) -> float:
        """Return until when `count` tokens are this process' own.

        Infinity within the floor; `now` where it has fewer.
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
        """Return the requests that are due, so that all tokens together come to `needed`.

        Leases are renewed. What is missing is asked of one lender more each time, in turn, and
        sooner than a renewal is due.
        """
        missing = max(0, needed - self.in_force(now))
        renews = now >= self.next_renewal_us
        if not renews and not (missing and now >= self.next_short_retry_us):
            return []
        if renews:
            self.next_renewal_us = now + durations.RENEW_US
        self.next_short_retry_us = now + durations.SHORT_RETRY_US
        surplus = max(0, self.in_force(now) - max(needed, self.guaranteed(now)))
        in_turn = self.lenders[self._rounds % len(self.lenders)] if self.lenders else None
        self._rounds += 1
        requests = []
        for lender in self.lenders:
            lease = self.leases.get(lender)
            has = lease.tokens if lease and now < lease.until_us else 0
            given_up = min(has, surplus)
            surplus -= given_up
            wanted = has - given_up + (missing if lender == in_turn else 0)
            if (wanted and lender == in_turn) or (renews and has):
                requests.append(self._request(now, lender, wanted, has))
        return requests

    def _request(self, now: int, lender: str, wanted: int, has: int) -> QuotaRequest:
        self.sequence += 1
        self.pending[lender] = PendingRequest(self.sequence, now)
        elsewhere = self.in_force(now) - has
        return QuotaRequest(lender, self.incarnation, self.sequence, wanted, self.weight, elsewhere)

    def handle_grant(self, now: int, grant: QuotaGrant, used: int = 0) -> QuotaReturn | None:
        """Take a grant; return what is given back to its lender, less what is still in use.

        A smaller grant takes effect at once. A grant to an older request is ignored.
        """
        pending = self.pending.get(grant.lender)
        if grant.borrower != self.incarnation:
            return None
        if pending is None or grant.sequence != pending.sequence:
            return None
        del self.pending[grant.lender]
        until_us = pending.sent_at_us + durations.QUOTA_LEASE_US  # from before the request
        self.leases[grant.lender] = BorrowedQuota(grant.tokens, until_us, grant.sequence)
        return self._return(now, grant.lender, used)

    def next_returns(self, now: int, used: int) -> list[QuotaReturn]:
        """Return to their lenders what was in use when a grant was smaller, as far as it is not."""
        return [self._return(now, lender, used) for lender in list(self.unreturned)]

    def _return(self, now: int, lender: str, used: int) -> QuotaReturn:
        lease = self.leases[lender]
        over_used = max(0, used - self.in_force(now))
        self.unreturned.pop(lender, None)
        if over_used:
            self.unreturned[lender] = lease.sequence
        return QuotaReturn(lender, self.incarnation, lease.sequence, lease.tokens + over_used)
