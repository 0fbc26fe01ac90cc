"""How many connections each listener may have. Pure: counts in, a verdict out."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import TypeVar

Key = TypeVar("Key", bound=Hashable)


class ConnectionLimits:
    """One limit for the connections of all listeners together.

    Where there are several listeners, each is assured an equal part of half of the limit, so that
    the clients of one cannot use all descriptors up while another must go on.

    Args:
        max_connections: The limit.
        listener_count: How many listeners share it.

    Attributes:
        max_connections: The limit.
        assured: How many connections each listener can have whatever the others have.
    """

    def __init__(self, max_connections: int, listener_count: int = 1) -> None:
        self.listener_count = listener_count
        self.set_limit(max_connections)

    def set_listener_count(self, listener_count: int) -> None:
        """Share the limit between so many listeners from now on."""
        self.listener_count = listener_count
        self.set_limit(self.max_connections)

    def set_limit(self, max_connections: int) -> None:
        """Set the limit; connections beyond a lower one stay until they close."""
        self.max_connections = max_connections
        self.assured = 0
        if self.listener_count > 1:
            self.assured = max_connections // (2 * self.listener_count)

    def fits(self, newcomer: Key, counts: Mapping[Key, int]) -> bool:
        """Return whether a new connection leaves the other listeners what they are assured.

        Args:
            newcomer: The listener it came by.
            counts: The connections of each listener, the new one included.
        """
        others = sum(
            max(count, self.assured)
            for listener, count in counts.items()
            if listener is not newcomer
        )
        return counts[newcomer] + others <= self.max_connections

    def may_evict(self, loser: Key, newcomer: Key, counts: Mapping[Key, int]) -> bool:
        """Return whether a connection of `loser` may be closed for a new one of `newcomer`."""
        return loser is newcomer or counts[loser] > self.assured
