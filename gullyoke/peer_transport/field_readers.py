"""Checks of numbers, texts and typed messages received from other processes.

All codecs of peer messages use this module, so that the same checks apply to all of them. Data that
fails a check raises `MalformedDatagramError`, and nothing of the datagram is used.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, Final, Generic, TypeVar

import msgspec

from gullyoke.errors import GullyokeError

U64_END: Final = 1 << 64  # all numbers in peer messages are below this

MessageT = TypeVar("MessageT", bound=tuple[Any, ...])


class MalformedDatagramError(GullyokeError, ValueError):
    """Received bytes are not a valid peer message; the text says why."""


@contextlib.contextmanager
def malformed_on_error() -> Iterator[None]:
    """Convert errors of the MessagePack decoder to `MalformedDatagramError`."""
    try:
        yield
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedDatagramError(str(error)) from None


def check_numbers(values: Iterable[object]) -> None:
    """Check that each int or float, also in nested arrays, is at least 0 and below `U64_END`.

    Values of other types pass. NaN fails.

    Raises:
        MalformedDatagramError: For a number out of bounds.
    """
    for value in values:
        if isinstance(value, int | float) and not 0 <= value < U64_END:
            raise MalformedDatagramError(f"number {value} is out of bounds")
        if isinstance(value, tuple | list):
            check_numbers(value)


def check_text(name: str, text: str, longest: int, shortest: int = 0) -> None:
    """Check the length of a text, in characters.

    Raises:
        MalformedDatagramError: For a text that is too short or too long.
    """
    if not shortest <= len(text) <= longest:
        raise MalformedDatagramError(f"{name} has {len(text)} characters")


class MessageKinds(Generic[MessageT]):
    """Message types that are sent as the number of their kind and an array of their fields.

    A later release may append fields to a message; decoding ignores them.
    """

    def __init__(self, name: str, kinds: Sequence[type[MessageT]]) -> None:
        """Register the kinds.

        Args:
            name: The description of the messages in errors.
            kinds: NamedTuple classes; the position of each is its number on the wire.
        """
        self.name = name
        self.kinds = tuple(kinds)
        self._numbers = {kind: number for number, kind in enumerate(self.kinds)}

    def to_wire(self, message: MessageT) -> tuple[int, tuple[Any, ...]]:
        """Return the number of the message's kind, and its fields."""
        return self._numbers[type(message)], tuple(message)

    def from_wire(self, number: int, fields: list[Any]) -> MessageT:
        """Return the message with a kind's number and these fields.

        Raises:
            MalformedDatagramError: For an unknown kind, and for fields that are missing, of a wrong
                type or out of bounds.
        """
        if not 0 <= number < len(self.kinds):
            raise MalformedDatagramError(f"{self.name} has unknown kind {number}")
        kind = self.kinds[number]
        known_fields = fields[: len(kind.__annotations__)]
        with malformed_on_error():
            message: MessageT = msgspec.convert(known_fields, kind)
        check_numbers(message)
        return message
