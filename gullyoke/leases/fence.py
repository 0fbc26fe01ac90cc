"""The check that a resource makes before it accepts an operation done under a lease.

A fence keeps the newest epoch of each lease and rejects operations of older epochs, as Chubby's
sequencers do (Burrows 2006). The check holds however late an operation arrives and whatever has
become of the lease. docs/duty-design.md names the resources that can't compare epochs, and what
limits the harm there.
"""

from __future__ import annotations

from typing import Final, NamedTuple

MAX_LEASES: Final = 64  # leases whose newest epoch a fence keeps


class FencingToken(NamedTuple):
    """An epoch and the incarnation of the process that holds the lease under it."""

    epoch: int
    incarnation: int


class Fence:
    """The newest token of each lease, at most `MAX_LEASES`.

    Attributes:
        newest: Tokens by the name of the lease.
        rejected: How many operations were rejected.
    """

    def __init__(self) -> None:
        """Start without tokens: the first operation under each lease is admitted."""
        self.newest: dict[str, FencingToken] = {}
        self.rejected = 0

    def admit(self, duty: str, epoch: int, incarnation: int) -> bool:
        """Admit or reject an operation: store its token, or count it as rejected.

        The fence rejects epochs older than the newest, a second process with the newest epoch, and
        a new lease above `MAX_LEASES`.

        Returns:
            Whether the operation is admitted.
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
