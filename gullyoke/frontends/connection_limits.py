"""Who may have a place in the one table of connections. Pure: counts in, a verdict out."""

from __future__ import annotations

from collections.abc import Hashable, Mapping


class ConnectionLimits:
    """`most` places for several fronts together; each is assured an equal part of half of them.

    Guards against one front's clients that use all descriptors up while the other must go on. With
    one front nothing is set aside. Table: one row a front, fixed at the start.
    """

    def __init__(self, most: int, fronts: int = 1) -> None:
        self.fronts = fronts
        self.set_limit(most)

    def set_listener_count(self, fronts: int) -> None:
        """So many fronts share them from now on."""
        self.fronts = fronts
        self.set_limit(self.most)

    def set_limit(self, most: int) -> None:
        """So many places from now on; who is over them stays until its end."""
        self.most = most
        self.assured = most // (2 * self.fronts) if self.fronts > 1 else 0

    def fits(self, front: Hashable, open: Mapping[Hashable, int]) -> bool:
        """Whether all that is open, a newcomer of `front` already counted, leaves others what is
        theirs.
        """
        others = sum(max(n, self.assured) for other, n in open.items() if other is not front)
        return open[front] + others <= self.most

    def may_lose(self, loser: Hashable, front: Hashable, open: Mapping[Hashable, int]) -> bool:
        """Whether a place taken from `loser` is one that a newcomer of `front` can have."""
        return loser is front or open[loser] > self.assured
