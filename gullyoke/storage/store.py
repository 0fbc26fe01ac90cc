"""The store: segments of records in a folder, the newest record of each key found by an index in
memory.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator

from gullyoke.errors import GullyokeError
from gullyoke.storage.compaction_plan import CompactionPlan
from gullyoke.storage.folder import FileOperations
from gullyoke.storage.record import (
    DELETED,
    FORMAT,
    HEADER,
    PUT,
    LocatedRecord,
    Record,
    pack_record,
    scan_records,
    segment_header,
    unpack_record,
)

NAME = re.compile(r"([0-9]{10})\.seg")


class StoreFullError(GullyokeError, OSError):
    """What was to be put does not fit the quota, or the disk. What is there stays."""


class StoreFaultedError(GullyokeError, OSError):
    """It was not made durable: the segment is closed and the next batch begins another.

    What it held may or may not be there after a crash; the caller's batch is not in force.
    """


class StoreVersionError(GullyokeError, OSError):
    """A later release wrote it. Nothing of it is read, and nothing is written to it."""


class Store:
    """Opened on a folder, whatever state that is in.

    Counts what it met: `dropped` bytes that were no whole record, `faults` of the disk; `format`,
    the oldest of its segments.

    Never appends behind what an earlier life wrote: each start begins a segment, so that a torn end
    stays an end. Raises `OSError` only where the folder can't be read or written at all, or is
    `Newer`.
    """

    def __init__(
        self, files: FileOperations, segment_bytes: int = 2**22, quota_bytes: int = 2**28
    ) -> None:
        self.files, self.plan = files, CompactionPlan(segment_bytes, quota_bytes)
        self.dropped_bytes = self.faults = self.compacted_segments = 0
        self.active, self.format = None, FORMAT
        for name in files.names():
            if match := NAME.fullmatch(name):
                self._recover(int(match[1]), files.read(name))
        self.next = max(self.plan.segments, default=0) + 1

    def _recover(self, number: int, data: bytes) -> None:
        self.plan.begin(number)
        format_ = 1
        for found in scan_records(data):
            if isinstance(found, LocatedRecord) and found.record.kind == HEADER:
                format_ = found.record.seq
                if format_ > FORMAT:
                    raise StoreVersionError(
                        f"{name_of(number)} is of format {format_}; {FORMAT} is the newest known"
                    )
                self.plan.add_dead_bytes(number, found.size)
            elif isinstance(found, LocatedRecord):
                self.plan.note(found.record, number, found.at, found.size)
            else:
                self.dropped_bytes += found
                self.plan.add_dead_bytes(number, found)
        self.format = min(self.format, format_)

    # Reading.

    def get(self, key: str) -> bytes | None:
        """The newest value of a key; None where there is none.

        A record that can't be read any more counts as dropped and is not served.
        """
        place = self.plan.index.get(key)
        if place is None or place.gone:
            return None
        found = unpack_record(self.files.read_at(name_of(place.segment), place.at, place.size), 0)
        if found is None or found.record.key != key or found.record.seq != place.seq:
            self.dropped_bytes += place.size
            del self.plan.index[key]
            return None
        return found.record.value

    def keys(self) -> list[str]:
        return [key for key, place in self.plan.index.items() if not place.gone]

    def items(self) -> Iterator[tuple[str, bytes]]:
        for key in self.keys():
            value = self.get(key)
            if value is not None:
                yield key, value

    # Writing.

    def put(self, batch: Iterable[tuple[str, bytes | None]]) -> None:
        """Make a batch durable; None takes a key out.

        In force once this returns, and each record by itself whole or absent after a crash. Raises
        `Full` with nothing of it in force, or `Faulted`.
        """
        records = [
            Record(self.plan.next_seq(), key, value or b"", DELETED if value is None else PUT)
            for key, value in batch
        ]
        self._write(records)
        self.compact()

    def _write(self, records: list[Record]) -> None:
        packed = [pack_record(record) for record in records]
        size = sum(map(len, packed))
        if not self.plan.fits(size):
            raise StoreFullError(f"{size} bytes more than the quota of {self.plan.quota_bytes}")
        try:
            if self.active is None or self.plan.rolls(self.active, size):
                self._begin()
            name = name_of(self.active)
            self.files.append(name, b"".join(packed))
            self.files.sync(name)
        except OSError as fault:
            # A sync that failed may have thrown away what it was to write: another one proves
            # nothing.
            self.faults += 1
            if self.active is not None:
                self._close(size)
            raise StoreFaultedError(*fault.args) from fault
        at = self.plan.segments[self.active].size
        for record, data in zip(records, packed, strict=True):
            self.plan.note(record, self.active, at, len(data))
            at += len(data)

    def _begin(self) -> None:
        if self.active is not None:
            self._close(0)
        number, self.next = self.next, self.next + 1
        self.files.create(name_of(number))
        self.plan.begin(number)
        self.active = number
        self.files.append(name_of(number), segment_header())  # made durable with the first batch
        self.plan.add_dead_bytes(number, len(segment_header()))
        self.files.sync_folder()

    def _close(self, unknown: int) -> None:
        """It gets no more; `unknown` bytes at its end may be there."""
        self.plan.add_dead_bytes(self.active, unknown)
        self.files.shut(name_of(self.active))
        self.active = None

    # Compaction.

    def compact(self, most: int = 1, eager: bool = False) -> int:
        """Copy the live records of the oldest segments forward and remove these, `most` of them
        where that is due, or where anything is dead if `eager`; how many it were. A fault of the
        disk leaves all as it is.
        """
        done = 0
        while (
            done < most and (oldest := self.plan.to_compact(self.active or -1, eager)) is not None
        ):
            try:
                records = []
                for key in self.plan.kept(oldest):
                    place = self.plan.index[key]
                    found = unpack_record(
                        self.files.read_at(name_of(oldest), place.at, place.size), 0
                    )
                    if found is None:
                        self.dropped_bytes += place.size
                    else:
                        records.append(found.record)
                if records:
                    self._copy(records)
                self.files.remove(name_of(oldest))
                self.files.sync_folder()
            except OSError:
                self.faults += 1
                return done
            self.plan.end(oldest)
            self.compacted_segments += 1
            done += 1
        return done

    def _copy(self, records: list[Record]) -> None:
        """As they are, sequence and all.

        After a crash between copy and removal both say the same.
        """
        packed = [pack_record(record) for record in records]
        if self.active is None or self.plan.rolls(self.active, sum(map(len, packed))):
            self._begin()
        name, at = name_of(self.active), self.plan.segments[self.active].size
        try:
            self.files.append(name, b"".join(packed))
            self.files.sync(name)
        except OSError:
            self._close(sum(map(len, packed)))
            raise
        for record, data in zip(records, packed, strict=True):
            self.plan.note(record, self.active, at, len(data))
            at += len(data)


def name_of(number: int) -> str:
    return f"{number:010d}.seg"
