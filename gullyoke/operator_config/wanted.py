"""What an operator's file comes to, in the program's own words. Times are whole microseconds."""

from __future__ import annotations

from typing import NamedTuple

from gullyoke.errors import GullyokeError

Address = tuple[str, int] | str


class OperatorFileError(GullyokeError, ValueError):
    """A file that can't be right.

    `faults` are lines: file, line, key, and what would be right.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__(faults[0])
        self.faults = faults


class Way(NamedTuple):
    """One more listener."""

    name: str
    protocol: str
    address: Address


class BackEnd(NamedTuple):
    """One back end; `name` is its address as it stands in the file."""

    name: str
    address: Address
    weight: float
    least: int
    most: int
    zone: str = "-"


class Ejecting(NamedTuple):
    """When a back end is set aside, and how it comes back."""

    consecutive: int
    over_peers: float
    pool_share: float
    first_out: int
    longest_out: int
    slow_start: int


class Pooled(NamedTuple):
    """The back ends, and how they are used."""

    back_ends: tuple[BackEnd, ...]
    linger: int
    stops_on_close: bool
    answer_bytes: int
    first_limit: int
    retry_share: float
    retry_burst: float
    ejecting: Ejecting
    subset: int = 0

    def most(self) -> int:
        """How many connections all back ends may take."""
        return sum(b.most for b in self.back_ends)


class Classed(NamedTuple):
    """Class pools: the minimum share of each, and the handlers that share one, by their names."""

    minimum: float
    classes: dict[str, str]


class Kept(NamedTuple):
    """Where what is remembered is kept, and how many bytes it may take.

    `without`: what becomes of reqs whose notes can't be kept now, `shed` or `go on`; empty where no
    notes are kept.
    """

    folder: str
    quota: int
    without: str = ""


class Slotted(NamedTuple):
    """What all servers may have in hand below; `homes`, who lends, addresses by name."""

    homes: dict[str, str]
    slots: int
    largest: int
    floor_share: float
    weight: float
    mean: bool = False
    quotas: bool = False


class Together(NamedTuple):
    """The fleet that this server is a member of, and how the others are reached."""

    name: str
    listen: tuple[str, int]
    advertise: str
    seeds: tuple[str, ...]
    zone: str
    key_file: str
    status: tuple[str, int] | None
    size: bool
    signals: bool = False
    heed: bool = False
    shares: Slotted | None = None


class OwnDuty(NamedTuple):
    """An application's own duty, and how often it is told of holding it, in microseconds."""

    name: str
    address: tuple[str, int]
    every: int


class Dutied(NamedTuple):
    """Duties of one: the voters' addresses by name, the number of their set, the lease and how far
    clocks may run apart, where promises are kept, and which duties there are.
    """

    voters: dict[str, str]
    set: int
    lease: int
    drift: int
    folder: str
    ask: bool
    book: bool
    roll: bool
    record: bool
    own: tuple[OwnDuty, ...]


class Wanted(NamedTuple):
    """All of it."""

    json_log: bool
    ways: tuple[Way, ...]
    pool: Pooled | None
    classed: Classed | None = None
    kept: Kept | None = None
    fleet: Together | None = None
    duties: Dutied | None = None
