"""A customer's quota of all servers, lent as rates: who has its reqs now has its quota now.

A quota is cut into tokens, each a small part of the rate; a server's part is what it has in force,
by right and on loan (gullyoke/coordination/quota_leases.py), so the parts of all servers never come to more
than the quota. What a rate allows may be saved up for a while by whoever has it
(`Server.note_share` keeps two seconds): a home takes a part that came back for in use for so long.
"""

from __future__ import annotations

from gullyoke.coordination.limit_parts import LimitPart
from gullyoke.coordination.quota_participant import QuotaParticipant

UNIT = 16  # tokens a server of the largest fleet: a floor of a quarter is four
SAVED = 2_000_000  # microseconds for which what a rate allows may be saved up
BIN = 500_000  # reqs are counted in bins of so long
AHEAD = 1.25  # so much more than what comes is wanted, so that growth finds some
MOST = 16  # customers whose quotas are lent: each costs its own letters


def tokens(largest: int) -> int:
    """How many tokens a quota is cut into."""
    return UNIT * largest


class ArrivalRate:
    """How many reqs a second come, over the last whole bin and the one before.

    The larger counts, since what comes in bursts has to be let in as it comes.
    """

    def __init__(self) -> None:
        self.at, self.bins = 0, [0, 0, 0]

    def note(self, now: int) -> None:
        self._turn(now)
        self.bins[0] += 1

    def now(self, now: int) -> float:
        self._turn(now)
        return max(self.bins[1:]) * 1e6 / BIN

    def _turn(self, now: int) -> None:
        at = now // BIN
        if at != self.at:
            past = min(3, at - self.at)
            self.bins = [0] * past + self.bins[: 3 - past]
            self.at = at


class TenantQuotaPart(LimitPart):
    """`rate`: reqs a second of all servers, `whole` tokens.

    `lent` is asked for each req of the customer.
    """

    def __init__(self, participant: QuotaParticipant, rate: float, whole: int) -> None:
        super().__init__(participant, 0)
        self.rate, self.whole, self.comes = rate, whole, ArrivalRate()

    def used(self, now: int) -> int:
        """Tokens that are used by what comes, no more than there are."""
        return min(self.wanted(now, 1.0), self.participant.in_force(now))

    def wanted(self, now: int, ahead: float = AHEAD) -> int:
        return -int(-ahead * self.comes.now(now) * self.whole // self.rate) if self.rate > 0 else 0

    def leased_quota(self, now: int) -> float:
        """This server's part of the quota now, in reqs a second."""
        self.comes.note(now)
        return self.part(now)

    def part(self, now: int) -> float:
        return self.participant.in_force(now) * self.rate / self.whole

    def turn(self, now: int):
        wanted = self.wanted(now)
        self.refused += wanted > self.participant.in_force(now)
        self.peak.note(now, wanted)
        self.participant.need, self.participant.used = self.peak.most(now), self.used(now)
        return self.participant.turn(now)
