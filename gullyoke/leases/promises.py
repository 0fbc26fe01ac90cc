"""What voters promise, and how one that lost its promises learns those of the others."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, NamedTuple

from gullyoke.leases.messages import NOBODY

MAX_LEASES: Final = 64  # leases of which a voter keeps promises; there are a few

ReportedPromises = tuple[tuple[str, int, int, str], ...]  # as in `EpochReply`


class Promise(NamedTuple):
    """What a voter has promised of one lease.

    It is stored as an array of its fields in this order. `incarnation` and `holder` say to whom.
    """

    epoch: int
    incarnation: int
    holder: str


NO_PROMISE: Final = Promise(0, NOBODY, "")


def replies_needed(others: int) -> int:
    """Return how many other voters have a member in every majority that included this voter."""
    voters = others + 1
    majority = voters // 2 + 1
    return others - (majority - 1) + 1


def newest_promises(reports: Iterable[ReportedPromises]) -> dict[str, Promise]:
    """Return the newest promise of each lease among those that other voters reported.

    Where they differ on the holder of the newest epoch, it counts as promised to nobody, so that
    nobody gets it again.
    """
    newest: dict[str, Promise] = {}
    for promises in reports:
        for duty, epoch, incarnation, holder in promises[:MAX_LEASES]:
            promise = Promise(epoch, incarnation, holder)
            known = newest.get(duty, NO_PROMISE)
            if epoch > known.epoch or duty not in newest:
                newest[duty] = promise
            elif epoch == known.epoch and incarnation != known.incarnation:
                newest[duty] = Promise(epoch, NOBODY, "")
    return newest
