"""A small model of one lease: three voters with disks, two candidates, a resource with a fence.

Times are a few ticks, and one process's clock may get a tick ahead of the others. The events are
rounds that reach only a majority of the voters, late replies, stalls of any length in the middle of
an act, a disk that fails to write a promise, and restarts of a candidate and of a voter, with its
promises or without. A violation is two holders at once, an act admitted after one of a newer epoch,
acts of two processes admitted under one epoch, or a voter's promise whose epoch goes back. The
rules are those of production (gullyoke/leases).
"""

from __future__ import annotations

import contextlib
from collections.abc import Hashable
from enum import StrEnum
from typing import Final, NamedTuple
from unittest import mock

from gullyoke.leases import candidate as candidate_module
from gullyoke.leases import voter as voter_module
from gullyoke.leases.candidate import Candidate
from gullyoke.leases.candidate_state import AddressedMessage, CandidateState
from gullyoke.leases.durations import LeaseDurations
from gullyoke.leases.fence import Fence
from gullyoke.leases.messages import LeaseRelease, LeaseRequest, PreVote, VoteReply
from gullyoke.leases.promises import Promise
from gullyoke.leases.voter import PromiseWrite, Voter
from gullyoke.model_checking.explore import Move
from gullyoke.model_checking.lease_state_key import state_key

DUTY: Final = "d"
MAX_LATE_REPLIES: Final = 2
VOTERS: Final = ("v0", "v1", "v2")
CANDIDATES: Final = ("a", "b")
MAJORITIES: Final = ("v0+v1", "v1+v2")  # the voters that a round reaches; both have v1


class Event(StrEnum):
    """What can happen; the values are the first words of moves written as text (leases.STARTS)."""

    TICK = "time"
    CLOCK_AHEAD = "ahead"
    REPLY_ARRIVES = "come"
    REQUEST = "try"
    REQUEST_LATE_REPLY = "try-late"
    REQUEST_BAD_DISK = "try-ill"
    RENEW = "renew"
    RENEW_LATE_REPLY = "renew-late"
    ACT_BEGINS = "act-begin"
    ACT_ARRIVES = "act"
    RELEASE = "leave"
    RESTART = "restart"
    WIPE = "wipe"
    LEARN = "learn"


class TickDurations(LeaseDurations):
    """Durations in ticks; `with_clock_drift_us` adds one, the most by which clocks differ here."""

    def renew_interval_us(self) -> int:
        """Return one tick."""
        return 1


DURATIONS: Final = TickDurations(lease_us=3, drift_ppm=0, margin_us=0)


class LateReply(NamedTuple):
    """A voter's reply that has not arrived yet."""

    voter: str
    candidate: str
    reply: VoteReply


def durations_in_ticks() -> contextlib.ExitStack:
    """Return a context in which the constants of candidates and voters are one or two ticks."""
    ticks = {
        candidate_module: {
            "REPLY_TIMEOUT_US": 1,
            "FIRST_PAUSE_US": 1,
            "LONGEST_PAUSE_US": 1,
            "EAGER_INTERVAL_US": 1,
            "EAGER_US": 2,
        },
        voter_module: {"LEARN_INTERVAL_US": 1, "SUCCESSOR_PREFERENCE_US": 1},
    }
    stack = contextlib.ExitStack()
    for module, constants in ticks.items():
        for name, value in constants.items():
            stack.enter_context(mock.patch.object(module, name, value))
    return stack


