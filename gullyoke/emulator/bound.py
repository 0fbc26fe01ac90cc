"""An upper bound on the value that any policy can earn on a day.

A planner that knows the whole day solves a linear program with HiGHS through scipy. Relaxations,
each of which can only raise the value: all cores of the fleet are pooled; a request may be served
in part, in any order, and be preempted and resumed; crowding costs nothing; memory is not counted;
only requests that are served need reading; a dependency call may use slot time in the time slot of
its run or, with the slots doubled, in the next. Kept: each request's arrival, target, timeout and
work, and the work that the cores can do in each time slot.
"""

from __future__ import annotations

from typing import NamedTuple

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import coo_array

from gullyoke.emulator.day import Day


class Bound(NamedTuple):
    """The bound on the value earned, the planned value by class, and the value offered."""

    value: float
    by_class: list[float]
    offered: float

    def share(self) -> float:
        """Return the bound as a share of the value offered."""
        return self.value / max(1e-9, self.offered)


def slot_capacity(day: Day, slot: int, count: int) -> np.ndarray:
    """Return the work that all cores can do in each time slot, given the day's speed changes.

    Servers that leave are still counted, which can only raise the bound.
    """
    m, out = day.machines, np.zeros(count)
    changes = [(0, 1.0), *sorted(m.speeds)]
    for at in range(count):
        lo, hi = at * slot, (at + 1) * slot
        for (time, speed), (until, _) in zip(changes, [*changes[1:], (10**18, 0.0)], strict=True):
            out[at] += speed * max(0, min(hi, until) - max(lo, time))
    return out * m.servers * m.cores * (1 - m.slow / 2)


def bound(day: Day, slot: int = 500_000, sizes: bool = True) -> Bound:
    """Return the planner's bound on a day, with time slots of `slot` microseconds.

    A request may use a time slot if any part of the slot lies between its arrival and its timeout,
    so wide slots can only raise the bound. Without `sizes` each request has the mean work of its
    class: that is no bound on the day, but the value that a planner without knowledge of the sizes
    may expect. Raises `ArithmeticError` if the solver fails.
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
    limit = [np.array(need), slot_capacity(day, slot, count)]
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
    solution = linprog(
        -value, A_ub=matrix, b_ub=np.concatenate(limit), bounds=(0, None), method="highs"
    )
    if solution.status != 0:
        raise ArithmeticError(f"the planner found no plan: {solution.message}")
    earned = np.bincount(
        [day.arrivals[j][1] for j in request], weights=solution.x * value, minlength=len(day.works)
    )
    return Bound(
        float(-solution.fun),
        [float(x) for x in earned],
        float(sum(day.works[a[1]].value for a in day.arrivals)),
    )
