"""A request with all that the sockets need of it, from its message to its answer."""

from __future__ import annotations

import threading

from gullyoke.admission.interface import Reject, Request, RequestEvent
from gullyoke.runtime.messages import Message


class PendingRequest(Request):
    """A request with all that the sockets need of it.

    `gate` is let go when its answer is there; `content` is a hash of its body, keyed by this
    process's own secret.
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

    def attach_message(
        self, request_id: str, key: str | None, message: Message, frontend_name: str
    ) -> None:
        """Note what the message says of it.

        `frontend_name` and `backend_name`, the back end it was last sent to, are for the log alone.
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


def outcome_name(outcome: object) -> str:
    """What the counters call an outcome."""
    return (
        "done"
        if outcome is RequestEvent.COMPLETED
        else "shed"
        if isinstance(outcome, Reject)
        else "errored"
    )


def log_identity(request: PendingRequest) -> dict[str, str]:
    """What each log line of a req carries."""
    return {
        "req": request.request_id,
        "front": request.frontend_name,
        "handler": request.request_class.name,
        "back_end": request.backend_name,
    }
