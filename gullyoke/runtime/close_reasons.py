"""Every way a connection can end, and what the decisions hear of it: one type, one table."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from gullyoke.admission.interface import RequestEvent
from gullyoke.errors import GullyokeError


class CloseReason(Enum):
    """How a connection ended. The value is what the log and the counters call it."""

    CLOSED = "closed"  # the peer closed it between two messages
    CUT = "cut"  # the peer closed it within a message
    RESET = "reset"  # it broke under reading or writing
    REFUSED = "refused"  # it never came about, and the peer said so
    UNREACHED = "unreached"  # it never came about, for any other cause
    STALLED = "stalled"  # a message or its answer made no way for too long
    GARBLED = "garbled"  # what came is not the protocol
    SILENT = "silent"  # closed here: it came and said nothing, or half of something
    IDLE = "idle"  # closed here: silent for long
    CROWDED = "crowded"  # closed here: no descriptor is to spare, and no connection is idle
    DECLARED = "declared"  # closed here, or by the peer, as an answer or a req had said
    LEAVING = "leaving"  # closed here at the end of the drain
    FAULT = "fault"  # an error of our own


class PeerKind(Enum):
    GATEWAY = "gateway"
    ENGINE = "engine"
    DATABASE = "database"
    NAMING = "naming"


# What the decisions hear of each req that the connection carried then. A gateway's end is no word
# on its caller unless the connection is broken or gone. Runs outlive a link to the engine; the name
# service has no part in a req.
UNRUN = {CloseReason.REFUSED, CloseReason.UNREACHED}
GONE = {CloseReason.CLOSED, CloseReason.CUT, CloseReason.RESET}


def event_for_closed(peer: PeerKind, end: CloseReason) -> RequestEvent | None:
    if peer is PeerKind.DATABASE:
        return RequestEvent.CALL_NOT_SENT if end in UNRUN else RequestEvent.CALL_REPLY_LOST
    if peer is PeerKind.GATEWAY and end in GONE:
        return RequestEvent.CLIENT_DISCONNECTED
    return None


class ConnectionClosedError(GullyokeError):
    """Raised where a connection turns out to have ended."""

    def __init__(self, reason: CloseReason, why: str = "") -> None:
        super().__init__(why or reason.value)
        self.reason = reason


def serve_connection(
    serve: Callable[[], CloseReason], fault: Callable[[], None]
) -> tuple[CloseReason, str]:
    """Serve a connection to its end: how it ended, and why.

    `fault` is told of an error of our own.
    """
    try:
        return serve(), ""
    except ConnectionClosedError as ended:
        return ended.reason, str(ended)
    except OSError as broken:
        return close_reason_of(broken), str(broken)
    except Exception as own:  # it ends this connection and nothing else
        fault()
        return CloseReason.FAULT, type(own).__name__


def close_reason_of(fault: OSError) -> CloseReason:
    """What an error of the operating system means for the connection it struck."""
    if isinstance(fault, ConnectionRefusedError):
        return CloseReason.REFUSED
    if isinstance(fault, TimeoutError):
        return CloseReason.STALLED
    return CloseReason.RESET
