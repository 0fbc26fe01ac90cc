"""The times of a lease, and how far clocks may run apart. Microseconds."""

from __future__ import annotations

from typing import NamedTuple


class LeaseDurations(NamedTuple):
    """`lease`: how long a grant lasts, by its holder's clock from before it asked.

    `drift`: by how many parts in a million two clocks may run apart at the most; each side counts
    on its own, steps of the wall clock are nothing to it. `margin`: so long before its end a holder
    does nothing more.
    """

    lease: int = 3_000_000
    drift: int = 1000
    margin: int = 200_000

    def surely(self, span: int) -> int:
        """So long on one clock that `span` has passed on any other."""
        return span + 2 * span * self.drift // 1_000_000 + 1

    def renew(self) -> int:
        """Between renewals: three of the four in the lease's first half may be lost."""
        return max(1, self.lease // 8)
