"""The stored record of a request that must not run twice, and its meaning after a restart.

A record is written before the request runs, and the end of the run before the answer is sent. A
record without an end therefore belongs to a request that may have run fully, in part or not at all:
a duplicate of this request fails; it is neither run nor rejected.
"""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import Final, NamedTuple

RECORD_MEMORY_BYTES: Final = 700  # a record without a result, with its entries in the tables
FIELD_MEMORY_BYTES: Final = 4  # a header field, without its text


class RunPhase(IntEnum):
    """How far a run has got. The values are part of the stored format."""

    STARTED = 1  # the request may be running or may have run
    ENDED = 2


class KeyRecord(NamedTuple):
    """A request with an idempotency key. It is stored as these values in this order.

    Times are microseconds of the Unix clock.

    Attributes:
        phase: How far its run has got.
        incarnation: The number of the server start that wrote the record.
        arrived_us: When the attempt that was run arrived.
        window_end_us: The time until which a duplicate may arrive that must not run.
        status: The status of the answer; 0 if the answer is not known.
        fields: The header fields of the answer.
        body: The body of the answer.
        body_digest: A one-way digest of the request's body; empty in records that were stored
            without it.
    """

    phase: RunPhase
    incarnation: int
    arrived_us: int
    window_end_us: int
    status: int = 0
    fields: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    body_digest: bytes = b""

    def memory_bytes(self) -> int:
        """Return the approximate size of the record in memory; on the disk it is smaller."""
        size_bytes = RECORD_MEMORY_BYTES + len(self.body) + len(self.body_digest)
        for name, value in self.fields:
            size_bytes += len(name) + len(value) + FIELD_MEMORY_BYTES
        return size_bytes

    def without_result(self) -> KeyRecord:
        """Return the record without the answer."""
        return self._replace(status=0, fields=(), body=b"")


class DuplicateVerdict(Enum):
    """What happens to a duplicate of a request."""

    MAY_RUN = "runs"  # it may run: there is no record of the request, or its window is over
    UNKNOWN = "unknown"  # it fails: the request may have run, or its result was dropped
    RESULT = "result"  # it gets the recorded answer


def judge_record(record: KeyRecord | None, arrived_us: int) -> DuplicateVerdict:
    """Return what happens to a duplicate of a request, given the request's record if any.

    Args:
        record: The record; None if there is none.
        arrived_us: When the duplicate arrived, which may be long before it is read.
    """
    if record is None or arrived_us > record.window_end_us:
        return DuplicateVerdict.MAY_RUN
    if record.phase is RunPhase.ENDED and record.status:
        return DuplicateVerdict.RESULT
    return DuplicateVerdict.UNKNOWN


def recovered_record(record: KeyRecord, now_us: int) -> KeyRecord:
    """Return a record read at start, in force for at most the length of its window from now.

    Without that limit, a record would stay in force for a year if the clock was set back by a year.
    """
    window_us = record.window_end_us - record.arrived_us
    return record._replace(window_end_us=min(record.window_end_us, now_us + window_us))
