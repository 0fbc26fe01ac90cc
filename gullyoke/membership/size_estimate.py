"""The estimated size of the fleet, and the confidence in it."""

from __future__ import annotations

from typing import Final, NamedTuple

MAX_AGE_US: Final = 30_000_000  # an estimate based on older messages is not used
MIN_CONFIDENCE: Final = 0.5  # an estimate with less confidence is not used


class SizeEstimate(NamedTuple):
    """The fleet's size as one member knows it.

    Attributes:
        members: The number of members in the view, reachable or not.
        seen: The number of them that are reachable according to this member and its peers.
        age_us: Microseconds since a message from another member was last received.
        confidence: The confidence in the estimate, from 0 to 1.
    """

    members: int
    seen: int
    age_us: int
    confidence: float

    def usable(self) -> bool:
        """Return whether the estimate is recent and confident enough to act on."""
        return self.age_us < MAX_AGE_US and self.confidence >= MIN_CONFIDENCE

    def in_force(self, configured: int) -> int:
        """Return the size to use in decisions: the number of members in the view, or `configured`.

        Unreachable members count: otherwise each side of a partition would take over the other
        side's share.

        Args:
            configured: The size to use if the estimate is not usable.
        """
        return max(1, self.members) if self.usable() else configured


def estimate_size(
    members: int, lost: float, age_us: int, same_view: float, joined: bool
) -> SizeEstimate:
    """Return the estimate for a view.

    Args:
        members: The number of members in the view.
        lost: The share of them that is considered unreachable, from 0 to 1.
        age_us: Microseconds since a message from another member was last received.
        same_view: The share of recent peers whose view is the same.
        joined: Whether this member is part of the fleet; if not, the confidence is 0.
    """
    seen = max(1, round(members * (1 - lost))) if members else 0
    confidence = (1 - lost) * (0.5 + 0.5 * same_view) if joined else 0.0
    return SizeEstimate(members, seen, age_us, confidence)
