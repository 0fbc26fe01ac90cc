"""The load of a server, in figures that other servers and operators may read."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """The load of a server at one time.

    Args:
        running: Number of requests on the cores.
        queued: Number of requests that wait for the cores.
        concurrency_limit: Largest number of requests that may be on the cores.
        rejected_share: Share of recent decisions that were rejections.
        run_time_ratio: Mean, over all classes, of the run time divided by its first estimate, which
            is the same on all servers; 1 where run times are as estimated.
        warming_up: Whether the server has not reached its full speed yet.
        draining: Whether the server's drain has begun.
    """

    running: int
    queued: int
    concurrency_limit: float
    rejected_share: float
    run_time_ratio: float
    warming_up: bool
    draining: bool

    @property
    def free_share(self) -> float:
        """The share of the concurrency limit that is free, from 0 to 1."""
        wanted = self.running + self.queued
        return max(0.0, 1 - wanted / max(1.0, self.concurrency_limit))
