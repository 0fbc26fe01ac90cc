"""The best that any policy could earn on a day: a planner that sees all of it, as a relaxation.

What is relaxed, each of which can only raise the value: the fleet's cores are one; a req may be
served in part, in any order, put down and taken up; crowding costs nothing; memory is not counted;
only what is served needs reading; a call may take its slots' time in the slot of its run or, with
the slots doubled, the next. What stays: when a req comes, its target and timeout, its own work, the
work of the cores in each slot. Solved by HiGHS through scipy.
"""

from __future__ import annotations

from typing import NamedTuple

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import coo_array

from gullyoke.emulator.day import Day


class Bound(NamedTuple):
    """The bound on the value earned, by class the value in the plan, and the value offered."""

    value: float
    by_class: list[float]
    offered: float

    def share(self) -> float:
        return self.value / max(1e-9, self.offered)


def room(day: Day, slot: int, count: int) -> np.ndarray:
    """The work that all cores do in each slot, by the speeds of the day.

    Servers that leave count on, which only raises the bound.
    """
    m, out = day.machines, np.zeros(count)
    changes = [(0, 1.0), *sorted(m.speeds)]
    for at in range(count):
        lo, hi = at * slot, (at + 1) * slot
        for (time, speed), (until, _) in zip(changes, [*changes[1:], (10**18, 0.0)], strict=True):
            out[at] += speed * max(0, min(hi, until) - max(lo, time))
    return out * m.servers * m.cores * (1 - m.slow / 2)


def bound(day: Day, slot: int = 500_000, sizes: bool = True) -> Bound:
    """The planner's bound on a day, in slots of so many microseconds.

    A slot counts for a req if any part of it lies between its arrival and its end, so wide slots
    only raise the bound. Without `sizes` each req is taken to be as large as its class's mean: no
    bound on a day, but what a planner that can't know them may expect, for reading what knowledge
    is worth. Raises `ArithmeticError` where the solver gives up.
    """
    if not day.arrivals:
        return Bound(0.0, [0.0] * len(day.works), 0.0)
    count = (day.length + max(w.timeout for w in day.works)) // slot + 2
    request, at, worth, need = [], [], [], []
    for i, (time, kind, work, _) in enumerate(day.arrivals):
        w = day.works[kind]
        size = float((work if sizes else w.work) + day.machines.reading)
        need.append(size)
        for k in range(time // slot, (time + w.timeout) // slot + 1):
            value = w.value * (1.0 if k * slot <= time + w.target else w.late_share) / size
            if value > 0:
                request.append(i)
                at.append(k)
                worth.append(value)
    i, k, value = np.array(request), np.array(at), np.array(worth)
    rows, data = [i, len(need) + k], [np.ones(len(i)), np.ones(len(i))]
    limit = [np.array(need), room(day, slot, count)]
    bare = np.array([w.calls and not w.skip_share for w in day.works])
    if day.shared is not None and bare.any():
        kinds = np.array([a[1] for a in day.arrivals])
        rows.append(len(need) + count + k)
        data.append(bare[kinds[i]] * day.shared.span / np.array(need)[i])
        limit.append(np.full(count, 2.0 * day.shared.slots * slot))
    matrix = coo_array(
        (np.concatenate(data), (np.concatenate(rows), np.tile(np.arange(len(i)), len(rows)))),
        shape=(sum(len(x) for x in limit), len(i)),
    ).tocsr()
    found = linprog(
        -value, A_ub=matrix, b_ub=np.concatenate(limit), bounds=(0, None), method="highs"
    )
    if found.status != 0:
        raise ArithmeticError(f"the planner found no plan: {found.message}")
    earned = np.bincount(
        [day.arrivals[j][1] for j in request], weights=found.x * value, minlength=len(day.works)
    )
    return Bound(
        float(-found.fun),
        [float(x) for x in earned],
        float(sum(day.works[a[1]].value for a in day.arrivals)),
    )
