"""The reasons why a connection closes, and the events that result for the requests on it."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Final, NamedTuple

from gullyoke.admission.interface import RequestEvent
from gullyoke.errors import GullyokeError


class CloseReason(Enum):
    """Why a connection closed; the value is used in logs and counters."""

    CLOSED = "closed"  # the peer closed it between two messages
    CUT = "cut"  # the peer closed it within a message
    RESET = "reset"  # reading or writing failed
    REFUSED = "refused"  # the peer refused the connection
    UNREACHED = "unreached"  # it could not be opened for any other reason
    STALLED = "stalled"  # a message or its answer made no progress for too long
    GARBLED = "garbled"  # the peer violated the protocol
    SILENT = "silent"  # closed by this server: the first message did not arrive in time
    IDLE = "idle"  # closed by this server: no message arrived for a long time
    CROWDED = "crowded"  # closed by this server: the connection limit is reached and none is idle
    DECLARED = "declared"  # closed by either side as a message had announced
    LEAVING = "leaving"  # closed by this server at the end of the drain
    FAULT = "fault"  # an internal error


class PeerKind(Enum):
    """The kind of peer at the other end of a connection."""

    GATEWAY = "gateway"
    ENGINE = "engine"
    DATABASE = "database"
    SERVICE_DISCOVERY = "naming"


class ConnectionClosed(NamedTuple):
    """How a connection ended.

    Args:
        reason: Why it closed.
        why: The error text for the log; empty if there was no error.
    """

    reason: CloseReason
    why: str = ""


class ConnectionClosedError(GullyokeError):
    """The connection is closed or has to be closed.

    Args:
        reason: Why it closed.
        why: The error text for the log; empty for the value of `reason`.
    """

    def __init__(self, reason: CloseReason, why: str = "") -> None:
        super().__init__(why or reason.value)
        self.reason = reason


NEVER_OPENED: Final = frozenset({CloseReason.REFUSED, CloseReason.UNREACHED})
CLIENT_DISCONNECTED_REASONS: Final = frozenset(
    {CloseReason.CLOSED, CloseReason.CUT, CloseReason.RESET}
)


def event_for_closed(peer: PeerKind, reason: CloseReason) -> RequestEvent | None:
    """Return the event for each request that was in flight on a connection when it closed.

    A closed gateway connection says nothing about the client unless the gateway closed or broke
    it. Runs continue when the connection to the engine closes. The service registry takes no part
    in requests.

    Returns:
        The event; None if the requests are not affected.
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
    """Serve a connection until it closes, and return why it closed.

    Args:
        serve: Serves the connection; returns the reason for the close, or raises an exception.
        on_internal_error: Called while an unexpected exception is handled. Such an exception
            closes this connection only.
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
    """Return the close reason for an operating system error on a connection."""
    if isinstance(error, ConnectionRefusedError):
        return CloseReason.REFUSED
    if isinstance(error, TimeoutError):
        return CloseReason.STALLED
    return CloseReason.RESET
