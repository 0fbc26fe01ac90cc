"""The operator's file in the types that the program uses. Times are whole microseconds."""

from __future__ import annotations

from typing import NamedTuple

from gullyoke.errors import GullyokeError

Address = tuple[str, int] | str


class OperatorFileError(GullyokeError, ValueError):
    """A file that can't be read or is invalid.

    Attributes:
        faults: a line for each fault: the file, the line, the key and the values that are valid.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__(faults[0])
        self.faults = faults


class ListenerSection(NamedTuple):
    """A further listener, next to the one of the daemon's own configuration."""

    name: str
    protocol: str
    address: Address


class BackEnd(NamedTuple):
    """A back end.

    Attributes:
        name: its address as it is written in the file.
        address: the address.
        weight: its share of the requests, relative to the others.
        least: the least limit of its connections.
        most: the greatest limit of its connections.
        zone: its zone.
    """

    name: str
    address: Address
    weight: float
    least: int
    most: int
    zone: str = "-"


class EjectionSection(NamedTuple):
    """When a back end is ejected, for how long, and how long its slow start takes."""

    consecutive: int
    over_peers: float
    pool_share: float
    first_out: int
    longest_out: int
    slow_start: int


class BackendsSection(NamedTuple):
    """The back ends, how long a run may take to end, the limits of answers and of retries."""

    back_ends: tuple[BackEnd, ...]
    linger: int
    stops_on_close: bool
    answer_bytes: int
    first_limit: int
    retry_share: float
    retry_burst: float
    ejecting: EjectionSection
    subset: int = 0

    def most(self) -> int:
        """Return how many connections all back ends may take together."""
        return sum(b.most for b in self.back_ends)


class PoolsSection(NamedTuple):
    """Class pools.

    Attributes:
        minimum: the least share of the completed work that each pool gets, if it has demand.
        classes: the pool of each handler that shares one, by the handler's name.
    """

    minimum: float
    classes: dict[str, str]


class StoreSection(NamedTuple):
    """The folder of the data that is kept over restarts.

    Attributes:
        folder: the folder.
        quota: the most bytes that the data may take.
        without: what becomes of requests whose records can't be written in time, `shed` or
            `go on`; empty where no records of keys are kept.
    """

    folder: str
    quota: int
    without: str = ""


class SharesSection(NamedTuple):
    """The limits that all servers share: calls of the dependency, and quotas of tenants.

    Attributes:
        homes: the lenders' addresses, by name.
        slots: how many calls the whole fleet may have in flight; 0 where they are not shared.
        largest: the most servers that the fleet may have.
        floor_share: the share of the slots that the servers have without borrowing.
        weight: this server's weight when slots are divided.
        mean: whether the limit applies to a mean over time, not to each moment.
        quotas: whether the quotas of tenants are lent too.
    """

    homes: dict[str, str]
    slots: int
    largest: int
    floor_share: float
    weight: float
    mean: bool = False
    quotas: bool = False


class FleetSection(NamedTuple):
    """The fleet that this server is a member of, and how it reaches the other members."""

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
    shares: SharesSection | None = None


class ApplicationLeaseSection(NamedTuple):
    """A lease of the application.

    Attributes:
        name: the name of the lease.
        address: where the application listens.
        every: the interval at which the holder tells the application, in microseconds.
    """

    name: str
    address: tuple[str, int]
    every: int


class DutiesSection(NamedTuple):
    """The leases of the fleet.

    Attributes:
        voters: the voters' addresses, by name.
        set: the number of the voter set.
        lease: the length of a lease.
        drift: by how much the rates of clocks may differ, in parts per million.
        folder: where a voter keeps its promises.
        ask: whether one server checks the dependency's health.
        book: whether one server lends orphaned quota.
        roll: whether rolling restarts can be started.
        record: whether one server keeps the fleet's record.
        own: the leases of the application.
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
    own: tuple[ApplicationLeaseSection, ...]


class OperatorSettings(NamedTuple):
    """The whole file; None for a section that is absent."""

    json_log: bool
    ways: tuple[ListenerSection, ...]
    pool: BackendsSection | None
    classed: PoolsSection | None = None
    kept: StoreSection | None = None
    fleet: FleetSection | None = None
    duties: DutiesSection | None = None
