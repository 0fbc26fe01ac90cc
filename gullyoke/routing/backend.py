"""One back end as the router knows it."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from gullyoke.routing.concurrency_limit import Limit
from gullyoke.routing.outcomes import FAULTS, MAY_RUN_ON, Fate
from gullyoke.routing.outlier_detection import Health, Standing

TAU = 2_000_000  # microseconds in which a response time loses most of its weight


class Stated(NamedTuple):
    """What an operator states of a back end.

    `name` tells it apart and is its address, as text; `weight` its share of the work beside others;
    `least` and `most` the bounds of what it takes at once.
    """

    name: str
    weight: float = 1.0
    least: int = 1
    most: int = 64


class Member:
    """Tables: `began`, the start of each run that is there, which leaves at its end.

    `ghosts`, the times until which runs that may go on unheard are counted, at most as many as its
    limit was.
    """

    def __init__(self, stated: Stated, health: Health, first: int) -> None:
        self.stated, self.health = stated, health
        self.limit = Limit(first, stated.least, stated.most)
        self.began: dict[object, int] = {}
        self.ghosts: deque[int] = deque()
        self.pace, self.paced = 0.0, 0
        self.sent = 0

    def in_hand(self, now: int) -> int:
        while self.ghosts and self.ghosts[0] <= now:
            self.ghosts.popleft()
        return len(self.began) + len(self.ghosts)

    def places(self, now: int) -> int:
        """How many it takes at once, all told: none while it is set aside, one for a trial."""
        health = self.health
        if health.standing is Standing.TRIAL or health.trial_due(now):
            return 1
        ramp = health.ramp(now)
        return max(1, int(self.limit.now * ramp)) if ramp else 0

    def takes(self, now: int) -> bool:
        """Whether it takes one more as an ordinary run."""
        ramp = self.health.ramp(now)
        return ramp > 0 and self.in_hand(now) < max(1, int(self.limit.now * ramp))

    def response(self, now: int, mean: float) -> float:
        """Its response time: what was measured, which decays to the `mean` of all while nothing is,
        so that one that was slow is asked again; or the age of the oldest run that is there if that
        is more.

        Guards against one that takes all and answers nothing, of which no time is ever measured.
        """
        oldest = next(iter(self.began.values()), now)
        pace = self.pace or mean
        if pace > mean:
            pace = mean + (pace - mean) * math.exp((self.paced - now) / TAU)
        return max(1.0, pace, now - oldest)

    def score(self, now: int, mean: float) -> float:
        """What a run more is likely to wait there, the least is the best.

        `mean` stands for the unknown.
        """
        weight = self.stated.weight * self.health.ramp(now)
        if weight <= 0:
            return math.inf
        return (self.in_hand(now) + 1) / weight * self.response(now, mean)

    def begin(self, now: int, run: object) -> None:
        self.began[run] = now
        self.sent += 1

    def ended(self, now: int, run: object, fate: Fate, linger: int, usual: float) -> int:
        """The run is no longer heard of here; how long it was.

        One that may go on is counted for `linger` more. A fault counts as four of the pool's
        `usual` times at least: failing fast is not being fast.
        """
        there = self.in_hand(now)
        took = now - self.began.pop(run, now)
        if fate in MAY_RUN_ON and linger:
            self.ghosts.append(now + linger)
            if len(self.ghosts) > max(1, int(self.limit.now)):
                self.ghosts.popleft()
        if fate is Fate.STOPPED:
            return took
        if fate is Fate.DONE:
            self.limit.done(now, took, there)
        elif fate in (Fate.LOST, Fate.STALLED):
            self.limit.lost(now)
        told = max(took, 4 * usual) if fate in FAULTS else took
        if not self.pace:
            self.pace, self.paced = float(told), now
            return took
        keep = math.exp(-max(1, now - self.paced) / TAU)
        keep = min(keep, 7 / 8)  # also where many end at once each one counts
        self.pace, self.paced = self.pace * keep + told * (1 - keep), now
        return took
