"""Limits how many requests run on the cores at once."""

from __future__ import annotations

from typing import Final

from gullyoke.admission.interface import Gauges

BUSY_SHARE: Final = 0.95
"""Busy share from which no core counts as free, if the runnable requests are not measured."""
SMALLEST_LIMIT: Final = 1.0


class ConcurrencyLimiter:
    """Raises the limit fast while cores are free and requests are queued.

    The limit starts at the number of cores, and otherwise moves back toward it.

    Args:
        cores: Cores on which requests run.
    """

    def __init__(self, cores: int) -> None:
        self.cores = cores
        self.limit = float(cores)

    def adjust(self, gauges: Gauges, queued: int, ceiling: float) -> None:
        """Adjust the limit at a tick.

        Args:
            gauges: The server's gauges; `busy` is not None.
            queued: Requests that wait for the cores.
            ceiling: The upper bound of the limit.
        """
        # The busy share is half a second old; the runnable requests show whether a core is free
        # now. A limit raised on an outdated gauge would overload the cores without noticing.
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
