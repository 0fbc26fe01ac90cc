"""What a server is told: stated facts in small records by subject, and reqs.

Times are whole microseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from gullyoke.port.beside import ALONE, UNSHARED, Beside, Slots


class Kind(Enum):
    """Whether a handler's reqs may run again."""

    REPLAYABLE = "replayable"
    UNIQUED = "uniqued"
    NON_REPLAYABLE = "non-replayable"


class StopMode(Enum):
    """What stopping running work does.

    Nothing is possible, progress is lost, or progress is kept.
    """

    NEVER = "never"
    DISCARD = "discard"
    FREEZE = "freeze"


@dataclass(slots=True, eq=False)
class Handler:
    """A type of req.

    `open` is False while what its runs need is not to be had: newcomers are told so.
    """

    name: str
    target: int
    timeout: int
    value: float
    kind: Kind
    late_share: float
    window: int
    calls: bool
    skip_share: float
    stretch: float
    open: bool = True


@dataclass(slots=True, eq=False)
class Customer:
    """One of those who share the servers.

    `quota` reqs a second over all servers are within its share. `lent` is told of each of its reqs,
    with the time, and says what part of that is this server's now; None where that is not known.
    """

    name: str
    quota: float
    lent: Callable[[int], float | None] = lambda now: None


@dataclass(slots=True)
class Machine:
    """The server's own machine and process."""

    cores: int
    memory_kb: float
    blowup: float
    key_kb: float
    fresh_start: bool
    stop_mode: StopMode
    gauges: tuple[str, ...]


@dataclass(slots=True)
class Limits:
    """The figures of the four rules."""

    answer_slack: int
    drain_grace: int
    tip_multiple: float
    tip_after: int
    start_capacity: float
    cold: int


@dataclass(slots=True)
class Below:
    """What reqs call while they run.

    `share` is None where no bound is stated; `slots`, what this server has of those that all share.
    """

    exists: bool
    share: float | None
    span: int
    linger: int
    slots: Slots = UNSHARED


@dataclass(slots=True)
class Permits:
    """What the site lets a server say to its callers and hear from them."""

    retry_in: bool
    longest_retry_in: int
    stamp: str | None
    heeded: int
    hears_gone: bool
    passes_due: bool
    deep_checks: bool
    readiness: bool
    longest_idle: int


@dataclass(slots=True)
class Fleet:
    """The servers beside this one, how their work is counted, how many callers there are, and what
    the others tell.
    """

    size: int
    by_work: bool
    over_share: float
    fresh_for: int
    callers: int = 0
    beside: Beside = ALONE


class Gauges(NamedTuple):
    """A server's own gauges.

    Share of cores busy lately, what wants a core now, connections open; and how many runs can be
    had at once where the cores are not its own, None where they are.
    """

    busy: float | None = None
    wanting: float | None = None
    links: float | None = None
    room: float | None = None


class Repeat:
    """Stands for a kept req that this server no longer has in hand."""


PAST = Repeat()


@dataclass(slots=True, eq=False)
class Req:
    """A req in hand.

    `arrived` is when it reached the machine; `due`, when the last answer counts.
    """

    handler: Handler
    arrived: int
    due: int
    kb: float
    resent: bool = False
    prior: Req | Repeat | None = None
    keyed: bool = False
    customer: Customer | None = None
    hint: int = 0
    rank: float = 0.0
    # What the decisions note on it, written by them alone.
    life: Generator | None = field(default=None, repr=False)
    state: object = None
    over_share: bool = False
    since: int = 0
    swapped: bool = False
    used: float = 0.0
    answered: bool = False
    gone: bool = False
