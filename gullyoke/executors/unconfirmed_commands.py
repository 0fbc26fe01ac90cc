"""The commands that were written to the engine and that it may not have read."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from typing import Final, NamedTuple

from gullyoke.runtime.pending_request import PendingRequest

MAX_UNCONFIRMED: Final = 256  # obsolete unconfirmed commands are dropped only above this
NO_TAG: Final = -1


class SentCommand(NamedTuple):
    """A command to the engine.

    Args:
        data: The encoded command.
        request: The request that the command concerns; None for a poll of the gauges.
        notices_read: How many notices on that request had been read when the command was queued.
        tag: Tag of a poll of the gauges.
        is_call_reply: Whether the command is the reply to a dependency call.
    """

    data: bytes
    request: PendingRequest | None = None
    notices_read: int = 0
    tag: int = NO_TAG
    is_call_reply: bool = False


class UnconfirmedCommands:
    """The commands written since the last poll of the gauges that was answered, in order.

    The answer proves that the engine read the commands written before that poll. Each request in
    flight has a few unconfirmed commands; if the engine answers no polls for long, commands of
    finished requests are dropped.

    Args:
        is_in_flight: Returns whether a request is not over yet.
    """

    def __init__(self, is_in_flight: Callable[[PendingRequest], bool]) -> None:
        self._is_in_flight = is_in_flight
        self._commands: deque[SentCommand] = deque()
        self._prune_above = MAX_UNCONFIRMED

    def __len__(self) -> int:
        return len(self._commands)

    def __iter__(self) -> Iterator[SentCommand]:
        return iter(self._commands)

    def append(self, command: SentCommand) -> None:
        """Add a command that the engine may read from now on."""
        self._commands.append(command)
        if len(self._commands) > self._prune_above:
            self._prune()

    def confirm(self, tag: str) -> None:
        """Drop the poll with this tag and all commands before it: the engine has read them."""
        if any(str(command.tag) == tag for command in self._commands):
            while str(self._commands.popleft().tag) != tag:
                pass

    def take_uncertain(self) -> list[SentCommand]:
        """Remove all commands, and return those of requests in flight that may have been lost.

        A command is left out if a later notice on its request shows that the engine has read it.
        """
        uncertain = [
            command
            for command in self._commands
            if command.request is not None
            and self._is_in_flight(command.request)
            and command.notices_read == command.request.notices_read
        ]
        self._commands.clear()
        return uncertain

    def _prune(self) -> None:
        """Drop commands of requests that are over, and all polls except the last."""
        last_tag = max((command.tag for command in self._commands), default=NO_TAG)
        self._commands = deque(
            command
            for command in self._commands
            if (command.request is not None and self._is_in_flight(command.request))
            or 0 <= command.tag == last_tag
        )
        self._prune_above = max(MAX_UNCONFIRMED, 2 * len(self._commands))
