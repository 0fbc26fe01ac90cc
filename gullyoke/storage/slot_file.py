"""Values of bounded size in fixed slots of one file, whose space is reserved when it is made.

What is to be written there always fits, also on a disk that has no space left. Each key has a slot
of two copies; a write goes to the copy that is not the newest, so that one that is cut leaves the
other. A copy is a record of the store's (gullyoke/storage/record.py), whole or not there. The file
is written in place; on file systems that copy on write the space may be lacking after all, and the
write fails as on any disk.
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
    """What a slot file asks of a folder. Each operation raises `OSError`."""

    def list_files(self) -> list[str]:
        """Give the names of the files."""

    def read(self, name: str) -> bytes:
        """Read a whole file."""

    def allocate(self, name: str, size_bytes: int) -> None:
        """Make a file of so many bytes, or extend it, with its space reserved."""

    def write_at(self, name: str, offset: int, data: bytes) -> None:
        """Write over a part of a file."""

    def sync(self, name: str) -> None:
        """Make durable what was written to a file."""


class FreeSlot(NamedTuple):
    """A slot without a key, and which of its two copies is the newest."""

    slot: int
    copy: int


class SlotRecord(NamedTuple):
    """A key's slot, which of its two copies is the newest, and what that says."""

    slot: int
    copy: int
    record: Record

    def offset(self) -> int:
        """Give the first byte of the copy in the file."""
        return (COPIES_PER_SLOT * self.slot + self.copy) * SLOT_COPY_BYTES


class PackedSlotRecord(NamedTuple):
    """A slot's new record and its bytes."""

    slot_record: SlotRecord
    data: bytes


class SlotFile:
    """A key-value store of at most `count` keys. Not for several threads at once.

    Attributes:
        index: The newest record of each key.
        free: The slots without a key; a deleted key leaves its slot to another.
        dropped_copies: Copies met that were no whole record and not empty.
        faults: Errors of the disk met while writing.
        sequence: That of the newest record.

    Raises:
        OSError: The file can't be made or read.
    """

    def __init__(self, files: SlotFileOperations, count: int = DEFAULT_SLOTS) -> None:
        self.files = files
        self.count = count
        self.index: dict[str, SlotRecord] = {}
        self.free: list[FreeSlot] = []
        self.dropped_copies = 0
        self.faults = 0
        self.sequence = 0
        data = self._read_or_make()
        for slot in range(count):
            self._recover(slot, data)

    def _read_or_make(self) -> bytes:
        size_bytes = self.count * COPIES_PER_SLOT * SLOT_COPY_BYTES
        if SLOT_FILE_NAME not in self.files.list_files():
            self.files.allocate(SLOT_FILE_NAME, size_bytes)
        data = self.files.read(SLOT_FILE_NAME)
        if len(data) < size_bytes:  # cut, or made for fewer slots: what is there is read
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
        """Give all keys and their values."""
        for key, slot_record in self.index.items():
            yield key, slot_record.record.value

    def put(self, batch: Iterable[tuple[str, bytes | None]]) -> None:
        """Make a batch durable; a value of None deletes its key.

        Each record by itself is whole or absent after a crash.

        Raises:
            StoreFullError: A value is too long for a slot or no slot is left; nothing of the batch
                is in force.
            StoreFaultedError: The disk failed; what of the batch is there after a crash is unknown.
        """
        newest = dict(batch)
        changes = {
            key: value for key, value in newest.items() if value is not None or key in self.index
        }
        if sum(key not in self.index for key in changes) > len(self.free):
            raise StoreFullError(f"no cell is left of {self.count}")
        free = list(self.free)
        writes = [self._pack(key, value, free) for key, value in changes.items()]
        self._write(writes)
        self.free = free
        for write in writes:
            self._apply(write.slot_record)

    def _pack(self, key: str, value: bytes | None, free: list[FreeSlot]) -> PackedSlotRecord:
        """Pack a record for the older copy of its slot; a new key takes one of the free slots."""
        self.sequence += 1
        kind = RecordKind.DELETED if value is None else RecordKind.PUT
        record = Record(self.sequence, key, value or b"", kind)
        data = pack_record(record)
        if len(data) > SLOT_COPY_BYTES:
            raise StoreFullError(f"{len(data)} bytes; a cell holds {SLOT_COPY_BYTES}")
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
