"""Which process lends under a lender's name: leases on names, granted by a majority of lenders.

Two processes with the same name would lend the same tokens twice. A process therefore lends only
while a majority of the lenders grants it the name (leases: Gray and Cheriton 1989). Grants are not
stored: a voter that starts grants nothing until all grants that it may have made before have ended.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from gullyoke.coordination import quota_durations as durations
from gullyoke.coordination.quota_messages import LenderClaim, LenderVote


class GrantedName(NamedTuple):
    """The process to which a voter has granted a name, and the end of the grant in microseconds."""

    incarnation: int
    until_us: int


class LenderVoter:
    """One lender's votes on all names. Times are microseconds of its monotonic clock.

    Attributes:
        silent_until_us: End of the grants that this voter may have made before this start; until
            then it grants nothing.
        granted: The last grant by name, at most one for each lender.
    """

    def __init__(self, now: int, name: str, lenders: Iterable[str]) -> None:
        """Start the voter of the lender `name`; `lenders` are the names of all lenders."""
        self.name = name
        self.lenders = frozenset(lenders)
        self.silent_until_us = now + durations.with_clock_drift_us(durations.TENURE_US)
        self.granted: dict[str, GrantedName] = {}

    def answer_claim(self, now: int, claim: LenderClaim) -> LenderVote | None:
        """Return the vote on a claim; None if the name is not a lender's."""
        if claim.lender not in self.lenders:
            return None
        last = self.granted.get(claim.lender)
        free = last is None or last.incarnation == claim.incarnation or now >= last.until_us
        granted = free and now >= self.silent_until_us
        if granted:
            until_us = now + durations.with_clock_drift_us(durations.TENURE_US)
            self.granted[claim.lender] = GrantedName(claim.incarnation, until_us)
        return LenderVote(claim.lender, claim.incarnation, claim.round, self.name, granted)


class LenderTenure:
    """One process's right to lend under a name. Times are microseconds of its monotonic clock.

    Attributes:
        until_us: The end of the right.
        since_us: Start of the last uninterrupted period of the right; None before the first one.
        granted_by: Voters that granted in the current round.
    """

    def __init__(self, name: str, incarnation: int, lenders: Iterable[str]) -> None:
        """Start without the right to `name`; `lenders` are the names of all lenders."""
        self.name = name
        self.incarnation = incarnation
        self.lenders = frozenset(lenders)
        self.round = 0
        self.claimed_at_us = 0
        self.next_claim_us = 0
        self.granted_by: set[str] = set()
        self.until_us = 0
        self.since_us: int | None = None

    def next_claim(self, now: int) -> LenderClaim | None:
        """Return the claim to send to all lenders if a round is due, and start that round."""
        if now < self.next_claim_us:
            return None
        self.round += 1
        self.claimed_at_us = now
        self.next_claim_us = now + durations.RENEW_US
        self.granted_by = set()
        return LenderClaim(self.name, self.incarnation, self.round)

    def handle_vote(self, now: int, vote: LenderVote) -> None:
        """Count a vote; votes on other claims are ignored."""
        if (vote.lender, vote.incarnation) != (self.name, self.incarnation):
            return
        if vote.round != self.round or not vote.granted:
            return
        self.granted_by.add(vote.voter)
        if 2 * len(self.granted_by & self.lenders) > len(self.lenders):
            if not self.is_valid(now):
                self.since_us = now  # the first time, or after an interruption
            # The right is counted from before the claim was sent.
            self.until_us = max(self.until_us, self.claimed_at_us + durations.TENURE_US)

    def is_valid(self, now: int) -> bool:
        """Return whether this process has the right now."""
        return now < self.until_us

    def may_lend(self, now: int, after_us: int = 0) -> bool:
        """Return whether all quota leases of an earlier process with this name have ended.

        Args:
            now: The time.
            after_us: How long use still counts after the end of a quota lease.
        """
        if not self.is_valid(now) or self.since_us is None:
            return False
        waited_us = now - self.since_us
        return waited_us >= durations.with_clock_drift_us(durations.QUOTA_LEASE_US + after_us)