class LeaseWorld:
    """The state of the world.

    Attributes:
        clocks: Ticks by process.
        disks: The promises on each voter's disk; None for an empty folder.
        late_replies: Replies that have not arrived yet.
        acts: By candidate, the epoch under which it began an act that has not arrived yet.
        actors: By epoch, the process whose acts were admitted.
        newest_epoch: The newest epoch of the admitted acts.
        violation: A description of the last act that broke a rule; empty if there was none.
        highest_promises: By voter, its highest promised epoch since its folder was last wiped, as
            `wrong` stored it.

    Args:
        restarts: How many restarts may happen, with the promises or without.
        faults: How many writes to disks may fail.
        fenced: Whether the resource has a fence.
    """

    def __init__(self, restarts: int = 1, faults: int = 1, fenced: bool = True) -> None:
        self.clocks = dict.fromkeys((*VOTERS, *CANDIDATES), 0)
        self.disks: dict[str, dict[str, Promise] | None] = {name: {} for name in VOTERS}
        self.voters = {name: self._new_voter(name, {}) for name in VOTERS}
        for voter in self.voters.values():
            voter.silent_until_us = 0  # nothing was granted before the first start
        self.last_incarnation = 10
        self.candidates: dict[str, Candidate] = {}
        for name in CANDIDATES:
            self._start_candidate(name)
        self.late_replies: list[LateReply] = []
        self.acts: dict[str, int | None] = dict.fromkeys(CANDIDATES)
        self.fence = Fence()
        self.fenced = fenced
        self.actors: dict[int, str] = {}
        self.newest_epoch = 0
        self.violation = ""
        self.clock_steps = 1
        self.restarts = restarts
        self.faults = faults
        self.highest_promises = dict.fromkeys(VOTERS, 0)

    def _new_voter(self, name: str, promises: dict[str, Promise] | None) -> Voter:
        others = [other for other in VOTERS if other != name]
        return Voter(self.clocks[name], name, 1, others, DURATIONS, promises)

    def _start_candidate(self, name: str) -> None:
        self.last_incarnation += 1
        candidate = Candidate(DUTY, name, self.last_incarnation, VOTERS, DURATIONS, float)
        candidate.wants_lease = True
        self.candidates[name] = candidate

    # Moves.

    def moves(self) -> list[Move]:
        """List the moves that are possible in this state."""
        moves: list[Move] = [(Event.TICK,)]
        moves += [(Event.REPLY_ARRIVES, i) for i in range(len(self.late_replies))]
        for name in CANDIDATES:
            moves += self._candidate_moves(name)
        if self.clock_steps:
            moves += [(Event.CLOCK_AHEAD, name) for name in ("v1", "a")]
        if self.restarts:
            moves += [(Event.RESTART, "v1"), (Event.WIPE, "v1"), (Event.RESTART, "a")]
        if any(voter.fresh for voter in self.voters.values()):
            moves.append((Event.LEARN,))
        return moves

    def _candidate_moves(self, name: str) -> list[Move]:
        candidate = self.candidates[name]
        now = self.clocks[name]
        may_be_late = len(self.late_replies) < MAX_LATE_REPLIES
        moves: list[Move] = []
        if candidate.state is CandidateState.HOLDING and now < candidate.lease_end_us:
            if now >= candidate.next_round_us:
                moves += [(Event.RENEW, name, reached) for reached in MAJORITIES]
                if may_be_late:
                    moves.append((Event.RENEW_LATE_REPLY, name, MAJORITIES[1]))
            idle = self.acts[name] is None
            moves.append((Event.ACT_BEGINS if idle else Event.ACT_ARRIVES, name))
            moves.append((Event.RELEASE, name))
            return moves
        if self.acts[name] is not None:
            moves.append((Event.ACT_ARRIVES, name))
        moves += [(Event.REQUEST, name, reached) for reached in MAJORITIES]
        if may_be_late:
            moves.append((Event.REQUEST_LATE_REPLY, name, MAJORITIES[1]))
        if self.faults:
            moves.append((Event.REQUEST_BAD_DISK, name, MAJORITIES[1]))
        return moves

    def make(self, move: Move) -> None:
        """Make one move."""
        event = Event(move[0])
        match event:
            case Event.TICK:
                for name in self.clocks:
                    self.clocks[name] += 1
            case Event.CLOCK_AHEAD:
                self.clock_steps = 0
                self.clocks[move[1]] += 1
            case Event.REPLY_ARRIVES:
                self._deliver(self.late_replies.pop(int(move[1])))
            case Event.RESTART | Event.WIPE:
                self._restart(move[1], event is Event.WIPE)
            case Event.LEARN:
                self._learn()
            case Event.ACT_BEGINS:
                self.acts[move[1]] = self.candidates[move[1]].held_epoch(self.clocks[move[1]])
            case Event.ACT_ARRIVES:
                self._act_arrives(move[1])
            case Event.RELEASE:
                self._send_releases(
                    self.candidates[move[1]].release_lease(self.clocks[move[1]], "asked")
                )
            case _:
                self._round(move[1], move[2].split("+"), event)

    def _restart(self, name: str, wiped: bool) -> None:
        """Restart a process; a voter with the promises on its disk or, if wiped, with none."""
        self.restarts -= 1
        if name in CANDIDATES:
            self.acts[name] = None
            self._start_candidate(name)
            return
        if wiped:
            self.disks[name] = None
            self.highest_promises[name] = 0
        disk = self.disks[name]
        self.voters[name] = self._new_voter(name, None if disk is None else dict(disk))

    def _round(self, name: str, reached: list[str], event: Event) -> None:
        """Make a whole round that reaches these voters: a pre-vote and a request, or a renewal.

        The event tells whether the last voter's reply is late or its disk fails.
        """
        candidate = self.candidates[name]
        if event in (Event.RENEW, Event.RENEW_LATE_REPLY):
            messages = candidate._renew(self.clocks[name])
        else:
            messages = self._pre_vote(name, reached)
        late = event in (Event.RENEW_LATE_REPLY, Event.REQUEST_LATE_REPLY)
        for voter, message in messages:
            if voter not in reached or not isinstance(message, LeaseRequest):
                continue
            last = voter == reached[-1]
            disk_fails = last and event is Event.REQUEST_BAD_DISK
            reply = self.answer_request(voter, message, disk_fails)
            if reply is None:
                continue
            if late and last:
                self.late_replies.append(LateReply(voter, name, reply))
            else:
                self._deliver(LateReply(voter, name, reply))

    def _pre_vote(self, name: str, reached: list[str]) -> list[AddressedMessage]:
        """Make a pre-vote round; return the requests that follow if a majority would grant."""
        candidate = self.candidates[name]
        now = self.clocks[name]
        candidate.state = CandidateState.IDLE
        candidate.next_round_us = now
        for voter, message in candidate._start_pre_vote(now):
            if voter not in reached or not isinstance(message, PreVote):
                continue
            reply = self.voters[voter].answer_pre_vote(self.clocks[voter], message)
            requests = candidate.handle_reply(now, reply)
            if requests:
                return requests
        return []

    def answer_request(
        self, voter_name: str, request: LeaseRequest, disk_fails: bool
    ) -> VoteReply | None:
        """Have a voter answer a request; return its reply after its write finished or failed."""
        voter = self.voters[voter_name]
        now = self.clocks[voter_name]
        answer = voter.answer_request(now, request)
        if not isinstance(answer, PromiseWrite):
            return answer
        if disk_fails:
            self.faults -= 1
        else:
            self._store(voter_name, answer)
        return voter.write_finished(now, answer, not disk_fails)

    def _store(self, voter_name: str, write: PromiseWrite) -> None:
        self.disks[voter_name] = {**(self.disks[voter_name] or {}), write.duty: write.promise}

    def _deliver(self, late: LateReply) -> None:
        candidate = self.candidates[late.candidate]
        if late.reply.recipient == candidate.incarnation:
            now = self.clocks[late.candidate]
            self._send_releases(candidate.handle_reply(now, late.reply))

    def _send_releases(self, messages: list[AddressedMessage]) -> None:
        for voter, message in messages:
            if isinstance(message, LeaseRelease):
                self.voters[voter].release(self.clocks[voter], message)

    def _learn(self) -> None:
        """Let voters with a new folder learn the promises of the others."""
        for name, voter in self.voters.items():
            query = voter.next_epoch_query(self.clocks[name]) if voter.fresh else None
            if query is None:
                continue
            writes: list[PromiseWrite] = []
            for other in voter.others:
                reply = self.voters[other].answer_epoch_query(self.clocks[other], query)
                if reply is not None:
                    writes = voter.learn_epochs(self.clocks[name], reply) or writes
            if not voter.fresh:
                self.disks[name] = {}
            for i, write in enumerate(writes):
                self._store(name, write)
                voter.promise_learned(write, i == len(writes) - 1)

    def _act_arrives(self, name: str) -> None:
        """Let a begun act reach the resource, and check its epoch against the acts before it."""
        epoch = self.acts[name]
        self.acts[name] = None
        if epoch is None:
            return
        incarnation = self.candidates[name].incarnation
        if self.fenced and not self.fence.admit(DUTY, epoch, incarnation):
            return
        actor = f"{name}{incarnation}"
        if epoch < self.newest_epoch:
            self.violation = f"an act of epoch {epoch} admitted after one of {self.newest_epoch}"
        elif self.actors.setdefault(epoch, actor) != actor:
            self.violation = f"acts of two processes admitted under epoch {epoch}"
        self.newest_epoch = max(self.newest_epoch, epoch)

    # Key and checks.

    def key(self) -> Hashable:
        """Return the key of this state."""
        return state_key(self)

    def wrong(self) -> str | None:
        """Return a description of the violation, if any; store the highest epoch of each voter."""
        if self.violation:
            return self.violation
        holders = [
            name
            for name, candidate in self.candidates.items()
            if candidate.held_epoch(self.clocks[name]) is not None
        ]
        if len(holders) > 1:
            return "two candidates hold the lease at once"
        for name, voter in self.voters.items():
            epoch = voter.promises[DUTY].epoch if DUTY in voter.promises else 0
            if epoch < self.highest_promises[name] and not voter.fresh:
                return f"{name}'s promised epoch went back to {epoch}"
            self.highest_promises[name] = max(self.highest_promises[name], epoch)
        return None
