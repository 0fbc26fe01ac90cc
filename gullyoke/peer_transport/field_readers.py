"""Checked reading of what other processes send: numbers, texts and typed messages.

All codecs of peer messages read through this module, so that one set of checks holds for all of
them. Whatever fails a check is a `MalformedDatagramError`, and nothing of the datagram is used.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, Final, Generic, TypeVar

import msgspec

from gullyoke.errors import GullyokeError

U64_END: Final = 1 << 64  # numbers of the peer messages are below this

MessageT = TypeVar("MessageT", bound=tuple[Any, ...])


class MalformedDatagramError(GullyokeError, ValueError):
    """Bytes that are no message of a peer; the text says what is wrong with them."""


@contextlib.contextmanager
def malformed_on_error() -> Iterator[None]:
    """Turn errors of the MessagePack decoder into `MalformedDatagramError`."""
    try:
        yield
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedDatagramError(str(error)) from None


def check_numbers(values: Iterable[object]) -> None:
    """Check that each number, a fraction or one in a nested array as well, is from 0 to U64_END.

    Other values pass. A fraction that is no number at all fails.

    Raises:
        MalformedDatagramError: For a number out of bounds.
    """
    for value in values:
        if isinstance(value, int | float) and not 0 <= value < U64_END:
            raise MalformedDatagramError(f"the number {value} is out of bounds")
        if isinstance(value, tuple | list):
            check_numbers(value)


def check_text(name: str, text: str, longest: int, shortest: int = 0) -> None:
    """Check the length of a text, in characters.

    Raises:
        MalformedDatagramError: For a text that is too short or too long.
    """
    if not shortest <= len(text) <= longest:
        raise MalformedDatagramError(f"{name} of {len(text)} characters")


class MessageKinds(Generic[MessageT]):
    """Messages that travel as the number of their kind and an array of their fields.

    A later release may append fields to a message; they are passed over.
    """

    def __init__(self, name: str, kinds: Sequence[type[MessageT]]) -> None:
        """Take over the kinds.

        Args:
            name: What the messages are, for errors.
            kinds: NamedTuples; the position of each is its number on the wire.
        """
        self.name = name
        self.kinds = tuple(kinds)
        self._numbers = {kind: number for number, kind in enumerate(self.kinds)}

    def to_wire(self, message: MessageT) -> tuple[int, tuple[Any, ...]]:
        """Return the number of the message's kind, and its fields."""
        return self._numbers[type(message)], tuple(message)

    def from_wire(self, number: int, fields: list[Any]) -> MessageT:
        """Return the message that was received.

        Raises:
            MalformedDatagramError: For an unknown kind, and for fields that are missing, of another
                type or out of bounds.
        """
        if not 0 <= number < len(self.kinds):
            raise MalformedDatagramError(f"{self.name} of unknown kind {number}")
        kind = self.kinds[number]
        known_fields = fields[: len(kind.__annotations__)]
        with malformed_on_error():
            message: MessageT = msgspec.convert(known_fields, kind)
        check_numbers(message)
        return message
