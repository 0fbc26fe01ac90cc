"""Whether a back end is asked.

Set aside by its faults, tried by one run, then let back in slowly.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from gullyoke.routing.outcomes import FAULTS, Fate


class Standing(Enum):
    """How a back end stands."""

    IN = "in"  # asked like all others
    SLOW = "slow"  # asked less: it is new, or has just come back
    AWAY = "away"  # it refuses connections; not asked until a trial
    OUT = "out"  # ejected for its faults; not asked until a trial
    TRIAL = "trial"  # one run is there to see whether it is well
    LEAVING = "leaving"  # no longer stated; it finishes what it has


ASKED = (Standing.IN, Standing.SLOW)
SET_ASIDE = (Standing.AWAY, Standing.OUT)
HALF_LIFE = 10_000_000  # microseconds in which what is counted for the share of faults halves
FLOOR = 0.1  # the share of its weight that one is asked by at the start of a slow start


class Health:
    """State of one back end.

    Nothing here grows: two decayed counts, a count in a row, a few times.

    `consecutive` faults in a row set it aside; so does a share of faults `over` that of its peers,
    once `enough` runs are counted. It stays aside for `first_out`, twice that each time it fails
    its trial or comes back and fails at once, up to `longest_out`, each drawn a little apart by
    `draw`, which gives a number from 0 to 1. Then one run is its trial, then `slow_start`. Times in
    microseconds.
    """

    def __init__(
        self,
        draw: Callable[[], float],
        consecutive: int = 5,
        over: float = 0.3,
        enough: float = 10.0,
        first_out: int = 1_000_000,
        longest_out: int = 30_000_000,
        slow_start: int = 5_000_000,
    ) -> None:
        self.draw, self.consecutive, self.over, self.enough = draw, consecutive, over, enough
        self.first_out, self.longest_out, self.slow_start = first_out, longest_out, slow_start
        self.standing, self.since = Standing.IN, 0
        self.row, self.refused, self.ejections = 0, 0, 0
        self.until = 0
        self.good, self.bad, self.counted = 0.0, 0.0, 0

    def ramp(self, now: int) -> float:
        """The share of its weight and limit that it is asked by, 0 to 1."""
        if self.standing is Standing.SLOW:
            part = FLOOR + (1 - FLOOR) * (now - self.since) / max(1, self.slow_start)
            if part < 1:
                return part
            self.to(now, Standing.IN)
        return 1.0 if self.standing is Standing.IN else 0.0

    def to(self, now: int, standing: Standing) -> None:
        self.standing, self.since = standing, now

    def share(self, now: int) -> float:
        """Its share of faults, decayed; 0 while too little is counted to tell."""
        self._decay(now)
        total = self.good + self.bad
        return self.bad / total if total >= self.enough else 0.0

    def _decay(self, now: int) -> None:
        if now > self.counted:
            keep = 0.5 ** ((now - self.counted) / HALF_LIFE)
            self.good, self.bad, self.counted = self.good * keep, self.bad * keep, now

    def ended(self, now: int, fate: Fate, peers: float, may_eject: bool) -> bool:
        """A run there ended so; whether that set it aside.

        `peers`: the share of faults of the others; `may_eject`: whether the pool can spare one
        more.
        """
        if fate is Fate.STOPPED:  # no word on the back end; a trial was none
            if self.standing is Standing.TRIAL:
                self.to(now, Standing.OUT)
            return False
        fault = fate in FAULTS
        self._decay(now)
        self.bad, self.good = self.bad + fault, self.good + (not fault)
        self.row = self.row + 1 if fault else 0
        self.refused = self.refused + 1 if fate is Fate.UNRUN else 0
        if self.standing is Standing.TRIAL:
            if fault:
                self.set_aside(now, Standing.AWAY if fate is Fate.UNRUN else Standing.OUT)
                return True
            self.good, self.bad, self.row = 0.0, 0.0, 0
            self.to(now, Standing.SLOW)
            return False
        if self.standing not in ASKED:  # it was there before: tells nothing new
            return False
        if not fault:
            if self.standing is Standing.IN:
                self.ejections = 0  # it has come through its slow start
            return False
        if self.refused >= min(
            2, self.consecutive
        ):  # nothing is risked by not asking one that is not there
            self.set_aside(now, Standing.AWAY)
            return True
        if may_eject and (self.row >= self.consecutive or self.share(now) > peers + self.over):
            self.set_aside(now, Standing.OUT)
            return True
        return False

    def set_aside(self, now: int, standing: Standing) -> None:
        span = min(self.longest_out, self.first_out << min(self.ejections, 20))
        self.ejections += 1
        self.until = now + int(span * (0.8 + 0.4 * self.draw()))
        self.row = self.refused = 0
        self.to(now, standing)

    def trial_due(self, now: int) -> bool:
        return self.standing in SET_ASIDE and now >= self.until
