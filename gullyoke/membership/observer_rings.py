"""The assignment of observers to members, computed from the view alone.

There are `ring_count` rings, each with all members in its own pseudo-random order. On each ring a
member observes its successor: the expander graph of Rapid (Suresh et al. 2018). Equal views give
equal observers without any message. A member that joins or leaves changes only the pairs next to it
on each ring. In a fleet of at most `ring_count` + 1 members all observe each other.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from functools import lru_cache
from typing import Final

from gullyoke.membership.member_record import stable_hash

CACHED_POSITIONS: Final = 1 << 17

RingPosition = tuple[int, int]  # the hash that orders the ring, and the member's id


@lru_cache(maxsize=CACHED_POSITIONS)
def ring_position(ring: int, member: int) -> RingPosition:
    """Return a member's position on a ring."""
    return stable_hash(f"{ring} {member}"), member


class ObserverRings:
    """The rings over the members of a view.

    Attributes:
        ring_count: The number of rings.
        version: Counts changes, so that callers can tell whether derived data is out of date.
        rings: The sorted positions of each ring.
        members: The ids on the rings.
    """

    def __init__(self, ring_count: int) -> None:
        self.ring_count = ring_count
        self.version = 0
        self.rings: list[list[RingPosition]] = [[] for _ in range(ring_count)]
        self.members: set[int] = set()

    def __len__(self) -> int:
        return len(self.members)

    def copy(self) -> ObserverRings:
        """Return an independent copy."""
        other = ObserverRings(self.ring_count)
        other.version = self.version
        other.rings = [list(ring) for ring in self.rings]
        other.members = set(self.members)
        return other

    def add(self, member: int) -> None:
        """Add a member to each ring, unless it is there already."""
        if member in self.members:
            return
        self.members.add(member)
        self.version += 1
        for index, ring in enumerate(self.rings):
            insort(ring, ring_position(index, member))

    def remove(self, member: int) -> None:
        """Remove a member from each ring, if it is there."""
        if member not in self.members:
            return
        self.members.discard(member)
        self.version += 1
        for index, ring in enumerate(self.rings):
            del ring[bisect_left(ring, ring_position(index, member))]

    def observers(self, member: int) -> set[int]:
        """Return the ids of a member's observers; empty if it is not on the rings."""
        return self._neighbours(member, -1)

    def subjects(self, member: int) -> set[int]:
        """Return the ids of the members that a member observes; empty if it is not on the rings."""
        return self._neighbours(member, 1)

    def _neighbours(self, member: int, step: int) -> set[int]:
        if member not in self.members:
            return set()
        if len(self.members) <= self.ring_count + 1:
            return self.members - {member}
        found = set()
        for index, ring in enumerate(self.rings):
            at = bisect_left(ring, ring_position(index, member)) + step
            found.add(ring[at % len(ring)][1])
        return found
