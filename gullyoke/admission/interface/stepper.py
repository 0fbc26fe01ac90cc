"""Stepping of request paths, and the protocol that carries out their commands."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Protocol

from gullyoke.admission.interface.commands import Command
from gullyoke.admission.interface.events import RequestEvent
from gullyoke.admission.interface.facts import Request


class CommandExecutor(Protocol):
    """Carries out the decisions of one server, for example in the daemon or in a simulator."""

    def execute(self, request: Request, command: Command) -> None:
        """Carry out a command that the path of this request yielded."""

    def finished(self, request: Request) -> None:
        """Handle the end of the request's path; no table of the controller holds it any more."""

    def schedule_tick(self, delay: int) -> None:
        """Call the controller's `on_tick` once, after `delay` microseconds."""

    def set_health(self, ready: bool, cheap: bool) -> None:
        """Set how health checks are answered from now on.

        Args:
            ready: Whether the server takes requests.
            cheap: Whether checks are answered without doing any work for them.
        """

    def set_load_signal(self, level: float) -> None:
        """Send this load signal with every answer from now on."""

    def set_idle_timeout(self, timeout: int) -> None:
        """Close client connections that have been idle for `timeout` microseconds; 0 for never."""

    def log(self, text: str) -> None:
        """Write a line to the log."""

    def run_in_background(self, work: Iterator[None]) -> None:
        """Iterate over `work` to its end, at once or between later calls of the controller.

        No step may run during a call of the controller, nor before earlier work has ended.
        """


class RequestStepper:
    """Steps the paths of one server's requests."""

    def __init__(self, executor: CommandExecutor) -> None:
        self.execute = executor.execute
        self.finished = executor.finished

    def step(self, request: Request, event: RequestEvent | None = None) -> bool:
        """Resume the request's path with `event` and carry out its commands until it suspends.

        Returns:
            Whether the path is suspended; False once it has ended.
        """
        assert request.path is not None
        # None starts a path, and resumes it after a command that does not suspend it.
        resume: Callable[[Any], Command] = request.path.send
        try:
            while True:
                command = resume(event)
                self.execute(request, command)
                if command.suspends:
                    return True
                event = None
        except StopIteration:
            self.finished(request)
            return False
