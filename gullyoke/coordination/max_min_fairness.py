"""What many want of what there is, given out by weight.

Nobody gets more than it wants, and who wants more than its part shares what the others leave
(max-min fairness, Bertsekas and Gallager 1992).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

EXACT = 1e-6  # of the level


class Demand(NamedTuple):
    """So many are wanted of this, beside what is held `elsewhere`; by weight."""

    want: int
    elsewhere: int = 0
    weight: float = 1.0

    def part(self, level: float) -> float:
        """What it gets where all are filled up to `level` times their weight, counting what they
        hold elsewhere.
        """
        return min(float(self.want), max(0.0, level * self.weight - self.elsewhere))


def fill_level(total: int, wishes: Iterable[Demand]) -> float:
    """To where all are filled, so that `total` is given out.

    Infinite where there is enough for all.
    """
    wishes = list(wishes)
    if sum(wish.want for wish in wishes) <= total:
        return math.inf
    low, high = 0.0, max((wish.want + wish.elsewhere) / wish.weight for wish in wishes)
    while high - low > EXACT * max(1.0, high):
        middle = (low + high) / 2
        if sum(wish.part(middle) for wish in wishes) > total:
            high = middle
        else:
            low = middle
    return low


def split_limit(
    limit: int, largest: int, homes: Iterable[str], floor_share: float
) -> tuple[int, dict[str, int]]:
    """A limit for the whole fleet as a floor that each of `largest` processes has by right, and
    what each of `homes` has to lend: all together the limit. Raises `ValueError` for what can't be.
    """
    if limit < 0 or largest < 1 or not 0 <= floor_share <= 1:
        raise ValueError(f"a limit of {limit} for {largest} with a floor of {floor_share}")
    floor, names = int(limit * floor_share / largest), sorted(homes)
    part, more = divmod(limit - floor * largest, max(1, len(names)))
    return floor, {name: part + (i < more) for i, name in enumerate(names)}
