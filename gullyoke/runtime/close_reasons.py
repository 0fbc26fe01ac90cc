"""Why a connection closed, and which event that is for the requests it carried."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Final, NamedTuple

from gullyoke.admission.interface import RequestEvent
from gullyoke.errors import GullyokeError


class CloseReason(Enum):
    """Why a connection closed; the value is its name in logs and counters."""

    CLOSED = "closed"  # the peer closed it between two messages
    CUT = "cut"  # the peer closed it within a message
    RESET = "reset"  # reading or writing failed
    REFUSED = "refused"  # the peer refused the connection
    UNREACHED = "unreached"  # it could not be opened for any other reason
    STALLED = "stalled"  # a message or its answer made no progress for too long
    GARBLED = "garbled"  # the peer violated the protocol
    SILENT = "silent"  # closed here: no whole first message came in time
    IDLE = "idle"  # closed here: no message came for a long time
    CROWDED = "crowded"  # closed here: the connection limit is reached and none is idle
    DECLARED = "declared"  # closed by either side as a message had announced
    LEAVING = "leaving"  # closed here at the end of the drain
    FAULT = "fault"  # an internal error


class PeerKind(Enum):
    """Who is on the other side of a connection."""

    GATEWAY = "gateway"
    ENGINE = "engine"
    DATABASE = "database"
    SERVICE_DISCOVERY = "naming"


class ConnectionClosed(NamedTuple):
    """How a connection ended.

    Args:
        reason: Why it closed.
        why: What went wrong, for the log; empty where nothing did.
    """

    reason: CloseReason
    why: str = ""


class ConnectionClosedError(GullyokeError):
    """Raised where a connection turns out to have closed.

    Args:
        reason: Why it closed.
        why: What went wrong; the name of the reason where nothing is stated.
    """

    def __init__(self, reason: CloseReason, why: str = "") -> None:
        super().__init__(why or reason.value)
        self.reason = reason


NEVER_OPENED: Final = frozenset({CloseReason.REFUSED, CloseReason.UNREACHED})
CLIENT_DISCONNECTED_REASONS: Final = frozenset(
    {CloseReason.CLOSED, CloseReason.CUT, CloseReason.RESET}
)


def event_for_closed(peer: PeerKind, reason: CloseReason) -> RequestEvent | None:
    """Return the event for each request that a connection carried as it closed; None for none.

    A closed gateway connection says nothing about the client unless the gateway closed or broke
    it. Runs outlive the link to the engine. The name service has no part in a request.
    """
    if peer is PeerKind.DATABASE:
        if reason in NEVER_OPENED:
            return RequestEvent.CALL_NOT_SENT
        return RequestEvent.CALL_REPLY_LOST
    if peer is PeerKind.GATEWAY and reason in CLIENT_DISCONNECTED_REASONS:
        return RequestEvent.CLIENT_DISCONNECTED
    return None


def serve_connection(
    serve: Callable[[], CloseReason], on_internal_error: Callable[[], None]
) -> ConnectionClosed:
    """Serve a connection until it closes.

    Args:
        serve: Serves it; returns or raises why it closed.
        on_internal_error: Called while an unexpected exception is being handled. Such an error
            closes this connection and nothing else.
    """
    try:
        return ConnectionClosed(serve())
    except ConnectionClosedError as closed:
        return ConnectionClosed(closed.reason, str(closed))
    except OSError as error:
        return ConnectionClosed(close_reason_of(error), str(error))
    except Exception as error:
        on_internal_error()
        return ConnectionClosed(CloseReason.FAULT, type(error).__name__)


def close_reason_of(error: OSError) -> CloseReason:
    """Return what an error of the operating system means for the connection it occurred on."""
    if isinstance(error, ConnectionRefusedError):
        return CloseReason.REFUSED
    if isinstance(error, TimeoutError):
        return CloseReason.STALLED
    return CloseReason.RESET
