"""The protocols of an executor, which runs requests, and of its listener.

An executor is the link to an engine, a pool of back ends, or a wrapper around one of them.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Protocol

from gullyoke.admission.interface import RequestEvent
from gullyoke.runtime.messages import Answer
from gullyoke.runtime.pending_request import PendingRequest


class EngineState(Enum):
    """State in which an engine starts; the value is its name on the wire."""

    COLD = "cold"  # its caches are empty
    WARM = "warm"


class RunOutcome(Enum):
    """How a run at the engine ended; the value is its name on the wire and in counters."""

    COMPLETED = "ok"
    FAILED = "failed"
    CANCELLED = "halted"
    NOT_STARTED = "void"


class ExecutorListener(Protocol):
    """Receives the reports of an executor.

    The executor calls the `on_...` methods on its own threads and holds no lock during the call.
    """

    def is_in_flight(self, request: PendingRequest) -> bool:
        """Return whether the request is not over yet."""

    def post_event(self, request: PendingRequest, event: RequestEvent) -> None:
        """Report an event during `start_run` or `cancel_run`, under the dispatcher's lock."""

    def on_engine_hello(self, state: EngineState, uptime_ms: int) -> None:
        """Handle a new link to the engine, which has been up for `uptime_ms`."""

    def on_notice_read(self, request_id: str) -> None:
        """Count a notice on a run, before it is reported, which may take until a disk write."""

    def on_run_ended(self, request_id: str, outcome: RunOutcome, result: bytes) -> None:
        """Handle the end of a run at the engine."""

    def on_backend_run_ended(
        self, request: PendingRequest, event: RequestEvent, answer: Answer | None
    ) -> None:
        """Handle the end of a run at a back end, or a run that no back end accepted."""

    def on_call_needed(self, request_id: str, notice: int, body: bytes) -> None:
        """Handle a run that needs a call to the dependency; `notice` is the notice's number."""

    def on_call_reply_unconfirmed(self, request: PendingRequest) -> None:
        """Handle a reply to a call that may not have reached the run."""

    def on_command_refused(self, command: str, request_id: str) -> None:
        """Handle a command that the engine refused."""

    def on_gauges(self, tag: str, gauges: Mapping[str, float]) -> None:
        """Handle the gauges that were polled with this tag."""


class Executor(Protocol):
    """Runs requests.

    `start_run`, `send_call_reply`, `skip_call` and `cancel_run` are called under the dispatcher's
    lock, `flush` and `poll_gauges` without it. None of them may block.
    """

    def start(self, listener: ExecutorListener) -> None:
        """Start the threads; `listener` gets the reports."""

    def update_address(self, address: tuple[str, int]) -> None:
        """Change the address of the engine."""

    def start_run(self, request: PendingRequest) -> None:
        """Start the run of a request."""

    def send_call_reply(self, request: PendingRequest, reply: bytes) -> None:
        """Send the dependency's reply to the run that waits for it."""

    def skip_call(self, request: PendingRequest) -> None:
        """Let the run continue without the call that it waits for."""

    def cancel_run(self, request: PendingRequest) -> None:
        """Cancel the run; its end is still reported."""

    def flush(self) -> None:
        """Send the commands that are queued."""

    def poll_gauges(self, tag: int) -> None:
        """Request the gauges; `on_gauges` reports them with this tag, possibly later."""
