"""How loaded a server is, in figures that others may read."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """The figures of one moment.

    Args:
        running: Requests on the cores.
        queued: Requests that wait for the cores.
        concurrency_limit: How many may be on the cores.
        rejected_share: Share of the decisions of late that were rejections.
        pace: Run times over the first guesses at them, in the mean of the classes; 1 where they
            are as planned. The same guesses are made on all servers.
        warming_up: Whether the server has not reached its full speed.
        draining: Whether its drain has begun.
    """

    running: int
    queued: int
    concurrency_limit: float
    rejected_share: float
    pace: float
    warming_up: bool
    draining: bool

    @property
    def free_share(self) -> float:
        """The share of what the server could run that is free, from 0 to 1."""
        wanted = self.running + self.queued
        return max(0.0, 1 - wanted / max(1.0, self.concurrency_limit))
