"""What the rows of an experiment say: means with intervals, and paired differences between arms."""

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
    """Student's interval over independent seeds."""
    n = len(values)
    if n < 2:
        return Mean(float(np.mean(values)), math.inf, n)
    half = stats.t.ppf(0.975, n - 1) * np.std(values, ddof=1) / math.sqrt(n)
    return Mean(float(np.mean(values)), float(half), n)


def shares(rows: list[dict]) -> dict[tuple[str, str], Mean]:
    """The share of value earned, by day and arm."""
    kinds = dict.fromkeys((r["day"], r["arm"]) for r in rows)
    return {
        key: mean_of([r["share"] for r in rows if (r["day"], r["arm"]) == key]) for key in kinds
    }


def differences(rows: list[dict], base: str) -> dict[tuple[str, str], Mean]:
    """Each arm less the base arm on the same day and seed.

    Pairs, so that a hard day is hard for both.
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
    """An arm's value as a share of the planner's bound, by day, seed by seed."""
    at = {(r["day"], r["arm"], r["seed"]): r["share"] for r in rows}
    out: dict[str, list[float]] = {}
    for (day, a, seed), share in at.items():
        if a == arm and (day, "bound", seed) in at:
            out.setdefault(day, []).append(share / at[day, "bound", seed])
    return {day: mean_of(values) for day, values in out.items()}
