"""Which back ends a server keeps connections to, where all to all costs too much.

Told by the view alone.

Both sides stand in an order of hashes; each server takes `k` back ends in a row from where its
place among the servers falls among the back ends (deterministic apertures). docs/together-design.md
weighs it against rendezvous hashing with bounded loads: that moves less when a server goes, more
when a back end goes, is uneven by up to six, and its work grows with the product of both sides.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

from gullyoke.membership.row import whole

SubsetsByServer = dict[str, tuple[str, ...]]

SETTLE_US = 5_000_000  # microseconds for which a choice must stand before anything moves
MOVE_INTERVAL_US = 1_000_000  # between two moves: a change of view is no flood of connections
LACKING_US = 1_000_000  # and for which half of a subset must be ill before others help out


def apertures(servers: Sequence[str], back_ends: Sequence[str], k: int) -> SubsetsByServer:
    """Each back end in as many subsets as any other, within one."""
    order, ring = sorted(servers, key=whole), sorted(back_ends, key=whole)
    n, m = len(order), len(ring)
    take = min(k, m)
    return {
        server: tuple(ring[(i * m // n + j) % m] for j in range(take))
        for i, server in enumerate(order)
    }


def choose_subsets(
    servers: Mapping[str, str], back_ends: Mapping[str, str], k: int
) -> SubsetsByServer:
    """The subsets of all servers, names by zone on both sides.

    A zone's servers take the zone's own back ends first; where these are fewer than `k`, the rest
    comes from all other zones, even over these. The same for all who see the same.
    """
    out: SubsetsByServer = {}
    for zone in sorted(set(servers.values())):
        here = [s for s, z in servers.items() if z == zone]
        near = [b for b, z in back_ends.items() if z == zone]
        far = [b for b, z in back_ends.items() if z != zone]
        own, more = apertures(here, near, k), apertures(here, far, k - min(k, len(near)))
        out |= {s: own[s] + more[s] for s in here}
    return out


def order_without_peers(server: str, back_ends: Sequence[str]) -> tuple[str, ...]:
    """The order in which one that knows of no other takes the back ends.

    From a place of its own, so that many who know of nobody do not all take the same.
    """
    ring = sorted(back_ends, key=whole)
    start = whole(server) % max(1, len(ring))
    return tuple(ring[start:] + ring[:start])


def moved_share(before: SubsetsByServer, after: SubsetsByServer) -> float:
    """The share of connections that are opened anew, at servers that are there both times."""
    kept = [server for server in before if server in after]
    links = sum(len(after[server]) for server in kept)
    return sum(len(set(after[server]) - set(before[server])) for server in kept) / max(1, links)


class Subset:
    """One server's subset in force.

    It follows what is chosen once that has stood for SETTLE, one back end each PACE; the place of
    one that is gone is kept for as long, so that one that flaps moves nothing.

    Where fewer than half of it are well, as seen from here, for LACKING, the next in order help
    out, one each PACE, until half are; they go when its own are well again for SETTLE. Table:
    `held` and `help`, each at most as many as are chosen and one.
    """

    def __init__(self, now: int, wanted: Sequence[str]) -> None:
        self.held, self.help = list(wanted), []
        self.wanted, self.since, self.moved_at = tuple(wanted), now, now - MOVE_INTERVAL_US
        self.lacks, self.enough, self.helped_at = None, None, now - MOVE_INTERVAL_US

    def follow(self, now: int, wanted: Sequence[str]) -> tuple[str, ...]:
        """The subset from now on, where this is what is chosen by the view of now."""
        if tuple(wanted) != self.wanted:
            self.wanted, self.since = tuple(wanted), now
        if now - self.since >= SETTLE_US and now - self.moved_at >= MOVE_INTERVAL_US:
            surplus = [b for b in self.held if b not in self.wanted]
            missing = [b for b in self.wanted if b not in self.held]
            if surplus or missing:
                self.moved_at = now
            if missing:
                self.held.append(missing[0])
            if surplus and len(self.held) > len(self.wanted):
                self.held.remove(surplus[0])
        self.help = [b for b in self.help if b not in self.held]
        return tuple(self.held)

    def helped(self, now: int, order: Sequence[str], ill: Collection[str]) -> tuple[str, ...]:
        """The subset with those who help out.

        `order`: all back ends, the next first; `ill`: those that are set aside here.
        """
        half = -(-len(self.held) // 2)
        own = sum(b not in ill for b in self.held)
        if own >= half:
            self.lacks = None
            self.enough = self.enough if self.enough is not None else now
            if now - self.enough >= SETTLE_US:
                self.help.clear()
        else:
            self.enough = None
            self.lacks = self.lacks if self.lacks is not None else now
            short = own + sum(b not in ill for b in self.help) < half
            if (
                short
                and now - self.lacks >= LACKING_US
                and now - self.helped_at >= MOVE_INTERVAL_US
            ):
                taken = {*self.held, *self.help, *ill}
                more = next((b for b in order if b not in taken), None)
                if more is not None:
                    self.helped_at = now
                    self.help = [b for b in self.help if b not in ill] + [more]
        return (*self.held, *self.help)

    def usable(self, there: Collection[str]) -> tuple[str, ...]:
        """Those of it that are there: who is gone is not used from the moment it is known."""
        return tuple(b for b in self.held if b in there)
