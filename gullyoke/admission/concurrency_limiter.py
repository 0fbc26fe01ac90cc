"""How many requests may run on the cores at once."""

from __future__ import annotations

from typing import Final

from gullyoke.admission.interface import Gauges

BUSY_SHARE: Final = 0.95
"""Share of the cores from which they count as busy, where what wants a core is not measured."""
SMALLEST_LIMIT: Final = 1.0


class ConcurrencyLimiter:
    """Raises the limit fast while cores are free and requests wait, and else lowers it.

    The limit starts at the number of cores, and falls back towards it.

    Args:
        cores: Cores on which requests run.
    """

    def __init__(self, cores: int) -> None:
        self.cores = cores
        self.limit = float(cores)

    def adjust(self, gauges: Gauges, queued: int, ceiling: float) -> None:
        """Adjust the limit at a tick.

        Args:
            gauges: The server's gauges; the share of busy cores is known.
            queued: Requests that wait for the cores.
            ceiling: The limit's upper bound.
        """
        # The busy share is half a second old; what wants a core now tells whether one is free. A
        # limit that ran ahead of its gauge would crowd the cores and never find out.
        if gauges.runnable is not None:
            has_free_core = gauges.runnable < self.cores
        else:
            assert gauges.busy is not None
            has_free_core = gauges.busy < BUSY_SHARE
        if has_free_core and queued:
            self.limit += 1 + self.limit / 4
        else:
            self.limit += (self.cores - self.limit) / 4
        self.limit = max(SMALLEST_LIMIT, min(self.limit, ceiling))
