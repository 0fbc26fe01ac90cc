"""Which back ends a server keeps connections to, where connecting all to all costs too much.

The choice follows from the membership view alone. Servers and back ends are each ordered by a hash;
a server takes the `k` back ends that follow the place which it has among the servers (deterministic
apertures). docs/together-design.md compares this with rendezvous hashing with bounded loads, which
moves less when a server leaves and more when a back end does, is uneven by up to six, and whose
work grows with the product of both sides.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from typing import Final

from gullyoke.membership.member_record import stable_hash

SubsetsByServer = dict[str, tuple[str, ...]]

SETTLE_US: Final = 5_000_000  # for which a choice must last before anything moves
MOVE_INTERVAL_US: Final = 1_000_000  # between two moves, so that connections open one by one
LACKING_US: Final = 1_000_000  # for which half of a subset must be ejected before others help


def apertures(servers: Sequence[str], back_ends: Sequence[str], k: int) -> SubsetsByServer:
    """Return `k` back ends for each server; all back ends are in as many subsets, within one."""
    order = sorted(servers, key=stable_hash)
    ring = sorted(back_ends, key=stable_hash)
    taken = min(k, len(ring))
    return {
        server: tuple(ring[(i * len(ring) // len(order) + j) % len(ring)] for j in range(taken))
        for i, server in enumerate(order)
    }


def choose_subsets(
    servers: Mapping[str, str], back_ends: Mapping[str, str], k: int
) -> SubsetsByServer:
    """Return the subsets of all servers; the same for all members that have the same view.

    The servers of a zone take the back ends of that zone first. Where these are fewer than `k`, the
    rest comes from all other zones.

    Args:
        servers: The zones of the servers by name.
        back_ends: The zones of the back ends by name.
        k: Back ends in a subset.
    """
    subsets: SubsetsByServer = {}
    for zone in sorted(set(servers.values())):
        here = [name for name, of in servers.items() if of == zone]
        near = [name for name, of in back_ends.items() if of == zone]
        far = [name for name, of in back_ends.items() if of != zone]
        own = apertures(here, near, k)
        more = apertures(here, far, k - min(k, len(near)))
        subsets |= {server: own[server] + more[server] for server in here}
    return subsets


def order_without_peers(server: str, back_ends: Sequence[str]) -> tuple[str, ...]:
    """Return the back ends in the order in which a server takes them that knows no other.

    Each server begins at a place of its own, so that many that know nobody do not take the same.
    """
    ring = sorted(back_ends, key=stable_hash)
    start = stable_hash(server) % max(1, len(ring))
    return tuple(ring[start:] + ring[:start])


def moved_share(before: SubsetsByServer, after: SubsetsByServer) -> float:
    """Return the share of connections that are new, of servers that are in both choices."""
    common = [server for server in before if server in after]
    connections = sum(len(after[server]) for server in common)
    new = sum(len(set(after[server]) - set(before[server])) for server in common)
    return new / max(1, connections)


class Subset:
    """The subset of one server that is in force. Times are in microseconds.

    It follows a choice that has lasted for `SETTLE_US`, by one back end each `MOVE_INTERVAL_US`. A
    back end that left keeps its place for as long, so that one that flaps moves nothing.

    Where fewer than half of the subset are well for `LACKING_US`, the next back ends help, one more
    each `MOVE_INTERVAL_US` until half are well. They go once the subset's own have been well again
    for `SETTLE_US`.

    Attributes:
        members: The subset's own back ends.
        helpers: Those that help.
    """

    def __init__(self, now: int, wanted: Sequence[str]) -> None:
        """Start with a choice in force."""
        self.members = list(wanted)
        self.helpers: list[str] = []
        self._wanted = tuple(wanted)
        self._wanted_since_us = now
        self._moved_at_us = now - MOVE_INTERVAL_US
        self._lacking_since_us: int | None = None
        self._well_since_us: int | None = None
        self._helped_at_us = now - MOVE_INTERVAL_US

    def follow(self, now: int, wanted: Sequence[str]) -> tuple[str, ...]:
        """Take the choice by the present view; return the subset from now on."""
        if tuple(wanted) != self._wanted:
            self._wanted = tuple(wanted)
            self._wanted_since_us = now
        settled = now - self._wanted_since_us >= SETTLE_US
        if settled and now - self._moved_at_us >= MOVE_INTERVAL_US:
            self._move_one(now)
        self.helpers = [name for name in self.helpers if name not in self.members]
        return tuple(self.members)

    def _move_one(self, now: int) -> None:
        """Replace one back end by one that is wanted."""
        surplus = [name for name in self.members if name not in self._wanted]
        missing = [name for name in self._wanted if name not in self.members]
        if surplus or missing:
            self._moved_at_us = now
        if missing:
            self.members.append(missing[0])
        if surplus and len(self.members) > len(self._wanted):
            self.members.remove(surplus[0])

    def with_helpers(
        self, now: int, order: Sequence[str], ejected: Collection[str]
    ) -> tuple[str, ...]:
        """Return the subset with its helpers.

        Args:
            now: The time.
            order: All back ends, the next to help first.
            ejected: Back ends that this server has ejected.
        """
        half = -(-len(self.members) // 2)
        well = sum(name not in ejected for name in self.members)
        if well >= half:
            self._lacking_since_us = None
            if self._well_since_us is None:
                self._well_since_us = now
            if now - self._well_since_us >= SETTLE_US:
                self.helpers.clear()
            return (*self.members, *self.helpers)
        self._well_since_us = None
        if self._lacking_since_us is None:
            self._lacking_since_us = now
        lacking = well + sum(name not in ejected for name in self.helpers) < half
        lasts = now - self._lacking_since_us >= LACKING_US
        if lacking and lasts and now - self._helped_at_us >= MOVE_INTERVAL_US:
            self._add_helper(now, order, ejected)
        return (*self.members, *self.helpers)

    def _add_helper(self, now: int, order: Sequence[str], ejected: Collection[str]) -> None:
        taken = {*self.members, *self.helpers, *ejected}
        helper = next((name for name in order if name not in taken), None)
        if helper is not None:
            self._helped_at_us = now
            self.helpers = [name for name in self.helpers if name not in ejected] + [helper]

    def usable(self, present: Collection[str]) -> tuple[str, ...]:
        """Return those of the subset that are present."""
        return tuple(name for name in self.members if name in present)
