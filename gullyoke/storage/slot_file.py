"""Values of bounded size in fixed slots of one file, whose space is reserved at its creation.

A write needs no new space, so that it succeeds on a full disk. Each key has a slot with two copies;
a write goes to the older copy, so that an interrupted write leaves the newer one intact. A copy is
a record of the store (gullyoke/storage/record.py), and counts only if it is intact. The file is
written in place; a copy-on-write file system may still run out of space, and then the write fails
as on any disk.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple, Protocol

from gullyoke.storage.record import Record, RecordKind, pack_record, unpack_record
from gullyoke.storage.store import StoreFaultedError, StoreFullError

SLOT_COPY_BYTES: Final = 1024
COPIES_PER_SLOT: Final = 2
DEFAULT_SLOTS: Final = 128
SLOT_FILE_NAME: Final = "cells"


class SlotFileOperations(Protocol):
    """The file operations that a slot file needs. Each may raise `OSError`."""

    def list_files(self) -> list[str]:
        """Return the names of the files."""

    def read(self, name: str) -> bytes:
        """Read a whole file."""

    def allocate(self, name: str, size_bytes: int) -> None:
        """Create a file of a size, or extend it to that size, with its space reserved."""

    def write_at(self, name: str, offset: int, data: bytes) -> None:
        """Overwrite a part of a file."""

    def sync(self, name: str) -> None:
        """Make the data written to a file durable."""


class FreeSlot(NamedTuple):
    """A slot without a key, and which of its two copies is the newer one."""

    slot: int
    copy: int


class SlotRecord(NamedTuple):
    """The slot of a key, which of its two copies is the newer one, and the record in that copy."""

    slot: int
    copy: int
    record: Record

    def offset(self) -> int:
        """Return the offset of the copy in the file."""
        return (COPIES_PER_SLOT * self.slot + self.copy) * SLOT_COPY_BYTES


class PackedSlotRecord(NamedTuple):
    """The new record of a slot, and its encoding."""

    slot_record: SlotRecord
    data: bytes


class SlotFile:
    """A key-value store of at most `count` keys. Not thread-safe.

    Attributes:
        index: The newest record of each key.
        free: The slots without a key; the slot of a deleted key is used for another.
        dropped_copies: How many copies were neither empty nor an intact record.
        faults: How many writes failed with an error of the disk.
        sequence: The sequence number of the newest record.

    Raises:
        OSError: The file can't be created or read.
    """

    def __init__(self, files: SlotFileOperations, count: int = DEFAULT_SLOTS) -> None:
        self.files = files
        self.count = count
        self.index: dict[str, SlotRecord] = {}
        self.free: list[FreeSlot] = []
        self.dropped_copies = 0
        self.faults = 0
        self.sequence = 0
        data = self._read_or_create()
        for slot in range(count):
            self._recover(slot, data)

    def _read_or_create(self) -> bytes:
        size_bytes = self.count * COPIES_PER_SLOT * SLOT_COPY_BYTES
        if SLOT_FILE_NAME not in self.files.list_files():
            self.files.allocate(SLOT_FILE_NAME, size_bytes)
        data = self.files.read(SLOT_FILE_NAME)
        if len(data) < size_bytes:  # truncated, or created for fewer slots: keep what is there
            data = data.ljust(size_bytes, b"\0")
            self.files.allocate(SLOT_FILE_NAME, size_bytes)
        return data

    def _recover(self, slot: int, data: bytes) -> None:
        newest = self._newest_copy(slot, data)
        if newest is None:
            self.free.append(FreeSlot(slot, 1))
            return
        self.sequence = max(self.sequence, newest.record.sequence)
        known = self.index.get(newest.record.key)
        superseded = known is not None and known.record.sequence > newest.record.sequence
        if newest.record.kind == RecordKind.DELETED or superseded:
            self.free.append(FreeSlot(slot, newest.copy))
            return
        if known is not None:
            self.free.append(FreeSlot(known.slot, known.copy))
        self.index[newest.record.key] = newest

    def _newest_copy(self, slot: int, data: bytes) -> SlotRecord | None:
        newest: SlotRecord | None = None
        for copy in range(COPIES_PER_SLOT):
            offset = (COPIES_PER_SLOT * slot + copy) * SLOT_COPY_BYTES
            copy_data = data[offset : offset + SLOT_COPY_BYTES]
            located = unpack_record(copy_data, 0)
            if located is None:
                self.dropped_copies += any(copy_data)
            elif newest is None or located.record.sequence > newest.record.sequence:
                newest = SlotRecord(slot, copy, located.record)
        return newest

    def items(self) -> Iterator[tuple[str, bytes]]:
        """Yield all keys with their values."""
        for key, slot_record in self.index.items():
            yield key, slot_record.record.value

    def put(self, batch: Iterable[tuple[str, bytes | None]]) -> None:
        """Make a batch durable; a value of None deletes its key.

        After a crash during the write, each record of the batch is either written or not.

        Raises:
            StoreFullError: A value is too long for a slot, or no slot is free; nothing of the batch
                is applied.
            StoreFaultedError: The disk failed; any records of the batch may be found after a crash.
        """
        newest = dict(batch)
        changes = {
            key: value for key, value in newest.items() if value is not None or key in self.index
        }
        if sum(key not in self.index for key in changes) > len(self.free):
            raise StoreFullError(f"too few of the {self.count} slots are free")
        free = list(self.free)
        writes = [self._pack(key, value, free) for key, value in changes.items()]
        self._write(writes)
        self.free = free
        for write in writes:
            self._apply(write.slot_record)

    def _pack(self, key: str, value: bytes | None, free: list[FreeSlot]) -> PackedSlotRecord:
        """Encode a record for the older copy of its slot; a new key takes a slot out of `free`."""
        self.sequence += 1
        kind = RecordKind.DELETED if value is None else RecordKind.PUT
        record = Record(self.sequence, key, value or b"", kind)
        data = pack_record(record)
        if len(data) > SLOT_COPY_BYTES:
            raise StoreFullError(f"record of {len(data)} bytes; a slot holds {SLOT_COPY_BYTES}")
        current = self.index[key] if key in self.index else free.pop()
        return PackedSlotRecord(SlotRecord(current.slot, 1 - current.copy, record), data)

    def _write(self, writes: list[PackedSlotRecord]) -> None:
        try:
            for write in writes:
                data = write.data.ljust(SLOT_COPY_BYTES, b"\0")
                self.files.write_at(SLOT_FILE_NAME, write.slot_record.offset(), data)
            if writes:
                self.files.sync(SLOT_FILE_NAME)
        except OSError as error:
            self.faults += 1
            raise StoreFaultedError(*error.args) from error

    def _apply(self, slot_record: SlotRecord) -> None:
        key = slot_record.record.key
        if slot_record.record.kind == RecordKind.DELETED:
            del self.index[key]
            self.free.append(FreeSlot(slot_record.slot, slot_record.copy))
        else:
            self.index[key] = slot_record
