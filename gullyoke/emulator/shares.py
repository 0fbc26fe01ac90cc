"""A simulation of shared limits without sockets.

Processes with independent clocks lend and borrow tokens over a network that loses, delays and
duplicates messages. The tokens in force are summed after every event, and so are the dependency's
open calls where processes make calls. All figures from here are simulated.
"""

from __future__ import annotations

import heapq
import itertools
import random

from gullyoke.coordination.limit_parts import ConcurrencyPart, LimitPart
from gullyoke.coordination.quota_durations import DRIFT_DIVISOR
from gullyoke.coordination.quota_participant import (
    AddressedQuotaMessage,
    QuotaParticipant,
    Recipient,
)

SECOND = 1_000_000
TURN = 100_000
LINGER = 300_000  # how long the dependency may keep an abandoned call


class Process:
    """A process: its part of the limit, and its local clock, given by `rate` and `ahead`."""

    def __init__(self, play: Play, key: str, home: str | None, votes: bool) -> None:
        chance = play.chance
        self.key, self.home, self.play = key, home, play
        self.rate = 1 + chance.uniform(-0.5, 0.5) / DRIFT_DIVISOR
        self.ahead = chance.randrange(10**9)
        self.up, self.paused = True, 0
        self.part = QuotaParticipant(
            self.now(),
            chance.getrandbits(40),
            play.homes,
            play.tokens,
            play.floor,
            home,
            votes,
            LINGER,
        )
        self.borrower = self.part.borrower
        self.own = ConcurrencyPart(self.part, LINGER)
        self.calls = 0  # concurrent calls that it wants
        self.quota: LimitPart | None = None  # the limit part in use instead of `own`, if any
        self.out: set[Call] = set()

    @property
    def need(self) -> int:
        """Tokens that the process needs."""
        return self.part.needed

    @need.setter
    def need(self, need: int) -> None:
        self.part.needed = need

    def now(self) -> int:
        """Return the process's local clock."""
        return self.ahead + int(self.play.now * self.rate)

    def turn(self) -> None:
        """Make calls, tick the limit part and send its messages."""
        if self.calls:
            self.call()
        for outgoing in (self.quota or (self.own if self.calls else self.part)).tick(self.now()):
            self.post(outgoing, "")

    def call(self) -> None:
        """Start calls while slots are free; each is given up LINGER before its slot is insecure.

        The dependency enforces that deadline too, since a paused process can't give up a call.
        """
        while len(self.out) < self.calls and self.own.request_slot(
            self.now(), self.calls - len(self.out) - 1
        ):
            now, call = self.now(), Call(self)
            time_limit = min(self.own.secured_until(now) - now, 60 * SECOND) - LINGER
            self.own.call_started()
            self.out.add(call)
            span = self.play.chance.randrange(10_000, 6 * SECOND)
            self.play.below += 1
            self.play.worst_below = max(self.play.worst_below, self.play.below)
            if span <= time_limit:  # the call ends in time
                self.play.after(int(span / self.rate), call.finish)
            else:
                self.play.after(int(time_limit / self.rate), call.abandon)

    def receive(self, from_: str, message) -> None:
        """Handle a message and send the reply, if any."""
        outgoing = (self.quota or (self.own if self.calls else self.part)).handle(
            self.now(), message
        )
        if outgoing is not None:
            self.post(outgoing, from_)

    def post(self, outgoing: AddressedQuotaMessage, requester: str) -> None:
        """Send a message to its recipient.

        A vote request goes to the lender's configured address, a loan request to the address at
        which this process believes the lender to be.
        """
        believed_address = self.play.takes.get((self.key, outgoing.lender), outgoing.lender)
        to = {
            Recipient.VOTER: outgoing.lender,
            Recipient.LENDER: believed_address,
            Recipient.REQUESTER: requester,
        }[outgoing.to]
        self.play.send(self.key, to, outgoing.message)

    def lent(self) -> int:
        """Return the tokens above the floor that are in force in this process."""
        return self.borrower.in_force(self.now()) - self.borrower.floor


