"""What the decisions have said of this server as a whole, for every front to read."""

from __future__ import annotations


class Lifecycle:
    """`good`: what checks are told; `idle`.

    Microseconds after which silent connections are closed, 0 for never; `level`: the free value
    that goes out with every answer, or None; `closing`: near the stop.
    """

    __slots__ = ("closing", "default_idle_timeout_us", "idle_timeout_us", "load_signal", "ready")

    def __init__(self, default_idle_timeout_us: int) -> None:
        self.ready, self.load_signal, self.closing = True, None, False
        self.idle_timeout_us = self.default_idle_timeout_us = default_idle_timeout_us
