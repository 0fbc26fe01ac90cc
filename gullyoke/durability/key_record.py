"""What a disk says of a req that must not run again, and what that means after a restart.

A note goes to the disk before the req runs, its end before its answer goes out. So a note without
an end is of a req that may have run, wholly, in part or not at all: it is neither run again nor
turned away.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import NamedTuple

BARE = 700  # bytes of a note without a result in memory, with its tables


class RunPhase(IntEnum):
    STARTED = 1  # it may run, or may have
    ENDED = 2  # its run is over


class KeyRecord(NamedTuple):
    """`life` is the start that wrote it.

    `arrived`, when the try came that was run, and `until`, the end of its window, in microseconds
    of the Unix clock; `status` 0 where nothing is known of the answer.
    """

    phase: RunPhase
    incarnation: int
    arrived: int
    until: int
    status: int = 0
    fields: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def size(self) -> int:
        """What it takes in memory, about, in bytes; on the disk it is less."""
        return (
            BARE + len(self.body) + sum(len(name) + len(value) + 4 for name, value in self.fields)
        )


class DuplicateVerdict(Enum):
    """What a repeat hears."""

    MAY_RUN = "runs"  # nothing is known of it, or its window is over: it may run
    UNKNOWN = "unknown"  # errored: whether it ran is not known, or its result is gone
    RESULT = "result"  # the answer that was kept


def judge_record(note: KeyRecord | None, now: int) -> DuplicateVerdict:
    if note is None or now > note.until:
        return DuplicateVerdict.MAY_RUN
    return (
        DuplicateVerdict.RESULT
        if note.phase is RunPhase.ENDED and note.status
        else DuplicateVerdict.UNKNOWN
    )


def recovered_record(note: KeyRecord, now: int) -> KeyRecord:
    """As it counts from this start on.

    Guards against a clock that went back: a note is in force for its window from now at the most,
    not until a time that the clock comes to in a year.
    """
    return note._replace(until=min(note.until, now + (note.until - note.arrived)))
