"""The check that a resource makes before it takes an act that is done under a lease.

A fence keeps the newest epoch of each lease and rejects acts of older ones, as Chubby's sequencers
do (Burrows 2006). It holds however long an act was on its way and whatever became of the lease.
docs/duty-design.md names the resources that can't compare epochs and what bounds the harm there.
"""

from __future__ import annotations

from typing import Final, NamedTuple

MAX_LEASES: Final = 64  # leases of which a fence keeps the newest epoch


class FencingToken(NamedTuple):
    """An epoch and the incarnation of the process that it belongs to."""

    epoch: int
    incarnation: int


class Fence:
    """The newest token of each lease, at most `MAX_LEASES`.

    Attributes:
        newest: Tokens by the name of the lease.
        rejected: How many acts were rejected.
    """

    def __init__(self) -> None:
        """Start without any token: the first act of each lease is admitted."""
        self.newest: dict[str, FencingToken] = {}
        self.rejected = 0

    def admits(self, duty: str, epoch: int, incarnation: int) -> bool:
        """Tell whether an act is to be taken, and keep its token if so.

        No act is taken of an epoch older than the newest, nor of a second process of one epoch.
        """
        token = FencingToken(epoch, incarnation)
        known = self.newest.get(duty)
        if known is None:
            admitted = len(self.newest) < MAX_LEASES
        else:
            admitted = epoch > known.epoch or token == known
        if not admitted:
            self.rejected += 1
            return False
        self.newest[duty] = token
        return True
