"""The decisions of the store, without I/O: live records, full segments, what to compact."""

from __future__ import annotations

from typing import Final, NamedTuple

from gullyoke.storage.record import Record, RecordKind

MIN_DEAD_BYTES: Final = 256  # a segment with fewer dead bytes is not worth copying
DEFAULT_DEAD_SHARE: Final = 0.5  # share of all bytes that may be dead before a compaction


class RecordLocation(NamedTuple):
    """The location of the newest record of a key.

    A deleted key has a location too, as long as an earlier segment may hold an older record of it.
    """

    segment: int
    offset: int
    size_bytes: int
    sequence: int
    deleted: bool


class SegmentUsage:
    """The size of a segment, and how many of its bytes are live."""

    __slots__ = ("live_bytes", "size_bytes")

    def __init__(self) -> None:
        self.size_bytes = 0
        self.live_bytes = 0


class CompactionPlan:
    """The index of the newest records, the usage of each segment, and the choice of compactions.

    Attributes:
        index: The location of the newest record of each key, including the records of deletions
            that are still needed.
        segments: The usage of each segment, by its number.
        segment_bytes: The size at which a segment is closed.
        quota_bytes: The most bytes that all segments may take together.
        max_dead_share: The share of all bytes that may be dead before a segment is compacted.
        sequence: The sequence number of the newest record.
    """

    def __init__(
        self,
        segment_bytes: int,
        quota_bytes: int,
        max_dead_share: float = DEFAULT_DEAD_SHARE,
    ) -> None:
        self.segment_bytes = segment_bytes
        self.quota_bytes = quota_bytes
        self.max_dead_share = max_dead_share
        self.index: dict[str, RecordLocation] = {}
        self.segments: dict[int, SegmentUsage] = {}
        self.sequence = 0

    def allocate_sequence(self) -> int:
        """Allocate the sequence number of a new record."""
        self.sequence += 1
        return self.sequence

    def add_segment(self, number: int) -> None:
        """Add an empty segment."""
        self.segments[number] = SegmentUsage()

    def add_record(self, record: Record, segment: int, offset: int, size_bytes: int) -> None:
        """Add an intact record, and index it if it is the newest of its key.

        Records may be added in any order. Of two with the same sequence number, the one at the
        later location is the newer one, since compaction copies records forward.
        """
        self.sequence = max(self.sequence, record.sequence)
        usage = self.segments[segment]
        usage.size_bytes = max(usage.size_bytes, offset + size_bytes)
        known = self.index.get(record.key)
        if known is not None:
            if (known.sequence, known.segment, known.offset) > (record.sequence, segment, offset):
                return
            if known.segment in self.segments:
                self.segments[known.segment].live_bytes -= known.size_bytes
        deleted = record.kind == RecordKind.DELETED
        self.index[record.key] = RecordLocation(
            segment, offset, size_bytes, record.sequence, deleted
        )
        usage.live_bytes += size_bytes

    def add_dead_bytes(self, segment: int, size_bytes: int) -> None:
        """Add bytes of a segment that are not part of a record."""
        self.segments[segment].size_bytes += size_bytes

    def total_bytes(self) -> int:
        """Return the size of all segments."""
        return sum(usage.size_bytes for usage in list(self.segments.values()))

    def live_bytes(self) -> int:
        """Return the size of the newest records; may be called by any thread."""
        return sum(usage.live_bytes for usage in list(self.segments.values()))

    def fits(self, size_bytes: int) -> bool:
        """Return whether a number of bytes fits the quota once dead records are compacted away."""
        return self.live_bytes() + size_bytes <= self.quota_bytes

    def needs_new_segment(self, segment: int, size_bytes: int) -> bool:
        """Return whether a batch of a number of bytes would make a segment too large.

        An empty segment takes a batch of any size.
        """
        used_bytes = self.segments[segment].size_bytes
        return used_bytes + size_bytes > self.segment_bytes and used_bytes > 0

    def segment_to_compact(self, active: int | None, eager: bool = False) -> int | None:
        """Choose the next segment to compact, whose live records are then copied forward.

        It is always the oldest one: no earlier segment can then hold an older record of a key, so
        that records of deletions need not be copied.

        Args:
            active: The segment that is being written; it is never chosen.
            eager: Whether to compact as soon as a closed segment has more than MIN_DEAD_BYTES dead
                bytes.

        Returns:
            The number of the segment; None if few bytes are dead and the segments fit the quota.
        """
        closed = [number for number in self.segments if number != active]
        if not closed:
            return None
        if eager and any(self._dead_bytes(number) > MIN_DEAD_BYTES for number in closed):
            return min(closed)
        total_bytes = self.total_bytes()
        dead_bytes = total_bytes - self.live_bytes()
        max_dead_bytes = self.max_dead_share * max(total_bytes, self.segment_bytes)
        if dead_bytes <= max_dead_bytes and total_bytes <= self.quota_bytes:
            return None
        return min(closed)

    def _dead_bytes(self, segment: int) -> int:
        usage = self.segments[segment]
        return usage.size_bytes - usage.live_bytes

    def live_keys(self, segment: int) -> list[str]:
        """Return the keys whose records in the oldest segment must be copied forward.

        Records of deletions are left out, since no older record of their key remains.
        """
        return [
            key
            for key, location in self.index.items()
            if location.segment == segment and not location.deleted
        ]

    def remove_segment(self, segment: int) -> None:
        """Remove a segment, with the locations that point to it."""
        self.index = {
            key: location for key, location in self.index.items() if location.segment != segment
        }
        del self.segments[segment]
