"""The side that a duty acts on.

It keeps the highest epoch that it has seen of each duty and refuses older ones (Chubby's
sequencers, Burrows 2006). What can't compare is named in docs/duty-design.md, with what bounds the
harm there.
"""

from __future__ import annotations

MOST = 64  # duties that are kept


class Fence:
    """Table: one row a duty, MOST at the most."""

    def __init__(self) -> None:
        self.rows: dict[str, tuple[int, int]] = {}
        self.rejected = 0

    def admits(self, duty: str, epoch: int, life: int) -> bool:
        """Whether an act of this epoch is taken.

        None older than the newest seen, and one process an epoch.
        """
        known = self.rows.get(duty)
        if (known is None and len(self.rows) >= MOST) or (
            known is not None and (epoch < known[0] or (epoch == known[0] and life != known[1]))
        ):
            self.rejected += 1
            return False
        self.rows[duty] = epoch, life
        return True

    def seen(self, duty: str, epoch: int, life: int) -> None:
        """News of a newer epoch, without an act."""
        known = self.rows.get(duty)
        if (known is None and len(self.rows) < MOST) or (known is not None and epoch > known[0]):
            self.rows[duty] = epoch, life
