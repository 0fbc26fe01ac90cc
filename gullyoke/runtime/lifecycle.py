"""What the decisions have said of this server as a whole, for every front to read."""

from __future__ import annotations


class Lifecycle:
    """`good`: what checks are told; `idle`.

    Microseconds after which silent connections are closed, 0 for never; `level`: the free value
    that goes out with every answer, or None; `closing`: near the stop.
    """

    __slots__ = ("closing", "good", "idle", "level", "longest_idle")

    def __init__(self, longest_idle: int) -> None:
        self.good, self.level, self.closing = True, None, False
        self.idle = self.longest_idle = longest_idle
