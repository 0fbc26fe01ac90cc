"""Whether a tenant's requests are within its quota."""

from __future__ import annotations

from typing import Final

BURST_US: Final = 2_000_000
"""A bucket holds the tokens of so many microseconds."""
SMALLEST_BURST: Final = 8.0
"""Tokens that a bucket holds at least."""
FULL: Final = 1e9
"""More tokens than any bucket holds: the first request finds it full."""


class TokenBucket:
    """One tenant's requests, a token each.

    Args:
        now: The time in microseconds.
    """

    __slots__ = ("refilled_at", "tokens")

    def __init__(self, now: int) -> None:
        self.tokens = FULL
        self.refilled_at = now

    def take(self, now: int, rate: float) -> bool:
        """Take a token for a request, if there is one.

        Args:
            now: The time in microseconds.
            rate: Tokens that come back in a microsecond.

        Returns:
            Whether the request is within the quota.
        """
        capacity = max(SMALLEST_BURST, rate * BURST_US)
        self.tokens = min(capacity, self.tokens + rate * (now - self.refilled_at))
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
