"""The server's state as a whole, as the controller decided it, for every frontend to read."""

from __future__ import annotations


class Lifecycle:
    """What frontends tell clients of this server.

    Each attribute is replaced whole, so it is read without a lock.

    Args:
        default_idle_timeout_us: The idle timeout until the controller sets a shorter one.

    Attributes:
        ready: Whether health checks are answered with success.
        load_signal: The value sent with every answer; None for none.
        closing: Whether the end of the drain has come, and no new connection is served.
        idle_timeout_us: After how many microseconds idle connections are closed; 0 for never.
        default_idle_timeout_us: The idle timeout where the controller sets none.
    """

    __slots__ = ("closing", "default_idle_timeout_us", "idle_timeout_us", "load_signal", "ready")

    def __init__(self, default_idle_timeout_us: int) -> None:
        self.ready = True
        self.load_signal: float | None = None
        self.closing = False
        self.idle_timeout_us = default_idle_timeout_us
        self.default_idle_timeout_us = default_idle_timeout_us
