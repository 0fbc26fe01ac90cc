"""Decides whether the requests of a tenant are within its quota."""

from __future__ import annotations

from typing import Final

BURST_US: Final = 2_000_000
"""A bucket holds as many tokens as the quota adds in this many microseconds."""
SMALLEST_BURST: Final = 8.0
"""Least number of tokens that a bucket can hold."""
FULL: Final = 1e9
"""More tokens than any bucket can hold, so that a new bucket is full."""


class TokenBucket:
    """A token bucket of one tenant; each request takes a token.

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
            rate: Tokens added per microsecond.

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
