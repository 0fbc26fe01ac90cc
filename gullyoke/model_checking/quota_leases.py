"""Explores orders of events around one lender's tokens, with all guards and without each.

The world is gullyoke/model_checking/quota_lease_world.py. A mutant removes one guard from the
rules. The exploration must then find a violation, which shows that it can detect the missing guard.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple
from unittest import mock

from gullyoke.coordination import quota_durations
from gullyoke.coordination.borrower import Borrower
from gullyoke.coordination.lender import Lender
from gullyoke.coordination.lender_tenure import LenderTenure, LenderVoter
from gullyoke.coordination.quota_messages import (
    LenderVote,
    QuotaGrant,
    QuotaRequest,
    QuotaReturn,
)
from gullyoke.model_checking.explore import from_all
from gullyoke.model_checking.quota_lease_world import (
    MAJORITIES,
    TOKENS,
    Event,
    Exchange,
    QuotaLeaseWorld,
    durations_in_ticks,
)

MAX_STATES: Final = 10**6
MAX_TICKS_TO_LEND: Final = 20

Mutant = Callable[[], contextlib.AbstractContextManager[object]]


class Start(NamedTuple):
    """Where an exploration starts: whether processes claim the name, and the moves to the state."""

    name_claimed: bool
    script: str


# By name; `lending` makes the moves before those of the script.
STARTS: Final = {
    "no fault": Start(False, ""),
    "a late grant": Start(False, "time; ask b0 grant-late; time; time"),
    "a late request": Start(False, "time; ask b0 want-late; time"),
    "a second borrower": Start(False, "ask b1 done; time"),
    "a late return and a second borrower": Start(False, "ask b1 done; time; ask b0 return-late"),
    "the lender restarts": Start(False, "time; ask b0 done; restart l0"),
    "the name is granted": Start(True, ""),
    "the holder of the name restarts": Start(
        True, "time; time; ask b0 done; restart l0; time; time"
    ),
    "two processes with one name": Start(
        True,
        "time; claim l0 v0+v1; double; claim l1 v1+v2; time; time; ask b0 done; "
        "claim l1 v1+v2; time",
    ),
    "two processes with one name, a voter restarts": Start(
        True,
        "time; claim l0 v0+v1; double; restart v1; claim l1 v1+v2; time; "
        "time; ask b0 done; claim l1 v1+v2; time",
    ),
}


def lending(name_claimed: bool, restarts: int = 1) -> QuotaLeaseWorld:
    """Return a world after moves without faults that lend all tokens to the first borrower."""
    world = QuotaLeaseWorld(name_claimed, restarts)
    for _ in range(MAX_TICKS_TO_LEND):
        for move in (
            (Event.CLAIM, "l0", MAJORITIES[0]),
            (Event.REQUEST, "b0", Exchange.DONE),
        ):
            if move in world.moves():
                world.make(move)
        if world.borrowers["b0"].in_force(world.clocks["b0"]) == TOKENS:
            break
        world.make((Event.TICK,))
    return world


def begun(name: str) -> QuotaLeaseWorld:
    """Return the world of the start with this name."""
    start = STARTS[name]
    restarts = 2 if "restart" in start.script and "double" in start.script else 1
    world = lending(start.name_claimed, restarts)
    for move in filter(None, (step.strip() for step in start.script.split(";"))):
        world.make(tuple(move.split()))
    return world


def _lease_from_the_grant() -> contextlib.AbstractContextManager[object]:
    handle_grant = Borrower.handle_grant

    def count_from_grant(
        self: Borrower, now: int, grant: QuotaGrant, used: int = 0
    ) -> QuotaReturn | None:
        returned = handle_grant(self, now, grant, used)
        if returned is not None:
            until_us = now + quota_durations.QUOTA_LEASE_US
            self.leases[grant.lender] = self.leases[grant.lender]._replace(until_us=until_us)
        return returned

    return mock.patch.object(Borrower, "handle_grant", count_from_grant)


def _smaller_grant_frees() -> contextlib.AbstractContextManager[object]:
    answer_request = Lender.answer_request

    def free_at_once(self: Lender, now: int, request: QuotaRequest) -> QuotaGrant | None:
        grant = answer_request(self, now, request)
        if grant is not None and request.borrower in self.leases:
            self.leases[request.borrower].tokens = grant.tokens
        return grant

    return mock.patch.object(Lender, "answer_request", free_at_once)


def _no_drift_allowance() -> contextlib.AbstractContextManager[object]:
    def add_nothing(duration_us: int) -> int:
        return duration_us

    return mock.patch.object(quota_durations, "with_clock_drift_us", add_nothing)


def _lends_at_once() -> contextlib.AbstractContextManager[object]:
    def may_lend(self: LenderTenure, now: int, after_us: int = 0) -> bool:
        return self.is_valid(now)

    return mock.patch.object(LenderTenure, "may_lend", may_lend)


def _fresh_voter_votes() -> contextlib.AbstractContextManager[object]:
    init = LenderVoter.__init__

    def vote_at_once(self: LenderVoter, now: int, name: str, lenders: Iterable[str]) -> None:
        init(self, now, name, lenders)
        self.silent_until_us = now

    return mock.patch.object(LenderVoter, "__init__", vote_at_once)


def _one_vote_is_enough() -> contextlib.AbstractContextManager[object]:
    handle_vote = LenderTenure.handle_vote

    def count_any(self: LenderTenure, now: int, vote: LenderVote) -> None:
        handle_vote(self, now, vote)
        is_own_vote = (vote.lender, vote.incarnation) == (self.name, self.incarnation)
        if is_own_vote and vote.granted:
            self.since_us = self.since_us if self.is_valid(now) else now
            until_us = self.claimed_at_us + quota_durations.TENURE_US
            self.until_us = max(self.until_us, until_us)

    return mock.patch.object(LenderTenure, "handle_vote", count_any)


# By the guard that each mutant removes.
MUTANTS: Final[dict[str, Mutant]] = {
    "a lease counts from before its request": _lease_from_the_grant,
    "a smaller grant frees no tokens before their return": _smaller_grant_frees,
    "allowance for clock drift": _no_drift_allowance,
    "a new lender waits until earlier leases have ended": _lends_at_once,
    "a voter grants nothing at first after its start": _fresh_voter_votes,
    "a majority grants the name": _one_vote_is_enough,
}


def found(mutant: str | None, depth: int, max_states: int = MAX_STATES) -> tuple[int, str | None]:
    """Explore from all starts to a depth, with one guard removed or none.

    Returns:
        How many states were seen, and the first violation with the moves to it.
    """
    with durations_in_ticks(), MUTANTS[mutant]() if mutant else contextlib.nullcontext():
        return from_all(STARTS, begun, depth, max_states)
