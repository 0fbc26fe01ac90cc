"""A member's view: the rows it knows, merged in any order to the same end, numbered and with a
digest.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import NamedTuple

from gullyoke.membership.rings import Rings
from gullyoke.membership.row import LIVE, Mark, Row, Status

BUCKETS = 64  # parts that two views are compared by
REMEMBER = 120_000_000  # microseconds that one who is gone is known to be
LATELY = 30_000_000  # removals of so long ago are lately
MOST_GONE = 4096  # and so many at the most


class Change(NamedTuple):
    """One step of the view.

    `what`: joined, restarted, changed, left or removed; `number`, the view's with it; `mark`, the
    evidence where there is one.
    """

    number: int
    what: str
    row: Row
    was: Row | None
    mark: Mark | None = None


class View:
    """Tables: `rows`, those who are there.

    `gone`, those who left or were removed, kept so that an old row does not bring them back, and
    forgotten after a time (`forget`) or when there are too many.
    """

    def __init__(self, k: int) -> None:
        self.rows: dict[int, Row] = {}
        self.gone: OrderedDict[int, tuple[Row, int]] = OrderedDict()
        self.rings, self.number, self.digest = Rings(k), 0, 0
        self.buckets = [0] * BUCKETS
        self.order: list[int] = []  # those of `rows`, to draw from
        self.at: dict[int, int] = {}
        self.removals: deque[int] = deque(maxlen=MOST_GONE)  # when somebody was removed, for LATELY

    def __len__(self) -> int:
        return len(self.rows)

    def known(self, member: int) -> Row | None:
        row = self.rows.get(member)
        if row is None and member in self.gone:
            row = self.gone[member][0]
        return row

    def merge(self, now: int, row: Row, mark: Mark | None = None) -> Change | None:
        """Take a row in if it is further on than what is known."""
        was = self.known(row.id)
        if was is not None and row.rank() <= was.rank():
            return None
        there = self._out(row.id)
        self.gone.pop(row.id, None)
        if row.status in LIVE:
            self.rows[row.id] = row
            self.at[row.id] = len(self.order)
            self.order.append(row.id)
            self._sum(row)
            if row.status is not Status.JOINING:
                self.rings.add(row.id)
            elif there is not None:
                self.rings.remove(row.id)  # a later start that is not ready yet
        else:
            self.gone[row.id] = row, now
            self.rings.remove(row.id)
            while len(self.gone) > MOST_GONE:
                self.gone.popitem(last=False)
        what = named(there, row)
        if what == "removed":
            self.removals.append(now)
        if what is None:  # gone under another number than before: nothing changed
            return None
        self.number += 1
        return Change(self.number, what, row, there, mark)

    def mark(self, now: int, mark: Mark) -> Change | None:
        """A new status of a row that is known.

        What is not known can't be marked: its row will come.
        """
        was = self.known(mark.id)
        if was is None or (mark.number, mark.status) <= (was.number, was.status):
            return None
        return self.merge(now, was.now(mark.status, mark.number), mark)

    def forget(self, now: int) -> None:
        while self.gone and next(iter(self.gone.values()))[1] < now - REMEMBER:
            self.gone.popitem(last=False)

    def removed_lately(self, now: int) -> int:
        while self.removals and self.removals[0] < now - LATELY:
            self.removals.popleft()
        return len(self.removals)

    def clear(self, keep: int) -> None:
        """All but one: who was removed takes the others' view, his own is void."""
        for member in [m for m in self.rows if m != keep]:
            self._out(member)
            self.rings.remove(member)
        self.gone.clear()
        self.number += 1

    def bucket(self, number: int) -> Iterator[Row]:
        return (row for row in self.rows.values() if row.id % BUCKETS == number)

    def _out(self, member: int) -> Row | None:
        row = self.rows.pop(member, None)
        if row is not None:
            self._sum(row)
            at, last = self.at.pop(member), self.order.pop()
            if last != member:  # the last takes the place that is free
                self.order[at], self.at[last] = last, at
        return row

    def _sum(self, row: Row) -> None:
        self.digest ^= row.digest
        self.buckets[row.id % BUCKETS] ^= row.digest & 0xFFFFFFFF


def named(there: Row | None, row: Row) -> str | None:
    """What the step from one row to the next is called."""
    if row.status not in LIVE:
        gone = "removed" if row.status is Status.DEAD else "left"
        return gone if there is not None else None
    if there is None:
        return "joined"
    return "restarted" if there.life != row.life else "changed"
