"""A day: who asks what and when, and on what machines.

Drawn by numpy's generator; all arms see the same.
"""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from gullyoke.admission.interface import Idempotency, RequestClass

SECOND = 1_000_000


class Work(NamedTuple):
    """A class of work.

    `work` is its mean time on a core of speed 1, drawn lognormal with `cv`; times in microseconds;
    `calls` whether each run calls below once; `window`, of its keys where it is uniqued.
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
    """The fleet: so many servers alike.

    `crowd_at` running a core is where loss begins, `loss` how much each further one a core costs;
    `reading` is work; `speeds` are changes of all cores' speed, (time, speed); `fresh` is whether
    they start cold, at a quarter of their speed, warm after 10 s. `slow`: this share of them has
    half the speed. `leave`: at a time this share of those there has notice to leave, of which
    callers learn 2 s later; `join`: at a time so many more start, cold. `links`: connections that
    one takes; `handshake`: work for a new one. `told`: the size that all are told, where it is
    another.
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
    """What all servers call below: `slots` at once, `span` each; it takes longer when crowded.

    `survives`: more than so many in hand, in the mean of 5 s, and it is down for good; 0: it bears
    any number. `slower`: from, to, and how many times `span` it takes there.
    """

    slots: int
    span: int
    survives: int = 0
    slower: tuple[int, int, float] | None = None


class Callers(NamedTuple):
    """Gateways and the clients behind them.

    Further tries after sheds and errors, whether these are marked, the share that heeds advice, and
    the pause before a further try. `count` of them, the busiest first by `skew` (Zipf's exponent);
    `by_subject`: each has a server that it asks first; `idle`: microseconds for which they keep a
    connection.
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
    """`arrivals`: rows of time, class, work, and the number of its caller, in the order of time."""

    works: tuple[Work, ...]
    machines: Machines
    callers: Callers
    shared: Shared | None
    length: int
    arrivals: list[tuple[int, int, int, int]]
    seed: int


def capacity(machines: Machines) -> float:
    """Work that the fleet does in a microsecond, uncrowded, at speed 1."""
    return float(machines.servers * machines.cores) * (1 - machines.slow / 2)


def later(day: Day, lead: int) -> Day:
    """The same day after a time in which nobody asks.

    What is among the servers has come together then.
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
    """A day at `load` times what the cores can do, Poisson arrivals.

    `swing`: every so many microseconds the shares are turned round among the classes. `burst`:
    from, to, and how many times the rate there. `silent`: this class's number says nothing before
    this time, then comes with ten times its share.
    """
    chance = np.random.default_rng(seed)
    base = np.array([w.share for w in works], dtype=float)
    base /= base.sum()
    mean = float((base * np.array([w.work for w in works])).sum()) + machines.reading
    rate = load * capacity(machines) / mean
    rows, now, who = [], 0, None
    if callers and callers.skew:
        odds = 1 / np.arange(1, callers.count + 1) ** callers.skew
        who = np.cumsum(odds / odds.sum())
    peak = rate * max(1.0, burst[2] if burst else 1.0)
    while True:
        now += max(1, int(chance.exponential(1 / peak)))
        if now >= length:
            break
        there = rate * (burst[2] if burst and burst[0] <= now < burst[1] else 1.0)
        if chance.random() * peak > there:
            continue
        shares = np.roll(base, now // swing % len(base)) if swing else base
        if silent:
            shares = base.copy()
            shares[silent[0]] *= 0.0 if now < silent[1] else 10.0
            shares /= shares.sum()
        kind = int(chance.choice(len(base), p=shares))
        work = works[kind]
        sigma = np.sqrt(np.log(1 + work.cv**2))
        size = work.work * chance.lognormal(-(sigma**2) / 2, sigma) if work.cv else work.work
        caller = (
            int(chance.integers(callers.count if callers else 16))
            if who is None
            else int(np.searchsorted(who, chance.random()))
        )
        rows.append((now, kind, max(1, int(size)), caller))
    return Day(works, machines, callers or Callers(), shared, length, rows, seed)
