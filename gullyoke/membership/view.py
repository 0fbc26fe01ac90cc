"""A member's view: the rows it knows, merged in any order to the same end, numbered and with a
digest.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import NamedTuple

from gullyoke.membership.member_record import LIVE_STATUSES, MemberRecord, Status, StatusUpdate
from gullyoke.membership.observer_rings import ObserverRings

BUCKETS = 64  # parts that two views are compared by
REMEMBER = 120_000_000  # microseconds that one who is gone is known to be
LATELY = 30_000_000  # removals of so long ago are lately
MOST_GONE = 4096  # and so many at the most


class Change(NamedTuple):
    """One step of the view.

    `what`: joined, restarted, changed, left or removed; `number`, the view's with it; `mark`, the
    evidence where there is one.
    """

    view_version: int
    kind: str
    record: MemberRecord
    previous: MemberRecord | None
    update: StatusUpdate | None = None


class View:
    """Tables: `rows`, those who are there.

    `gone`, those who left or were removed, kept so that an old row does not bring them back, and
    forgotten after a time (`forget`) or when there are too many.
    """

    def __init__(self, k: int) -> None:
        self.records: dict[int, MemberRecord] = {}
        self.gone: OrderedDict[int, tuple[MemberRecord, int]] = OrderedDict()
        self.rings, self.version, self.digest = ObserverRings(k), 0, 0
        self.buckets = [0] * BUCKETS
        self.order: list[int] = []  # those of `rows`, to draw from
        self.at: dict[int, int] = {}
        self.removals: deque[int] = deque(maxlen=MOST_GONE)  # when somebody was removed, for LATELY

    def __len__(self) -> int:
        return len(self.records)

    def known(self, member: int) -> MemberRecord | None:
        record = self.records.get(member)
        if record is None and member in self.gone:
            record = self.gone[member][0]
        return record

    def merge(
        self, now: int, record: MemberRecord, mark: StatusUpdate | None = None
    ) -> Change | None:
        """Take a row in if it is further on than what is known."""
        was = self.known(record.id)
        if was is not None and record.rank() <= was.rank():
            return None
        there = self._out(record.id)
        self.gone.pop(record.id, None)
        if record.status in LIVE_STATUSES:
            self.records[record.id] = record
            self.at[record.id] = len(self.order)
            self.order.append(record.id)
            self._sum(record)
            if record.status is not Status.JOINING:
                self.rings.add(record.id)
            elif there is not None:
                self.rings.remove(record.id)  # a later start that is not ready yet
        else:
            self.gone[record.id] = record, now
            self.rings.remove(record.id)
            while len(self.gone) > MOST_GONE:
                self.gone.popitem(last=False)
        what = named(there, record)
        if what == "removed":
            self.removals.append(now)
        if what is None:  # gone under another number than before: nothing changed
            return None
        self.version += 1
        return Change(self.version, what, record, there, mark)

    def mark(self, now: int, mark: StatusUpdate) -> Change | None:
        """A new status of a row that is known.

        What is not known can't be marked: its row will come.
        """
        was = self.known(mark.id)
        if was is None or (mark.version, mark.status) <= (was.version, was.status):
            return None
        return self.merge(now, was.with_status(mark.status, mark.version), mark)

    def forget(self, now: int) -> None:
        while self.gone and next(iter(self.gone.values()))[1] < now - REMEMBER:
            self.gone.popitem(last=False)

    def removed_lately(self, now: int) -> int:
        while self.removals and self.removals[0] < now - LATELY:
            self.removals.popleft()
        return len(self.removals)

    def clear(self, keep: int) -> None:
        """All but one: who was removed takes the others' view, his own is void."""
        for member in [m for m in self.records if m != keep]:
            self._out(member)
            self.rings.remove(member)
        self.gone.clear()
        self.version += 1

    def bucket(self, index: int) -> Iterator[MemberRecord]:
        return (record for record in self.records.values() if record.id % BUCKETS == index)

    def _out(self, member: int) -> MemberRecord | None:
        record = self.records.pop(member, None)
        if record is not None:
            self._sum(record)
            at, last = self.at.pop(member), self.order.pop()
            if last != member:  # the last takes the place that is free
                self.order[at], self.at[last] = last, at
        return record

    def _sum(self, record: MemberRecord) -> None:
        self.digest ^= record.digest
        self.buckets[record.id % BUCKETS] ^= record.digest & 0xFFFFFFFF


def named(there: MemberRecord | None, record: MemberRecord) -> str | None:
    """What the step from one row to the next is called."""
    if record.status not in LIVE_STATUSES:
        gone = "removed" if record.status is Status.DEAD else "left"
        return gone if there is not None else None
    if there is None:
        return "joined"
    return "restarted" if there.incarnation != record.incarnation else "changed"
