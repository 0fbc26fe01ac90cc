"""The events of the world of one idempotency key, and what its callers are answered."""

from __future__ import annotations

from enum import Enum, StrEnum


class Event(StrEnum):
    """What can happen next; the first part of a move."""

    ATTEMPT = "try"
    ATTEMPT_ON_BAD_DISK = "try-unfit"
    WRITE_PERSISTED = "written"
    WRITE_FAILED = "failed"
    RUN_ENDS = "ends"
    WRITES_OVERDUE = "overdue"
    RESULT_DROPPED = "shrink"
    CRASH = "crash"
    WINDOW_OVER = "window"


class FailedWrite(StrEnum):
    """Whether a write that failed is on the disk."""

    THERE = "there"
    NOT_THERE = "not-there"


class RunEnd(StrEnum):
    """How a run ends."""

    WELL = "well"
    ILL = "ill"
    ON_BAD_DISK = "unfit"


class Report(Enum):
    """What a caller is answered."""

    RESULT = "made"
    FAILED = "errored"