class Call:
    """A call, open at the dependency until it ends or, if abandoned, for up to LINGER."""

    def __init__(self, process: Process) -> None:
        self.process, self.play, self.below = process, process.play, True

    def finish(self) -> None:
        """End the call with an answer; a paused process reads it when it resumes."""
        if self.below:
            self.below = False
            self.play.below -= 1
        self.read(False)

    def abandon(self) -> None:
        """Abandon the call; the dependency ends it within LINGER."""
        self.play.after(self.play.chance.randrange(LINGER), self.close)
        self.read(True)

    def close(self) -> None:
        """End the call at the dependency."""
        if self.below:
            self.below = False
            self.play.below -= 1

    def read(self, lost: bool) -> None:
        """Report the end of the call to the limit part once the process is not paused."""
        process = self.process
        if process.paused > self.play.now:
            self.play.after(process.paused - self.play.now, lambda: self.read(lost))
        elif process.up and self in process.out:
            process.out.discard(self)
            process.own.call_ended(process.now(), lost, not lost)


class Play:
    """A simulation of lenders (`homes`) and of processes that only borrow.

    A message to a lender goes to the process at the address of the lender's first start.
    """

    def __init__(
        self,
        seed: int,
        homes: int,
        others: int,
        tokens: int,
        floor: int = 0,
        loss: float = 0.0,
        slowest: int = 20_000,
    ) -> None:
        self.chance = random.Random(seed)
        self.homes = [f"h{i}" for i in range(homes)]
        self.tokens, self.floor, self.loss, self.slowest = tokens, floor, loss, slowest
        self.now, self.queue, self.count = 0, [], itertools.count()
        self.processes: dict[str, Process] = {}
        self.cut: set[tuple[str, str]] = set()
        self.takes: dict[tuple[str, str], str] = {}  # wrong address by process and lender
        self.worst = 0  # the maximum of one lender's tokens in force
        self.below = self.worst_below = 0  # open calls at the dependency, now and maximum
        for name in self.homes:
            self.start(name, name)
        for i in range(others):
            self.start(f"b{i}", None)

    def start(self, key: str, home: str | None) -> Process:
        """Start a process; a lender whose `key` is not its name is a double start without votes."""
        process = self.processes[key] = Process(self, key, home, key == home)
        self.after(self.chance.randrange(TURN), lambda: self.turn(process))
        return process

    def kill(self, key: str) -> None:
        """End a process; the dependency ends its calls within LINGER."""
        process = self.processes[key]
        process.up = False
        for call in process.out:  # their connections end with it
            self.after(self.chance.randrange(LINGER), call.close)

    def after(self, span: int, act) -> None:
        """Schedule an action after `span` microseconds."""
        heapq.heappush(self.queue, (self.now + span, next(self.count), act))

    def turn(self, process: Process) -> None:
        """Advance a process unless it is paused; repeats every TURN."""
        if self.processes.get(process.key) is not process or not process.up:
            return
        if process.paused <= self.now:
            process.turn()
        self.after(TURN, lambda: self.turn(process))

    def send(self, from_: str, to: str, message) -> None:
        """Send a message with loss, delay and duplication."""
        if self.chance.random() < self.loss or (from_, to) in self.cut:
            return
        for _ in range(1 + (self.chance.random() < 0.1)):
            self.after(
                self.chance.randrange(1, self.slowest), lambda: self.deliver(from_, to, message)
            )

    def deliver(self, from_: str, to: str, message) -> None:
        """Deliver a message; a paused process gets it when it resumes."""
        receiver = self.processes.get(to)
        if receiver is None or not receiver.up:
            return
        if receiver.paused > self.now:
            self.after(receiver.paused - self.now, lambda: self.deliver(from_, to, message))
            return
        receiver.receive(from_, message)

    def lent(self) -> int:
        """Return the tokens above the floors that are in force in all processes."""
        return sum(p.lent() for p in self.processes.values() if p.up)

    def lent_by(self) -> dict[str, int]:
        """Return the tokens in force by lender."""
        sums = dict.fromkeys(self.homes, 0)
        for process in self.processes.values():
            if process.up:
                now = process.now()
                for home, held in process.borrower.leases.items():
                    sums[home] += held.tokens if now < held.until_us else 0
        return sums

    def run(self, until: int) -> None:
        """Run all events until that time, and record the maximum of tokens in force."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, act = heapq.heappop(self.queue)
            act()
            self.worst = max(self.worst, *self.lent_by().values())
        self.now = until
