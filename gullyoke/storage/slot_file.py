"""Fixed rows in a file whose room is taken at the start.

What is to be written there always fits, also on a disk that has no room left.

Each key has a cell of two copies; a write goes to the copy that is not the newest, so one that is
cut leaves the other. A copy is a record of the store's (gullyoke/storage/record.py), whole or not
there. The file is written in place; on file systems that copy on write the room may be lacking
after all, and the write fails as on any disk.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple, Protocol

from gullyoke.storage.record import DELETED, PUT, Record, pack_record, unpack_record
from gullyoke.storage.store import StoreFaultedError, StoreFullError

SLOT_COPY_BYTES = 1024  # bytes of a copy
SLOT_FILE_NAME = "cells"


class Fixed(Protocol):
    """What cells ask of a folder. Each raises `OSError`."""

    def names(self) -> list[str]: ...
    def read(self, name: str) -> bytes: ...
    def make(self, name: str, size: int) -> None: ...
    def write_at(self, name: str, at: int, data: bytes) -> None: ...
    def sync(self, name: str) -> None: ...


class Place(NamedTuple):
    """A key's cell, and which of its two copies is the newest."""

    cell: int
    copy: int
    record: Record


class SlotFile:
    """Table: `index`, a row a key, `count` at the most.

    One that is gone leaves its cell to another. `dropped` counts copies that were no whole record
    and not empty.
    """

    def __init__(self, files: Fixed, count: int = 128) -> None:
        self.files, self.count = files, count
        self.index: dict[str, Place] = {}
        self.dropped = self.faults = self.seq = 0
        if SLOT_FILE_NAME not in files.names():
            files.make(SLOT_FILE_NAME, 2 * count * SLOT_COPY_BYTES)
        data = files.read(SLOT_FILE_NAME)
        if (
            len(data) < 2 * count * SLOT_COPY_BYTES
        ):  # cut, or the file of fewer: what is there is read
            data = data.ljust(2 * count * SLOT_COPY_BYTES, b"\0")
            files.make(SLOT_FILE_NAME, 2 * count * SLOT_COPY_BYTES)
        self.free = []
        for cell in range(count):
            self._recover(cell, data)

    def _recover(self, cell: int, data: bytes) -> None:
        best: Place | None = None
        for copy in (0, 1):
            at = (2 * cell + copy) * SLOT_COPY_BYTES
            found = unpack_record(data[at : at + SLOT_COPY_BYTES], 0)
            if found is None:
                self.dropped += any(data[at : at + SLOT_COPY_BYTES])
            elif best is None or found.record.seq > best.record.seq:
                best = Place(cell, copy, found.record)
        self.seq = max(self.seq, best.record.seq if best else 0)
        known = self.index.get(best.record.key) if best else None
        if (
            best is None
            or best.record.kind == DELETED
            or (known and known.record.seq > best.record.seq)
        ):
            self.free.append((cell, best.copy if best else 1))
            return
        if known:
            self.free.append((known.cell, known.copy))
        self.index[best.record.key] = best

    def items(self) -> Iterator[tuple[str, bytes]]:
        for key, place in self.index.items():
            yield key, place.record.value

    def put(self, batch: Iterable[tuple[str, bytes | None]]) -> None:
        """Make a batch durable; None takes a key out.

        Each by itself whole or absent after a crash. Raises `Full` where a value is too long for a
        cell or no cell is left, with nothing of it in force, or `Faulted`: it may or may not be
        there then.
        """
        newest = list(dict(batch).items())
        wanted = [(key, value) for key, value in newest if value is not None or key in self.index]
        if sum(key not in self.index for key, _ in wanted) > len(self.free):
            raise StoreFullError(f"no cell is left of {self.count}")
        free, places = list(self.free), []
        for key, value in wanted:
            self.seq += 1
            record = Record(self.seq, key, value or b"", DELETED if value is None else PUT)
            data = pack_record(record)
            if len(data) > SLOT_COPY_BYTES:
                raise StoreFullError(f"{len(data)} bytes; a cell holds {SLOT_COPY_BYTES}")
            cell, copy = self.index[key][:2] if key in self.index else free.pop()
            places.append((Place(cell, 1 - copy, record), data))
        try:
            for place, data in places:
                self.files.write_at(
                    SLOT_FILE_NAME,
                    (2 * place.cell + place.copy) * SLOT_COPY_BYTES,
                    data.ljust(SLOT_COPY_BYTES, b"\0"),
                )
            if places:
                self.files.sync(SLOT_FILE_NAME)
        except OSError as fault:
            self.faults += 1
            raise StoreFaultedError(*fault.args) from fault
        self.free = free
        for place, _ in places:
            if place.record.kind == DELETED:
                del self.index[place.record.key]
                self.free.append((place.cell, place.copy))
            else:
                self.index[place.record.key] = place
