"""Which back ends a server keeps connections to, where all to all costs too much: told by the view alone.

Both sides stand in an order of hashes; each server takes `k` back ends in a row from where its place among
the servers falls among the back ends (deterministic apertures). docs/together-design.md weighs it against
rendezvous hashing with bounded loads: that moves less when a server goes, more when a back end goes, is
uneven by up to six, and its work grows with the product of both sides."""
from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

from gullyoke.members.row import whole

Chosen = dict[str, tuple[str, ...]]

SETTLE = 5_000_000                     # microseconds for which a choice must stand before anything moves
PACE = 1_000_000                       # between two moves: a change of view is no flood of connections


def apertures(servers: Sequence[str], back_ends: Sequence[str], k: int) -> Chosen:
    """Each back end in as many subsets as any other, within one."""
    order, ring = sorted(servers, key=whole), sorted(back_ends, key=whole)
    n, m = len(order), len(ring)
    take = min(k, m)
    return {server: tuple(ring[(i * m // n + j) % m] for j in range(take)) for i, server in enumerate(order)}


def chosen(servers: Mapping[str, str], back_ends: Mapping[str, str], k: int) -> Chosen:
    """The subsets of all servers, names by zone on both sides. A zone's servers take the zone's own back ends
    first; where these are fewer than `k`, the rest comes from all other zones, even over these. The same for
    all who see the same."""
    out: Chosen = {}
    for zone in sorted(set(servers.values())):
        here = [s for s, z in servers.items() if z == zone]
        near = [b for b, z in back_ends.items() if z == zone]
        far = [b for b, z in back_ends.items() if z != zone]
        own, more = apertures(here, near, k), apertures(here, far, k - min(k, len(near)))
        out |= {s: own[s] + more[s] for s in here}
    return out


def moved(before: Chosen, after: Chosen) -> float:
    """The share of connections that are opened anew, at servers that are there both times."""
    kept = [server for server in before if server in after]
    links = sum(len(after[server]) for server in kept)
    return sum(len(set(after[server]) - set(before[server])) for server in kept) / max(1, links)


class Subset:
    """One server's subset in force. It follows what is chosen once that has stood for SETTLE, one back end
    each PACE; the place of one that is gone is kept for as long, so that one that flaps moves nothing."""

    def __init__(self, now: int, wanted: Sequence[str]) -> None:
        self.held = list(wanted)
        self.wanted, self.since, self.moved_at = tuple(wanted), now, now - PACE

    def follow(self, now: int, wanted: Sequence[str]) -> tuple[str, ...]:
        """The subset from now on, where this is what is chosen by the view of now."""
        if tuple(wanted) != self.wanted:
            self.wanted, self.since = tuple(wanted), now
        if now - self.since >= SETTLE and now - self.moved_at >= PACE:
            surplus = [b for b in self.held if b not in self.wanted]
            missing = [b for b in self.wanted if b not in self.held]
            if surplus or missing:
                self.moved_at = now
            if missing:
                self.held.append(missing[0])
            if surplus and len(self.held) > len(self.wanted):
                self.held.remove(surplus[0])
        return tuple(self.held)

    def usable(self, there: Collection[str]) -> tuple[str, ...]:
        """Those of it that are there: who is gone is not used from the moment it is known."""
        return tuple(b for b in self.held if b in there)
