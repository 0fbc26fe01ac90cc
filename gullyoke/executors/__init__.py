"""How runs are carried out: the protocol of an executor and that of its listener.

An executor is the link to an engine, a pool of back ends, or what stands before one of them.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Protocol

from gullyoke.admission.interface import RequestEvent
from gullyoke.runtime.messages import Answer
from gullyoke.runtime.pending_request import PendingRequest


class EngineState(Enum):
    """How an engine begins. The value is its name on the wire."""

    COLD = "cold"  # its caches are empty
    WARM = "warm"


class RunOutcome(Enum):
    """How a run at the engine ended. The value is its name on the wire and in counters."""

    COMPLETED = "ok"
    FAILED = "failed"
    CANCELLED = "halted"
    NOT_STARTED = "void"


class ExecutorListener(Protocol):
    """What an executor reports to.

    The reports (`on_...`) come on threads of the executor, which holds no lock meanwhile.
    """

    def is_in_flight(self, request: PendingRequest) -> bool:
        """Whether a request of this id is not over yet."""

    def post_event(self, request: PendingRequest, event: RequestEvent) -> None:
        """An event on a run that was just started or cancelled, under the dispatcher's lock."""

    def on_engine_hello(self, state: EngineState, uptime_ms: int) -> None:
        """The engine has been up for so many milliseconds."""

    def on_run_ended(self, request_id: str, outcome: RunOutcome, result: bytes) -> None:
        """A run at the engine has ended."""

    def on_backend_run_ended(
        self, request: PendingRequest, event: RequestEvent, answer: Answer | None
    ) -> None:
        """A run at a back end is over, or no back end takes it."""

    def on_call_needed(self, request_id: str, notice: int, body: bytes) -> None:
        """A run waits for a call to the dependency with this body; `notice` numbers the notice."""

    def on_command_refused(self, command: str, request_id: str) -> None:
        """The engine did not carry out a command."""

    def on_gauges(self, tag: str, gauges: Mapping[str, float]) -> None:
        """The gauges that were polled under this tag."""


class Executor(Protocol):
    """Carries out the runs of requests.

    `start_run`, `send_call_reply`, `skip_call` and `cancel_run` are called under the dispatcher's
    lock and must not block. `flush` and `poll_gauges` are called without it and must not block
    either.
    """

    def start(self, listener: ExecutorListener) -> None:
        """Start the threads, and report to `listener` from now on."""

    def update_address(self, address: tuple[str, int]) -> None:
        """Reach the engine at another address from now on."""

    def start_run(self, request: PendingRequest) -> None:
        """Begin the run of a request."""

    def send_call_reply(self, request: PendingRequest, reply: bytes) -> None:
        """Hand the run the reply of the dependency that it waits for."""

    def skip_call(self, request: PendingRequest) -> None:
        """Let the run go on without the call that it waits for."""

    def cancel_run(self, request: PendingRequest) -> None:
        """End the run early; its end is reported all the same."""

    def flush(self) -> None:
        """Send what the commands before have left to be sent."""

    def poll_gauges(self, tag: int) -> None:
        """Ask for the gauges, which `on_gauges` reports under this tag, now or later."""
