"""Rules for how many connections each listener may have; they depend on the counts alone."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import TypeVar

Key = TypeVar("Key", bound=Hashable)


class ConnectionLimits:
    """A limit for the connections of all listeners together.

    If there are several listeners, half of the limit is reserved in equal parts for each of them,
    so that the clients of one listener cannot use up the descriptors that another one needs.

    Args:
        max_connections: The limit.
        listener_count: How many listeners share the limit.

    Attributes:
        max_connections: The limit.
        reserved: How many connections are reserved for each listener.
    """

    def __init__(self, max_connections: int, listener_count: int = 1) -> None:
        self.listener_count = listener_count
        self.set_limit(max_connections)

    def set_listener_count(self, listener_count: int) -> None:
        """Set how many listeners share the limit."""
        self.listener_count = listener_count
        self.set_limit(self.max_connections)

    def set_limit(self, max_connections: int) -> None:
        """Set the limit; if it becomes lower, connections beyond it stay until they close."""
        self.max_connections = max_connections
        self.reserved = 0
        if self.listener_count > 1:
            self.reserved = max_connections // (2 * self.listener_count)

    def fits(self, newcomer: Key, counts: Mapping[Key, int]) -> bool:
        """Return whether a new connection leaves the other listeners their reserved connections.

        Args:
            newcomer: The listener of the new connection.
            counts: The number of connections of each listener, including the new one.
        """
        if len(counts) == 1:
            return counts[newcomer] <= self.max_connections
        others = sum(
            max(count, self.reserved)
            for listener, count in counts.items()
            if listener is not newcomer
        )
        return counts[newcomer] + others <= self.max_connections

    def may_evict(self, evicted: Key, newcomer: Key, counts: Mapping[Key, int]) -> bool:
        """Return whether a connection of `evicted` may be closed for a new one of `newcomer`."""
        return evicted is newcomer or counts[evicted] > self.reserved
