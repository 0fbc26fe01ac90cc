"""Statistics of an experiment's rows: means with intervals, and paired differences of arms."""

from __future__ import annotations

import math
from typing import NamedTuple

import numpy as np
from scipy import stats


class Mean(NamedTuple):
    """A mean with the half width of its 95% interval; the width is infinite for one value."""

    mean: float
    half: float
    n: int

    def __str__(self) -> str:
        return (
            f"{self.mean:.3f} ± {self.half:.3f}" if math.isfinite(self.half) else f"{self.mean:.3f}"
        )


def mean_of(values: list[float]) -> Mean:
    """The mean over independent seeds with its Student's t interval."""
    n = len(values)
    if n < 2:
        return Mean(float(np.mean(values)), math.inf, n)
    half = stats.t.ppf(0.975, n - 1) * np.std(values, ddof=1) / math.sqrt(n)
    return Mean(float(np.mean(values)), float(half), n)


def shares(rows: list[dict]) -> dict[tuple[str, str], Mean]:
    """The mean share of the offered value that was earned, by day and arm."""
    kinds = dict.fromkeys((r["day"], r["arm"]) for r in rows)
    return {
        key: mean_of([r["share"] for r in rows if (r["day"], r["arm"]) == key]) for key in kinds
    }


def differences(rows: list[dict], base: str) -> dict[tuple[str, str], Mean]:
    """The mean difference of each arm from the base arm, by day and arm.

    Values are paired by day and seed, so that the difficulty of a day cancels out.
    """
    at = {(r["day"], r["arm"], r["seed"]): r["share"] for r in rows}
    out = {}
    for day, arm in dict.fromkeys((r["day"], r["arm"]) for r in rows):
        pairs = [
            share - at[day, base, seed]
            for (d, a, seed), share in at.items()
            if d == day and a == arm and (day, base, seed) in at
        ]
        if arm != base and pairs:
            out[day, arm] = mean_of(pairs)
    return out


def of_bound(rows: list[dict], arm: str) -> dict[str, Mean]:
    """The mean ratio of an arm's value to the planner's bound of the same seed, by day."""
    at = {(r["day"], r["arm"], r["seed"]): r["share"] for r in rows}
    out: dict[str, list[float]] = {}
    for (day, a, seed), share in at.items():
        if a == arm and (day, "bound", seed) in at:
            out.setdefault(day, []).append(share / at[day, "bound", seed])
    return {day: mean_of(values) for day, values in out.items()}
