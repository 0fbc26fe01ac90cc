"""What a duty leaves to its next holder.

A few bytes under its epoch, kept by a majority of the voters.

Written by a holder alone, under its epoch and a count of its own; durable at a voter before it says
so. A new holder reads from a majority before it does anything, takes what has the highest epoch and
count, and writes that under its own epoch first: an old holder's later write is then refused by a
majority (Attiya, Bar-Noy and Dolev 1995, with the lease's epoch as the writer's number).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

LONGEST = 700  # bytes that are kept of a duty


class WriteRecord(NamedTuple):
    duty: str
    life: int
    epoch: int
    count: int
    body: bytes


class RecordWritten(NamedTuple):
    """A voter's word: it has this, or, where `yes` is False, something newer."""

    duty: str
    to: int
    by: str
    epoch: int
    count: int
    yes: bool


class ReadRecord(NamedTuple):
    duty: str
    life: int
    epoch: int


class RecordRead(NamedTuple):
    """What a voter has kept, and under which epoch and count; empty where it has nothing."""

    duty: str
    to: int
    by: str
    asked: int
    epoch: int
    count: int
    body: bytes


class RecordStore:
    """A voter's side. Table: one row a duty, a few; kept for good."""

    def __init__(self, rows: dict[str, tuple[int, int, bytes]] | None = None) -> None:
        self.rows = dict(rows or {})

    def fits(self, keep: WriteRecord, promised: int) -> bool:
        """Whether it is to be written: of an epoch that is not behind what is kept or promised."""
        newer = (keep.epoch, keep.count) > self.rows.get(keep.duty, (0, 0, b""))[:2]
        return newer and len(keep.body) <= LONGEST and keep.epoch >= promised

    def said(self, keep: WriteRecord, by: str) -> RecordWritten:
        """The word after it is durable, or at once where it does not fit."""
        there = self.rows.get(keep.duty, (0, 0, b""))[:2]
        return RecordWritten(
            keep.duty, keep.life, by, keep.epoch, keep.count, there == (keep.epoch, keep.count)
        )

    def fetched(self, fetch: ReadRecord, by: str) -> RecordRead:
        return RecordRead(
            fetch.duty, fetch.life, by, fetch.epoch, *self.rows.get(fetch.duty, (0, 0, b""))
        )


class ReplicatedRecord:
    """A holder's side, made anew for each epoch.

    `body` is what holds, None until it has been read.
    """

    def __init__(self, duty: str, life: int, epoch: int, voters: Iterable[str]) -> None:
        self.duty, self.life, self.epoch, self.voters = duty, life, epoch, frozenset(voters)
        self.count, self.body, self.safe = 0, None, False
        self.found: dict[str, tuple[int, int, bytes]] = {}
        self.yes: set[str] = set()

    def asks(self) -> ReadRecord | WriteRecord:
        """What to say to all voters, again until it is answered.

        What is read first is written again.
        """
        if self.body is None:
            return ReadRecord(self.duty, self.life, self.epoch)
        return WriteRecord(self.duty, self.life, self.epoch, self.count, self.body)

    def fetched(self, said: RecordRead) -> None:
        ours = (said.duty, said.to, said.asked) == (self.duty, self.life, self.epoch)
        if ours and said.by in self.voters and self.body is None:
            self.found[said.by] = said.epoch, said.count, said.body
            if 2 * len(self.found) > len(self.voters):
                self.put(max(self.found.values())[2])

    def put(self, body: bytes) -> None:
        """This holds from now on, once a majority has it: `safe` says when."""
        self.count, self.body, self.safe, self.yes = self.count + 1, body, False, set()

    def kept(self, said: RecordWritten) -> None:
        if (
            (said.duty, said.to, said.epoch, said.count)
            == (self.duty, self.life, self.epoch, self.count)
            and said.by in self.voters
            and said.yes
        ):
            self.yes.add(said.by)
            self.safe |= 2 * len(self.yes) > len(self.voters)
