"""The rules that hold whatever the rest decides: memory, running requests, the drain."""

from __future__ import annotations

from gullyoke.admission.timing import TICK


class Guards:
    """What the four rules need whatever the rest decides.

    Memory, the crowd on the cores, the drain.
    """

    def __init__(self, now: int, machine, limits) -> None:
        self.machine, self.limits, self.started = machine, limits, now
        self.kb, self.notice, self.stop_at = 0.0, None, None
        self.keys: dict = {}  # kept reqs to the end of their notes; see `expire`

    def speed(self, now: int) -> float:
        """The share of its speed that the server has at the least."""
        low = self.limits.cold_capacity if self.machine.starts_cold else 1.0
        return min(1.0, low + (1 - low) * (now - self.started) / max(1, self.limits.warmup_time))

    def crowd(self, now: int) -> float:
        """What may be on the cores, with a margin (ours).

        Those at a call come back by themselves.
        """
        return (
            0.8 * self.machine.cores * (1 + (self.limits.overload_multiple - 1) * self.speed(now))
        )

    def expire(self, now: int) -> None:
        self.keys = {request: until for request, until in self.keys.items() if until > now}

    def fits(self, kb: float) -> bool:
        return self.kb + kb + len(self.keys) * self.machine.key_kb <= 0.92 * self.machine.memory_kb

    def may_run(self, request, now: int) -> bool:
        """Rule 3: nothing that came later than the grace is run.

        Near the stop nothing more is begun.
        """
        in_grace = self.notice is None or request.arrived <= self.notice + self.limits.drain_grace
        return in_grace and not self.closing(now)

    def closing(self, now: int) -> bool:
        """The stop is near: all in hand is answered now."""
        return self.stop_at is not None and now >= self.stop_at - 2 * TICK
