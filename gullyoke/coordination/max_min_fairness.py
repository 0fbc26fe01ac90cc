"""Weighted max-min fairness: how a total is divided between demands.

Nobody gets more than it wants, and those that want more than their share divide what the others
leave (Bertsekas and Gallager 1992).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final, NamedTuple

LEVEL_PRECISION: Final = 1e-6  # of the level


class Demand(NamedTuple):
    """What one borrower wants.

    Attributes:
        want: Tokens wanted here.
        elsewhere: Tokens that it has besides; they count against its share.
        weight: Its share of what is scarce is proportional to this; above 0.
    """

    want: int
    elsewhere: int = 0
    weight: float = 1.0

    def part(self, level: float) -> float:
        """Return its share where everybody has `level` times its weight, if it wants as much."""
        return min(float(self.want), max(0.0, level * self.weight - self.elsewhere))


def fill_level(total: int, demands: Iterable[Demand]) -> float:
    """Return the level at which the shares of all demands come to `total`.

    Infinity where there is enough for all.
    """
    demands = list(demands)
    if sum(demand.want for demand in demands) <= total:
        return math.inf
    low = 0.0
    high = max((demand.want + demand.elsewhere) / demand.weight for demand in demands)
    while high - low > LEVEL_PRECISION * max(1.0, high):
        middle = (low + high) / 2
        if sum(demand.part(middle) for demand in demands) > total:
            high = middle
        else:
            low = middle
    return low


def split_limit(
    limit: int, largest_fleet: int, lenders: Iterable[str], floor_share: float
) -> tuple[int, dict[str, int]]:
    """Divide a fleet's limit into a floor of each process and the tokens of each lender.

    Args:
        limit: The limit in tokens.
        largest_fleet: The most processes that have the floor.
        lenders: Names of the lenders.
        floor_share: The part of the limit that goes into floors, from 0 to 1.

    Returns:
        The floor, and the tokens by lender; all floors and tokens together are the limit.

    Raises:
        ValueError: For a negative limit, an empty fleet, or a share that is none.
    """
    if limit < 0 or largest_fleet < 1 or not 0 <= floor_share <= 1:
        raise ValueError(f"a limit of {limit} for {largest_fleet} with a floor of {floor_share}")
    floor = int(limit * floor_share / largest_fleet)
    names = sorted(lenders)
    tokens, remainder = divmod(limit - floor * largest_fleet, max(1, len(names)))
    return floor, {name: tokens + (i < remainder) for i, name in enumerate(names)}
