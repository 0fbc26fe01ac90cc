"""Probing of a dependency that is down: the lease holder probes it on behalf of all servers.

A server considers the dependency dead after several failed calls in a row. It then sends no calls
while a recent announcement of the holder says that the dependency is dead. Without such an
announcement it sends probes itself, at a lower rate. When the dependency is back, each server
increases its calls gradually (slow start), so that all servers together do not overload it again.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, NamedTuple

FAILURES_TO_DEAD: Final = 5  # failed calls in a row until a dependency may count as dead
SILENCE_TO_DEAD_US: Final = 500_000  # time without a successful call that is required as well
ANNOUNCEMENT_VALID_US: Final = 3_000_000
HOLDER_PROBE_INTERVAL_US: Final = 500_000
LONE_PROBE_INTERVAL_US: Final = 2_000_000  # without announcements; drawn from 0.5 to 1.5 times this
SLOW_START_US: Final = 3_000_000  # from the dependency's return until all calls are sent
SLOW_START_MIN_SHARE: Final = 0.1  # share of the calls sent at the beginning


class HolderReport(NamedTuple):
    """The holder's last announcement: epoch, receipt time, and whether the dependency is dead."""

    epoch: int
    received_at_us: int
    dead: bool


class DependencyProbe:
    """One server's view of its dependency. All times are in microseconds.

    Attributes:
        dead: Whether this server considers the dependency dead.
        recovered_at_us: When the dependency came back, during the slow start; None otherwise.
        announced: The holder's last announcement, if any.
        probes_sent: How many calls were sent while the dependency was considered dead.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        """Start with a dependency that works; `draw` returns a random number from 0 to 1."""
        self.draw = draw
        self.dead = False
        self.recovered_at_us: int | None = None
        self.announced: HolderReport | None = None
        self.probes_sent = 0
        self._is_holder = False
        self._failures = 0
        self._last_success_us = 0
        self._next_probe_us = 0

    def record_call(self, now: int, succeeded: bool) -> None:
        """Record the result of a call of this server."""
        if succeeded:
            self._failures = 0
            self._last_success_us = now
            if self.dead:
                self.dead = False
                self.recovered_at_us = now
            return
        self._failures += 1
        silent = now - self._last_success_us >= SILENCE_TO_DEAD_US
        if self._failures >= FAILURES_TO_DEAD and silent and not self.dead:
            self.dead = True
            self.recovered_at_us = None
            self._next_probe_us = now + int(HOLDER_PROBE_INTERVAL_US * (0.5 + self.draw()))

    def record_announcement(self, now: int, epoch: int, dead: bool) -> None:
        """Record the holder's announcement; one with an older epoch is ignored."""
        last = self.announced
        if self._is_holder or (last is not None and epoch < last.epoch):
            return
        self.announced = HolderReport(epoch, now, dead)
        newer = last is None or last.dead or last.epoch < epoch
        if not dead and self.dead and newer:
            self.dead = False
            self.recovered_at_us = now
            self._failures = 0

    def admit_call(self, now: int) -> bool:
        """Decide whether a call is sent now; to be called once for each call.

        If the dependency is dead, counts the probe and schedules the next one. Ends the slow start
        once its time is over.
        """
        if not self.dead:
            return self._admit_in_slow_start(now)
        if not self._is_holder and self._announced_dead(now):
            return False
        if now < self._next_probe_us:
            return False
        if self._is_holder:
            self._next_probe_us = now + HOLDER_PROBE_INTERVAL_US
        else:
            self._next_probe_us = now + int(LONE_PROBE_INTERVAL_US * (0.5 + self.draw()))
        self.probes_sent += 1
        return True

    def set_is_holder(self, is_holder: bool) -> None:
        """Set whether this server holds the lease, and so probes on behalf of all servers."""
        self._is_holder = is_holder
        if is_holder:
            self.announced = None

    def _announced_dead(self, now: int) -> bool:
        last = self.announced
        return last is not None and last.dead and now - last.received_at_us < ANNOUNCEMENT_VALID_US

    def _admit_in_slow_start(self, now: int) -> bool:
        if self.recovered_at_us is None:
            return True
        share = (now - self.recovered_at_us) / SLOW_START_US
        if share >= 1:
            self.recovered_at_us = None
            return True
        return self.draw() < max(SLOW_START_MIN_SHARE, share)
