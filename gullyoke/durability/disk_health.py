"""The health of a disk, from what calls on it return, how long they take and how full it is.

It turns bad at once and healthy slowly: a probe has to succeed REQUIRED_PROBES times in a row over
a time that doubles each time the disk turns bad again soon after, and then writes are accepted
little by little. A call that does not return counts as it goes on: once it has taken longer than
STALL_AFTER_US the disk is stalled, though nothing was returned.

The time that grows with each relapse is flap damping (RFC 2439) with a doubling in the place of its
penalty; the slow return is the slow start of load balancers.

No I/O, no clock and no chance but what is handed in. Times are microseconds of one clock.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from enum import Enum
from typing import Final, NamedTuple

STALL_AFTER_US: Final = 1_000_000  # that a call may take
PROBE_INTERVAL_US: Final = 500_000  # between probes of a disk that is not healthy
MAX_PROBE_INTERVAL_US: Final = 4_000_000
REQUIRED_PROBES: Final = 3  # in a row that must succeed
MIN_BAD_US: Final = 1_000_000  # for which a disk is called bad at the least; doubled by relapses
MAX_BAD_US: Final = 60_000_000
RELAPSE_WITHIN_US: Final = 10_000_000  # of its return; or twice its last bad time if that is longer
SLOW_START_US: Final = 4_000_000  # from its return until all writes are accepted again
MIN_ACCEPTED_SHARE: Final = 0.1  # of the writes at the begin of the slow start

# A disk is (near) full below the first share and until it is above the second.
NEAR_FULL_BELOW: Final = 0.10
NEAR_FULL_UNTIL: Final = 0.15
FULL_BELOW: Final = 0.02
FULL_UNTIL: Final = 0.04


class DiskState(Enum):
    """In the order of how bad they are: of two that are true the later one counts."""

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


SEVERITY: Final = list(DiskState)
BAD_STATES: Final = (
    DiskState.FULL,
    DiskState.FAILING,
    DiskState.STALLED,
    DiskState.READ_ONLY,
    DiskState.MISSING,
)
# Any other error of the system means FAILING.
STATE_BY_ERROR: Final = {
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


class DiskStateChange(NamedTuple):
    """A change from one state to another, when, and why in words."""

    at_us: int
    previous: DiskState
    current: DiskState
    reason: str


class DiskCall(NamedTuple):
    """A call on the disk that has not returned."""

    started_us: int
    operation: str


class DiskHealth:
    """The health of one folder's disk.

    Attributes:
        listeners: Called with each change of state, by whichever method came to see it.
        calls_in_flight: Calls that have not returned, by their numbers: as many as there are
            threads that call.

    Args:
        now_us: The time.
        draw: Gives a random number from 0 to 1.
    """

    def __init__(self, now_us: int, draw: Callable[[], float]) -> None:
        self.draw = draw
        self.listeners: list[Callable[[DiskStateChange], None]] = []
        self.calls_in_flight: dict[int, DiskCall] = {}
        self._calls = 0
        self._free_share = 1.0
        self._reported = DiskState.HEALTHY
        self._error_state: DiskState | None = None  # by what calls returned
        self._error = ""
        self._bad_since_us = now_us
        self._bad_at_least_us = MIN_BAD_US
        self._returned_us = now_us - SLOW_START_US
        self._good_probes = 0
        self._next_probe_us = now_us
        self._probe_interval_us = PROBE_INTERVAL_US

    def call_started(self, now_us: int, operation: str) -> int:
        """Record that a call goes out; give its number, for `call_finished`."""
        self._calls += 1
        self.calls_in_flight[self._calls] = DiskCall(now_us, operation)
        return self._calls

    def call_finished(
        self, now_us: int, number: int, error_number: int | None = None, probe: bool = False
    ) -> None:
        """Record that a call returned.

        Args:
            now_us: The time.
            number: The call's, from `call_started`.
            error_number: The errno of its error; None where it succeeded.
            probe: Whether it was a probe, which alone can make the disk healthy again.
        """
        call = self.calls_in_flight.pop(number, None) or DiskCall(now_us, "a call")
        took_us = now_us - call.started_us
        if error_number is not None:
            state = STATE_BY_ERROR.get(error_number, DiskState.FAILING)
            name = errno.errorcode.get(error_number, error_number)
            self._record_failure(now_us, state, f"{call.operation}: {name}")
        elif took_us > STALL_AFTER_US:
            reason = f"{call.operation} took {took_us // 1000} ms"
            self._record_failure(now_us, DiskState.STALLED, reason)
        elif probe:
            self._record_good_probe(now_us)

    def set_free_share(self, free_share: float) -> None:
        """Record the share that is free, of the disk or of the quota if that is less."""
        self._free_share = free_share

    def state(self, now_us: int) -> DiskState:
        """Give the state now, and call the listeners where it has changed."""
        if self.calls_in_flight:
            self._check_calls_in_flight(now_us)
        state = self._state_by_space()
        if self._error_state is not None:
            state = max(self._error_state, state, key=SEVERITY.index)
        if state is not self._reported:
            if self._reported in BAD_STATES and state not in BAD_STATES:
                self._returned_us = now_us
            change = DiskStateChange(now_us, self._reported, state, self._reason_for(state))
            self._reported = state
            for listener in self.listeners:
                listener(change)
        return state

    def accepts_writes(self, now_us: int) -> bool:
        """Whether a write that a request waits for may be asked of the disk now.

        Of one that has just come back a share that grows.
        """
        if self.state(now_us) in BAD_STATES:
            return False
        share = (now_us - self._returned_us) / SLOW_START_US
        return share >= 1 or self.draw() < max(MIN_ACCEPTED_SHARE, share)

    def claim_probe(self, now_us: int) -> bool:
        """Whether to probe the disk now, once.

        True only while it is bad and no call is in flight.
        """
        if self.state(now_us) not in BAD_STATES:
            return False
        if now_us < self._next_probe_us or self.calls_in_flight:
            return False
        self._next_probe_us = now_us + self._probe_interval_us
        self._probe_interval_us = min(MAX_PROBE_INTERVAL_US, 2 * self._probe_interval_us)
        return True

    def _check_calls_in_flight(self, now_us: int) -> None:
        """A call that hangs makes the disk stalled, unless it is in a worse state."""
        if self._error_state not in (None, DiskState.FULL, DiskState.FAILING):
            return
        for call in self.calls_in_flight.values():
            if now_us - call.started_us > STALL_AFTER_US:
                reason = f"{call.operation} has not come back"
                self._record_failure(now_us, DiskState.STALLED, reason)
                return

    def _state_by_space(self) -> DiskState:
        """Give the state by free space, with hysteresis."""
        was_full = self._reported is DiskState.FULL
        was_near_full = self._reported in (DiskState.NEAR_FULL, DiskState.FULL)
        if self._free_share < (FULL_UNTIL if was_full else FULL_BELOW):
            return DiskState.FULL
        if self._free_share < (NEAR_FULL_UNTIL if was_near_full else NEAR_FULL_BELOW):
            return DiskState.NEAR_FULL
        return DiskState.HEALTHY

    def _record_failure(self, now_us: int, state: DiskState, reason: str) -> None:
        self._good_probes = 0
        self._error = reason
        if self._error_state is None:
            self._bad_at_least_us = self._next_bad_time(now_us)
            self._bad_since_us = now_us
            self._probe_interval_us = PROBE_INTERVAL_US
            self._next_probe_us = now_us + PROBE_INTERVAL_US
        self._error_state = state

    def _next_bad_time(self, now_us: int) -> int:
        """Give for how long the disk is called bad now: doubled where this is a relapse."""
        relapse_within_us = max(RELAPSE_WITHIN_US, 2 * self._bad_at_least_us)
        is_relapse = now_us - self._returned_us < relapse_within_us
        if is_relapse and self._returned_us >= self._bad_since_us:
            return min(MAX_BAD_US, 2 * self._bad_at_least_us)
        return MIN_BAD_US

    def _record_good_probe(self, now_us: int) -> None:
        if self._error_state is None:
            return
        self._good_probes += 1
        self._probe_interval_us = PROBE_INTERVAL_US
        self._next_probe_us = min(self._next_probe_us, now_us + PROBE_INTERVAL_US)
        bad_us = now_us - self._bad_since_us
        if self._good_probes >= REQUIRED_PROBES and bad_us >= self._bad_at_least_us:
            self._error_state = None
            self._returned_us = now_us

    def _reason_for(self, state: DiskState) -> str:
        if self._error_state is state:
            return self._error
        if state is DiskState.HEALTHY:
            return "well again"
        return f"{self._free_share:.1%} of the room is left"
