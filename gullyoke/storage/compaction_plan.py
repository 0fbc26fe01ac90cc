"""What the store decides, free of I/O.

What is live, when a segment rolls, what is compacted or refused.
"""

from __future__ import annotations

from typing import NamedTuple

from gullyoke.storage.record import DELETED, Record

LITTLE = 256  # dead bytes of a segment that are not worth a copy


class Place(NamedTuple):
    """Where a key's newest record lies.

    `gone` for a key that was taken out: kept while an older one may lie in a segment before it.
    """

    segment: int
    at: int
    size: int
    seq: int
    gone: bool


class Segment:
    """How many bytes one holds, and how many of them are live."""

    __slots__ = ("live_bytes", "number", "size")

    def __init__(self, number: int) -> None:
        self.number, self.size, self.live_bytes = number, 0, 0


class CompactionPlan:
    """Tables: `index`, a row for each key that is there or whose end must still be known.

    `segments`.

    `roll` is the size at which a segment is closed, `quota` what all may take, `slack` the share
    that may be dead before it is compacted. Bytes.
    """

    def __init__(self, segment_bytes: int, quota_bytes: int, max_dead_share: float = 0.5) -> None:
        self.segment_bytes, self.quota_bytes, self.max_dead_share = (
            segment_bytes,
            quota_bytes,
            max_dead_share,
        )
        self.index: dict[str, Place] = {}
        self.segments: dict[int, Segment] = {}
        self.seq = 0

    def next_seq(self) -> int:
        self.seq += 1
        return self.seq

    def begin(self, number: int) -> None:
        self.segments[number] = Segment(number)

    def note(self, record: Record, segment: int, at: int, size: int) -> None:
        """A whole record lies there.

        Whichever of its key is newest counts, in whatever order they are read; of two that are the
        same the later segment, since compaction copies forward.
        """
        self.seq = max(self.seq, record.seq)
        row = self.segments[segment]
        row.size = max(row.size, at + size)
        old = self.index.get(record.key)
        if old is not None and (old.seq, old.segment, old.at) > (record.seq, segment, at):
            return
        if old is not None and old.segment in self.segments:
            self.segments[old.segment].live_bytes -= old.size
        self.index[record.key] = Place(segment, at, size, record.seq, record.kind == DELETED)
        row.live_bytes += size

    def add_dead_bytes(self, segment: int, size: int) -> None:
        """So many bytes of it are no record."""
        self.segments[segment].size += size

    def total_bytes(self) -> int:
        return sum(s.size for s in list(self.segments.values()))

    def live_bytes(self) -> int:
        return sum(
            s.live_bytes for s in list(self.segments.values())
        )  # also asked by another thread

    def fits(self, size: int) -> bool:
        """Whether so much more stays within the quota, once all that is dead is compacted away."""
        return self.live_bytes() + size <= self.quota_bytes

    def rolls(self, segment: int, size: int) -> bool:
        return (
            self.segments[segment].size + size > self.segment_bytes
            and self.segments[segment].size > 0
        )

    def to_compact(self, active: int, eager: bool = False) -> int | None:
        """The segment whose live records are copied forward next.

        Always the oldest, so that the end of a key can be forgotten with it; None while little is
        dead and all is within the quota, or next to nothing is dead in what is closed if `eager`.
        """
        closed = [n for n in self.segments if n != active]
        if not closed:
            return None
        if eager and any(
            self.segments[n].size - self.segments[n].live_bytes > LITTLE for n in closed
        ):
            return min(closed)
        total, live = self.total_bytes(), self.live_bytes()
        if (
            total - live <= self.max_dead_share * max(total, self.segment_bytes)
            and total <= self.quota_bytes
        ):
            return None
        return min(closed)

    def kept(self, segment: int) -> list[str]:
        """The keys whose newest record lies there and must go on.

        It is the oldest: of keys that are gone no older record is left, and they are forgotten.
        """
        return [
            key for key, place in self.index.items() if place.segment == segment and not place.gone
        ]

    def end(self, segment: int) -> None:
        """It is removed; what still points there is forgotten."""
        self.index = {key: place for key, place in self.index.items() if place.segment != segment}
        del self.segments[segment]
