"""A run as the router sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gullyoke.admission.interface import Request

if TYPE_CHECKING:
    from gullyoke.routing.backend import Backend


class RoutedRun:
    """A run that the admission controller has started.

    Attributes:
        request: The request that is run.
        idempotency: Whether the request may be run more than once.
        deadline: Deadline of the answer, in microseconds of the clock.
        attempted: Back ends that the run was sent to, in order of the attempts.
        cancelled: Whether the admission controller cancelled the run.
        may_have_run: Whether a lost attempt may have run the request.
    """

    __slots__ = ("attempted", "cancelled", "deadline", "idempotency", "may_have_run", "request")

    def __init__(self, request: Request) -> None:
        self.request = request
        self.idempotency = request.request_class.idempotency
        self.deadline = request.deadline
        self.attempted: list[Backend] = []
        self.cancelled = False
        self.may_have_run = False

    def is_awaited(self) -> bool:
        """Return whether the client still waits for the answer and the run is not cancelled."""
        return not (self.cancelled or self.request.answered or self.request.client_disconnected)
