"""Probing of a dependency that is down: the lease holder probes it, all others wait for its word.

A server takes the dependency for dead after a row of failed calls. It then lets no call out while a
young announcement of the holder says that the dependency is dead. Without such an announcement it
probes by itself, seldom. When the dependency is back, calls are let out little by little, so that
all servers together do not overload it again.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, NamedTuple

FAILURES_TO_DEAD: Final = 5  # failed calls in a row from which a dependency may count as dead
SILENCE_TO_DEAD_US: Final = 500_000  # and no successful call for so long
ANNOUNCEMENT_VALID_US: Final = 3_000_000
HOLDER_PROBE_INTERVAL_US: Final = 500_000
LONE_PROBE_INTERVAL_US: Final = 2_000_000  # without a holder's announcement, from half of it on
SLOW_START_US: Final = 3_000_000  # after the dependency is back, until all calls are let out
SLOW_START_LEAST_SHARE: Final = 0.1  # of the calls, at the beginning


class HolderReport(NamedTuple):
    """The holder's last announcement: its epoch, when it came, and whether it says dead."""

    epoch: int
    received_at_us: int
    dead: bool


class DependencyProbe:
    """One server's view of its dependency. All times are in microseconds.

    Attributes:
        dead: Whether the dependency is taken for dead.
        opened: When it came back, while calls are let out little by little; None otherwise.
        announced: The holder's last announcement, if any.
        probes_sent: How many calls were let out to a dependency that is taken for dead.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        """Start with a dependency that is up; `draw` returns a random number from 0 to 1."""
        self.draw = draw
        self.dead = False
        self.opened: int | None = None
        self.announced: HolderReport | None = None
        self.probes_sent = 0
        self._lease_held = False
        self._failures = 0
        self._last_success_us = 0
        self._next_probe_us = 0

    def record_call(self, now: int, succeeded: bool) -> None:
        """Take the result of a call of this server."""
        if succeeded:
            self._failures = 0
            self._last_success_us = now
            if self.dead:
                self.dead = False
                self.opened = now
            return
        self._failures += 1
        silent = now - self._last_success_us >= SILENCE_TO_DEAD_US
        if self._failures >= FAILURES_TO_DEAD and silent and not self.dead:
            self.dead = True
            self.opened = None
            self._next_probe_us = now + int(HOLDER_PROBE_INTERVAL_US * (0.5 + self.draw()))

    def record_announcement(self, now: int, epoch: int, dead: bool) -> None:
        """Take the holder's announcement; one of an older epoch is ignored."""
        last = self.announced
        if self._lease_held or (last is not None and epoch < last.epoch):
            return
        self.announced = HolderReport(epoch, now, dead)
        is_news = last is None or last.dead or last.epoch < epoch
        if not dead and self.dead and is_news:
            self.dead = False
            self.opened = now
            self._failures = 0

    def allows_call(self, now: int) -> bool:
        """Tell whether a call may go out now; to be called once for each call."""
        if not self.dead:
            return self._allows_in_slow_start(now)
        if not self._lease_held and self._announced_dead(now):
            return False
        if now < self._next_probe_us:
            return False
        if self._lease_held:
            self._next_probe_us = now + HOLDER_PROBE_INTERVAL_US
        else:
            self._next_probe_us = now + int(LONE_PROBE_INTERVAL_US * (0.5 + self.draw()))
        self.probes_sent += 1
        return True

    def set_lease_held(self, held: bool) -> None:
        """Set whether this server holds the lease, and so probes for all."""
        self._lease_held = held
        if held:
            self.announced = None

    def _announced_dead(self, now: int) -> bool:
        last = self.announced
        return last is not None and last.dead and now - last.received_at_us < ANNOUNCEMENT_VALID_US

    def _allows_in_slow_start(self, now: int) -> bool:
        if self.opened is None:
            return True
        share = (now - self.opened) / SLOW_START_US
        if share >= 1:
            self.opened = None
            return True
        return self.draw() < max(SLOW_START_LEAST_SHARE, share)
