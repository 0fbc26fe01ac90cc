"""The lender of a part of a fleet's limit: it divides its tokens between borrowers.

A lender never has more tokens lent than it owns, even when messages are lost or late. It
counts a quota lease as longer than the borrower does, by the maximum drift between two clocks.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from typing import NamedTuple

from gullyoke.coordination import quota_durations as durations
from gullyoke.coordination.lender_tenure import LenderTenure
from gullyoke.coordination.max_min_fairness import Demand, fill_level
from gullyoke.coordination.quota_messages import QuotaGrant, QuotaRequest, QuotaReturn
from gullyoke.membership.member_record import stable_hash

MIN_WEIGHT = 1e-6


class QuotaLease:
    """The tokens that a lender has granted to one borrower.

    Attributes:
        sequence: Number of the borrower's last request.
        tokens: Tokens that the borrower may have in use until `until_us`.
        granted: Tokens of the last grant. Once the borrower has received this grant, it starts no
            use beyond these tokens.
        until_us: End of the lease, in microseconds.
    """

    __slots__ = ("granted", "sequence", "tokens", "until_us")

    def __init__(self) -> None:
        """Start without tokens."""
        self.sequence = 0
        self.tokens = 0
        self.granted = 0
        self.until_us = 0


class DemandAt(NamedTuple):
    """A borrower's demand and the time when it was stated, in microseconds."""

    demand: Demand
    at_us: int


class Lender:
    """The lender of the tokens of one name. Times are microseconds of its monotonic clock.

    Attributes:
        tenure: The process's right to lend under the name.
        total: Tokens to lend under the name.
        after_us: For a limit on a mean, how long use still counts after the end of a lease.
        leases: Leases by borrower; removed when they end.
        demands: Demands by borrower; removed after `DEMAND_VALID_US`.
        level: The fair level (gullyoke/coordination/max_min_fairness.py).
    """

    def __init__(self, tenure: LenderTenure, tokens: int, after_us: int = 0) -> None:
        """Start with no tokens lent."""
        self.tenure = tenure
        self.total = tokens
        self.after_us = after_us
        self.leases: dict[Hashable, QuotaLease] = {}
        self.demands: dict[Hashable, DemandAt] = {}
        self.level = math.inf
        self._level_at_us: int | None = None

    def outstanding(self, now: int) -> int:
        """Return how many tokens borrowers may have in use; drops leases that have ended."""
        ended = [borrower for borrower, lease in self.leases.items() if now >= lease.until_us]
        for borrower in ended:
            del self.leases[borrower]
        return sum(lease.tokens for lease in self.leases.values())

    def answer_request(self, now: int, request: QuotaRequest) -> QuotaGrant | None:
        """Return the grant; None for a request that is not newer than the borrower's last one."""
        lease = self.leases.get(request.borrower)
        if lease is not None and request.sequence <= lease.sequence:
            return None
        free = self.total - self.outstanding(now)
        lease = self.leases.get(request.borrower)
        demand = Demand(
            max(0, request.wanted),
            max(0, request.elsewhere),
            max(MIN_WEIGHT, request.weight),
        )
        self.demands[request.borrower] = DemandAt(demand, now)
        tokens = 0
        if self.tenure.may_lend(now, self.after_us):
            tokens = self._grantable(now, request.borrower, demand, lease, free)
            if lease is not None or tokens > 0:
                self._grant(now, request, lease, tokens)
        return QuotaGrant(request.lender, request.borrower, request.sequence, tokens)

    def _grantable(
        self, now: int, borrower: Hashable, demand: Demand, lease: QuotaLease | None, free: int
    ) -> int:
        """Return how many tokens the borrower is granted in total."""
        fair = self._fair_share(now, borrower, demand)
        granted = lease.granted if lease else 0
        grown = granted + max(1, self.total // durations.GROWTH_DIVISOR)
        return min(fair, grown, (lease.tokens if lease else 0) + free)

    def _grant(
        self, now: int, request: QuotaRequest, lease: QuotaLease | None, tokens: int
    ) -> None:
        if lease is None:
            lease = self.leases[request.borrower] = QuotaLease()
        lease.sequence = request.sequence
        lease.granted = tokens
        # A smaller grant frees nothing yet: the borrower may use its earlier tokens until it
        # returns them or the lease ends.
        lease.tokens = max(lease.tokens, tokens)
        if tokens > 0:
            duration_us = durations.QUOTA_LEASE_US + self.after_us
            lease.until_us = now + durations.with_clock_drift_us(duration_us)

    def _fair_share(self, now: int, borrower: Hashable, demand: Demand) -> int:
        """Return the borrower's fair share in whole tokens.

        A hash assigns the tokens that rounding leaves, and chooses other borrowers in each
        `ROUNDING_INTERVAL_US`. Every borrower thus gets a token at times, even where there are
        fewer tokens than borrowers.
        """
        last_us = self._level_at_us
        if last_us is None or now - last_us >= durations.FAIR_LEVEL_INTERVAL_US:
            self._level_at_us = now
            self._update_level(now)
        share = demand.share_at(self.level)
        interval = now // durations.ROUNDING_INTERVAL_US
        draw = stable_hash(f"{self.tenure.name} {borrower} {interval}") / 2**64
        return min(demand.want, int(share + draw))

    def _update_level(self, now: int) -> None:
        outdated = [
            borrower
            for borrower, stated in self.demands.items()
            if now - stated.at_us > durations.DEMAND_VALID_US
        ]
        for borrower in outdated:
            del self.demands[borrower]
        self.level = fill_level(self.total, (stated.demand for stated in self.demands.values()))

    def handle_return(self, now: int, returned: QuotaReturn) -> None:
        """Take back tokens that the borrower no longer uses.

        A return for an older request is ignored: the answer to a newer one is on its way.
        """
        lease = self.leases.get(returned.borrower)
        if lease is not None and returned.sequence == lease.sequence:
            lease.tokens = min(lease.tokens, max(returned.tokens, lease.granted))
