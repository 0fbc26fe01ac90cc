"""How many requests may run on the cores at once."""

from __future__ import annotations


class RunningCap:
    """How many may run on the cores.

    Starts at the cores, grows fast while cores are free and work waits.
    """

    def __init__(self, cores: int) -> None:
        self.cores, self.now = cores, float(cores)

    def adjust(self, gauges, waiting: int, ceiling: float) -> None:
        # The share of cores busy is half a second old; what wants a core now says whether one is
        # free. Guards against a cap that runs ahead of its gauge, and so against crowding that
        # never clears.
        free = gauges.runnable < self.cores if gauges.runnable is not None else gauges.busy < 0.95
        self.now += 1 + self.now / 4 if free and waiting else (self.cores - self.now) / 4
        self.now = max(1.0, min(self.now, ceiling))
