"""How many runs at once one back end takes, learned from what it completes."""

from __future__ import annotations

SLOWER = 2.0  # times the usual at which runs are taken to crowd each other
CUT, LOSS = 0.9, 0.7  # what the limit is multiplied by then, and at a run that was lost
PROBE = 10_000_000  # microseconds between probes of a back end that is used up
PART, COUNT = 0.5, 8  # the part of its limit that a probe leaves it, and how many runs are measured


class Limit:
    """Grows by one a round of runs while it is used up and runs take no longer than usual.

    Falls by a tenth once a usual run's time while they take twice that, and faster where runs are
    lost.

    `usual` is the lowest smoothed time seen, and what a probe sees: now and then a back end that is
    used up gets half of its limit for as long as it takes to measure a few runs. Without probes one
    that was crowded from the start would look usual; with a usual time that drifts upwards instead,
    the limit crept up with it without end (tried, 47 where 8 crowd; tests/routing). It needs no
    knowledge of handlers: a mix that changes moves it at the next probe. Times in microseconds.
    """

    def __init__(self, first: int, least: int, most: int) -> None:
        self.least, self.most = least, most
        self.now = float(min(max(first, least), most))
        self.lately = self.usual = 0.0
        self.cut_at: int | None = None
        self.probed: int | None = None
        self.before, self.passing, self.seen, self.sum = 0.0, 0, 0, 0

    def state(self, least: int, most: int) -> None:
        """Other bounds from now on."""
        self.least, self.most = least, most
        self.now = float(min(max(self.now, least), most))

    def done(self, now: int, took: int, in_hand: int) -> None:
        """A run ended well after `took`; `in_hand` were there with it."""
        if self.probed is None:
            self.probed = now
        if self.before:
            self._probing(now, took)
            return
        self.lately += (took - self.lately) / (8 if self.lately else 1)
        self.usual = min(self.usual or self.lately, self.lately)
        if self.lately > SLOWER * self.usual:
            self._cut(now, CUT)
        elif in_hand >= int(self.now):
            if now - self.probed >= PROBE and self.now > self.least:
                self.before, self.passing, self.seen, self.sum = self.now, in_hand, 0, 0
                self.now = max(float(self.least), self.now * PART)
            else:
                self.now = min(self.most, self.now + 1 / self.now)

    def _probing(self, now: int, took: int) -> None:
        """Runs that began before the probe end first, then the probe's own are measured."""
        if self.passing:
            self.passing -= 1
            return
        self.seen, self.sum = self.seen + 1, self.sum + took
        if self.seen == COUNT:
            self.usual = self.sum / COUNT
            self.now, self.before, self.probed = min(self.before, self.most), 0.0, now

    def lost(self, now: int) -> None:
        """A run was lost or stalled there."""
        self._cut(now, LOSS)

    def _cut(self, now: int, by: float) -> None:
        """Not again before a usual run has shown what the last cut did."""
        if self.cut_at is None or now - self.cut_at >= self.usual:
            self.cut_at, self.now = now, max(float(self.least), self.now * by)

    def cold(self) -> None:
        """It comes back as a new process may: its learned times are forgotten, the limit halved."""
        self.lately = self.usual = self.before = 0.0
        self.probed = None
        self.now = max(float(self.least), self.now / 2)
