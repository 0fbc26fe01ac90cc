"""How many further tries there may be.

A share of first tries, and never a store of them for long.
"""

from __future__ import annotations


class Budget:
    """Each first try earns `share` of a further one; at most `most` are saved up.

    Guards against tries that multiply when all back ends fail: what is sent is never over `first
    tries * (1 + share) + most`. It starts empty but for one, so that a lone fault at the start is
    not answered as errored. State: one number.
    """

    def __init__(self, share: float, most: float = 10.0) -> None:
        self.share, self.most, self.left = share, most, min(1.0, most) if share > 0 else 0.0

    def first(self) -> None:
        self.left = min(self.most, self.left + self.share)

    def has(self) -> bool:
        """Whether one more try may be made."""
        return self.left >= 1

    def take(self) -> None:
        """It is made."""
        self.left -= 1
