"""Limits that no other decision may exceed: memory, running requests and the drain."""

from __future__ import annotations

from typing import Final

from gullyoke.admission.interface import Limits, Machine, Request
from gullyoke.admission.timing import TICK_US

USED_MEMORY_SHARE: Final = 0.92
"""Largest share of the memory that is used."""
USED_OVERLOAD_SHARE: Final = 0.8
"""Used share of the largest number of running requests that the server survives."""
STOP_MARGIN_US: Final = 2 * TICK_US
"""All requests are answered at the latest this many microseconds before the stop."""


class SafetyLimits:
    """Checks the limits on memory and running requests, and the rules of warm-up and drain.

    Args:
        now: The time in microseconds.
        machine: The server's machine.
        limits: The limits.
    """

    def __init__(self, now: int, machine: Machine, limits: Limits) -> None:
        self.machine = machine
        self.limits = limits
        self.started_at = now
        self.memory_kb = 0.0  # in use, without remembered keys
        self.drain_notified_at: int | None = None
        self.stop_at: int | None = None
        self.key_expiries: dict[Request, int] = {}

    def speed(self, now: int) -> float:
        """Return a lower bound of the server's speed, as a share of its full speed."""
        start = self.limits.warmup_capacity if self.machine.needs_warmup else 1.0
        age = now - self.started_at
        return min(1.0, start + (1 - start) * age / max(1, self.limits.warmup_time))

    def max_on_cores(self, now: int) -> float:
        """Return how many requests may be on the cores, with a margin.

        Requests that wait for a dependency call count too: they resume without being dispatched.
        """
        return (
            USED_OVERLOAD_SHARE
            * self.machine.cores
            * (1 + (self.limits.overload_multiple - 1) * self.speed(now))
        )

    def expire_keys(self, now: int) -> None:
        """Drop the remembered keys that have expired."""
        self.key_expiries = {
            request: expiry for request, expiry in self.key_expiries.items() if expiry > now
        }

    def has_memory(self, kilobytes: float) -> bool:
        """Return whether `kilobytes` more memory may be used."""
        used = self.memory_kb + kilobytes + len(self.key_expiries) * self.machine.key_kb
        return used <= USED_MEMORY_SHARE * self.machine.memory_kb

    def may_run(self, request: Request, now: int) -> bool:
        """Return whether the drain allows the request to run.

        Requests that arrived after the grace period never run, and none starts shortly before the
        stop.
        """
        in_grace = (
            self.drain_notified_at is None
            or request.arrived <= self.drain_notified_at + self.limits.drain_grace
        )
        return in_grace and not self.is_stopping(now)

    def is_stopping(self, now: int) -> bool:
        """Return whether the stop is so near that all requests have to be answered now."""
        return self.stop_at is not None and now >= self.stop_at - STOP_MARGIN_US
