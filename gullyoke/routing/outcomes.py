"""How one attempt at a back end ended, and what that means for the run and for the back end."""

from __future__ import annotations

from enum import Enum
from typing import Final

from gullyoke.admission.interface import RequestEvent
from gullyoke.runtime.close_reasons import CloseReason


class AttemptOutcome(Enum):
    """How an attempt ended. The value is its name in counters and in the log."""

    COMPLETED = "done"  # a whole answer
    FAILED = "failed"  # a whole answer that reports that the application failed
    NOT_STARTED = "unrun"  # known not to have run: nothing of it was written
    CONNECTION_LOST = "lost"  # it may have run: the connection ended after its first byte
    INVALID_ANSWER = "spoilt"  # it ran, and what came is no answer
    TIMED_OUT = "stalled"  # no whole answer in time; it may still run
    CANCELLED = "stopped"  # closed here, as the decisions asked


# What the decisions are told when an attempt was the last one. The caller of a run that timed out
# was answered long before.
EVENT_OF_OUTCOME: Final = {
    AttemptOutcome.COMPLETED: RequestEvent.COMPLETED,
    AttemptOutcome.FAILED: RequestEvent.FAILED,
    AttemptOutcome.NOT_STARTED: RequestEvent.NO_CAPACITY,
    AttemptOutcome.CONNECTION_LOST: RequestEvent.FAILED,
    AttemptOutcome.INVALID_ANSWER: RequestEvent.FAILED,
    AttemptOutcome.TIMED_OUT: RequestEvent.CANCELLED,
    AttemptOutcome.CANCELLED: RequestEvent.CANCELLED,
}

# Outcomes that count against the back end.
FAILURES: Final = frozenset(
    {
        AttemptOutcome.FAILED,
        AttemptOutcome.NOT_STARTED,
        AttemptOutcome.CONNECTION_LOST,
        AttemptOutcome.INVALID_ANSWER,
        AttemptOutcome.TIMED_OUT,
    }
)

# Outcomes after which the back end may still be at work on the run.
MAY_STILL_RUN: Final = frozenset(
    {AttemptOutcome.CONNECTION_LOST, AttemptOutcome.TIMED_OUT, AttemptOutcome.CANCELLED}
)

# The meaning of every way in which the connection can end before the answer is whole.
_OUTCOME_BEFORE_FIRST_BYTE: Final = dict.fromkeys(CloseReason, AttemptOutcome.NOT_STARTED) | {
    CloseReason.DECLARED: AttemptOutcome.CANCELLED,
}
_OUTCOME_AFTER_FIRST_BYTE: Final = dict.fromkeys(CloseReason, AttemptOutcome.CONNECTION_LOST) | {
    CloseReason.GARBLED: AttemptOutcome.INVALID_ANSWER,
    CloseReason.FAULT: AttemptOutcome.INVALID_ANSWER,
    CloseReason.STALLED: AttemptOutcome.TIMED_OUT,
    CloseReason.DECLARED: AttemptOutcome.CANCELLED,
}


def outcome_of_close(reason: CloseReason, written: bool) -> AttemptOutcome:
    """The outcome of an attempt whose connection ended before its answer was whole.

    Args:
        reason: How the connection ended.
        written: Whether any byte of the request may have reached the back end.
    """
    table = _OUTCOME_AFTER_FIRST_BYTE if written else _OUTCOME_BEFORE_FIRST_BYTE
    return table[reason]
