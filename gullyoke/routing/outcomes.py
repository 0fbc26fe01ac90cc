"""What became of one try at a back end, and what that means: for the run, and for the back end."""

from __future__ import annotations

from enum import Enum

from gullyoke.admission.interface import RequestEvent
from gullyoke.runtime.close_reasons import CloseReason


class Fate(Enum):
    """How a try ended. The value is what counters and logs call it."""

    DONE = "done"  # a whole answer
    FAILED = "failed"  # a whole answer that says that the application failed
    UNRUN = "unrun"  # known not to have run: nothing of it was written
    LOST = "lost"  # it may have run: the connection ended after the first byte was written
    SPOILT = "spoilt"  # it ran, and what came is no answer
    STALLED = "stalled"  # no whole answer in its time; it may still run
    STOPPED = "stopped"  # closed here, as the decisions asked


# What the decisions hear when a try is the last one. A stalled run's caller was answered long
# before.
WORDS = {
    Fate.DONE: RequestEvent.COMPLETED,
    Fate.FAILED: RequestEvent.FAILED,
    Fate.UNRUN: RequestEvent.NO_CAPACITY,
    Fate.LOST: RequestEvent.FAILED,
    Fate.SPOILT: RequestEvent.FAILED,
    Fate.STALLED: RequestEvent.CANCELLED,
    Fate.STOPPED: RequestEvent.CANCELLED,
}
FAULTS = {
    Fate.FAILED,
    Fate.UNRUN,
    Fate.LOST,
    Fate.SPOILT,
    Fate.STALLED,
}  # what speaks against a back end
MAY_RUN_ON = {Fate.LOST, Fate.STALLED, Fate.STOPPED}  # its work may not be over

# Every way the connection can end that is not an answer's own end.
_UNWRITTEN = dict.fromkeys(CloseReason, Fate.UNRUN)
_WRITTEN = dict.fromkeys(CloseReason, Fate.LOST) | {
    CloseReason.GARBLED: Fate.SPOILT,
    CloseReason.FAULT: Fate.SPOILT,
    CloseReason.STALLED: Fate.STALLED,
    CloseReason.DECLARED: Fate.STOPPED,
}
_UNWRITTEN[CloseReason.DECLARED] = Fate.STOPPED


def fate_of(end: CloseReason, written: bool) -> Fate:
    """The one place where the end of a back end's connection, before its answer was whole, is given
    its meaning. `written`: whether any byte of the req may have reached the back end.
    """
    return (_WRITTEN if written else _UNWRITTEN)[end]
