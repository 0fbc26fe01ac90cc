"""Calls to what requests depend on while they run, and the protocol of their listener."""

from __future__ import annotations

from typing import Protocol

from gullyoke.admission.interface import RequestEvent
from gullyoke.runtime.pending_request import PendingRequest


class DependencyListener(Protocol):
    """What the client of a dependency reports to, on threads of its own and without its lock."""

    def on_call_ended(self, request: PendingRequest, event: RequestEvent, reply: bytes) -> None:
        """A call has ended; `reply` is empty but where it succeeded."""
