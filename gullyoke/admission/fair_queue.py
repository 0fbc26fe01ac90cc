"""The queue: turns for the cores by request class and weight."""

from __future__ import annotations

import math
from collections import deque

from gullyoke.admission.dependency_limiter import CallsBelow
from gullyoke.admission.timing import aim


class Hold:
    """A line a handler, turns by weight.

    Within a line, what is within its customer's share goes first.

    Tables: a line for each handler; a line holds only held reqs, and they leave when run or given
    up.
    """

    def __init__(self, request_classes, by_work: bool, below: CallsBelow) -> None:
        self.by_work, self.below, self.clock, self.size = by_work, below, 0.0, 0
        self.cost = {
            h: h.latency_objective / 6 for h in request_classes
        }  # mean time of a run; first guess ours
        self.lines = {h: (deque(), deque()) for h in request_classes}
        self.turn = dict.fromkeys(request_classes, 0.0)

    def charge(self, h) -> float:
        """What one run advances the handler's turn by."""
        return (self.cost[h] if self.by_work else 1.0) / max(h.priority_weight, 1e-9)

    def ran(self, h, took: int) -> None:
        self.cost[h] += (took - self.cost[h]) / 32

    def add(self, request) -> None:
        h = request.request_class
        if not any(self.lines[h]):
            self.turn[h] = max(self.turn[h], self.clock)
        self.lines[h][request.over_quota].append(request)
        self.size += 1

    def drop(self, request) -> None:
        self.lines[request.request_class][request.over_quota].remove(request)
        self.size -= 1

    def next(self):
        for over in (0, 1):
            waiting = [h for h, pair in self.lines.items() if pair[over]]
            if waiting:
                h = min(waiting, key=lambda h: self.turn[h])
                return self.lines[h][over][0]
        return None

    def took_turn(self, request) -> None:
        h = request.request_class
        self.clock = self.turn[h]
        self.turn[h] += self.charge(h)

    def worst(self, now: int, newcomer):
        """Who goes when one must.

        From the line longest for its weight, the youngest, if it came just now.
        """
        if newcomer.over_quota:
            return newcomer
        for over in (1, 0):
            length = {
                h: len(pair[over]) * self.charge(h) for h, pair in self.lines.items() if pair[over]
            }
            if not over:
                length[newcomer.request_class] = length.get(
                    newcomer.request_class, 0.0
                ) + self.charge(newcomer.request_class)
            for h in sorted(length, key=length.get, reverse=True):
                if not over and h is newcomer.request_class:
                    return newcomer
                last = self.lines[h][over][-1]
                if (now - last.arrived) * 10 < h.timeout:
                    return last
        return newcomer

    def hopeless(self, now: int):
        """The held reqs whose run could no longer earn their value."""
        return [
            r
            for pair in self.lines.values()
            for line in pair
            for r in line
            if self.too_late(r, now)
        ]

    def ahead(self, h=None) -> float:
        """The time on one core of all that is held, or takes its turn before a newcomer of this
        handler.
        """
        turns = (len(self.lines[h][0]) + len(self.lines[h][1])) * self.charge(h) if h else math.inf
        return sum(
            self.cost[g] * min(len(pair[0]) + len(pair[1]), turns / self.charge(g))
            for g, pair in self.lines.items()
        )

    def too_late(self, request, now: int) -> bool:
        """Whether a run begun then would end too late.

        The usual time counts to three quarters of the target (ours): a server that was slow goes on
        trying fresh reqs, and so learns when it is well again.
        """
        h = request.request_class
        below = self.below.wait(now) if h.calls_dependency and not h.degraded_value_share else 0
        return now + min(self.cost[h], 0.75 * h.latency_objective) + below > aim(request)
