"""Shares without sockets.

Processes with clocks of their own that lend and borrow, and a network between them that loses,
delays and doubles. What is in force is summed at every event; where processes use what they have,
so is what a dependency has in hand. All figures from here are simulated.
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
LINGER = 300_000  # a call given up, or whose process ended, stays below for so long


class Process:
    """One process: its part in the limit, and a clock of its own, made by `rate` and `ahead`."""

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
        self.calls = 0  # how many it would make at once
        self.quota: LimitPart | None = None  # what stands on the part instead, if not calls
        self.out: set[Call] = set()

    @property
    def need(self) -> int:
        return self.part.needed

    @need.setter
    def need(self, need: int) -> None:
        self.part.needed = need

    def now(self) -> int:
        return self.ahead + int(self.play.now * self.rate)

    def turn(self) -> None:
        if self.calls:
            self.call()
        for letter in (self.quota or (self.own if self.calls else self.part)).tick(self.now()):
            self.post(letter, "")

    def call(self) -> None:
        """Calls as slots are free, each given up by when it has to be over.

        The dependency keeps that time as well: it is told of it, and a process that stands still
        can't give anything up.
        """
        while len(self.out) < self.calls and self.own.request_slot(
            self.now(), self.calls - len(self.out) - 1
        ):
            now, call = self.now(), Call(self)
            most = min(self.own.secured_until(now) - now, 60 * SECOND) - LINGER
            self.own.call_started()
            self.out.add(call)
            span = self.play.chance.randrange(10_000, 6 * SECOND)
            self.play.below += 1
            self.play.worst_below = max(self.play.worst_below, self.play.below)
            if span <= most:  # it comes back by itself
                self.play.after(int(span / self.rate), call.over)
            else:
                self.play.after(int(most / self.rate), call.given_up)

    def hear(self, from_: str, message) -> None:
        letter = (self.quota or (self.own if self.calls else self.part)).handle(self.now(), message)
        if letter is not None:
            self.post(letter, from_)

    def post(self, letter: AddressedQuotaMessage, asker: str) -> None:
        """Votes are asked for at a home's stated address, loans where this process takes that home
        to be.
        """
        taken = self.play.takes.get((self.key, letter.lender), letter.lender)
        to = {Recipient.VOTER: letter.lender, Recipient.LENDER: taken, Recipient.REQUESTER: asker}[
            letter.to
        ]
        self.play.send(self.key, to, letter.message)

    def lent(self) -> int:
        """Tokens above its floor that are in force here now."""
        return self.borrower.in_force(self.now()) - self.borrower.floor


class Call:
    """One call below. The dependency has it in hand until it is over, or its linger is."""

    def __init__(self, process: Process) -> None:
        self.process, self.play, self.below = process, process.play, True

    def over(self) -> None:
        """Its answer has come; one that stands still reads it later."""
        if self.below:
            self.below = False
            self.play.below -= 1
        self.read(False)

    def given_up(self) -> None:
        self.play.after(self.play.chance.randrange(LINGER), self.gone)
        self.read(True)

    def gone(self) -> None:
        if self.below:
            self.below = False
            self.play.below -= 1

    def read(self, lost: bool) -> None:
        process = self.process
        if process.paused > self.play.now:
            self.play.after(process.paused - self.play.now, lambda: self.read(lost))
        elif process.up and self in process.out:
            process.out.discard(self)
            process.own.call_ended(process.now(), lost, not lost)


class Play:
    """`homes` are names; a message to one goes to the process at its address, which is that of its
    first start.
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
        self.takes: dict[tuple[str, str], str] = {}  # whom a process takes for a home, if another
        self.worst = 0  # of one home's tokens, the most that were in force
        self.below = self.worst_below = 0  # calls in hand there, now and at the most
        for name in self.homes:
            self.start(name, name)
        for i in range(others):
            self.start(f"b{i}", None)

    def start(self, key: str, home: str | None) -> Process:
        """At `key`; a home's name at another key is a double start, which gets no votes to give."""
        process = self.processes[key] = Process(self, key, home, key == home)
        self.after(self.chance.randrange(TURN), lambda: self.turn(process))
        return process

    def kill(self, key: str) -> None:
        process = self.processes[key]
        process.up = False
        for call in process.out:  # their connections end with it
            self.after(self.chance.randrange(LINGER), call.gone)

    def after(self, span: int, act) -> None:
        heapq.heappush(self.queue, (self.now + span, next(self.count), act))

    def turn(self, process: Process) -> None:
        if self.processes.get(process.key) is not process or not process.up:
            return
        if process.paused <= self.now:
            process.turn()
        self.after(TURN, lambda: self.turn(process))

    def send(self, from_: str, to: str, message) -> None:
        if self.chance.random() < self.loss or (from_, to) in self.cut:
            return
        for _ in range(1 + (self.chance.random() < 0.1)):
            self.after(
                self.chance.randrange(1, self.slowest), lambda: self.come(from_, to, message)
            )

    def come(self, from_: str, to: str, message) -> None:
        there = self.processes.get(to)
        if there is None or not there.up:
            return
        if there.paused > self.now:
            self.after(there.paused - self.now, lambda: self.come(from_, to, message))
            return
        there.hear(from_, message)

    def lent(self) -> int:
        return sum(p.lent() for p in self.processes.values() if p.up)

    def lent_by(self) -> dict[str, int]:
        """Tokens of each home that are in force anywhere."""
        sums = dict.fromkeys(self.homes, 0)
        for process in self.processes.values():
            if process.up:
                now = process.now()
                for home, held in process.borrower.leases.items():
                    sums[home] += held.tokens if now < held.until_us else 0
        return sums

    def run(self, until: int) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, act = heapq.heappop(self.queue)
            act()
            self.worst = max(self.worst, *self.lent_by().values())
        self.now = until
