"""The record that a lease holder leaves to the next one, stored by a majority of the voters.

Only the holder writes it, under its epoch and a write number; a voter acknowledges a write once it
is on disk. A new holder first reads from a majority, takes the record with the highest epoch and
write number, and writes it again under its own epoch. From then on a majority rejects all writes of
earlier holders (Attiya, Bar-Noy and Dolev 1995, with the lease's epoch as the writer's number).

The messages are sent as arrays of their fields in the order of their definition.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, NamedTuple

MAX_RECORD_BYTES: Final = 700


class StoredRecord(NamedTuple):
    """A record as a voter stores it: the epoch and number of the write, and its bytes."""

    epoch: int
    write_number: int
    body: bytes


NO_RECORD: Final = StoredRecord(0, 0, b"")


class WriteRecord(NamedTuple):
    """Asks a voter to store `body` as the record of the lease `duty`."""

    duty: str
    incarnation: int
    epoch: int
    write_number: int
    body: bytes


class RecordWritten(NamedTuple):
    """A voter's answer to a `WriteRecord`; `written` is False if this write is not stored."""

    duty: str
    recipient: int
    voter: str
    epoch: int
    write_number: int
    written: bool


class ReadRecord(NamedTuple):
    """Asks a voter for its stored record."""

    duty: str
    incarnation: int
    epoch: int


class RecordRead(NamedTuple):
    """A voter's answer to a `ReadRecord`; without a record, epoch and number are 0.

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
    """The records of one voter, by the name of the lease; they are never removed."""

    def __init__(self, records: dict[str, StoredRecord] | None = None) -> None:
        """Start with `records`, those on the voter's disk."""
        self.records: dict[str, StoredRecord] = dict(records or {})

    def accepts(self, request: WriteRecord, promised_epoch: int) -> bool:
        """Return whether a write should be stored.

        The write must be newer than the stored record, have at least the epoch that this voter has
        promised, and have a body of at most `MAX_RECORD_BYTES`.
        """
        stored = self.records.get(request.duty, NO_RECORD)
        newer = (request.epoch, request.write_number) > (stored.epoch, stored.write_number)
        fits = len(request.body) <= MAX_RECORD_BYTES
        return newer and fits and request.epoch >= promised_epoch

    def store(self, duty: str, record: StoredRecord) -> None:
        """Keep a record that is now on disk, unless a newer one was stored before it."""
        self.records[duty] = max(record, self.records.get(duty, NO_RECORD))

    def acknowledge(self, request: WriteRecord, voter: str) -> RecordWritten:
        """Return the answer to a write that was rejected, or whose writing to disk has ended."""
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
    """The holder's side of the record, created anew for each epoch.

    Attributes:
        body: The current bytes; None until a majority has been read.
        committed: Whether a majority has stored `body`.
    """

    def __init__(self, duty: str, incarnation: int, epoch: int, voters: Iterable[str]) -> None:
        """Start by reading the last holder's record, under the lease's new epoch."""
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
        """Return the message to send to all voters, repeatedly until `committed`."""
        if self.body is None:
            return ReadRecord(self.duty, self.incarnation, self.epoch)
        return WriteRecord(self.duty, self.incarnation, self.epoch, self.write_number, self.body)

    def handle_read(self, reply: RecordRead) -> None:
        """Add a voter's record; once a majority has replied, write the newest under this epoch."""
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
        """Set a new body, at most `MAX_RECORD_BYTES`; it is `committed` once a majority has it."""
        self.write_number += 1
        self.body = body
        self.committed = False
        self._written_by = set()

    def handle_written(self, reply: RecordWritten) -> None:
        """Count a voter's acknowledgement of the current write; others are ignored."""
        if (reply.duty, reply.recipient) != (self.duty, self.incarnation):
            return
        if (reply.epoch, reply.write_number) != (self.epoch, self.write_number):
            return
        if reply.voter in self.voters and reply.written:
            self._written_by.add(reply.voter)
            self.committed |= self._is_majority(len(self._written_by))

    def _is_majority(self, count: int) -> bool:
        return 2 * count > len(self.voters)
