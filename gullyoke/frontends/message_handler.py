"""Take in: a req of whatever protocol is handed to the decisions, and the one answer to it is
waited for.
"""

from __future__ import annotations

from gullyoke.admission.interface import Reject
from gullyoke.frontends import request_parsing
from gullyoke.frontends.connection import Connection
from gullyoke.runtime import clock
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.lifecycle import Lifecycle
from gullyoke.runtime.messages import Answer, Message
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.pending_request import outcome_name


class MessageHandler:
    """What the fronts share behind their codecs: both ways end here, under the same rules."""

    def __init__(self, dispatcher: Dispatcher, lifecycle: Lifecycle, metrics: Metrics) -> None:
        self.dispatcher, self.lifecycle, self.metrics = dispatcher, lifecycle, metrics

    def health(self) -> Answer:
        self.metrics.increment("checks")
        good = self.lifecycle.ready and self.dispatcher.server is not None
        return Answer(200 if good else 503, fields=self.feedback())

    def request(self, message: Message, connection: Connection) -> Answer:
        """The one final answer to a request; raises `Unfit` where the message is none."""
        request = request_parsing.parse_request(
            self.dispatcher, message, connection.listener.front.name
        )
        connection.begin_request(request)
        if self.dispatcher.server is None:  # nothing runs before the engine is up
            self.metrics.increment("answers.early")
            return Answer(503)
        request_parsing.submit(self.dispatcher, request)
        self.metrics.increment("reqs.read")
        if not request.answer_gate.acquire(
            timeout=max(0.0, (request.deadline - clock.now()) / 1e6)
        ):
            self.dispatcher.fail_overdue(request)
        self.metrics.increment(f"answers.{outcome_name(request.outcome)}")
        if isinstance(request.outcome, Reject):
            return Answer(503, b"", self.feedback() + advice(request.outcome))
        made = request.answer or Answer(500)  # what the run made goes out unchanged
        return (
            made
            if self.lifecycle.load_signal is None
            else made._replace(fields=made.fields + self.feedback())
        )

    def feedback(self) -> tuple[tuple[str, str], ...]:
        level = self.lifecycle.load_signal
        return () if level is None else (("Feedback", str(level)),)


def advice(shed: Reject) -> tuple[tuple[str, str], ...]:
    wait = (("Hold-Off-Ms", str(max(1, shed.retry_after // 1000))),) if shed.retry_after else ()
    return wait + ((("No-Other-Server", "1"),) if shed.stop_retrying else ())
