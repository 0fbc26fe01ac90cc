"""A request with all that the sockets need of it, from its message to its answer."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Literal, TypeAlias

from gullyoke.admission.interface import Fail, Reject, Request, RequestEvent
from gullyoke.runtime.messages import Answer, Message

if TYPE_CHECKING:
    from gullyoke.dependencies.call import DependencyCall
    from gullyoke.runtime.duplicate_table import KeyEntry

Outcome: TypeAlias = Literal[RequestEvent.COMPLETED] | Fail | Reject
"""What a request's final answer says: completed, failed, or rejected without a run."""


class PendingRequest(Request):
    """A request that has no final answer yet.

    Attributes:
        request_id: Its id, unique among the requests in flight.
        key: Its idempotency key or its subject; None where it names neither.
        message: The message it came in.
        body_digest: A hash of its body, keyed by this process's own secret.
        answer: What the run answered; None before that, and where there was no run.
        outcome: Its final outcome; None until it has one.
        answer_gate: Locked until the outcome is there; its thread waits for it.
        key_entry: Its entry in the duplicate table; None where it has none.
        dependency_call: Its dependency call in flight; None for none.
        call_body: What its run wants to ask the dependency; None before it wants to.
        call_notice: The number of the engine's notice of that call.
        notices_read: How many notices of the engine about its run were read.
        frontend_name: The frontend it came by, for the log.
        backend_name: The backend it was last sent to, for the log; "-" for none.
    """

    __slots__ = (
        "answer",
        "answer_gate",
        "backend_name",
        "body_digest",
        "call_body",
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
    call_notice: int
    notices_read: int
    frontend_name: str
    backend_name: str

    def attach_message(
        self, request_id: str, key: str | None, message: Message, frontend_name: str
    ) -> None:
        """Note the message it came in and what that says of it; called once, at its creation.

        Args:
            request_id: Its id.
            key: Its idempotency key or its subject, if any.
            message: The message.
            frontend_name: The frontend it came by.
        """
        self.request_id = request_id
        self.key = key
        self.message = message
        self.frontend_name = frontend_name
        self.backend_name = "-"
        self.body_digest = hash(message.body)
        self.answer = self.outcome = self.key_entry = None
        self.dependency_call = self.call_body = None
        self.call_notice = self.notices_read = 0
        self.answer_gate = threading.Lock()
        self.answer_gate.acquire()


def outcome_name(outcome: Outcome | None) -> str:
    """Return what the counters call an outcome."""
    if outcome is RequestEvent.COMPLETED:
        return "completed"
    if isinstance(outcome, Reject):
        return "rejected"
    return "failed"


def log_identity(request: PendingRequest) -> dict[str, str]:
    """Return the fields of every log line about a request."""
    return {
        "request": request.request_id,
        "frontend": request.frontend_name,
        "request_class": request.request_class.name,
        "back_end": request.backend_name,
    }
