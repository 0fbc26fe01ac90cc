"""Translates reports of executors and of the dependency into events of the admission controller."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Final

from gullyoke.admission.interface import FAIL, RequestEvent
from gullyoke.daemon.command_router import CommandRouter
from gullyoke.executors import EngineState, Executor, RunOutcome
from gullyoke.runtime import clock
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.messages import Answer
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.pending_request import PendingRequest

US_PER_MS: Final = 1000
STATUS_OK: Final = 200
EVENT_OF_RUN_OUTCOME: Final = {
    RunOutcome.COMPLETED: RequestEvent.COMPLETED,
    RunOutcome.FAILED: RequestEvent.FAILED,
    RunOutcome.CANCELLED: RequestEvent.CANCELLED,
    RunOutcome.NOT_STARTED: RequestEvent.NOT_STARTED,
}
NOT_RUN_EVENTS: Final = (RequestEvent.NOT_STARTED, RequestEvent.NO_CAPACITY)


class EventRelay:
    """Receives the reports of the executor and the dependency, on their reading threads."""

    def __init__(
        self, dispatcher: Dispatcher, router: CommandRouter, executor: Executor, metrics: Metrics
    ) -> None:
        self._dispatcher = dispatcher
        self._router = router
        self._executor = executor
        self._metrics = metrics

    def is_in_flight(self, request: PendingRequest) -> bool:
        """Return whether this request is in flight, and not a later one with the same id."""
        return self._dispatcher.requests.get(request.request_id) is request

    def post_event(self, request: PendingRequest, event: RequestEvent) -> None:
        """Queue an event that occurs while the dispatcher's lock is held."""
        self._dispatcher.post_event(request, event)

    def on_engine_hello(self, state: EngineState, uptime_ms: int) -> None:
        """Create the controller at the engine's first HELLO; a cold engine needs a warm-up."""
        if self._dispatcher.controller is None:
            self._dispatcher.facts.machine.needs_warmup |= state is EngineState.COLD
            self._dispatcher.create_controller(self._router, clock.now() - uptime_ms * US_PER_MS)
            log.info("serving", extra=log_fields(engine=state.value, up_ms=uptime_ms))

    def on_notice_read(self, request_id: str) -> None:
        """Count a notice that the engine has sent on a run; called by one thread only."""
        request = self._dispatcher.requests.get(request_id)
        if request is not None:
            request.notices_read += 1

    def on_run_ended(self, request_id: str, outcome: RunOutcome, result: bytes) -> None:
        """Report the end of a run at the engine."""
        self._metrics.increment(f"runs.{outcome.value}")
        event = EVENT_OF_RUN_OUTCOME[outcome]
        answer = Answer(STATUS_OK, result)
        self._handle(request_id, lambda request: self.finish_run(request, event, answer))

    def on_backend_run_ended(
        self, request: PendingRequest, event: RequestEvent, answer: Answer | None
    ) -> None:
        """Report the end of a run at a back end, or that no back end accepts the request."""
        self._metrics.increment(f"runs.{event.name.lower()}")

        def act() -> None:
            if self._dispatcher.requests.get(request.request_id) is request:
                self.finish_run(request, event, answer)

        self._dispatcher.handle(act, request)

    def finish_run(
        self, request: PendingRequest, event: RequestEvent, answer: Answer | None
    ) -> None:
        """Answer the request and its duplicates and report the event; called under the lock."""
        dispatcher = self._dispatcher
        if event is RequestEvent.COMPLETED:
            dispatcher.answer(request, event, answer)
        elif event is RequestEvent.FAILED:
            is_failure = answer is not None and answer.status != STATUS_OK
            dispatcher.answer(request, FAIL, answer if is_failure else None)
        if request.key_entry is not None and event not in NOT_RUN_EVENTS:
            self._answer_duplicates(request, event, answer)
        self._report(request, event)

    def _answer_duplicates(
        self, request: PendingRequest, event: RequestEvent, answer: Answer | None
    ) -> None:
        """Complete the duplicates that wait for the run if it completed; fail them otherwise."""
        dispatcher = self._dispatcher
        completed = event is RequestEvent.COMPLETED
        result = answer if completed else None
        for waiter in dispatcher.duplicates.record_run_end(request, result, dispatcher.now):
            if completed:
                dispatcher.answer(waiter, RequestEvent.COMPLETED, result)
            dispatcher.post_event(waiter, event if completed else RequestEvent.FAILED)

    def on_call_needed(self, request_id: str, notice: int, body: bytes) -> None:
        """Report that a run needs a dependency call."""
        self._metrics.increment("runs.call_needed")

        def act(request: PendingRequest) -> None:
            request.call_notice = notice
            request.call_body = body
            self._report(request, RequestEvent.DEPENDENCY_CALL_NEEDED)

        self._handle(request_id, act)

    def on_call_reply_unconfirmed(self, request: PendingRequest) -> None:
        """Report that the reply to a call may not have reached the run."""
        self._dispatcher.notify(request, RequestEvent.CALL_REPLY_UNCONFIRMED)

    def on_command_refused(self, command: str, request_id: str) -> None:
        """Log a command that the engine did not carry out; report a refused RUN as not started."""
        self._metrics.increment("engine.rejected_commands")
        log.warning(
            "engine did not carry out a command",
            extra=log_fields(command=command, request=request_id),
        )
        if command == "RUN":
            self._handle(
                request_id, lambda request: self._report(request, RequestEvent.NOT_STARTED)
            )

    def on_gauges(self, tag: str, gauges: Mapping[str, float]) -> None:
        """Pass on the gauges that the poller requested; tags of other polls are not numbers."""
        if tag.isdigit():
            self._router.gauge_poller.on_gauges(int(tag), gauges)

    def on_call_ended(self, request: PendingRequest, event: RequestEvent, reply: bytes) -> None:
        """Report the end of a dependency call: a reply, a timeout or a closed connection."""
        self._metrics.increment(f"calls.{event.name.lower().removeprefix('call_')}")

        def act() -> None:
            if self._dispatcher.requests.get(request.request_id) is request:
                if event is RequestEvent.CALL_SUCCEEDED:
                    self._executor.send_call_reply(request, reply)
                self._report(request, event)

        self._dispatcher.handle(act, request)

    def _report(self, request: PendingRequest, event: RequestEvent) -> None:
        controller = self._dispatcher.controller
        assert controller is not None  # nothing is handled before the controller is created
        controller.on_event(self._dispatcher.now, request, event)

    def _handle(self, request_id: str, act: Callable[[PendingRequest], None]) -> None:
        """Run `act` through the dispatcher if a request with this id is in flight."""
        request = self._dispatcher.requests.get(request_id)
        if request is not None:
            self._dispatcher.handle(lambda: act(request), request)
