"""Stepping of request paths, and the protocol by which their commands are carried out."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Protocol

from gullyoke.admission.interface.commands import Command
from gullyoke.admission.interface.events import RequestEvent
from gullyoke.admission.interface.facts import Request


class CommandExecutor(Protocol):
    """What carries out the decisions of one server: the daemon, or a simulator."""

    def execute(self, request: Request, command: Command) -> None:
        """Carry out a command of this request's path."""

    def finished(self, request: Request) -> None:
        """The request's path has ended; it is in none of the decisions' tables any more."""

    def schedule_tick(self, delay: int) -> None:
        """Ask for the next `tick` after `delay` microseconds."""

    def set_health(self, ready: bool, cheap: bool) -> None:
        """Answer health checks so from now on; `cheap`: without doing any work for them."""

    def set_load_signal(self, level: float) -> None:
        """Send this level with every answer from now on."""

    def set_idle_timeout(self, timeout: int) -> None:
        """Close client connections that have been idle for `timeout` microseconds; 0 for never."""

    def log(self, text: str) -> None:
        """Write a line to the log."""

    def run_in_background(self, work: Iterator[None]) -> None:
        """Carry on with `work` to its end, one step after the other.

        At once, or between calls of the decisions; never two works at a time, and no step during
        such a call.
        """


class RequestStepper:
    """Steps the paths of one server's requests."""

    def __init__(self, executor: CommandExecutor) -> None:
        self.execute = executor.execute
        self.finished = executor.finished

    def step(self, request: Request, event: RequestEvent | None = None) -> bool:
        """Resume the request's path with `event` and carry out what it yields until it waits.

        Returns False once the path has ended.
        """
        assert request.path is not None
        # A path starts, and goes on after a command that does not suspend it, with None.
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
