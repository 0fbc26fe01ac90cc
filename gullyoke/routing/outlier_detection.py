"""Whether a back end is used: ejected by its failures, probed by one run, let back in slowly."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Final

from gullyoke.routing.outcomes import FAILURES, AttemptOutcome


class HealthState(Enum):
    """State of a back end. The value is its name in counters and in the log."""

    HEALTHY = "in"  # used like all others
    SLOW_START = "slow"  # used less: it is new, or has just come back
    UNREACHABLE = "away"  # it refuses connections; not used until a probe
    EJECTED = "out"  # ejected for its failures; not used until a probe
    PROBING = "trial"  # one run is there to see whether it is well
    DRAINING = "leaving"  # no longer configured; it finishes what it has


SERVING_STATES: Final = (HealthState.HEALTHY, HealthState.SLOW_START)
EJECTED_STATES: Final = (HealthState.UNREACHABLE, HealthState.EJECTED)
COUNTS_HALF_LIFE_US: Final = 10_000_000  # in which what is counted for the failure rate halves
SLOW_START_FLOOR: Final = 0.1  # the share of its weight that a back end begins a slow start with
REFUSALS_IN_A_ROW: Final = 2  # after so many a back end is unreachable
MAX_BACKOFF_DOUBLINGS: Final = 20
JITTER_FROM: Final = 0.8  # an ejection lasts between this
JITTER_SPAN: Final = 0.4  # and this much more of its nominal time


class OutlierDetector:
    """Failures and state of one back end, in constant memory.

    `consecutive_failures` in a row eject it; so does a failure rate that exceeds that of its peers
    by more than `rate_margin` once `min_volume` runs are counted. It stays ejected for
    `first_ejection_us`, twice that each time it fails its probe or fails again at once, up to
    `longest_ejection_us`, with jitter from `draw`, which gives a number from 0 to 1. Then one run
    is its probe, and a slow start of `slow_start_us` follows.
    """

    def __init__(
        self,
        draw: Callable[[], float],
        consecutive_failures: int = 5,
        rate_margin: float = 0.3,
        min_volume: float = 10.0,
        first_ejection_us: int = 1_000_000,
        longest_ejection_us: int = 30_000_000,
        slow_start_us: int = 5_000_000,
    ) -> None:
        self._draw = draw
        self._consecutive_failures = consecutive_failures
        self._rate_margin = rate_margin
        self._min_volume = min_volume
        self._first_ejection_us = first_ejection_us
        self._longest_ejection_us = longest_ejection_us
        self._slow_start_us = slow_start_us
        self.state = HealthState.HEALTHY
        self._state_since = 0
        self.ejected_until = 0
        self._failures_in_a_row = 0
        self._refusals_in_a_row = 0
        self._ejections = 0
        self.successes = 0.0
        self.failures = 0.0
        self._decayed_at = 0

    def traffic_share(self, now: int) -> float:
        """The share of its weight and limit that it is used with, from 0 to 1."""
        if self.state is HealthState.SLOW_START:
            elapsed = (now - self._state_since) / max(1, self._slow_start_us)
            share = SLOW_START_FLOOR + (1 - SLOW_START_FLOOR) * elapsed
            if share < 1:
                return share
            self.enter(now, HealthState.HEALTHY)
        return 1.0 if self.state is HealthState.HEALTHY else 0.0

    def enter(self, now: int, state: HealthState) -> None:
        """Change to a state."""
        self.state = state
        self._state_since = now

    def failure_rate(self, now: int) -> float:
        """Its decayed share of failures; 0 while too few runs are counted."""
        self.decay(now)
        total = self.successes + self.failures
        return self.failures / total if total >= self._min_volume else 0.0

    def decay(self, now: int) -> None:
        """Let the counts lose their weight up to `now`."""
        if now > self._decayed_at:
            remaining_weight = 0.5 ** ((now - self._decayed_at) / COUNTS_HALF_LIFE_US)
            self.successes *= remaining_weight
            self.failures *= remaining_weight
            self._decayed_at = now

    def on_outcome(
        self, now: int, outcome: AttemptOutcome, peer_failure_rate: float, may_eject: bool
    ) -> bool:
        """Count the outcome of an attempt; whether it made the back end ejected or unreachable.

        Args:
            now: The time, in microseconds.
            outcome: How the attempt ended.
            peer_failure_rate: The failure rate of the other back ends together.
            may_eject: Whether the pool can spare one more.
        """
        if outcome is AttemptOutcome.CANCELLED:  # it tells nothing; a probe was none
            if self.state is HealthState.PROBING:
                self.enter(now, HealthState.EJECTED)
            return False
        failed = outcome in FAILURES
        self._count(now, outcome, failed)
        if self.state is HealthState.PROBING:
            return self._on_probe_ended(now, outcome, failed)
        if self.state not in SERVING_STATES:  # from before its ejection: it tells nothing new
            return False
        if not failed:
            if self.state is HealthState.HEALTHY:
                self._ejections = 0  # it has come through its slow start
            return False
        return self._eject_if_warranted(now, peer_failure_rate, may_eject)

    def _count(self, now: int, outcome: AttemptOutcome, failed: bool) -> None:
        self.decay(now)
        if failed:
            self.failures += 1
            self._failures_in_a_row += 1
        else:
            self.successes += 1
            self._failures_in_a_row = 0
        if outcome is AttemptOutcome.NOT_STARTED:
            self._refusals_in_a_row += 1
        else:
            self._refusals_in_a_row = 0

    def _on_probe_ended(self, now: int, outcome: AttemptOutcome, failed: bool) -> bool:
        if failed:
            refused = outcome is AttemptOutcome.NOT_STARTED
            self._eject(now, HealthState.UNREACHABLE if refused else HealthState.EJECTED)
            return True
        self.successes = 0.0
        self.failures = 0.0
        self._failures_in_a_row = 0
        self.enter(now, HealthState.SLOW_START)
        return False

    def _eject_if_warranted(self, now: int, peer_failure_rate: float, may_eject: bool) -> bool:
        # Nothing is risked by not using a back end that is not there: the pool need not spare it.
        if self._refusals_in_a_row >= min(REFUSALS_IN_A_ROW, self._consecutive_failures):
            self._eject(now, HealthState.UNREACHABLE)
            return True
        if may_eject and (
            self._failures_in_a_row >= self._consecutive_failures
            or self.failure_rate(now) > peer_failure_rate + self._rate_margin
        ):
            self._eject(now, HealthState.EJECTED)
            return True
        return False

    def _eject(self, now: int, state: HealthState) -> None:
        doublings = min(self._ejections, MAX_BACKOFF_DOUBLINGS)
        nominal_us = min(self._longest_ejection_us, self._first_ejection_us << doublings)
        self._ejections += 1
        self.ejected_until = now + int(nominal_us * (JITTER_FROM + JITTER_SPAN * self._draw()))
        self._failures_in_a_row = 0
        self._refusals_in_a_row = 0
        self.enter(now, state)

    def is_ready_to_probe(self, now: int) -> bool:
        """Whether the back end is ejected and its time is over."""
        return self.state in EJECTED_STATES and now >= self.ejected_until
