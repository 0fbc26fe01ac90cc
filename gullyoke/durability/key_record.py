"""What the disk has of a request that must not run again, and what that means after a restart.

A record goes to the disk before the request runs, and its end before the answer goes out. So a
record without an end is of a request that may have run, wholly, in part or not at all: a duplicate
of it is neither run nor rejected.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import Final, NamedTuple

RECORD_MEMORY_BYTES: Final = 700  # of a record without a result in memory, with its tables
FIELD_MEMORY_BYTES: Final = 4  # of a header field beside its text


class RunPhase(IntEnum):
    """How far a run came. The values are part of the format."""

    STARTED = 1  # it may run, or may have
    ENDED = 2


class KeyRecord(NamedTuple):
    """A request with an idempotency key. On the disk it is these values in their order.

    Times are microseconds of the Unix clock.

    Attributes:
        phase: How far its run came.
        incarnation: The start of the server that wrote it.
        arrived_us: When the attempt that was run arrived.
        window_end_us: Until when a duplicate must not run.
        status: Of the answer; 0 where nothing is known of it.
        fields: The header fields of the answer.
        body: Its body.
    """

    phase: RunPhase
    incarnation: int
    arrived_us: int
    window_end_us: int
    status: int = 0
    fields: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def memory_bytes(self) -> int:
        """Give about what it takes in memory; on the disk it is less."""
        size_bytes = RECORD_MEMORY_BYTES + len(self.body)
        for name, value in self.fields:
            size_bytes += len(name) + len(value) + FIELD_MEMORY_BYTES
        return size_bytes

    def without_result(self) -> KeyRecord:
        """Give the record without its answer."""
        return self._replace(status=0, fields=(), body=b"")


class DuplicateVerdict(Enum):
    """What happens to a duplicate of a request."""

    MAY_RUN = "runs"  # nothing is known of the request, or its window is over
    UNKNOWN = "unknown"  # it fails: whether the request ran is not known, or its result was dropped
    RESULT = "result"  # it gets the recorded answer


def judge_record(record: KeyRecord | None, now_us: int) -> DuplicateVerdict:
    """Say what happens to a duplicate of the request that a record is of."""
    if record is None or now_us > record.window_end_us:
        return DuplicateVerdict.MAY_RUN
    if record.phase is RunPhase.ENDED and record.status:
        return DuplicateVerdict.RESULT
    return DuplicateVerdict.UNKNOWN


def recovered_record(record: KeyRecord, now_us: int) -> KeyRecord:
    """Give a record as it counts from this start on.

    Guards against a clock that went back: it is in force for its window from now at the most, not
    until a time that the clock comes to in a year.
    """
    window_us = record.window_end_us - record.arrived_us
    return record._replace(window_end_us=min(record.window_end_us, now_us + window_us))
