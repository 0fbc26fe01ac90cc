"""Weighted max-min fairness: how a total is divided between demands.

No borrower gets more than it wants; borrowers that want more than their share divide what the
others leave (Bertsekas and Gallager 1992).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final, NamedTuple

LEVEL_PRECISION: Final = 1e-6  # relative to the level


class Demand(NamedTuple):
    """The tokens that one borrower wants.

    Attributes:
        want: Tokens wanted from this lender.
        elsewhere: Tokens that the borrower has from elsewhere; they count against its share.
        weight: Shares of scarce tokens are proportional to this; above 0.
    """

    want: int
    elsewhere: int = 0
    weight: float = 1.0

    def share_at(self, level: float) -> float:
        """Return this borrower's share at a level of tokens per weight.

        Tokens that the borrower has from elsewhere are subtracted; the share is at most `want`.
        """
        return min(float(self.want), max(0.0, level * self.weight - self.elsewhere))


def fill_level(total: int, demands: Iterable[Demand]) -> float:
    """Return the level at which the shares of all demands add up to `total`.

    The level is infinite where `total` covers all demands.
    """
    demands = list(demands)
    if sum(demand.want for demand in demands) <= total:
        return math.inf
    low = 0.0
    high = max((demand.want + demand.elsewhere) / demand.weight for demand in demands)
    while high - low > LEVEL_PRECISION * max(1.0, high):
        middle = (low + high) / 2
        if sum(demand.share_at(middle) for demand in demands) > total:
            high = middle
        else:
            low = middle
    return low


def split_limit(
    limit: int, largest_fleet: int, lenders: Iterable[str], floor_share: float
) -> tuple[int, dict[str, int]]:
    """Divide a fleet's limit into a floor for each process and the tokens of each lender.

    Args:
        limit: The limit in tokens.
        largest_fleet: The largest number of processes that have the floor.
        lenders: Names of the lenders.
        floor_share: The share of the limit that goes into floors, from 0 to 1.

    Returns:
        The floor, and the tokens by lender; all floors and tokens add up to the limit.

    Raises:
        ValueError: For a negative limit, an empty fleet, or a share outside 0 to 1.
    """
    if limit < 0 or largest_fleet < 1 or not 0 <= floor_share <= 1:
        raise ValueError(
            f"cannot split limit {limit} for {largest_fleet} processes, floor share {floor_share}"
        )
    floor = int(limit * floor_share / largest_fleet)
    names = sorted(lenders)
    tokens, remainder = divmod(limit - floor * largest_fleet, max(1, len(names)))
    return floor, {name: tokens + (i < remainder) for i, name in enumerate(names)}
