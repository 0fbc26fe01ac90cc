"""The queue of updates to disseminate, piggybacked on messages that are sent anyway.

As in SWIM (Das, Gupta and Motivala 2002, section 4.1) an update is carried a number of times that
grows with the logarithm of the fleet's size. Updates that were carried least often go first.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Hashable
from typing import Final, NamedTuple

from gullyoke.membership.member_record import MemberRecord, StatusUpdate, SuspicionReport, Update

ROUNDS_PER_LOG2: Final = 3  # an update is carried this many times log2 of the fleet's size
DATAGRAM_BUDGET_BYTES: Final = 900  # for the updates in one datagram
MAX_QUEUED_BYTES: Final = 64 * 1024  # beyond this the update carried most often is dropped

RECORD_OVERHEAD_BYTES: Final = 44
STATUS_UPDATE_BYTES: Final = 36
REPORT_OVERHEAD_BYTES: Final = 30
SUSPICION_BYTES: Final = 21


def wire_size(update: Update) -> int:
    """Return an upper bound of the bytes that an update takes in a datagram."""
    if isinstance(update, MemberRecord):
        texts = len(update.name) + len(update.address) + len(update.zone)
        return RECORD_OVERHEAD_BYTES + texts
    if isinstance(update, StatusUpdate):
        return STATUS_UPDATE_BYTES
    return REPORT_OVERHEAD_BYTES + SUSPICION_BYTES * len(update.suspicions)


def report_key(observer: int) -> Hashable:
    """Return the queue key of an observer's report."""
    return "report", observer


def update_key(update: Update) -> Hashable:
    """Return the queue key of an update; a newer update replaces one with the same key."""
    if isinstance(update, SuspicionReport):
        return report_key(update.observer)
    return update.id


class QueuedUpdate(NamedTuple):
    """An update, its size in bytes, and the number of messages that carried it."""

    update: Update
    size_bytes: int
    carried: int


class GossipQueue:
    """The updates to disseminate, the next one first.

    Attributes:
        items: The updates by key: at most one about each member and one from each observer.
        queued_bytes: The sum of the updates' sizes.
        dropped: The number of updates dropped because the queue was full.
    """

    def __init__(self) -> None:
        self.items: OrderedDict[Hashable, QueuedUpdate] = OrderedDict()
        self.queued_bytes = 0
        self.dropped = 0

    def add(self, update: Update) -> None:
        """Put an update at the head of the queue; it replaces one with the same key."""
        key = update_key(update)
        size_bytes = wire_size(update)
        self.discard(key)
        self.items[key] = QueuedUpdate(update, size_bytes, 0)
        self.items.move_to_end(key, last=False)
        self.queued_bytes += size_bytes
        while self.queued_bytes > MAX_QUEUED_BYTES:
            self.discard(next(reversed(self.items)))
            self.dropped += 1

    def discard(self, key: Hashable) -> None:
        """Remove the update with this key, if there is one."""
        old = self.items.pop(key, None)
        if old is not None:
            self.queued_bytes -= old.size_bytes

    def next_batch(
        self, members: int, budget_bytes: int = DATAGRAM_BUDGET_BYTES
    ) -> tuple[Update, ...]:
        """Return the updates for one datagram, and count each as carried once more.

        Args:
            members: The fleet's size, which determines how often each update is carried.
            budget_bytes: The maximum total size of the updates.
        """
        if not self.items:
            return ()
        batch = self._fitting(budget_bytes)
        rounds = ROUNDS_PER_LOG2 * math.ceil(math.log2(members + 2))
        for key, queued in batch:
            carried = queued.carried + 1
            if carried >= rounds:
                self.discard(key)
            else:
                self.items[key] = QueuedUpdate(queued.update, queued.size_bytes, carried)
                self.items.move_to_end(key)
        return tuple(queued.update for _, queued in batch)

    def _fitting(self, budget_bytes: int) -> list[tuple[Hashable, QueuedUpdate]]:
        batch: list[tuple[Hashable, QueuedUpdate]] = []
        for key, queued in self.items.items():
            if queued.size_bytes > budget_bytes:
                if batch:
                    break
                continue  # larger than a whole datagram's budget; it must not block the others
            budget_bytes -= queued.size_bytes
            batch.append((key, queued))
        return batch
