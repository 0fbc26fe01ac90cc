"""A key-value store of append-only segments in a folder, with its index in memory.

The design is that of Bitcask (Sheehy and Smith 2010); docs/store.md describes the format.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator, Sequence
from typing import Final

from gullyoke.errors import GullyokeError
from gullyoke.storage.compaction_plan import CompactionPlan, RecordLocation
from gullyoke.storage.folder import FileOperations
from gullyoke.storage.record import (
    SEGMENT_FORMAT,
    DamagedBytes,
    LocatedRecord,
    Record,
    RecordKind,
    pack_record,
    scan_records,
    segment_header,
    unpack_record,
)

SEGMENT_NAME: Final = re.compile(r"([0-9]{10})\.seg")
DEFAULT_SEGMENT_BYTES: Final = 2**22
DEFAULT_QUOTA_BYTES: Final = 2**28


class StoreFullError(GullyokeError, OSError):
    """A batch does not fit the quota or the slots. The stored data is unchanged."""


class StoreFaultedError(GullyokeError, OSError):
    """A batch could not be made durable, because of an error of the disk.

    The batch is not applied, but any of its records may be found after a crash. `Store` then closes
    the segment, and the next batch begins a new one.
    """


class StoreVersionError(GullyokeError, OSError):
    """A later release wrote the folder, which is neither used nor written to."""


class Store:
    """A store in a folder; it opens even if its files are damaged. Not thread-safe.

    The store never appends to a segment that an earlier process wrote: each start begins a new one,
    so that an incomplete record can only be the last of its segment.

    Attributes:
        plan: The index, the usage of the segments, and the choice of compactions.
        dropped_bytes: How many bytes were read that were not part of an intact record.
        faults: How many writes and compactions failed with an error of the disk.
        compacted_segments: How many segments were removed after their live records were copied.
        oldest_format: The oldest format among the segments.
        next_segment: The number of the next segment.
        active_segment: The number of the segment that is being written; None if the next write
            begins one.

    Raises:
        OSError: The folder can't be read.
        StoreVersionError: A later release wrote the folder.
    """

    def __init__(
        self,
        files: FileOperations,
        segment_bytes: int = DEFAULT_SEGMENT_BYTES,
        quota_bytes: int = DEFAULT_QUOTA_BYTES,
    ) -> None:
        self.files = files
        self.plan = CompactionPlan(segment_bytes, quota_bytes)
        self.dropped_bytes = 0
        self.faults = 0
        self.compacted_segments = 0
        self.active_segment: int | None = None
        self.oldest_format = SEGMENT_FORMAT
        for name in files.list_files():
            if match := SEGMENT_NAME.fullmatch(name):
                self._recover(int(match[1]), files.read(name))
        self.next_segment = max(self.plan.segments, default=0) + 1

    def _recover(self, number: int, data: bytes) -> None:
        self.plan.add_segment(number)
        segment_format = 1
        for found in scan_records(data):
            if isinstance(found, DamagedBytes):
                self.dropped_bytes += found.size_bytes
                self.plan.add_dead_bytes(number, found.size_bytes)
            elif found.record.kind == RecordKind.HEADER:
                segment_format = found.record.sequence
                if segment_format > SEGMENT_FORMAT:
                    raise StoreVersionError(
                        f"{segment_name(number)} has format {segment_format}; "
                        f"the newest supported is {SEGMENT_FORMAT}"
                    )
                self.plan.add_dead_bytes(number, found.size_bytes)
            else:
                self.plan.add_record(found.record, number, found.offset, found.size_bytes)
        self.oldest_format = min(self.oldest_format, segment_format)

    def get(self, key: str) -> bytes | None:
        """Read the newest value of a key; None if there is none.

        A record that has become damaged is dropped: its key is removed from the index, and its
        bytes are counted.

        Raises:
            OSError: The file can't be read.
        """
        location = self.plan.index.get(key)
        if location is None or location.deleted:
            return None
        located = self._read(location)
        if (
            located is None
            or located.record.key != key
            or located.record.sequence != location.sequence
        ):
            self.dropped_bytes += location.size_bytes
            del self.plan.index[key]
            return None
        return located.record.value

    def _read(self, location: RecordLocation) -> LocatedRecord | None:
        name = segment_name(location.segment)
        return unpack_record(self.files.read_at(name, location.offset, location.size_bytes), 0)

    def keys(self) -> list[str]:
        """Return the keys that have a value."""
        return [key for key, location in self.plan.index.items() if not location.deleted]

    def items(self) -> Iterator[tuple[str, bytes]]:
        """Read all keys with their values; drops damaged records, as `get` does.

        Raises:
            OSError: A file can't be read.
        """
        for key in self.keys():
            value = self.get(key)
            if value is not None:
                yield key, value

    def put(self, batch: Iterable[tuple[str, bytes | None]]) -> None:
        """Make a batch durable; a value of None deletes its key.

        The batch is applied once this returns. After a crash before that, each record of the batch
        is either written or not.

        Raises:
            StoreFullError: The batch does not fit the quota; nothing of it is applied.
            StoreFaultedError: The disk failed; the batch is not applied, but any of its records may
                be found after a crash.
            RecordTooLargeError: A value is too long; nothing of the batch is applied.
        """
        records = []
        for key, value in batch:
            kind = RecordKind.DELETED if value is None else RecordKind.PUT
            records.append(Record(self.plan.allocate_sequence(), key, value or b"", kind))
        self._write(records)
        self.compact()

    def _write(self, records: Sequence[Record]) -> None:
        packed = [pack_record(record) for record in records]
        size_bytes = sum(map(len, packed))
        if not self.plan.fits(size_bytes):
            raise StoreFullError(
                f"a batch of {size_bytes} bytes does not fit the quota of {self.plan.quota_bytes}"
            )
        try:
            segment = self._ensure_segment(size_bytes)
            self._append_and_sync(segment, packed)
        except OSError as error:
            # After a failed sync the kernel may have dropped the pages, and a second sync would
            # succeed without writing them (Rebello et al. 2020): close the segment.
            self.faults += 1
            if self.active_segment is not None:
                self._close_active(size_bytes)
            raise StoreFaultedError(*error.args) from error
        self._index(records, packed, segment)

    def _ensure_segment(self, size_bytes: int) -> int:
        """Return the active segment; begin a new one if a batch would make it too large."""
        if self.active_segment is None or self.plan.needs_new_segment(
            self.active_segment, size_bytes
        ):
            return self._begin_segment()
        return self.active_segment

    def _begin_segment(self) -> int:
        if self.active_segment is not None:
            self._close_active(0)
        number = self.next_segment
        self.next_segment += 1
        self.files.create(segment_name(number))
        self.plan.add_segment(number)
        self.active_segment = number
        header = segment_header()
        self.files.append(segment_name(number), header)  # synced with the first batch
        self.plan.add_dead_bytes(number, len(header))
        self.files.sync_folder()
        return number

    def _close_active(self, uncertain_bytes: int) -> None:
        """Close the active segment; `uncertain_bytes` at its end may or may not be written."""
        if self.active_segment is None:
            return
        self.plan.add_dead_bytes(self.active_segment, uncertain_bytes)
        self.files.close_file(segment_name(self.active_segment))
        self.active_segment = None

    def _append_and_sync(self, segment: int, packed: Sequence[bytes]) -> None:
        name = segment_name(segment)
        self.files.append(name, b"".join(packed))
        self.files.sync(name)

    def _index(self, records: Sequence[Record], packed: Sequence[bytes], segment: int) -> None:
        """Add the records that were appended to a segment to the plan."""
        offset = self.plan.segments[segment].size_bytes
        for record, data in zip(records, packed, strict=True):
            self.plan.add_record(record, segment, offset, len(data))
            offset += len(data)

    def compact(self, max_segments: int = 1, eager: bool = False) -> int:
        """Copy the live records of the oldest segments forward, then remove these segments.

        An error of the disk is counted and ends the compaction; no record is lost.

        Args:
            max_segments: How many segments to remove at most.
            eager: Whether to compact even if few bytes are dead.

        Returns:
            How many segments were removed.
        """
        removed = 0
        while removed < max_segments:
            oldest = self.plan.segment_to_compact(self.active_segment, eager)
            if oldest is None:
                break
            try:
                self._copy_live_records(oldest)
                self.files.remove(segment_name(oldest))
                self.files.sync_folder()
            except OSError:
                self.faults += 1
                break
            self.plan.remove_segment(oldest)
            self.compacted_segments += 1
            removed += 1
        return removed

    def _copy_live_records(self, oldest: int) -> None:
        """Copy the live records of the oldest segment, with their sequence numbers.

        After a crash between copy and removal, both segments hold the same records.
        """
        records = []
        for key in self.plan.live_keys(oldest):
            location = self.plan.index[key]
            located = self._read(location)
            if located is None:
                self.dropped_bytes += location.size_bytes
            else:
                records.append(located.record)
        if not records:
            return
        packed = [pack_record(record) for record in records]
        size_bytes = sum(map(len, packed))
        segment = self._ensure_segment(size_bytes)
        try:
            self._append_and_sync(segment, packed)
        except OSError:
            self._close_active(size_bytes)
            raise
        self._index(records, packed, segment)


def segment_name(number: int) -> str:
    """Return the file name of a segment."""
    return f"{number:010d}.seg"
