"""Which back ends a server connects to, where connecting all servers to all of them costs too much.

The choice depends on the membership view alone. Servers and back ends are each ordered by a hash; a
server takes the `size` back ends that follow its own position among the servers (deterministic
apertures). docs/together-design.md compares this with rendezvous hashing with bounded loads. That
method moves fewer connections when a server leaves and more when a back end leaves, is uneven by up
to six, and its work grows with the number of servers times the number of back ends.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from typing import Final

from gullyoke.membership.member_record import stable_hash

SubsetsByServer = dict[str, tuple[str, ...]]

SETTLE_US: Final = 5_000_000  # how long a choice must last before connections move
MOVE_INTERVAL_US: Final = 1_000_000  # interval between moves, so that connections open one by one
HELP_DELAY_US: Final = 1_000_000  # how long a subset must lack healthy back ends before others help


def apertures(servers: Sequence[str], back_ends: Sequence[str], size: int) -> SubsetsByServer:
    """Return `size` back ends per server; all back ends are in equally many subsets, within one."""
    order = sorted(servers, key=stable_hash)
    ring = sorted(back_ends, key=stable_hash)
    count = min(size, len(ring))
    return {
        server: tuple(ring[(i * len(ring) // len(order) + j) % len(ring)] for j in range(count))
        for i, server in enumerate(order)
    }


def choose_subsets(
    servers: Mapping[str, str], back_ends: Mapping[str, str], size: int
) -> SubsetsByServer:
    """Return the subsets of all servers, the same for all members that have the same view.

    The servers of a zone take back ends of that zone first. If these are fewer than `size`, the
    rest come from all other zones.

    Args:
        servers: The zones of the servers by name.
        back_ends: The zones of the back ends by name.
        size: The number of back ends in a subset.
    """
    subsets: SubsetsByServer = {}
    for zone in sorted(set(servers.values())):
        in_zone = [name for name, of in servers.items() if of == zone]
        near = [name for name, of in back_ends.items() if of == zone]
        far = [name for name, of in back_ends.items() if of != zone]
        near_subsets = apertures(in_zone, near, size)
        far_subsets = apertures(in_zone, far, size - min(size, len(near)))
        subsets |= {server: near_subsets[server] + far_subsets[server] for server in in_zone}
    return subsets


def order_without_peers(server: str, back_ends: Sequence[str]) -> tuple[str, ...]:
    """Return the order in which a server that knows no other server takes back ends.

    Each server starts at its own position, so that many such servers do not take the same ones.
    """
    ring = sorted(back_ends, key=stable_hash)
    start = stable_hash(server) % max(1, len(ring))
    return tuple(ring[start:] + ring[:start])


def moved_share(before: SubsetsByServer, after: SubsetsByServer) -> float:
    """Return the share of new connections among servers that are in both choices."""
    common = [server for server in before if server in after]
    connections = sum(len(after[server]) for server in common)
    new = sum(len(set(after[server]) - set(before[server])) for server in common)
    return new / max(1, connections)


class Subset:
    """The subset in force of one server. Times are in microseconds.

    The subset changes to a choice that has lasted for `SETTLE_US`, by one back end each
    `MOVE_INTERVAL_US`. A back end that left keeps its place for `SETTLE_US`, so a flapping back end
    moves no connections.

    If fewer than half of the subset are healthy for `HELP_DELAY_US`, the next back ends in order
    are added as helpers, one each `MOVE_INTERVAL_US`, until as many as half of the subset are
    healthy. The helpers are dropped once half of the subset's own back ends have been healthy for
    `SETTLE_US`.

    Attributes:
        members: The subset's own back ends.
        helpers: Back ends that help.
    """

    def __init__(self, now: int, wanted: Sequence[str]) -> None:
        """Start with a choice in force."""
        self.members = list(wanted)
        self.helpers: list[str] = []
        self._wanted = tuple(wanted)
        self._wanted_since_us = now
        self._moved_at_us = now - MOVE_INTERVAL_US
        self._lacking_since_us: int | None = None
        self._healthy_since_us: int | None = None
        self._helped_at_us = now - MOVE_INTERVAL_US

    def follow(self, now: int, wanted: Sequence[str]) -> tuple[str, ...]:
        """Follow the choice made from the present view; return the subset from now on."""
        if tuple(wanted) != self._wanted:
            self._wanted = tuple(wanted)
            self._wanted_since_us = now
        settled = now - self._wanted_since_us >= SETTLE_US
        if settled and now - self._moved_at_us >= MOVE_INTERVAL_US:
            self._move_one(now)
        self.helpers = [name for name in self.helpers if name not in self.members]
        return tuple(self.members)

    def _move_one(self, now: int) -> None:
        """Add one missing back end, or drop one surplus one, or both."""
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
            order: All back ends in the order in which they help.
            ejected: Back ends that this server has ejected.
        """
        half = -(-len(self.members) // 2)
        healthy = sum(name not in ejected for name in self.members)
        if healthy >= half:
            self._lacking_since_us = None
            if self._healthy_since_us is None:
                self._healthy_since_us = now
            if now - self._healthy_since_us >= SETTLE_US:
                self.helpers.clear()
            return (*self.members, *self.helpers)
        self._healthy_since_us = None
        if self._lacking_since_us is None:
            self._lacking_since_us = now
        lacking = healthy + sum(name not in ejected for name in self.helpers) < half
        lasts = now - self._lacking_since_us >= HELP_DELAY_US
        if lacking and lasts and now - self._helped_at_us >= MOVE_INTERVAL_US:
            self._add_helper(now, order, ejected)
        return (*self.members, *self.helpers)

    def _add_helper(self, now: int, order: Sequence[str], ejected: Collection[str]) -> None:
        excluded = {*self.members, *self.helpers, *ejected}
        helper = next((name for name in order if name not in excluded), None)
        if helper is not None:
            self._helped_at_us = now
            self.helpers = [name for name in self.helpers if name not in ejected] + [helper]

    def usable(self, present: Collection[str]) -> tuple[str, ...]:
        """Return the back ends of the subset that are present."""
        return tuple(name for name in self.members if name in present)
