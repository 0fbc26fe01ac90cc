"""A simulation of singleton tasks (duties) without sockets.

It has voters with disks, candidates with independent clocks, a network that loses, delays and
duplicates messages and can be partitioned, and a resource that admits actions by their epoch. All
figures from here are simulated.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

from gullyoke.fault_testing.standins import Act
from gullyoke.leases.candidate import Candidate
from gullyoke.leases.candidate_rank import CandidatePlacement, candidate_delay_us
from gullyoke.leases.candidate_state import AddressedMessage
from gullyoke.leases.durations import LeaseDurations
from gullyoke.leases.fence import Fence
from gullyoke.leases.messages import (
    EpochQuery,
    EpochReply,
    HandoverAccept,
    HandoverOffer,
    LeaseRelease,
    LeaseRequest,
    PreVote,
    VoteReply,
)
from gullyoke.leases.promises import Promise
from gullyoke.leases.voter import PromiseWrite, Voter

SECOND, TURN, ACT, SYNC = 1_000_000, 50_000, 100_000, 5_000
DUTY = "d"


class Play:
    """A simulation with members `m0`, `m1` and so on, the first of which are voters.

    `deaf`: pairs of a member and the direction, `in` or `out`, in which its messages are lost.
    `ill`: members whose disks fail. `slow`: the maximum delay of an action to the resource. `most`:
    the maximum number of simultaneous lease holders.
    """

    def __init__(
        self, seed: int, voters: int, members: int, spans: LeaseDurations | None = None
    ) -> None:
        self.chance, self.spans = random.Random(seed), spans or LeaseDurations()
        self.now, self.queue, self.count = 0, [], itertools.count()
        self.members = [f"m{i}" for i in range(members)]
        self.set, self.number = self.members[:voters], 1
        drift = self.spans.drift_ppm / 1e6
        self.rates = {name: 1 + self.chance.uniform(-drift / 2, drift / 2) for name in self.members}
        self.offsets = {name: self.chance.randrange(10**9) for name in self.members}
        self.disks: dict[str, dict[str, Promise] | None] = dict.fromkeys(self.members)
        self.voters: dict[str, Voter] = {}
        self.candidates: dict[str, Candidate] = {}
        self.up: set[str] = set()
        self.paused: dict[str, int] = {}
        self.starts = dict.fromkeys(self.members, 0)
        self.loss, self.slow, self.deaf, self.ill = 0.0, 0, set(), set()
        self.fence, self.acts, self.most, self.lives = Fence(), [], 0, itertools.count(1)
        for name in self.members:
            self.start(name)

    # Processes.

    def time(self, name: str) -> int:
        """Return a member's local clock."""
        return self.offsets[name] + int(self.now * self.rates[name])

    def start(self, name: str) -> None:
        """Start or restart a member with a new incarnation."""
        self.up.add(name)
        self.paused.pop(name, None)
        self.starts[name] += 1
        life, now = next(self.lives), self.time(name)
        self.candidates[name] = candidate = Candidate(
            DUTY, name, life, self.set, self.spans, self.chance.random, self.number
        )
        candidate.wants_lease = True
        self.voters.pop(name, None)
        if name in self.set:
            self.vote(name, life, now)
        self.after(self.chance.randrange(TURN), self.turn, name, self.starts[name])

    def vote(self, name: str, life: int, now: int) -> None:
        """Make a member's voter from the promises on its disk."""
        others, disk = [n for n in self.set if n != name], self.disks[name]
        self.voters[name] = Voter(
            now, name, life, others, self.spans, None if disk is None else dict(disk), self.number
        )

    def kill(self, name: str) -> None:
        """End the process of a member."""
        self.up.discard(name)

    def wipe(self, name: str) -> None:
        """Lose a member's disk and restart it."""
        self.disks[name] = None
        self.start(name)

    def pause(self, name: str, span: int) -> None:
        """Suspend a member for `span` microseconds."""
        self.paused[name] = self.now + span

    def set_voters(self, names: list[str]) -> None:
        """Change the set of voters; each member adopts it after a random delay.

        A new voter starts with an empty disk.
        """
        self.number += 1
        old, self.set = self.set, list(names)
        for name in self.members:
            self.after(self.chance.randrange(SECOND), self.adopt_voters, name, old)

    def adopt_voters(self, name: str, old: list[str]) -> None:
        """Make a member adopt the present set of voters."""
        candidate = self.candidates[name]
        candidate.set_voters(self.time(name), self.set, self.number)
        if name in self.set and name not in old:
            self.disks[name] = None
            self.vote(name, candidate.incarnation, self.time(name))
        elif name in self.voters and name in self.set:
            self.voters[name].set_others((n for n in self.set if n != name), self.number)
        else:
            self.voters.pop(name, None)

    # The simulated clock.

    def after(self, span: int, act: Callable, *arguments: object) -> None:
        """Schedule an action after `span` microseconds."""
        heapq.heappush(self.queue, (self.now + span, next(self.count), act, arguments))

    def run(self, until: int) -> None:
        """Run all events until that time, and record the maximum number of holders."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, act, arguments = heapq.heappop(self.queue)
            act(*arguments)
            self.most = max(self.most, len(self.holders()))
        self.now = until

    def turn(self, name: str, starts: int) -> None:
        """Advance a member: tick, send messages and perhaps act; repeats every TURN."""
        if name not in self.up or self.starts[name] != starts:
            return
        if self.paused.get(name, 0) > self.now:
            self.after(self.paused[name] - self.now, self.turn, name, starts)
            return
        now, candidate = self.time(name), self.candidates[name]
        placements = [CandidatePlacement(n) for n in self.members if n in self.up]
        candidate.delay_us = candidate_delay_us(DUTY, name, placements) or 0
        voter = self.voters.get(name)
        epoch_query = voter.next_epoch_query(now) if voter is not None else None
        if epoch_query is not None:
            self.post(
                name, [AddressedMessage(other, epoch_query) for other in sorted(voter.others)]
            )
        self.post(name, candidate.tick(now))
        epoch = candidate.held_epoch(now)
        if epoch is not None and self.chance.random() < TURN / ACT:
            # The delay is not bounded by the lease: the process may stall between checking the
            # lease and acting.
            self.after(
                self.chance.randrange(1, max(2, self.slow)),
                self.act,
                epoch,
                candidate.incarnation,
                self.now,
            )
        self.after(TURN, self.turn, name, starts)

    def act(self, epoch: int, life: int, sent_at: int) -> None:
        """Let the resource admit or refuse an action by its epoch, and record the action."""
        taken = self.fence.admit(DUTY, epoch, life)
        self.acts.append(Act(sent_at / 1e6, self.now / 1e6, DUTY, epoch, str(life), taken))

    def post(self, from_: str, posts: list[AddressedMessage]) -> None:
        """Send messages with loss, delay and duplication."""
        for to, message in posts:
            if (
                self.chance.random() < self.loss
                or (from_, "out") in self.deaf
                or (to, "in") in self.deaf
            ):
                continue
            for _ in range(1 + (self.chance.random() < 0.05)):
                self.after(self.chance.randrange(200, 5_000), self.deliver, from_, to, message)

    def deliver(self, from_: str, to: str, message: object) -> None:
        """Deliver a message and send the replies; a paused member gets it when it resumes."""
        if to not in self.up:
            return
        if self.paused.get(to, 0) > self.now:
            self.after(self.paused[to] - self.now, self.deliver, from_, to, message)
            return
        now, candidate, voter = self.time(to), self.candidates[to], self.voters.get(to)
        answer: list[AddressedMessage] = []
        if isinstance(message, VoteReply):
            answer = candidate.handle_reply(now, message) if from_ in self.set else []
        elif isinstance(message, HandoverOffer):
            answer = candidate.accept_handover(now, from_, message)
        elif isinstance(message, HandoverAccept):
            answer = candidate.handle_handover_accept(now, from_, message)
        elif voter is not None:
            answer = self.handle_voter_message(now, from_, to, voter, message)
        self.post(to, answer)

    def handle_voter_message(
        self, now: int, from_: str, to: str, voter: Voter, message: object
    ) -> list[AddressedMessage]:
        """Handle a message to a voter and return the replies that are ready at once."""
        if isinstance(message, PreVote):
            return [AddressedMessage(from_, voter.answer_pre_vote(now, message))]
        if isinstance(message, LeaseRequest):
            answer = voter.answer_request(now, message)
            if isinstance(answer, PromiseWrite):
                self.after(
                    self.chance.randrange(1, SYNC), self.write_done, from_, to, voter, answer
                )
                return []
            return [AddressedMessage(from_, answer)] if answer is not None else []
        if isinstance(message, LeaseRelease):
            voter.release(now, message)
        elif isinstance(message, EpochQuery):
            reply = voter.answer_epoch_query(now, message)
            return [AddressedMessage(from_, reply)] if reply is not None else []
        elif isinstance(message, EpochReply):
            writes = voter.learn_epochs(now, message)
            for i, write in enumerate(writes):
                self.disks[to] = {**(self.disks[to] or {}), write.duty: write.promise}
                voter.promise_learned(write, i == len(writes) - 1)
            if not voter.fresh and self.disks[to] is None:
                self.disks[to] = {}
        return []

    def write_done(self, from_: str, to: str, voter: Voter, write: PromiseWrite) -> None:
        """Finish a disk write and send the vote.

        A process that ended meanwhile gets no result, though its disk may hold the write.
        """
        durable = to not in self.ill
        if durable or self.chance.random() < 0.5:
            self.disks[to] = {**(self.disks[to] or {}), write.duty: write.promise}
        if self.voters.get(to) is voter and to in self.up:
            reply = voter.write_finished(self.time(to), write, durable)
            self.post(to, [AddressedMessage(from_, reply)] if reply is not None else [])

    # Faults and queries.

    def trouble(self, span: int) -> None:
        """Inject random faults of all kinds for `span` microseconds; at most one disk is lost."""
        chance, until, wiped = self.chance, self.now + span, 0
        while self.now < until:
            self.run(self.now + chance.choice((1, 3)) * SECOND // 2)
            name, fault = chance.choice(self.members), chance.randrange(8)
            if fault == 0:
                self.pause(name, chance.randrange(7 * SECOND))
            elif fault == 1:
                self.kill(name)
                self.after(chance.randrange(4 * SECOND), self.start, name)
            elif fault == 2:
                self.deaf.add((name, chance.choice(("in", "out"))))
            elif fault == 3:
                self.deaf.clear()
            elif fault == 4:
                self.loss = chance.choice((0.0, 0.2))
            elif fault == 5:
                self.ill = {name} if chance.random() < 0.5 else set()
            elif fault == 6:
                self.slow = chance.choice((1, 6 * SECOND))
            elif not wiped and name in self.set:
                wiped = 1
                self.wipe(name)

    def heal(self) -> None:
        """End all faults and start the members that are down."""
        self.deaf.clear()
        self.ill.clear()
        self.paused.clear()
        self.loss, self.slow = 0.0, 0
        for name in self.members:
            if name not in self.up:
                self.start(name)

    def pass_to(self, name: str, to: str) -> None:
        """Let a member offer its lease to another."""
        self.post(name, self.candidates[name].offer_handover(self.time(name), to))

    def holders(self) -> list[str]:
        """Return the running members that hold the lease by their own clocks.

        Paused members are included.
        """
        return [
            name
            for name in self.up
            if self.candidates[name].held_epoch(self.time(name)) is not None
        ]

    def epochs(self) -> int:
        """Return the highest epoch of an action that the resource admitted."""
        return max((act.epoch for act in self.acts if act.taken), default=0)
