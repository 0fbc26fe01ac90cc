"""A request in flight, with the state that front ends, executors and dependency calls need."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Literal, TypeAlias

from gullyoke.admission.interface import Fail, Reject, Request, RequestEvent
from gullyoke.runtime.messages import Answer, Message

if TYPE_CHECKING:
    from gullyoke.dependencies.call import DependencyCall
    from gullyoke.dependencies.connection import DependencyConnection
    from gullyoke.runtime.duplicate_table import KeyEntry

Outcome: TypeAlias = Literal[RequestEvent.COMPLETED] | Fail | Reject
"""The outcome of a request: completed, failed, or rejected without a run."""


class PendingRequest(Request):
    """A request in flight.

    Attributes:
        request_id: The id, unique among the requests in flight.
        key: The idempotency key or the lookup key; None if the request has neither.
        message: The message of the request.
        body_digest: A hash of the body; it depends on a random key of this process.
        answer: The answer of the run; None before it, and if there was no run.
        outcome: The final outcome; None until it is decided.
        answer_gate: A lock that is held until the outcome is set; the thread that serves the
            connection waits for it.
        key_entry: The entry in the duplicate table; None for none.
        dependency_call: The dependency call in flight; None for none.
        call_connections: The connections that carried the dependency calls of the run so far.
            Guarded by the dependency client's lock.
        call_body: The body of the dependency call; None until the run needs the call.
        call_notice: The number of the engine's notice that asks for the call.
        notices_read: How many of the engine's notices about the run were read.
        frontend_name: The front end that read the request, for the log.
        backend_name: The back end that the request was last sent to, for the log; "-" for none.
    """

    __slots__ = (
        "answer",
        "answer_gate",
        "backend_name",
        "body_digest",
        "call_body",
        "call_connections",
        "call_notice",
        "dependency_call",
        "frontend_name",
        "key",
        "key_entry",
        "message",
        "notices_read",
        "outcome",
        "request_id",
    )

    request_id: str
    key: str | None
    message: Message
    body_digest: int
    answer: Answer | None
    outcome: Outcome | None
    answer_gate: threading.Lock
    key_entry: KeyEntry | None
    dependency_call: DependencyCall | None
    call_body: bytes | None
    call_connections: tuple[DependencyConnection, ...]
    call_notice: int
    notices_read: int
    frontend_name: str
    backend_name: str

    def attach_message(
        self, request_id: str, key: str | None, message: Message, frontend_name: str
    ) -> None:
        """Set the message of the request and initialize the other attributes; called once.

        Args:
            request_id: The id.
            key: The idempotency key or the lookup key; None for neither.
            message: The message.
            frontend_name: The front end that read the request.
        """
        self.request_id = request_id
        self.key = key
        self.message = message
        self.frontend_name = frontend_name
        self.backend_name = "-"
        self.body_digest = hash(message.body)
        self.answer = self.outcome = self.key_entry = None
        self.dependency_call = self.call_body = None
        self.call_connections = ()
        self.call_notice = self.notices_read = 0
        self.answer_gate = threading.Lock()
        self.answer_gate.acquire()


def outcome_name(outcome: Outcome | None) -> str:
    """Return the name of an outcome in counters."""
    if outcome is RequestEvent.COMPLETED:
        return "completed"
    if isinstance(outcome, Reject):
        return "rejected"
    return "failed"


def log_identity(request: PendingRequest) -> dict[str, str]:
    """Return the fields that identify a request in log lines."""
    return {
        "request": request.request_id,
        "frontend": request.frontend_name,
        "request_class": request.request_class.name,
        "back_end": request.backend_name,
    }
