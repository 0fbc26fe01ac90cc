"""The events that resume a suspended request."""

from __future__ import annotations

from enum import Enum, auto


class RequestEvent(Enum):
    """What has happened to a request whose path waits."""

    ADMITTED = auto()
    """From the decisions: its turn for the cores, or for a dependency call, has come."""
    EVICTED = auto()
    """From the decisions: it is given up in favour of others."""
    DEADLINE_NEAR = auto()
    """From the decisions: its deadline comes before the next tick."""
    CLIENT_DISCONNECTED = auto()
    """Its client no longer waits for an answer."""
    COMPLETED = auto()
    """Its run ended well and the result is the answer."""
    FAILED = auto()
    """Its run failed, and so has its answer."""
    CANCELLED = auto()
    """Its run was cancelled, or ended because nobody waits for it."""
    NOT_STARTED = auto()
    """Its run never began because the request was over already."""
    NO_CAPACITY = auto()
    """Its run never began because there is nowhere to run it now."""
    DEPENDENCY_CALL_NEEDED = auto()
    """Its run waits for a call to the dependency."""
    CALL_SUCCEEDED = auto()
    """The call succeeded, and the run goes on by itself."""
    CALL_NOT_SENT = auto()
    """The call failed and is known not to have reached the dependency."""
    CALL_OUTCOME_UNKNOWN = auto()
    """The call failed and may have had its effect."""
    CALL_REPLY_LOST = auto()
    """The connection broke under the call: it may have had its effect; load is not the cause."""
