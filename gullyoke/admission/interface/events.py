"""The events that resume the suspended path of a request."""

from __future__ import annotations

from enum import Enum, auto


class RequestEvent(Enum):
    """What has happened to a request whose path is suspended."""

    ADMITTED = auto()
    """From the controller: the request may now run, or make its dependency call."""
    EVICTED = auto()
    """From the controller: the request is given up, or only its wait for a dependency call."""
    DEADLINE_NEAR = auto()
    """From the controller: the deadline comes before the next tick, or the server stops soon."""
    CLIENT_DISCONNECTED = auto()
    """The client no longer waits for an answer."""
    COMPLETED = auto()
    """The run succeeded and its result is the answer."""
    FAILED = auto()
    """The run failed, and its failure is the answer."""
    CANCELLED = auto()
    """The run was cancelled, or ended because no client waits for its result."""
    NOT_STARTED = auto()
    """The run never began because the request had already ended."""
    NO_CAPACITY = auto()
    """The run never began because there is no capacity for it now."""
    DEPENDENCY_CALL_NEEDED = auto()
    """The run waits for a call to the dependency."""
    CALL_SUCCEEDED = auto()
    """The call succeeded, and the run resumes without a command."""
    CALL_REPLY_UNCONFIRMED = auto()
    """The reply of a successful call was sent to the run, but may not have reached it."""
    CALL_NOT_SENT = auto()
    """The call failed and certainly did not reach the dependency."""
    CALL_OUTCOME_UNKNOWN = auto()
    """The call failed, but may have taken effect at the dependency."""
    CALL_REPLY_LOST = auto()
    """The connection broke during the call, which may have taken effect; load is not the cause."""
