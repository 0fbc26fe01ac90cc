"""The state of the server as a whole, which the controller sets and all front ends read."""

from __future__ import annotations


class Lifecycle:
    """The state of the server that front ends show to clients.

    Attributes are read without a lock, since each is replaced as a whole.

    Args:
        default_idle_timeout_us: The idle timeout that applies while the controller sets none.

    Attributes:
        ready: Whether health checks are answered with success.
        load_signal: The value sent with every answer; None if no value is sent.
        closing: Whether the last part of the drain has begun, in which connections are closed and
            none is accepted.
        idle_timeout_us: After how many microseconds idle connections are closed; 0 for never.
        default_idle_timeout_us: The idle timeout that applies while the controller sets none.
    """

    __slots__ = ("closing", "default_idle_timeout_us", "idle_timeout_us", "load_signal", "ready")

    def __init__(self, default_idle_timeout_us: int) -> None:
        self.ready = True
        self.load_signal: float | None = None
        self.closing = False
        self.idle_timeout_us = default_idle_timeout_us
        self.default_idle_timeout_us = default_idle_timeout_us
