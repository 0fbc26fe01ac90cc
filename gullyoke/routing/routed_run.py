"""A run on its way through the pool of back ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gullyoke.admission.interface import Request

if TYPE_CHECKING:
    from gullyoke.routing.backend import Backend


class RoutedRun:
    """A run that the decisions have started.

    Attributes:
        request: The request that it serves.
        idempotency: Whether it may be run more than once.
        deadline: By when its answer has to be there, in microseconds of the clock.
        attempted: The back ends that it was sent to, the latest last.
        cancelled: Whether the decisions asked for its end.
        may_have_run: Whether an attempt that failed may have run.
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
        """Whether its caller still waits for it and nobody asked for its end."""
        return not (self.cancelled or self.request.answered or self.request.client_disconnected)
