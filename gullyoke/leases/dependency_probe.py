"""A dead or overloaded dependency is asked by one.

The holder of the duty tries, the rest learn the news.

A server takes it for dead when its last FAILED calls failed and none went well for SILENT. Then it
lets no call out while a holder's word that it is dead is young; without such a word it asks for
itself, seldom. A word that it is well opens it a little at first, so that all servers together do
not bring it down again.
"""

from __future__ import annotations

from collections.abc import Callable

FAILED, SILENT = 5, 500_000  # calls in a row, and microseconds since one went well
YOUNG = 3_000_000  # a holder's word counts for so long
TRIAL = 500_000  # between the holder's tries
# and between those of one that hears of no holder, half of it by chance
ALONE = 2_000_000
OPENING = 3_000_000  # after the news that it is well: so long until all may call as ever


class DependencyProbe:
    """One server's view of what it calls.

    `draw` gives a number from 0 to 1. Nothing here grows.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        self.draw, self.failed, self.well_at, self.dead = draw, 0, 0, False
        self.announced: tuple[int, int, bool] | None = (
            None  # epoch, when it came, whether it is dead
        )
        self.next, self.opened, self.lease_held = 0, None, False
        self.probes_sent = 0  # tries made at one that is taken for dead

    def record_call(self, now: int, well: bool) -> None:
        """A call of this server's ended."""
        if well:
            self.failed, self.well_at = 0, now
            if self.dead:
                self.dead, self.opened = False, now
            return
        self.failed += 1
        if self.failed >= FAILED and now - self.well_at >= SILENT and not self.dead:
            self.dead, self.opened = True, None
            self.next = now + int(TRIAL * (0.5 + self.draw()))

    def record_announcement(self, now: int, epoch: int, dead: bool) -> None:
        """A holder's word; one of an older epoch is none."""
        if (self.announced is not None and epoch < self.announced[0]) or self.lease_held:
            return
        was, self.announced = self.announced, (epoch, now, dead)
        if not dead and self.dead and (was is None or was[2] or was[0] < epoch):
            self.dead, self.opened, self.failed = False, now, 0

    def allows_call(self, now: int) -> bool:
        """Whether a call may go out now. Counted as a try where it is taken for dead."""
        if not self.dead:
            return self._open(now)
        if (
            not self.lease_held
            and self.announced is not None
            and self.announced[2]
            and now - self.announced[1] < YOUNG
        ):
            return False
        if now < self.next:
            return False
        self.next = now + (TRIAL if self.lease_held else int(ALONE * (0.5 + self.draw())))
        self.probes_sent += 1
        return True

    def _open(self, now: int) -> bool:
        """All calls, or after an outage a part that grows to all."""
        if self.opened is None:
            return True
        part = (now - self.opened) / OPENING
        if part >= 1:
            self.opened = None
            return True
        return self.draw() < max(0.1, part)

    def set_lease_held(self, held: bool) -> None:
        """This one holds the duty from now on, or no longer."""
        self.lease_held = held
        if held:
            self.announced = None
