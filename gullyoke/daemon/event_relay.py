"""Relay: what engine and database say becomes the port's words.

Results and replies go on unchanged.
"""

from __future__ import annotations

from gullyoke.admission.interface import FAIL, RequestEvent
from gullyoke.daemon.command_router import CommandRouter
from gullyoke.runtime import clock
from gullyoke.runtime.dispatcher import Dispatcher, PendingRequest
from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.messages import Answer
from gullyoke.runtime.metrics import Metrics

RUN_ENDS = {
    "ok": RequestEvent.COMPLETED,
    "failed": RequestEvent.FAILED,
    "halted": RequestEvent.CANCELLED,
    "void": RequestEvent.NOT_STARTED,
}


class EventRelay:
    """Heard by engine and database on their reading threads."""

    def __init__(self, dispatcher: Dispatcher, router: CommandRouter, metrics: Metrics) -> None:
        self.dispatcher, self.router, self.metrics = dispatcher, router, metrics

    def on_engine_hello(self, state: str, ms: int) -> None:
        """The engine is up; the decisions begin with it, cold if it is."""
        if self.dispatcher.server is None:
            self.dispatcher.facts.machine.starts_cold |= state == "cold"
            self.dispatcher.open(self.router, clock.now() - ms * 1000)
            log.info("serving", extra=log_fields(engine=state, up_ms=ms))

    def on_run_ended(self, request_id: str, end: str, result: bytes) -> None:
        self.metrics.increment(f"runs.{end}")
        self._with(
            request_id,
            lambda request: self._finish_run(request, RUN_ENDS[end], Answer(200, result)),
        )

    def on_backend_run_ended(
        self, request: PendingRequest, word: RequestEvent, answer: Answer | None
    ) -> None:
        """A run at a back end is over, or there is nowhere to run it."""
        self.metrics.increment(f"runs.{word.name.lower()}")

        def act() -> None:
            if self.dispatcher.requests.get(request.request_id) is request:
                self._finish_run(request, word, answer)

        self.dispatcher.handle(act, request)

    def _finish_run(
        self, request: PendingRequest, word: RequestEvent, result: Answer | None
    ) -> None:
        dispatcher = self.dispatcher
        request.notices_read += 1
        if word is RequestEvent.COMPLETED:
            dispatcher.answer(request, word, result)
        elif word is RequestEvent.FAILED:
            dispatcher.answer(
                request, FAIL, result if result is not None and result.status != 200 else None
            )
        if request.key_entry is not None and word not in (
            RequestEvent.NOT_STARTED,
            RequestEvent.NO_CAPACITY,
        ):
            for waiter in dispatcher.duplicates.run_ended(
                request, result if word is RequestEvent.COMPLETED else None, dispatcher.now
            ):
                if word is RequestEvent.COMPLETED:
                    dispatcher.answer(waiter, word, result)
                dispatcher.post_event(
                    waiter, word if word is RequestEvent.COMPLETED else RequestEvent.FAILED
                )
        dispatcher.server.on_event(dispatcher.now, request, word)

    def on_call_needed(self, request_id: str, notice: int, body: bytes) -> None:
        self.metrics.increment("runs.needs")

        def act(request: PendingRequest) -> None:
            request.notices_read += 1
            request.call_notice, request.call_body = notice, body
            self.dispatcher.server.on_event(
                self.dispatcher.now, request, RequestEvent.DEPENDENCY_CALL_NEEDED
            )

        self._with(request_id, act)

    def on_command_refused(self, command: str, request_id: str) -> None:
        """The engine did not carry a command out. A run that never began is over."""
        self.metrics.increment("engine.no")
        log.warning(
            "the engine did not carry out a command",
            extra=log_fields(command=command, request=request_id),
        )
        if command == "RUN":
            self._with(
                request_id,
                lambda request: self.dispatcher.server.on_event(
                    self.dispatcher.now, request, RequestEvent.NOT_STARTED
                ),
            )

    def on_gauges(self, tag: str, got: dict[str, float]) -> None:
        if tag.isdigit():
            self.router.woken(int(tag), got)

    def on_call_ended(self, request: PendingRequest, word: RequestEvent, reply: bytes) -> None:
        """A call has ended, as the database or the end of its connection told."""
        self.metrics.increment(f"calls.{word.name.lower().removeprefix('call_')}")

        def act() -> None:
            if self.dispatcher.requests.get(request.request_id) is request:
                if word is RequestEvent.CALL_SUCCEEDED:
                    self.router.engine.send_call_reply(request, reply)
                self.dispatcher.server.on_event(self.dispatcher.now, request, word)

        self.dispatcher.handle(act, request)

    def _with(self, request_id: str, act) -> None:
        request = self.dispatcher.requests.get(request_id)
        if request is not None:
            self.dispatcher.handle(lambda: act(request), request)
