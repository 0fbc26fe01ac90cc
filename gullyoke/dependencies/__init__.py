"""Calls to the dependency of running requests, and the protocol of their listener."""

from __future__ import annotations

from typing import Protocol

from gullyoke.admission.interface import RequestEvent
from gullyoke.runtime.pending_request import PendingRequest


class DependencyListener(Protocol):
    """Receives the reports of the client, which calls it on its own threads without its lock."""

    def on_call_ended(self, request: PendingRequest, event: RequestEvent, reply: bytes) -> None:
        """Handle the end of a call; `reply` is empty unless the call succeeded."""
