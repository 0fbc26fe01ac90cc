"""The back ends together: who is asked next, how many may be set aside, who belongs to it."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence

from gullyoke.admission.interface import Idempotency
from gullyoke.routing.backend import Member, Stated
from gullyoke.routing.outcomes import Fate
from gullyoke.routing.outlier_detection import SET_ASIDE, Health, Standing


class Pool:
    """Choice of two by work in hand over weight times response time.

    Two drawn by chance and the better of them taken: nearly as even as asking the best of all,
    without the herd that all go to the one that looked best last (Mitzenmacher 2001). `out_share`
    is the largest share of the pool that may be ejected at once; one that refuses connections is
    away, not ejected, and counts in it only while others are left. `health` makes the state of a
    new member from a source of chance. `may` says whether a trial of a member may be made now,
    where others take turns with this one. Table: `members`, one row a back end that is stated or
    still has runs.
    """

    def __init__(
        self,
        chance: random.Random,
        out_share: float = 0.5,
        first: int = 8,
        linger: int = 0,
        health: Callable[[Callable[[], float]], Health] = Health,
    ) -> None:
        self.draw, self.pick_of = chance.random, chance.randrange
        self.out_share, self.first, self.linger, self.health = out_share, first, linger, health
        self.members: dict[str, Member] = {}
        self.may: Callable[[str], bool] = lambda name: True

    # Membership.

    def state(self, now: int, stated: Iterable[Stated]) -> tuple[list[str], list[str]]:
        """These belong to it from now on; the names that came and those that go.

        The first ever are asked like all others; later ones start slowly; those that go finish what
        they have.
        """
        wanted, begun = {s.name: s for s in stated}, bool(self.members)
        came, go = [], []
        for name, one in wanted.items():
            member = self.members.get(name)
            if member is None:
                member = self.members[name] = Member(one, self.health(self.draw), self.first)
                if begun:
                    member.health.to(now, Standing.SLOW)
                came.append(name)
            else:
                member.stated = one
                member.limit.state(one.least, one.most)
                if (
                    member.health.standing is Standing.LEAVING
                ):  # called back: it was well when it left
                    member.health.to(now, Standing.SLOW)
                    came.append(name)
        for name, member in self.members.items():
            if name not in wanted and member.health.standing is not Standing.LEAVING:
                member.health.to(now, Standing.LEAVING)
                go.append(name)
        self.forget()
        return came, go

    def forget(self) -> None:
        """Members that are no longer stated leave with their last run."""
        self.members = {
            name: m
            for name, m in self.members.items()
            if m.health.standing is not Standing.LEAVING or m.began
        }

    # Choice.

    def usual(self) -> float:
        """The usual response time, over those that have one."""
        known = [
            m.pace for m in self.members.values() if m.pace and m.health.standing not in SET_ASIDE
        ]
        known = known or [m.pace for m in self.members.values() if m.pace]
        return sorted(known)[len(known) // 2] if known else 0.0

    def pick(self, now: int, kind: Idempotency, tried: Sequence[Member] = ()) -> Member | None:
        """Where the next run goes; None if no one takes one now.

        A trial is made with a first try of a replayable run, which can be made again elsewhere, or
        with any when nobody else is left.
        """
        ready = [m for m in self.members.values() if m not in tried and m.takes(now)]
        if (kind is Idempotency.IDEMPOTENT and not tried) or not ready:
            for member in self.members.values():
                if (
                    member not in tried
                    and member.health.trial_due(now)
                    and not member.began
                    and (not ready or self.may(member.stated.name))
                ):
                    member.health.to(now, Standing.TRIAL)
                    return member
        if len(ready) < 2:
            return ready[0] if ready else None
        first = self.pick_of(len(ready))
        second = self.pick_of(len(ready) - 1)
        second += second >= first
        mean, one, other = self.usual(), ready[first], ready[second]
        return one if one.score(now, mean) <= other.score(now, mean) else other

    def room(self, now: int) -> int:
        """How many runs all of them take at once; 0 when all are set aside."""
        return sum(m.places(now) for m in self.members.values())

    def in_hand(self, now: int) -> int:
        return sum(m.in_hand(now) for m in self.members.values())

    # What came of it.

    def may_eject(self, member: Member) -> bool:
        """Whether one more may be set aside for its faults without going over the stated share."""
        stated = [m for m in self.members.values() if m.health.standing is not Standing.LEAVING]
        aside = sum(
            m.health.standing in (*SET_ASIDE, Standing.TRIAL) for m in stated if m is not member
        )
        return aside + 1 <= self.out_share * len(stated)

    def peers(self, now: int, member: Member) -> float:
        """The share of faults of the others together."""
        good = bad = 0.0
        for m in self.members.values():
            if m is not member:
                m.health.share(now)
                good, bad = good + m.health.good, bad + m.health.bad
        return bad / (good + bad) if good + bad else 0.0

    def ended(self, now: int, member: Member, run: object, fate: Fate) -> bool:
        """A run there ended so; whether that set the member aside."""
        member.ended(now, run, fate, self.linger, self.usual())
        aside = member.health.ended(now, fate, self.peers(now, member), self.may_eject(member))
        if aside:
            member.limit.cold()
        self.forget()
        return aside
