"""Outcomes of an attempt at a back end, and their effect on the run and on the back end."""

from __future__ import annotations

from enum import Enum
from typing import Final

from gullyoke.admission.interface import RequestEvent
from gullyoke.runtime.close_reasons import CloseReason


class AttemptOutcome(Enum):
    """How an attempt ended; the value is its name in counters and in the log."""

    COMPLETED = "done"  # a complete answer
    FAILED = "failed"  # a complete answer with an error status of the application
    NOT_STARTED = "unrun"  # certainly not run: no byte of the request was written
    CONNECTION_LOST = "lost"  # may have run: the connection ended after the first byte was written
    INVALID_ANSWER = "spoilt"  # ran, but its answer is invalid
    TIMED_OUT = "stalled"  # no complete answer in time; the request may still run
    CANCELLED = "stopped"  # closed here, because the admission controller cancelled the run


# The event reported to the admission controller when no further attempt is made. The client of a
# run that timed out already has its answer.
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

# Outcomes after which the back end may still execute the run.
MAY_STILL_RUN: Final = frozenset(
    {AttemptOutcome.CONNECTION_LOST, AttemptOutcome.TIMED_OUT, AttemptOutcome.CANCELLED}
)

# The outcome for each reason why a connection closed before the answer was complete.
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
    """Return the outcome of an attempt whose connection closed before the answer was complete.

    Args:
        reason: Why the connection closed.
        written: Whether any byte of the request may have reached the back end.
    """
    table = _OUTCOME_AFTER_FIRST_BYTE if written else _OUTCOME_BEFORE_FIRST_BYTE
    return table[reason]
