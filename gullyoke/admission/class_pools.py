"""Pools of core time by class, and a reserve.

Which class's req goes on within what the threshold admits.

Joined to gullyoke/admission/controller.py by `Server`. Values marked "ours" are not from the paper.
"""

from __future__ import annotations

import math

SPAN = 1_000_000  # over which demand, cost and what is completed are averaged (ours)


class Pool:
    """One class of work: handlers that share a limit. Rates in core time for a unit of time."""

    asked = came = rate = rest = 0.0
    free = True

    def __init__(self, value: float, cost: float) -> None:
        self.value, self.cost, self.worth = value, cost, value / cost


class Pools:
    """Each class may take in what its limit in core time lets it.

    Limits are found anew at each wake-up: what is completed while work waits is handed out in the
    order of value for a unit of work, to each class what it asked for of late, so that what one
    leaves is lent at once to the next; none gets less than `minimum` of it, if it asks. They bind
    only where the threshold does.

    The reserve (trunk reservation, Miller 1969): a req of a class meets the threshold as if the
    classes worth more already had in hand what they usually bring in one run's time. Table: a pool
    for each class.
    """

    def __init__(
        self, now: int, cores: int, classes: dict, minimum=0.02, limits=True, reserve=True
    ) -> None:
        """`classes`: each handler's class, any hashable; `minimum`.

        A share of what is completed.
        """
        self.cores, self.minimum, self.capacity, self.last = cores, minimum, float(cores), now
        self.limits, self.reserves, self.virtual, self.done = limits, reserve, 0.0, 0.0
        made: dict = {}
        self.of = {
            h: made.setdefault(c, Pool(h.priority_weight, h.latency_objective / 6))
            for h, c in classes.items()
        }
        self.rows = list(made.values())

    def passed(self, now: int, on: int) -> None:
        """`on` reqs shared the cores since the last call.

        Each got so much core time (`virtual`).
        """
        self.virtual += (now - self.last) * min(1.0, self.cores / max(1, on))
        self.last = now

    def ran(self, h, used: float) -> None:
        """A run ended that took so much core time."""
        pool = self.of[h]
        pool.cost += (used - pool.cost) / 16
        self.done += used

    def ask(self, h) -> bool:
        """A req was read: whether its class has room for it, which is taken then."""
        pool = self.of[h]
        pool.came += pool.cost
        fits = pool.free or pool.rest >= pool.cost or pool.rate >= pool.asked
        pool.rest -= pool.cost if fits else 0.0
        return fits

    def adjust(self, now: int, span: int, waiting: bool) -> None:
        """At a wake-up, `span` after the last."""
        part = min(1.0, span / SPAN)
        grown = self.done / span if waiting else max(self.capacity, self.cores)
        self.capacity += (grown - self.capacity) * part
        self.done = 0.0
        for pool in self.rows:  # demand that rises is seen sooner than one that falls
            pool.worth, rate = pool.value / max(1.0, pool.cost), pool.came / span
            pool.asked += (rate - pool.asked) * (part if rate < pool.asked else min(1.0, 3 * part))
            pool.came = 0.0
        left = 1.1 * self.capacity  # the threshold takes what is too much (ours)
        least = {pool: min(pool.asked, self.minimum * self.capacity) for pool in self.rows}
        kept, before = sum(least.values()), 0.0
        for pool in sorted(self.rows, key=lambda p: -p.worth):
            # Nobody worth more asks: there is nothing to keep it from, and the threshold alone is
            # its limit.
            pool.free, before = (
                not self.limits or before < 0.01 * self.capacity,
                before + pool.asked,
            )
            kept -= least[pool]
            pool.rate = max(least[pool], min(pool.asked, left - kept))
            left -= pool.rate
            most = max(2 * pool.cost, pool.rate * SPAN)  # saved up, or owed from when it was free
            pool.rest = max(-3 * most, min(most, pool.rest + pool.rate * span))

    def reserve(self, h) -> int:
        """How many reqs of classes worth more are expected within one run's time of this one."""
        own = self.of[h]
        ahead = (
            sum(p.asked / p.cost for p in self.rows if p.worth > own.worth)
            if self.reserves
            else 0.0
        )
        return math.ceil(min(ahead * own.cost, self.cores / 2))

    def room_in(self, h) -> int:
        """When its class is likely to have room again, in microseconds."""
        pool = self.of[h]
        return int(min(10 * SPAN, max(0.0, pool.cost - pool.rest) / max(pool.rate, 1e-9)))
