"""Two views made equal: only the parts that differ are told, in datagrams of few rows, a few at a
time.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from gullyoke.membership.gossip_queue import size
from gullyoke.membership.member_record import MemberRecord
from gullyoke.membership.messages import ViewRecords
from gullyoke.membership.view import BUCKETS, View

ROOM = 950  # bytes of rows in one datagram
DATAGRAMS = 6  # for one asking
EVERY = 1_000_000  # microseconds between askings of one's own while views differ
GRACE = 700_000  # news is given so long to make them equal without


class ReconciliationTimer:
    """When to ask whom. A digest that differs is usually news on its way."""

    def __init__(self) -> None:
        self.differs: int | None = None
        self.last = 0
        self.peer = 0

    def hear(self, now: int, member: int, equal: bool) -> None:
        if equal:
            self.differs = None
        else:
            self.peer = member
            if self.differs is None:
                self.differs = now

    def due(self, now: int) -> bool:
        """Whether to ask `peer` now; it counts as asked."""
        if self.differs is None or now - self.differs < GRACE or now - self.last < EVERY:
            return False
        self.last = now
        return True


def differing(view: View, buckets: Sequence[int]) -> list[int]:
    """The parts in which another's view is not this one."""
    return [b for b, digest in enumerate(buckets[:BUCKETS]) if digest != view.buckets[b]]


def answer(
    me: MemberRecord, view: View, buckets: Sequence[int], draw: Callable[[int], int]
) -> list[ViewRecords]:
    """What another is told whose view has these parts, from a part drawn by chance on, so that
    those who ask several are told different parts.
    """
    parts = differing(view, buckets)
    if not parts:
        return [ViewRecords(me, (), (), True, 0)]
    at = draw(len(parts))
    return packed(me, view, parts[at:] + parts[:at], True)


def missing(me: MemberRecord, view: View, parts: Sequence[tuple[int, int]]) -> list[ViewRecords]:
    """What the one who answered does not have.

    The parts that differ still, after all it told is merged.
    """
    own = [b for b, digest in parts if 0 <= b < BUCKETS and view.buckets[b] != digest]
    return packed(me, view, own, False) if own else []


def packed(me: MemberRecord, view: View, parts: Sequence[int], asked: bool) -> list[ViewRecords]:
    """Rows of these parts in as few datagrams as they fill, DATAGRAMS at the most.

    A part that needs more than one names itself in the last.
    """
    out: list[ViewRecords] = []
    told: list[tuple[int, int]] = []
    differ = len(parts)
    records: list[MemberRecord] = []
    room = ROOM
    for b in parts:
        for record in view.bucket(b):
            need = size(record)
            if need > room:
                out.append(ViewRecords(me, tuple(told), tuple(records), asked, differ))
                told, records, room = [], [], ROOM
                if len(out) >= DATAGRAMS:
                    return out
            records.append(record)
            room -= need
        told.append((b, view.buckets[b]))
        room -= 8
    if told or records:
        out.append(ViewRecords(me, tuple(told), tuple(records), asked, differ))
    return out
