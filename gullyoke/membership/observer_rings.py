"""Who observes whom, by the view alone: `k` rings, each the members in an order of its own.

On each ring a member is observed by the one before it and observes the one after it (Rapid's
expander of rings, Suresh et al. 2018). Same view, same observers, nothing asked; one that comes or
goes changes `k` pairs and no others. In a fleet of `k` + 1 and less everybody observes everybody.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from functools import lru_cache

from gullyoke.membership.member_record import stable_hash

Place = tuple[int, int]  # where on a ring, and who


@lru_cache(maxsize=1 << 17)
def place(ring: int, member: int) -> Place:
    return stable_hash(f"{ring} {member}"), member


class ObserverRings:
    """Table: each member once on each ring; left when it leaves the view.

    `version` grows with each change.
    """

    def __init__(self, k: int) -> None:
        self.k, self.version = k, 0
        self.rings: list[list[Place]] = [[] for _ in range(k)]
        self.members: set[int] = set()

    def __len__(self) -> int:
        return len(self.members)

    def add(self, member: int) -> None:
        if member not in self.members:
            self.members.add(member)
            self.version += 1
            for r, ring in enumerate(self.rings):
                insort(ring, place(r, member))

    def remove(self, member: int) -> None:
        if member in self.members:
            self.members.discard(member)
            self.version += 1
            for r, ring in enumerate(self.rings):
                del ring[bisect_left(ring, place(r, member))]

    def observers(self, member: int) -> set[int]:
        return self._beside(member, -1)

    def subjects(self, member: int) -> set[int]:
        return self._beside(member, 1)

    def _beside(self, member: int, step: int) -> set[int]:
        if member not in self.members:
            return set()
        if len(self.members) <= self.k + 1:
            return self.members - {member}
        found = set()
        for r, ring in enumerate(self.rings):
            at = bisect_left(ring, place(r, member)) + step
            found.add(ring[at % len(ring)][1])
        return found
