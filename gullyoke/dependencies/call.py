"""One call to the dependency."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gullyoke.codec.lines import encode_message
from gullyoke.runtime.pending_request import PendingRequest

if TYPE_CHECKING:
    from gullyoke.dependencies.connection import DependencyConnection

US_PER_MS = 1000


class DependencyCall:
    """A call to the dependency, queued or in progress.

    Attributes:
        request: The request whose run waits for the call.
        data: The encoded call.
        connection: The connection that the call is assigned to; None while it is queued.
        is_over: Whether the call has ended or was withdrawn.
    """

    __slots__ = ("connection", "data", "is_over", "request")

    def __init__(self, request: PendingRequest, timeout_us: int) -> None:
        timeout_ms = max(1, timeout_us // US_PER_MS)
        self.request = request
        self.data = encode_message("Q", request.request_id, timeout_ms, body=request.call_body)
        self.connection: DependencyConnection | None = None
        self.is_over = False
