"""The health of a disk, judged by the results and duration of calls on it and by its free space.

A disk becomes bad at the first failure and healthy only slowly. REQUIRED_PROBES probes in a row
have to succeed, and the disk stays bad for a minimum time that doubles when it fails again soon
after a recovery. After that, a growing share of writes is accepted. A call that has not returned
counts too: once it has taken longer than STALL_AFTER_US, the disk is stalled.

The doubling is flap damping (RFC 2439), with a doubled time where the RFC has a penalty; the
growing share is the slow start of load balancers.

No I/O; the time and random numbers are passed in. Times are microseconds of one clock.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from enum import Enum
from typing import Final, NamedTuple

STALL_AFTER_US: Final = 1_000_000  # a call that takes longer makes the disk stalled
PROBE_INTERVAL_US: Final = 500_000  # between probes of a bad disk; doubled up to the maximum
MAX_PROBE_INTERVAL_US: Final = 4_000_000
REQUIRED_PROBES: Final = 3  # successful probes in a row
MIN_BAD_US: Final = 1_000_000  # shortest time in a bad state; doubled at each relapse
MAX_BAD_US: Final = 60_000_000  # limit of the doubling of MIN_BAD_US
# A failure is a relapse if it happens within this time after a recovery, or within twice the
# previous shortest time in a bad state if that is longer.
RELAPSE_WITHIN_US: Final = 10_000_000
SLOW_START_US: Final = 4_000_000  # from the recovery until all writes are accepted again
MIN_ACCEPTED_SHARE: Final = 0.1  # share of writes accepted at the beginning of the slow start

# Shares of free space: a disk becomes near full or full below the first share of a pair, and
# stays so up to the second.
NEAR_FULL_BELOW: Final = 0.10
NEAR_FULL_UNTIL: Final = 0.15
FULL_BELOW: Final = 0.02
FULL_UNTIL: Final = 0.04


class DiskState(Enum):
    """The states of a disk, from best to worst; where two apply, the worse one counts."""

    HEALTHY = "well"
    NEAR_FULL = "near full"
    FULL = "full"
    FAILING = "failing"
    STALLED = "stalled"
    READ_ONLY = "read-only"
    MISSING = "gone"

    @property
    def counter_name(self) -> str:
        """The last part of the name of the counter of changes to this state."""
        return self.value.replace(" ", "_").replace("-", "_")


SEVERITY: Final = list(DiskState)
BAD_STATES: Final = (
    DiskState.FULL,
    DiskState.FAILING,
    DiskState.STALLED,
    DiskState.READ_ONLY,
    DiskState.MISSING,
)
# Any other errno means FAILING.
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
    """A change of state, its time, and its reason as text for the log."""

    at_us: int
    previous: DiskState
    current: DiskState
    reason: str


class DiskCall(NamedTuple):
    """A call on the disk that is in flight."""

    started_us: int
    operation: str


class DiskHealth:
    """The health of one folder's disk.

    Attributes:
        listeners: Functions called with each change of state, by the method that notices it.
        calls_in_flight: Calls that have not returned, by number; at most one for each thread that
            uses the disk.

    Args:
        now_us: The current time.
        draw: Returns a random number from 0 to 1.
    """

    def __init__(self, now_us: int, draw: Callable[[], float]) -> None:
        self.draw = draw
        self.listeners: list[Callable[[DiskStateChange], None]] = []
        self.calls_in_flight: dict[int, DiskCall] = {}
        self._last_call_number = 0
        self._free_share = 1.0
        self._reported_state = DiskState.HEALTHY
        self._error_state: DiskState | None = None  # by calls only, not by free space
        self._error_reason = ""
        self._bad_since_us = now_us
        self._min_bad_us = MIN_BAD_US
        self._recovered_us = now_us - SLOW_START_US
        self._good_probes = 0
        self._next_probe_us = now_us
        self._probe_interval_us = PROBE_INTERVAL_US

    def call_started(self, now_us: int, operation: str) -> int:
        """Record the start of a call; return its number, for `call_finished`."""
        self._last_call_number += 1
        self.calls_in_flight[self._last_call_number] = DiskCall(now_us, operation)
        return self._last_call_number

    def call_finished(
        self, now_us: int, number: int, error_number: int | None = None, probe: bool = False
    ) -> None:
        """Record the end of a call.

        Args:
            now_us: The current time.
            number: The call's number, from `call_started`.
            error_number: The errno of its error; None if it succeeded.
            probe: Whether the call was a probe; only probes can make the disk healthy again.
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
        """Record the free share of the disk, or of the quota if that is less."""
        self._free_share = free_share

    def update_state(self, now_us: int) -> DiskState:
        """Bring the state up to date and return it; call the listeners if it has changed."""
        if self.calls_in_flight:
            self._record_hanging_call(now_us)
        state = self._state_by_space()
        if self._error_state is not None:
            state = max(self._error_state, state, key=SEVERITY.index)
        if state is not self._reported_state:
            if self._reported_state in BAD_STATES and state not in BAD_STATES:
                self._recovered_us = now_us
            change = DiskStateChange(now_us, self._reported_state, state, self._reason_for(state))
            self._reported_state = state
            for listener in self.listeners:
                listener(change)
        return state

    def admit_write(self, now_us: int) -> bool:
        """Decide whether the disk accepts a write that a request waits for.

        Also brings the state up to date. After a recovery a growing share of the writes is
        accepted, chosen at random.
        """
        if self.update_state(now_us) in BAD_STATES:
            return False
        share = (now_us - self._recovered_us) / SLOW_START_US
        return share >= 1 or self.draw() < max(MIN_ACCEPTED_SHARE, share)

    def claim_probe(self, now_us: int) -> bool:
        """Claim the probe that is due; return whether there is one, to be made by the caller.

        A probe is due only while the disk is bad and no call is in flight. A claim schedules the
        next probe and doubles the interval until the one after. Also brings the state up to date.
        """
        if self.update_state(now_us) not in BAD_STATES:
            return False
        if now_us < self._next_probe_us or self.calls_in_flight:
            return False
        self._next_probe_us = now_us + self._probe_interval_us
        self._probe_interval_us = min(MAX_PROBE_INTERVAL_US, 2 * self._probe_interval_us)
        return True

    def _record_hanging_call(self, now_us: int) -> None:
        """Record a stall if a call hangs, unless the disk is in a worse state."""
        if self._error_state not in (None, DiskState.FULL, DiskState.FAILING):
            return
        for call in self.calls_in_flight.values():
            if now_us - call.started_us > STALL_AFTER_US:
                reason = f"{call.operation} has not returned"
                self._record_failure(now_us, DiskState.STALLED, reason)
                return

    def _state_by_space(self) -> DiskState:
        """Return the state by free space, with hysteresis."""
        was_full = self._reported_state is DiskState.FULL
        was_near_full = self._reported_state in (DiskState.NEAR_FULL, DiskState.FULL)
        if self._free_share < (FULL_UNTIL if was_full else FULL_BELOW):
            return DiskState.FULL
        if self._free_share < (NEAR_FULL_UNTIL if was_near_full else NEAR_FULL_BELOW):
            return DiskState.NEAR_FULL
        return DiskState.HEALTHY

    def _record_failure(self, now_us: int, state: DiskState, reason: str) -> None:
        self._good_probes = 0
        self._error_reason = reason
        if self._error_state is None:
            self._min_bad_us = self._next_min_bad_us(now_us)
            self._bad_since_us = now_us
            self._probe_interval_us = PROBE_INTERVAL_US
            self._next_probe_us = now_us + PROBE_INTERVAL_US
        self._error_state = state

    def _next_min_bad_us(self, now_us: int) -> int:
        """Return the shortest time for which the disk stays bad; doubled if this is a relapse."""
        relapse_within_us = max(RELAPSE_WITHIN_US, 2 * self._min_bad_us)
        is_relapse = now_us - self._recovered_us < relapse_within_us
        if is_relapse and self._recovered_us >= self._bad_since_us:
            return min(MAX_BAD_US, 2 * self._min_bad_us)
        return MIN_BAD_US

    def _record_good_probe(self, now_us: int) -> None:
        if self._error_state is None:
            return
        self._good_probes += 1
        self._probe_interval_us = PROBE_INTERVAL_US
        self._next_probe_us = min(self._next_probe_us, now_us + PROBE_INTERVAL_US)
        bad_us = now_us - self._bad_since_us
        if self._good_probes >= REQUIRED_PROBES and bad_us >= self._min_bad_us:
            self._error_state = None
            self._recovered_us = now_us

    def _reason_for(self, state: DiskState) -> str:
        if self._error_state is state:
            return self._error_reason
        if state is DiskState.HEALTHY:
            return "recovered"
        return f"{self._free_share:.1%} of the space is free"
