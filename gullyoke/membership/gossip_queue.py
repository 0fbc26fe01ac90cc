"""What is yet to be told to the others, carried on whatever is sent anyway.

The newest first, the rest in turn.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Hashable

from gullyoke.membership.member_record import MemberRecord, StatusUpdate, SuspicionReport, Update

ROUNDS = 3  # each item is carried so often, times log2 of the fleet's size
BUDGET = 900  # bytes of news in one datagram
MOST = 64 * 1024  # bytes that wait at the most; the oldest goes first


def size(item: Update) -> int:
    """Bytes it takes in a datagram, about and not too little."""
    if isinstance(item, MemberRecord):
        return 44 + len(item.name) + len(item.address) + len(item.zone)
    if isinstance(item, StatusUpdate):
        return 36
    return 30 + 21 * len(item.suspicions)


def about(item: Update) -> Hashable:
    """What it is on: a newer item takes the place of an older one on the same."""
    if isinstance(item, SuspicionReport):
        return "report", item.observer
    return item.id


class GossipQueue:
    """Table: `items`, one a member and one an observer at the most, with how often it was carried;
    one leaves when it was carried often enough, or when the bytes run out.
    """

    def __init__(self) -> None:
        self.items: OrderedDict[Hashable, tuple[Update, int, int]] = OrderedDict()
        self.bytes = self.dropped = 0

    def add(self, item: Update) -> None:
        key, n = about(item), size(item)
        self.discard(key)
        self.items[key] = item, n, 0
        self.items.move_to_end(key, last=False)
        self.bytes += n
        while self.bytes > MOST:
            self.discard(next(reversed(self.items)))
            self.dropped += 1

    def discard(self, key: Hashable) -> None:
        old = self.items.pop(key, None)
        if old is not None:
            self.bytes -= old[1]

    def pick(self, members: int, budget: int = BUDGET) -> tuple[Update, ...]:
        """As many as fit, and they have been carried once more."""
        if not self.items:
            return ()
        rounds = ROUNDS * math.ceil(math.log2(members + 2))
        picked, again = [], []
        for key, (item, n, carried) in self.items.items():
            if n > budget:
                if picked:
                    break
                continue  # too long beside others: another datagram's
            budget -= n
            picked.append(item)
            again.append((key, item, n, carried + 1))
        for key, item, n, carried in again:
            if carried >= rounds:
                self.discard(key)
            else:
                self.items[key] = item, n, carried
                self.items.move_to_end(key)
        return tuple(picked)
