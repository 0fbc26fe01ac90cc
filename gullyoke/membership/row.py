"""What is known of one member: a row, its number, and how two rows of one name are compared.

A member's number never goes back. Its upper part is the start's (kept on a disk, or the clock's
seconds, or one above what the others know, whichever is most); the lower counts its own refutations
(SWIM's incarnation, Das et al. 2002). Of two rows of one name the higher in (number, status, life)
is the truth, for all, in any order of arrival.
"""

from __future__ import annotations

from enum import IntEnum
from functools import lru_cache
from hashlib import blake2b
from typing import NamedTuple

TURNS = 1 << 20  # refutations that one start has room for


class Status(IntEnum):
    """In the order in which one number goes through them.

    A later one can't be taken back under that number.
    """

    JOINING = 0
    ALIVE = 1
    LEAVING = 2
    LEFT = 3
    DEAD = 4


LIVE = frozenset((Status.JOINING, Status.ALIVE, Status.LEAVING))


class Kind(IntEnum):
    """What an observer holds against a subject."""

    SILENT = 1  # it answers nobody's asking
    REFUSED = 2  # its machine says that nobody is at its address


def whole(text: str) -> int:
    """64 bits of a text, the same on every machine."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


@lru_cache(maxsize=16384)
def identity(name: str) -> int:
    """The name as messages carry it."""
    return whole(name)


def began(seconds: int, kept: int = 0, known: int = 0) -> int:
    """The number of a start.

    The clock's whole seconds, but above the number `kept` from the last start and above the one
    that the others have `known` of this name. Guards against a clock that goes back.
    """
    return max(seconds, kept // TURNS + 1, known // TURNS + 1) * TURNS


class Row:
    """A member as all see it.

    Never changed: a change is another row. `life` is drawn at each start, so that two processes
    under one name are told apart; `address` is where datagrams for it are sent.
    """

    __slots__ = ("address", "digest", "id", "life", "name", "number", "status", "zone")

    def __init__(
        self, name: str, number: int, status: Status, address: str, zone: str, life: int
    ) -> None:
        self.name, self.number, self.status, self.life = name, number, Status(status), life
        self.address, self.zone, self.id = address, zone, identity(name)
        self.digest = whole(f"{name} {number} {int(status)} {life} {address} {zone}")

    def rank(self) -> tuple[int, int, int]:
        return self.number, self.status, self.life

    def live(self) -> bool:
        return self.status in LIVE

    def now(self, status: Status, number: int | None = None) -> Row:
        """The same member further on."""
        return Row(
            self.name,
            self.number if number is None else number,
            status,
            self.address,
            self.zone,
            self.life,
        )

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Row) and self.digest == other.digest

    def __hash__(self) -> int:
        return self.digest

    def __repr__(self) -> str:
        return (
            f"{self.name}:{self.number // TURNS}.{self.number % TURNS}:{self.status.name.lower()}"
        )


class Mark(NamedTuple):
    """A new status of a row that is known: shorter than the row.

    `by` is who saw to it, `accusing` of `standing` observers held it silent or refused.
    """

    id: int
    number: int
    status: Status
    by: int
    accusing: int = 0
    standing: int = 0


class Entry(NamedTuple):
    """One accusation: against the subject under that number and no later one."""

    id: int
    number: int
    kind: Kind


class Report(NamedTuple):
    """All that one observer holds against its subjects now.

    The newest (`number`, `seq`) takes the place of the ones before it, so that nothing is ever
    taken back one by one. `unsure`: it trusts itself too little to accuse anybody, and this says
    only what it sees.
    """

    observer: int
    number: int
    seq: int
    unsure: bool
    entries: tuple[Entry, ...]

    def newer(self, other: Report | None) -> bool:
        return other is None or (self.number, self.seq) > (other.number, other.seq)


News = Row | Mark | Report
