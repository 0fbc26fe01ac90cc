"""A day: the arrivals of requests, the fleet, its clients and its dependency.

Days are drawn by numpy's generator; all policies under comparison get the same day.
"""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from gullyoke.admission.interface import Idempotency, RequestClass

SECOND = 1_000_000


class Work(NamedTuple):
    """A class of work; times are in microseconds.

    `work` is the mean time on a core of speed 1, drawn lognormal with the coefficient of variation
    `cv`. `calls`: whether each run calls the dependency once. `window`: the window of the
    idempotency keys, 0 without keys.
    """

    name: str
    share: float
    work: int
    cv: float
    target: int
    timeout: int
    value: float
    late_share: float = 0.0
    calls: bool = False
    skip_share: float = 0.0
    window: int = 0

    def request_class(self) -> RequestClass:
        """Return the request class that the admission controller gets for this work."""
        return RequestClass(
            self.name,
            self.target,
            self.timeout,
            self.value,
            Idempotency.KEYED if self.window else Idempotency.IDEMPOTENT,
            self.late_share,
            self.window,
            self.calls,
            self.skip_share,
            0.0,
        )


class Machines(NamedTuple):
    """The fleet: a number of servers of one kind.

    `crowd_at`: running jobs a core above which throughput is lost; `loss`: the loss for each
    further job a core. `reading`: work to read a request. `speeds`: changes of the speed of all
    cores, (time, speed). `fresh`: whether the servers start cold, at a quarter of their speed, and
    are warm after 10 s. `slow`: the share of servers that have half the speed. `leave`: (time,
    share) of the servers that get notice to leave, of which gateways learn 2 s later. `join`:
    (time, count) of servers that start cold. `links`: connections that a server accepts, 0 for no
    limit; `handshake`: work for a new one. `told`: the configured fleet size, 0 for the true size.
    """

    servers: int = 1
    cores: int = 6
    memory_kb: float = 20_000.0
    held_kb: float = 30.0
    blowup: float = 4.0
    tip_multiple: float = 8.0
    crowd_at: float = 3.0
    loss: float = 0.1
    reading: int = 8_000
    speeds: tuple[tuple[int, float], ...] = ()
    fresh: bool = False
    slow: float = 0.0
    leave: tuple[tuple[int, float], ...] = ()
    join: tuple[tuple[int, int], ...] = ()
    links: int = 0
    handshake: int = 0
    told: int = 0


class Shared(NamedTuple):
    """The dependency of all servers: `slots` calls at once, `span` each, longer when crowded.

    `survives`: if the mean number of open calls over 5 s exceeds this, it fails for good; 0 for no
    limit. `slower`: start, end, and the factor by which calls take longer between them.
    """

    slots: int
    span: int
    survives: int = 0
    slower: tuple[int, int, float] | None = None


class Callers(NamedTuple):
    """Gateways and the clients behind them.

    `tries`: retries after rejects and errors; `marked`: whether retries are marked as such; `heed`:
    the share that obeys retry advice; `pause`: microseconds before a retry. `count`: the number of
    callers, the busiest first by `skew` (Zipf's exponent). `by_subject`: whether each prefers one
    server. `idle`: microseconds for which they keep an idle connection.
    """

    tries: int = 1
    marked: bool = True
    heed: float = 0.7
    pause: int = 50_000
    count: int = 16
    skew: float = 0.0
    by_subject: bool = False
    idle: int = 30_000_000


class Day(NamedTuple):
    """A day; `arrivals` has rows of time, class, work and caller number, ordered by time."""

    works: tuple[Work, ...]
    machines: Machines
    callers: Callers
    shared: Shared | None
    length: int
    arrivals: list[tuple[int, int, int, int]]
    seed: int


def capacity(machines: Machines) -> float:
    """Return the work that the fleet does in a microsecond, uncrowded, at speed 1."""
    return float(machines.servers * machines.cores) * (1 - machines.slow / 2)


def later(day: Day, lead: int) -> Day:
    """Return the same day shifted by `lead` microseconds without requests.

    The servers' coordination settles during that time.
    """
    m, shared = day.machines, day.shared
    if shared and shared.slower:
        start, end, times = shared.slower
        shared = shared._replace(slower=(start + lead, end + lead, times))
    machines = m._replace(
        speeds=tuple((at + lead, x) for at, x in m.speeds),
        leave=tuple((at + lead, x) for at, x in m.leave),
        join=tuple((at + lead, x) for at, x in m.join),
    )
    return day._replace(
        machines=machines,
        shared=shared,
        length=day.length + lead,
        arrivals=[(at + lead, *rest) for at, *rest in day.arrivals],
    )


def drawn(
    works: tuple[Work, ...],
    machines: Machines,
    load: float,
    length: int,
    seed: int,
    callers: Callers | None = None,
    shared: Shared | None = None,
    swing: int = 0,
    burst: tuple[int, int, float] | None = None,
    silent: tuple[int, int] | None = None,
) -> Day:
    """Draw a day with Poisson arrivals at `load` times the capacity of the cores.

    `swing`: the interval in microseconds at which the shares rotate among the classes. `burst`:
    start, end, and the factor on the rate between them. `silent`: (class number, time); the class
    has no requests before that time and ten times its share after it.
    """
    generator = np.random.default_rng(seed)
    base = np.array([w.share for w in works], dtype=float)
    base /= base.sum()
    mean = float((base * np.array([w.work for w in works])).sum()) + machines.reading
    rate = load * capacity(machines) / mean
    rows, now, cumulative_shares = [], 0, None
    if callers and callers.skew:
        odds = 1 / np.arange(1, callers.count + 1) ** callers.skew
        cumulative_shares = np.cumsum(odds / odds.sum())
    peak = rate * max(1.0, burst[2] if burst else 1.0)
    while True:
        now += max(1, int(generator.exponential(1 / peak)))
        if now >= length:
            break
        current_rate = rate * (burst[2] if burst and burst[0] <= now < burst[1] else 1.0)
        if generator.random() * peak > current_rate:
            continue
        shares = np.roll(base, now // swing % len(base)) if swing else base
        if silent:
            shares = base.copy()
            shares[silent[0]] *= 0.0 if now < silent[1] else 10.0
            shares /= shares.sum()
        kind = int(generator.choice(len(base), p=shares))
        work = works[kind]
        sigma = np.sqrt(np.log(1 + work.cv**2))
        size = work.work * generator.lognormal(-(sigma**2) / 2, sigma) if work.cv else work.work
        caller = (
            int(generator.integers(callers.count if callers else 16))
            if cumulative_shares is None
            else int(np.searchsorted(cumulative_shares, generator.random()))
        )
        rows.append((now, kind, max(1, int(size)), caller))
    return Day(works, machines, callers or Callers(), shared, length, rows, seed)
