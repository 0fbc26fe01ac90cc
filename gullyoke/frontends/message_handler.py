"""Answers messages by the same rules for all front ends."""

from __future__ import annotations

from typing import Final

from gullyoke.admission.interface import Reject
from gullyoke.frontends import request_parsing
from gullyoke.frontends.connection import Connection
from gullyoke.runtime import clock
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.lifecycle import Lifecycle
from gullyoke.runtime.messages import Answer, BadRequestError, Message
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.pending_request import outcome_name

HEALTH_PATH: Final = "/ping"
HEALTH_METHODS: Final = ("GET", "HEAD")

HeaderFields = tuple[tuple[str, str], ...]


class MessageHandler:
    """Answers health checks itself, and requests through the dispatcher.

    Args:
        dispatcher: Takes the requests.
        lifecycle: Whether the server is ready, and its load signal.
        metrics: The server's counters.
    """

    def __init__(self, dispatcher: Dispatcher, lifecycle: Lifecycle, metrics: Metrics) -> None:
        self.dispatcher = dispatcher
        self.lifecycle = lifecycle
        self.metrics = metrics

    def answer(self, message: Message, connection: Connection) -> Answer:
        """Return the answer to a message, blocking until it is available.

        Raises:
            BadRequestError: The message is not a valid request.
            ConnectionClosedError: The connection is closing; the request was not run.
        """
        method, path, _ = message.start_line
        if path == HEALTH_PATH:
            if method not in HEALTH_METHODS:
                raise BadRequestError(405, f"method {method[:20]!r} is not allowed on {path}")
            return self._answer_health_check()
        return self._answer_request(message, connection)

    def _answer_health_check(self) -> Answer:
        self.metrics.increment("checks")
        ready = self.lifecycle.ready and self.dispatcher.controller is not None
        return Answer(200 if ready else 503, fields=self._load_signal_fields())

    def _answer_request(self, message: Message, connection: Connection) -> Answer:
        frontend_name = connection.listener.frontend.name
        request = request_parsing.parse_request(self.dispatcher, message, frontend_name)
        connection.begin_request(request)
        if self.dispatcher.controller is None:  # the engine is not up yet
            self.metrics.increment("answers.before_ready")
            return Answer(503)
        request_parsing.submit(self.dispatcher, request)
        self.metrics.increment("requests.read")
        remaining_s = max(0.0, (request.deadline - clock.now()) / 1e6)
        if not request.answer_gate.acquire(timeout=remaining_s):
            self.dispatcher.fail_overdue(request)
        outcome = request.outcome
        self.metrics.increment(f"answers.{outcome_name(outcome)}")
        if isinstance(outcome, Reject):
            return Answer(503, b"", self._load_signal_fields() + retry_advice(outcome))
        answer = request.answer or Answer(500)  # the answer of the run is sent unchanged
        if self.lifecycle.load_signal is None:
            return answer
        return answer._replace(fields=answer.fields + self._load_signal_fields())

    def _load_signal_fields(self) -> HeaderFields:
        load_signal = self.lifecycle.load_signal
        return () if load_signal is None else (("Feedback", str(load_signal)),)


def retry_advice(rejection: Reject) -> HeaderFields:
    """Return the header fields that tell a rejected client when and whether to retry elsewhere."""
    fields: HeaderFields = ()
    if rejection.retry_after:
        fields += (("Hold-Off-Ms", str(max(1, rejection.retry_after // 1000))),)
    if rejection.stop_retrying:
        fields += (("No-Other-Server", "1"),)
    return fields
