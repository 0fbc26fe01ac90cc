"""The events in the model of one idempotency key, and the outcomes reported to its callers."""

from __future__ import annotations

from enum import Enum, StrEnum


class Event(StrEnum):
    """What can happen; the first part of a move."""

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
    """Whether the record of a failed write is on the disk nevertheless."""

    THERE = "there"
    NOT_THERE = "not-there"


class RunEnd(StrEnum):
    """How a run ends: well, with a failure, or well while the disk refuses its record."""

    WELL = "well"
    ILL = "ill"
    ON_BAD_DISK = "unfit"


class Report(Enum):
    """The outcome that is reported to a caller."""

    RESULT = "made"
    FAILED = "errored"
