"""What the store decides, without I/O: what is live, when a segment is full, what is compacted."""

from __future__ import annotations

from typing import Final, NamedTuple

from gullyoke.storage.record import Record, RecordKind

MIN_DEAD_BYTES: Final = 256  # dead bytes of a segment that are not worth a copy of the rest
DEFAULT_DEAD_SHARE: Final = 0.5  # of all bytes, that may be dead before a segment is compacted


class RecordLocation(NamedTuple):
    """Where a key's newest record lies.

    A deleted key has one as well, while an older record of it may lie in an earlier segment.
    """

    segment: int
    offset: int
    size_bytes: int
    sequence: int
    deleted: bool


class SegmentUsage:
    """How many bytes a segment has, and how many of them are live."""

    __slots__ = ("live_bytes", "size_bytes")

    def __init__(self) -> None:
        self.size_bytes = 0
        self.live_bytes = 0


class CompactionPlan:
    """The index of the newest records, the use of each segment, and what is compacted next.

    Attributes:
        index: The newest record of each key that is there, or whose deletion must still be known.
        segments: The use of each segment by its number.
        segment_bytes: The size at which a segment is closed.
        quota_bytes: What all segments together may take.
        max_dead_share: The share that may be dead before a segment is compacted.
        sequence: That of the newest record.
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

    def next_sequence(self) -> int:
        """Draw the sequence of a new record."""
        self.sequence += 1
        return self.sequence

    def add_segment(self, number: int) -> None:
        """Account for an empty segment."""
        self.segments[number] = SegmentUsage()

    def add_record(self, record: Record, segment: int, offset: int, size_bytes: int) -> None:
        """Account for a whole record.

        Whichever of its key is newest counts, in whatever order they are read; of two with the same
        sequence the later one, since compaction copies forward.
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
        """Account for bytes of a segment that are no record."""
        self.segments[segment].size_bytes += size_bytes

    def total_bytes(self) -> int:
        """Give the bytes of all segments."""
        return sum(usage.size_bytes for usage in list(self.segments.values()))

    def live_bytes(self) -> int:
        """Give the bytes of the newest records; other threads may ask for it too."""
        return sum(usage.live_bytes for usage in list(self.segments.values()))

    def fits(self, size_bytes: int) -> bool:
        """Whether so much more stays within the quota, once all that is dead is compacted away."""
        return self.live_bytes() + size_bytes <= self.quota_bytes

    def needs_new_segment(self, segment: int, size_bytes: int) -> bool:
        """Whether a batch of so many bytes would make a segment too large.

        A batch that is larger than a segment goes into an empty one.
        """
        used_bytes = self.segments[segment].size_bytes
        return used_bytes + size_bytes > self.segment_bytes and used_bytes > 0

    def segment_to_compact(self, active: int | None, eager: bool = False) -> int | None:
        """Choose the segment whose live records are copied forward next.

        Always the oldest, so that a key's deletion can be forgotten with it.

        Args:
            active: The segment that is written to, which is never chosen.
            eager: Choose one as soon as more than next to nothing is dead.

        Returns:
            Its number, or None while little is dead and all is within the quota.
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
        """Give the keys of the oldest segment whose records must be copied forward.

        Deleted keys are not among them: no older record is left that the deletion has to hide.
        """
        return [
            key
            for key, location in self.index.items()
            if location.segment == segment and not location.deleted
        ]

    def remove_segment(self, segment: int) -> None:
        """Account for a segment that was removed; what still points there is forgotten."""
        self.index = {
            key: location for key, location in self.index.items() if location.segment != segment
        }
        del self.segments[segment]
