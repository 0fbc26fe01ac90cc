"""How many members the fleet has, and how far that figure can be trusted."""

from __future__ import annotations

from typing import Final, NamedTuple

MAX_AGE_US: Final = 30_000_000  # an estimate on messages older than this is not used
MIN_CONFIDENCE: Final = 0.5  # an estimate of less confidence is not used


class SizeEstimate(NamedTuple):
    """The fleet's size as one member knows it.

    Attributes:
        members: Members of the view, reachable from here or not.
        seen: How many of them are reachable, as this member and its peers see it.
        age_us: Microseconds since a message of another member was last received.
        confidence: From 0 to 1.
    """

    members: int
    seen: int
    age_us: int
    confidence: float

    def usable(self) -> bool:
        """Return whether the estimate is recent and sure enough to act on."""
        return self.age_us < MAX_AGE_US and self.confidence >= MIN_CONFIDENCE

    def in_force(self, configured: int) -> int:
        """Return the size that decisions go by: the view's, or the configured one.

        The view's size is never reduced by members that are merely unreachable: each side of a
        partition would otherwise take over the other one's part.

        Args:
            configured: The size to use where the estimate is not usable.
        """
        return max(1, self.members) if self.usable() else configured


def estimate_size(
    members: int, lost: float, age_us: int, same_view: float, joined: bool
) -> SizeEstimate:
    """Return the estimate for a view.

    Args:
        members: The number of members in the view.
        lost: The share of them taken for unreachable, from 0 to 1.
        age_us: Microseconds since a message of another member was last received.
        same_view: The share of recent peers whose view is the same.
        joined: Whether this member is part of the fleet; without it there is no confidence.
    """
    seen = max(1, round(members * (1 - lost))) if members else 0
    confidence = (1 - lost) * (0.5 + 0.5 * same_view) if joined else 0.0
    return SizeEstimate(members, seen, age_us, confidence)
