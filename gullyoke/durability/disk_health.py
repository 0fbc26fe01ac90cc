"""How a disk is, told by what calls on it return, how long they take and how much room is left.

It turns bad at once and well slowly: a trial has to go well GOOD times in a row over a span that
doubles each time the disk turns bad again soon after, and then promises are taken little by little.
What does not come back counts as it goes on: a call that is out for longer than STALL is a stall,
though nothing was returned.

The span that grows with each relapse is flap damping (RFC 2439) with a doubling in the place of its
penalty; the slow return is that of routing's ejected back ends.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

STALL = 1_000_000  # microseconds that a call may be out
TRIAL, TRIAL_LONGEST = 500_000, 4_000_000  # between trials of one that is not well
GOOD = 3  # trials in a row that must go well
DWELL, DWELL_LONGEST = (
    1_000_000,
    60_000_000,
)  # it is called bad for so long at the least; doubled by relapses
RELAPSE = 10_000_000  # bad again within so long of its return, or twice its last dwell
RAMP = 4_000_000  # from its return until all promises are taken again
NEAR, CLEAR = 0.10, 0.15  # the share left: near full under the first until over the other
TIGHT, LOOSE = 0.02, 0.04  # full under the first until over the other


class DiskState(Enum):
    """In the order of how bad they are: of two that hold the later one counts."""

    HEALTHY = "well"
    NEAR_FULL = "near full"
    FULL = "full"
    FAILING = "failing"
    STALLED = "stalled"
    READ_ONLY = "read-only"
    MISSING = "gone"

    @property
    def counter_name(self) -> str:
        """The end of the name of the counter of changes to this state."""
        return self.value.replace(" ", "_").replace("-", "_")


BAD_STATES = (
    DiskState.FULL,
    DiskState.FAILING,
    DiskState.STALLED,
    DiskState.READ_ONLY,
    DiskState.MISSING,
)
FAULTS = {
    errno.ENOSPC: DiskState.FULL,
    errno.EDQUOT: DiskState.FULL,
    errno.EFBIG: DiskState.FULL,
    errno.EROFS: DiskState.READ_ONLY,
    errno.EACCES: DiskState.READ_ONLY,
    errno.EPERM: DiskState.READ_ONLY,
    errno.ENOENT: DiskState.MISSING,
    errno.ENOTDIR: DiskState.MISSING,
    errno.ESTALE: DiskState.MISSING,
    errno.ENODEV: DiskState.MISSING,
    errno.ENXIO: DiskState.MISSING,
}
ORDER = list(DiskState)


class DiskStateChange(NamedTuple):
    """From one state to another, with the cause in words."""

    at: int
    previous: DiskState
    current: DiskState
    reason: str


class DiskHealth:
    """One folder's disk.

    `heed` hears each turn. `draw` gives a number from 0 to 1. Table: `out`, calls that have not
    returned, by a number of their own: as many as there are threads that call.
    """

    def __init__(self, now: int, draw: Callable[[], float]) -> None:
        self.draw, self.out, self.count = draw, {}, 0
        self.bad: DiskState | None = None  # by what calls returned; None while they go well
        self.since, self.good, self.next, self.pause = now, 0, now, TRIAL
        self.dwell, self.returned = DWELL, now - RAMP
        self.free = 1.0  # the share of the room that is left, as last told
        self.told = DiskState.HEALTHY
        self.listeners: list[Callable[[DiskStateChange], None]] = []

    # What is seen.

    def call_started(self, now: int, what: str) -> int:
        """A call goes out; its number, for `ended`."""
        self.count += 1
        self.out[self.count] = now, what
        return self.count

    def call_finished(
        self, now: int, number: int, fault: int | None = None, trial: bool = False
    ) -> None:
        """It returned: `fault` is the system's number for what was wrong, None where it went
        well.
        """
        began, what = self.out.pop(number, (now, "a call"))
        if fault is not None:
            self._worse(
                now,
                FAULTS.get(fault, DiskState.FAILING),
                f"{what}: {errno.errorcode.get(fault, fault)}",
            )
        elif now - began > STALL:
            self._worse(now, DiskState.STALLED, f"{what} took {(now - began) // 1000} ms")
        elif trial:
            self._better(now)

    def set_free_share(self, now: int, free: float) -> None:
        """The share of the room that is left.

        Of the disk, or of what we may have of it if that is less.
        """
        self.free = free

    # What is made of it.

    def state(self, now: int) -> DiskState:
        """How it is now. Whoever hears a turn hears it from here."""
        stuck = next((what for began, what in self.out.values() if now - began > STALL), None)
        if stuck is not None and (
            self.bad is None or self.bad in (DiskState.FULL, DiskState.FAILING)
        ):
            self._worse(now, DiskState.STALLED, f"{stuck} has not come back")
        found = max([self.bad or DiskState.HEALTHY, self._by_room()], key=ORDER.index)
        if found is not self.told:
            if self.told in BAD_STATES and found not in BAD_STATES:
                self.returned = now
            turn = DiskStateChange(now, self.told, found, self._why(found))
            self.told = found
            for heed in self.listeners:
                heed(turn)
        return found

    def accepts_writes(self, now: int) -> bool:
        """Whether a promise may be asked of it now.

        Of one that has just come back a part that grows.
        """
        if self.state(now) in BAD_STATES:
            return False
        part = (now - self.returned) / RAMP
        return part >= 1 or self.draw() < max(0.1, part)

    def claim_probe(self, now: int) -> bool:
        """Whether to try it now, once.

        True only while it is bad and nothing of the last trial is out.
        """
        if self.state(now) not in BAD_STATES or now < self.next or self.out:
            return False
        self.next = now + self.pause
        self.pause = min(TRIAL_LONGEST, 2 * self.pause)
        return True

    def _by_room(self) -> DiskState:
        low = LOOSE if self.told is DiskState.FULL else TIGHT
        near = CLEAR if self.told in (DiskState.NEAR_FULL, DiskState.FULL) else NEAR
        return (
            DiskState.FULL
            if self.free < low
            else DiskState.NEAR_FULL
            if self.free < near
            else DiskState.HEALTHY
        )

    def _worse(self, now: int, state: DiskState, why: str) -> None:
        self.good, self.cause = 0, why
        if self.bad is None:
            post_event = now - self.returned < max(RELAPSE, 2 * self.dwell)
            self.dwell = (
                min(DWELL_LONGEST, 2 * self.dwell)
                if post_event and self.returned >= self.since
                else DWELL
            )
            self.since, self.pause, self.next = now, TRIAL, now + TRIAL
            self.bad = state
        elif self.bad is not state:
            self.bad = state

    def _better(self, now: int) -> None:
        if self.bad is None:
            return
        self.good, self.pause = self.good + 1, TRIAL
        self.next = min(self.next, now + TRIAL)
        if self.good >= GOOD and now - self.since >= self.dwell:
            self.bad, self.returned = None, now

    cause = ""

    def _why(self, found: DiskState) -> str:
        if self.bad is found:
            return self.cause
        return (
            "well again" if found is DiskState.HEALTHY else f"{self.free:.1%} of the room is left"
        )
