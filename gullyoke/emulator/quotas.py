"""A tenant's quota, divided among simulated servers.

Measures how many of the tenant's requests count as within the quota, with a fixed equal part for
each server or with parts that are leased. All figures from here are simulated.
"""

from __future__ import annotations

from typing import NamedTuple

from gullyoke.coordination.max_min_fairness import split_limit
from gullyoke.coordination.tenant_quotas import TenantQuotaPart, tokens
from gullyoke.emulator.shares import SECOND, Play, Process

FLOOR = 0.25


class Bucket:
    """A simplified model of the token bucket that `Server.note_share` keeps for a tenant."""

    def __init__(self) -> None:
        self.saved, self.at = 8.0, 0

    def within(self, now: int, rate: float) -> bool:
        """Take a token if there is one, and return whether there was."""
        self.saved = min(max(8.0, 2 * rate), self.saved + rate * (now - self.at) / SECOND)
        self.at = now
        inside = self.saved >= 1
        self.saved -= inside
        return inside


class Counted(NamedTuple):
    """The result of a simulation of a tenant's quota.

    `within`: the share of the tenant's requests within its quota. `over`: the largest relative
    excess of the sum of all servers' parts over the quota in any sample. `rate`: the rate of
    requests within the quota, relative to the quota.
    """

    within: float
    over: float
    rate: float


def asked(
    seed: int,
    servers: int,
    hit: int,
    load: float,
    lent: bool,
    quota: float = 400.0,
    span: int = 30 * SECOND,
    moves: bool = False,
    loss: float = 0.0,
) -> Counted:
    """Simulate a tenant that sends `load` times its quota to `hit` of the `servers` for `span`.

    The requests begin after the lenders have settled. With `moves` the tenant switches to other
    servers half way. `lent`: whether the quota's parts are leased instead of equal and fixed.
    """
    homes = min(5, servers)
    whole = tokens(servers)
    floor, lends = split_limit(whole, servers, [f"h{i}" for i in range(homes)], FLOOR)
    play = Play(seed, homes, servers - homes, min(lends.values()), floor, loss)
    processes = list(play.processes.values())
    buckets = {process.key: Bucket() for process in processes}
    for process in processes:
        process.quota = TenantQuotaPart(process.part, quota, whole)
    counts, over = [0, 0], 0.0
    begin = 15 * SECOND

    def ask(process: Process, until: int) -> None:
        if play.now >= until:
            return
        rate = process.quota.count_request(process.now()) if lent else quota / servers
        counts[0] += 1
        counts[1] += buckets[process.key].within(play.now, rate)
        play.after(
            int(play.chance.expovariate(load * quota / hit) * SECOND) + 1,
            lambda: ask(process, until),
        )

    def look() -> None:
        nonlocal over
        parts = sum(p.quota.rate_in_force(p.now()) for p in processes)
        over = max(over, parts / quota - 1)
        play.after(SECOND // 20, look)

    chosen = play.chance.sample(processes, hit * (1 + moves))
    half = begin + span // 2
    for process in chosen[:hit]:
        play.after(begin, lambda process=process: ask(process, half if moves else begin + span))
    for process in chosen[hit:]:
        play.after(half, lambda process=process: ask(process, begin + span))
    play.after(begin, look)
    play.run(begin + span)
    return Counted(counts[1] / max(1, counts[0]), over, counts[1] * SECOND / span / quota)
