"""How large the fleet is, for decisions.

Never smaller than what all agreed on, and how far to trust it.
"""

from __future__ import annotations

from typing import NamedTuple

OLD = 30_000_000  # microseconds after which what was last heard is too old to go by


class SizeEstimate(NamedTuple):
    """`members`, those who are there, seen from here or not.

    `seen`, how many of them answer, as all around see it; `age`, microseconds since anything was
    last heard from another; `confidence`, from 0 to 1.
    """

    members: int
    seen: int
    age_us: int
    confidence: float

    def usable(self) -> bool:
        return self.age_us < OLD and self.confidence >= 0.5

    def in_force(self, told: int) -> int:
        """What decisions go by: the agreed size where it can be trusted, what was told at the start
        elsewhere.

        Guards against a side of a cut that takes the part of those it does not see: both sides
        would.
        """
        return max(1, self.members) if self.usable() else told


def estimate_size(members: int, lost: float, age: int, equal: float, inside: bool) -> SizeEstimate:
    """`equal` is the share of those lately heard whose view was the same."""
    seen = max(1, round(members * (1 - lost))) if members else 0
    confidence = (1 - lost) * (0.5 + 0.5 * equal) if inside else 0.0
    return SizeEstimate(members, seen, age, confidence)
