"""What clients are told: health, advice when to come back, idle connections."""

from __future__ import annotations

import math

from gullyoke.admission.interface import Reject


class Advice:
    """Health answers, and when those turned away should come back."""

    def __init__(self, executor, permissions, beside) -> None:
        self.executor, self.permissions, self.beside, self.level = (
            executor,
            permissions,
            beside,
            1.0,
        )
        self.shedding, self.idle, self.told = 0.0, permissions.max_idle / 10, permissions.max_idle
        executor.set_health(True, True)  # checks are answered from store, at little cost

    def shed(self, hopeless: bool, leaving: bool = False, ahead: float = 0.0) -> Reject:
        self.saw(True)
        # Short: callers that all stay away for long move in herds, and overrun one server after
        # another.
        longest = self.permissions.max_retry_after if self.permissions.sends_retry_after else 0
        wait = longest if leaving else min(longest, self.beside.stay(25_000 + int(ahead) // 3))
        return Reject(wait, hopeless or self.beside.full(self.shedding > 0.25))

    def connections(self, links: float | None, callers: int) -> None:
        """Guards against a table full of connections that hardly speak, which costs work and turns
        callers away unheard: where few callers can have one, idle ones are closed soon. While many
        reqs are shed they stay, since a full table is the cheapest refusal; then it opens little by
        little, not as a flood.
        """
        longest = self.permissions.max_idle
        if links is None or not longest:
            return
        change = math.inf if links * 4 > callers else 0.98 if self.shedding < 0.5 else 1.1
        self.idle = max(longest / 10, min(longest, self.idle * change))
        if not 0.9 < self.idle / self.told < 1.1:
            self.told = self.idle
            self.executor.set_idle_timeout(int(self.idle))

    def saw(self, shed: bool) -> None:
        """Count one decision on a req.

        The share shed of late tells whether sheds feed on themselves.
        """
        self.shedding += (shed - self.shedding) / 64

    def stamp(self, speed: float) -> None:
        if self.permissions.load_signal == "weight" and abs(speed - self.level) >= 0.05:
            self.level = speed
            self.executor.set_load_signal(round(speed, 2))
