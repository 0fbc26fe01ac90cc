"""Two views made equal: only the parts that differ are told, in datagrams of few rows, a few at a
time.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from gullyoke.membership.news import size
from gullyoke.membership.row import Row
from gullyoke.membership.view import BUCKETS, View
from gullyoke.membership.words import Rows

ROOM = 950  # bytes of rows in one datagram
DATAGRAMS = 6  # for one asking
EVERY = 1_000_000  # microseconds between askings of one's own while views differ
GRACE = 700_000  # news is given so long to make them equal without


class Comparing:
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


def answer(me: Row, view: View, buckets: Sequence[int], draw: Callable[[int], int]) -> list[Rows]:
    """What another is told whose view has these parts, from a part drawn by chance on, so that
    those who ask several are told different parts.
    """
    parts = differing(view, buckets)
    if not parts:
        return [Rows(me, (), (), True, 0)]
    at = draw(len(parts))
    return packed(me, view, parts[at:] + parts[:at], True)


def missing(me: Row, view: View, parts: Sequence[tuple[int, int]]) -> list[Rows]:
    """What the one who answered does not have.

    The parts that differ still, after all it told is merged.
    """
    own = [b for b, digest in parts if 0 <= b < BUCKETS and view.buckets[b] != digest]
    return packed(me, view, own, False) if own else []


def packed(me: Row, view: View, parts: Sequence[int], asked: bool) -> list[Rows]:
    """Rows of these parts in as few datagrams as they fill, DATAGRAMS at the most.

    A part that needs more than one names itself in the last.
    """
    out: list[Rows] = []
    told: list[tuple[int, int]] = []
    differ = len(parts)
    rows: list[Row] = []
    room = ROOM
    for b in parts:
        for row in view.bucket(b):
            need = size(row)
            if need > room:
                out.append(Rows(me, tuple(told), tuple(rows), asked, differ))
                told, rows, room = [], [], ROOM
                if len(out) >= DATAGRAMS:
                    return out
            rows.append(row)
            room -= need
        told.append((b, view.buckets[b]))
        room -= 8
    if told or rows:
        out.append(Rows(me, tuple(told), tuple(rows), asked, differ))
    return out
