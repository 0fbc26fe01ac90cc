"""The promises of voters, and how a voter that lost its promises recovers them from others."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, NamedTuple

from gullyoke.leases.messages import NOBODY

MAX_LEASES: Final = 64  # leases whose promises a voter keeps; a fleet has only a few

ReportedPromises = tuple[tuple[str, int, int, str], ...]  # as in `EpochReply`


class Promise(NamedTuple):
    """A voter's promise for one lease, made to the process `holder` with this `incarnation`.

    It is stored as an array of its fields in this order.
    """

    epoch: int
    incarnation: int
    holder: str


NO_PROMISE: Final = Promise(0, NOBODY, "")


def replies_needed(others: int) -> int:
    """Return how many other voters must reply to a voter that recovers its promises.

    Every majority that includes the recovering voter then includes one that has replied.
    """
    voters = others + 1
    majority = voters // 2 + 1
    return others - (majority - 1) + 1


def newest_promises(reports: Iterable[ReportedPromises]) -> dict[str, Promise]:
    """Return the newest promise for each lease among those that other voters reported.

    If reports differ on the holder of the newest epoch, that epoch counts as promised to nobody, so
    that no process is granted it again.
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
