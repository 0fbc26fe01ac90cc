"""Parses the dependency's replies."""

from __future__ import annotations

from typing import Final, NamedTuple

from gullyoke.admission.interface import RequestEvent
from gullyoke.codec import lines
from gullyoke.codec.buffer import Buffer
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError

ROWS: Final = "ROWS"  # the only status with a body
EVENT_OF_STATUS: Final = {
    "FULL": RequestEvent.CALL_NOT_SENT,
    "FAIL": RequestEvent.CALL_OUTCOME_UNKNOWN,
    "TIMEOUT": RequestEvent.CALL_OUTCOME_UNKNOWN,
    "NONE": RequestEvent.CALL_NOT_SENT,
}
LONGEST_REPORTED_LINE: Final = 100  # characters of an invalid line that are logged


class DependencyReply(NamedTuple):
    """A complete reply to the call of the request with this id."""

    request_id: str
    event: RequestEvent
    body: bytes


def read_reply(buffer: Buffer) -> DependencyReply | None:
    """Wait for the next reply and return it; None if the connection closed between two replies.

    Raises:
        ConnectionClosedError: The connection ended within a reply, or the line is not a valid
            reply.
    """
    parts = lines.read(buffer)
    if parts is None:
        return None
    if len(parts) == 3 and parts[1] == ROWS:
        body = lines.read_body(buffer, parts[2])
        return DependencyReply(parts[0], RequestEvent.CALL_SUCCEEDED, body)
    if len(parts) == 2 and parts[1] in EVENT_OF_STATUS:
        return DependencyReply(parts[0], EVENT_OF_STATUS[parts[1]], b"")
    raise ConnectionClosedError(CloseReason.GARBLED, " ".join(parts)[:LONGEST_REPORTED_LINE])
