"""The record that a lease holder leaves to the next one, kept by a majority of the voters.

Only the holder writes it, under its epoch and a number of its own; a voter acknowledges a write
once its disk has it. A new holder first reads from a majority, takes the record with the highest
epoch and number, and writes it again under its own epoch. From then on a majority rejects whatever
an earlier holder still writes (Attiya, Bar-Noy and Dolev 1995, with the lease's epoch as the
writer's number).

The messages travel as arrays of their fields in the order in which they stand here.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, NamedTuple

MAX_RECORD_BYTES: Final = 700


class StoredRecord(NamedTuple):
    """A record as a voter has it: the epoch and the number it was written under, and its bytes."""

    epoch: int
    write_number: int
    body: bytes


NO_RECORD: Final = StoredRecord(0, 0, b"")


class WriteRecord(NamedTuple):
    """The holder asks a voter to store `body` as the record of the lease `duty`."""

    duty: str
    incarnation: int
    epoch: int
    write_number: int
    body: bytes


class RecordWritten(NamedTuple):
    """A voter's answer to a `WriteRecord`; `written` is False where it has a newer record."""

    duty: str
    recipient: int
    voter: str
    epoch: int
    write_number: int
    written: bool


class ReadRecord(NamedTuple):
    """The holder asks a voter for the record that it has."""

    duty: str
    incarnation: int
    epoch: int


class RecordRead(NamedTuple):
    """A voter's answer to a `ReadRecord`; epoch and number 0 and no bytes where it has no record.

    `requested_epoch` is the epoch of the `ReadRecord`; `epoch` is that of the record.
    """

    duty: str
    recipient: int
    voter: str
    requested_epoch: int
    epoch: int
    write_number: int
    body: bytes


class RecordStore:
    """The records of one voter, by the name of the lease. They are never taken out."""

    def __init__(self, records: dict[str, StoredRecord] | None = None) -> None:
        """`records` is what the voter's disk has."""
        self.records: dict[str, StoredRecord] = dict(records or {})

    def accepts(self, request: WriteRecord, promised_epoch: int) -> bool:
        """Tell whether a write is to be stored.

        It has to be newer than the record that is stored, of no older epoch than the one that this
        voter has promised, and of at most `MAX_RECORD_BYTES`.
        """
        stored = self.records.get(request.duty, NO_RECORD)
        newer = (request.epoch, request.write_number) > (stored.epoch, stored.write_number)
        fits = len(request.body) <= MAX_RECORD_BYTES
        return newer and fits and request.epoch >= promised_epoch

    def store(self, duty: str, record: StoredRecord) -> None:
        """Take over a record that is on the disk, unless a newer one came first."""
        self.records[duty] = max(record, self.records.get(duty, NO_RECORD))

    def acknowledge(self, request: WriteRecord, voter: str) -> RecordWritten:
        """Return the answer to a write, after it is durable or at once where it is not accepted."""
        stored = self.records.get(request.duty, NO_RECORD)
        written = (stored.epoch, stored.write_number) == (request.epoch, request.write_number)
        return RecordWritten(
            request.duty, request.incarnation, voter, request.epoch, request.write_number, written
        )

    def read(self, request: ReadRecord, voter: str) -> RecordRead:
        """Return the answer to a read."""
        stored = self.records.get(request.duty, NO_RECORD)
        return RecordRead(request.duty, request.incarnation, voter, request.epoch, *stored)


class ReplicatedRecord:
    """The holder's side of the record, made anew for each epoch.

    Attributes:
        body: The bytes in force; None until a majority has been read.
        committed: Whether a majority has stored `body`.
    """

    def __init__(self, duty: str, incarnation: int, epoch: int, voters: Iterable[str]) -> None:
        """Start by reading what the last holder left, under the lease's new epoch."""
        self.duty = duty
        self.incarnation = incarnation
        self.epoch = epoch
        self.voters = frozenset(voters)
        self.write_number = 0
        self.body: bytes | None = None
        self.committed = False
        self._read: dict[str, StoredRecord] = {}
        self._written_by: set[str] = set()

    def next_message(self) -> ReadRecord | WriteRecord:
        """Return what to send to all voters, repeatedly until `committed`."""
        if self.body is None:
            return ReadRecord(self.duty, self.incarnation, self.epoch)
        return WriteRecord(self.duty, self.incarnation, self.epoch, self.write_number, self.body)

    def handle_read(self, reply: RecordRead) -> None:
        """Take a voter's record; with those of a majority, write the newest under this epoch."""
        if (reply.duty, reply.recipient) != (self.duty, self.incarnation):
            return
        if reply.requested_epoch != self.epoch or reply.voter not in self.voters:
            return
        if self.body is not None:
            return
        self._read[reply.voter] = StoredRecord(reply.epoch, reply.write_number, reply.body)
        if self._is_majority(len(self._read)):
            self.put(max(self._read.values()).body)

    def put(self, body: bytes) -> None:
        """Set new bytes, at most `MAX_RECORD_BYTES`; `committed` tells when a majority has them."""
        self.write_number += 1
        self.body = body
        self.committed = False
        self._written_by = set()

    def handle_written(self, reply: RecordWritten) -> None:
        """Take a voter's acknowledgement of the write under way; all others are ignored."""
        if (reply.duty, reply.recipient) != (self.duty, self.incarnation):
            return
        if (reply.epoch, reply.write_number) != (self.epoch, self.write_number):
            return
        if reply.voter in self.voters and reply.written:
            self._written_by.add(reply.voter)
            self.committed |= self._is_majority(len(self._written_by))

    def _is_majority(self, count: int) -> bool:
        return 2 * count > len(self.voters)
