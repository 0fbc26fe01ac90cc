"""Explores orders of events around one lease, with all guards and without each.

The world is gullyoke/model_checking/lease_world.py. A mutant removes one guard from the rules. The
exploration must then find a violation, which shows that it can detect the missing guard.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable, Mapping
from typing import Final
from unittest import mock

from gullyoke.leases.candidate import Candidate
from gullyoke.leases.candidate_state import AddressedMessage
from gullyoke.leases.durations import LeaseDurations
from gullyoke.leases.fence import Fence
from gullyoke.leases.messages import LeaseRequest, VoteReply
from gullyoke.leases.promises import Promise
from gullyoke.leases.voter import Voter
from gullyoke.model_checking.explore import from_all
from gullyoke.model_checking.lease_world import LeaseWorld, durations_in_ticks

MAX_STATES: Final = 10**6

Mutant = Callable[[], contextlib.AbstractContextManager[object]]

# The states from which explorations start, by name: the moves that lead there.
STARTS: Final = {
    "no holder": "",
    "one holder": "try a v0+v1",
    "in the middle of an act": "try a v0+v1; act-begin a; time; time; time; time",
    "another holder before the act arrives": (
        "try a v0+v1; act-begin a; time; time; time; time; try b v1+v2; act-begin b"
    ),
    "the lease is about to end": "try a v0+v1; time; time; renew a v0+v1; time; time",
    "a late reply to a request": "try-late a v1+v2; time",
    "a late reply to a renewal": (
        "try a v0+v1; time; renew-late a v1+v2; time; time; come 0; time"
    ),
    "a voter starts anew": "try a v0+v1; act-begin a; restart v1; time; time",
    "a voter lost its promises": "try a v0+v1; act-begin a; act a; wipe v1",
    "lost promises and an ended lease": "try a v0+v1; act-begin a; wipe v1; time; time; time; time",
    "a disk failed a promise": "try-ill a v1+v2; restart v1; time; time; time; time",
}


def begun(name: str, fenced: bool = True) -> LeaseWorld:
    """Return the world of the start with this name."""
    script = STARTS[name]
    restarts = 2 if "restart" in script or "wipe" in script else 1
    world = LeaseWorld(restarts, fenced=fenced)
    for step in filter(None, (step.strip() for step in script.split(";"))):
        world.make(tuple(step.split()))
    return world


def _reply_before_durable() -> contextlib.AbstractContextManager[object]:
    answer_request = LeaseWorld.answer_request

    def answer_unwritten(
        self: LeaseWorld, voter_name: str, request: LeaseRequest, disk_fails: bool
    ) -> VoteReply | None:
        disk = self.disks[voter_name]
        reply = answer_request(self, voter_name, request, disk_fails)
        self.disks[voter_name] = disk
        return reply

    return mock.patch.object(LeaseWorld, "answer_request", answer_unwritten)


def _no_drift_allowance() -> contextlib.AbstractContextManager[object]:
    def add_nothing(self: LeaseDurations, duration_us: int) -> int:
        return duration_us

    return mock.patch.object(LeaseDurations, "with_clock_drift_us", add_nothing)


def _lease_from_the_reply() -> contextlib.AbstractContextManager[object]:
    count_grants = Candidate._count_grants

    def count_from_reply(self: Candidate, now: int) -> None:
        requested_at_us = self.requested_at_us
        self.requested_at_us = now
        count_grants(self, now)
        self.requested_at_us = requested_at_us

    return mock.patch.object(Candidate, "_count_grants", count_from_reply)


def _no_fence() -> contextlib.AbstractContextManager[object]:
    def admit_all(self: Fence, duty: str, epoch: int, incarnation: int) -> bool:
        return True

    return mock.patch.object(Fence, "admit", admit_all)


def _votes_counted_twice() -> contextlib.AbstractContextManager[object]:
    handle_reply = Candidate.handle_reply

    def count_twice(self: Candidate, now: int, reply: VoteReply) -> list[AddressedMessage]:
        is_own_reply = reply.round == self.round and reply.recipient == self.incarnation
        if reply.granted and is_own_reply:
            self.granted_by.add(f"{reply.voter} again")
        return handle_reply(self, now, reply)

    return mock.patch.object(Candidate, "handle_reply", count_twice)


def _fresh_voter_votes() -> contextlib.AbstractContextManager[object]:
    init = Voter.__init__

    def vote_at_once(
        self: Voter,
        now: int,
        name: str,
        incarnation: int,
        others: Iterable[str],
        durations: LeaseDurations,
        promises: Mapping[str, Promise] | None,
        voter_set: int = 1,
    ) -> None:
        init(self, now, name, incarnation, others, durations, promises, voter_set)
        self.fresh = False
        self.silent_until_us = now

    return mock.patch.object(Voter, "__init__", vote_at_once)


# By the guard that each mutant removes.
MUTANTS: Final[dict[str, Mutant]] = {
    "a promise is durable before its reply": _reply_before_durable,
    "allowance for clock drift": _no_drift_allowance,
    "a lease counts from before its request": _lease_from_the_reply,
    "the fence": _no_fence,
    "each vote counts once": _votes_counted_twice,
    "a voter with a new folder does not vote at once": _fresh_voter_votes,
}


def found(mutant: str | None, depth: int, max_states: int = MAX_STATES) -> tuple[int, str | None]:
    """Explore from all starts to a depth, with one guard removed or none.

    Returns:
        How many states were seen, and the first violation with the moves to it.
    """
    with durations_in_ticks(), MUTANTS[mutant]() if mutant else contextlib.nullcontext():
        return from_all(STARTS, begun, depth, max_states)
