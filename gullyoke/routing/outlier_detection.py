"""Outlier detection: ejects a failing back end, probes it, and returns it with a slow start."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Final

from gullyoke.routing.outcomes import FAILURES, AttemptOutcome


class HealthState(Enum):
    """State of a back end; the value is its name in counters and in the log."""

    HEALTHY = "in"  # gets its full share of the runs
    SLOW_START = "slow"  # gets a rising share: it is new or was readmitted
    UNREACHABLE = "away"  # refuses connections; gets no runs until a probe
    EJECTED = "out"  # ejected because of failures; gets no runs until a probe
    PROBING = "trial"  # one run in flight tests whether it has recovered
    DRAINING = "leaving"  # no longer configured; finishes the runs in flight


SERVING_STATES: Final = (HealthState.HEALTHY, HealthState.SLOW_START)
EJECTED_STATES: Final = (HealthState.UNREACHABLE, HealthState.EJECTED)
COUNTS_HALF_LIFE_US: Final = 10_000_000  # half-life of the counts behind the failure rate
SLOW_START_FLOOR: Final = 0.1  # traffic share at the beginning of a slow start
REFUSALS_IN_A_ROW: Final = 2  # this many refused connections make a back end unreachable
MAX_BACKOFF_DOUBLINGS: Final = 20
# An ejection lasts between JITTER_FROM and JITTER_FROM + JITTER_SPAN of its nominal time.
JITTER_FROM: Final = 0.8
JITTER_SPAN: Final = 0.4


class OutlierDetector:
    """Failures and state of one back end, in constant memory.

    A back end is ejected after `consecutive_failures` in a row, or when its failure rate exceeds
    that of its peers by more than `rate_margin` and `min_volume` runs are counted. The first
    ejection lasts `first_ejection_us`. Until a run has succeeded after the slow start, each further
    ejection, also one after a failed probe, lasts twice as long as the one before, up to
    `longest_ejection_us`. `draw` returns a random number from 0 to 1 for the jitter. After the
    ejection one run probes the back end; if it succeeds, a slow start of `slow_start_us` follows.
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

    def update_traffic_share(self, now: int) -> float:
        """End a slow start whose time is over; return the usable share of weight and limit.

        The share is from 0 to 1, and 0 in all states in which the back end gets no runs.
        """
        if self.state is HealthState.SLOW_START:
            elapsed = (now - self._state_since) / max(1, self._slow_start_us)
            share = SLOW_START_FLOOR + (1 - SLOW_START_FLOOR) * elapsed
            if share < 1:
                return share
            self.enter(now, HealthState.HEALTHY)
        return 1.0 if self.state is HealthState.HEALTHY else 0.0

    def enter(self, now: int, state: HealthState) -> None:
        """Change the state."""
        self.state = state
        self._state_since = now

    def failure_rate(self, now: int) -> float:
        """Decay the counts and return the failure rate; 0 while too few runs are counted."""
        self.decay(now)
        total = self.successes + self.failures
        return self.failures / total if total >= self._min_volume else 0.0

    def decay(self, now: int) -> None:
        """Decay the counts of successes and failures to `now`."""
        if now > self._decayed_at:
            remaining_weight = 0.5 ** ((now - self._decayed_at) / COUNTS_HALF_LIFE_US)
            self.successes *= remaining_weight
            self.failures *= remaining_weight
            self._decayed_at = now

    def on_outcome(
        self, now: int, outcome: AttemptOutcome, peer_failure_rate: float, may_eject: bool
    ) -> bool:
        """Count an outcome; return whether it made the back end ejected or unreachable.

        Args:
            now: The time, in microseconds.
            outcome: How the attempt ended.
            peer_failure_rate: The failure rate of the other back ends together.
            may_eject: Whether the pool may eject another back end.
        """
        if outcome is AttemptOutcome.CANCELLED:  # neither a success nor a failure
            if self.state is HealthState.PROBING:
                self.enter(now, HealthState.EJECTED)
            return False
        failed = outcome in FAILURES
        self._count(now, outcome, failed)
        if self.state is HealthState.PROBING:
            return self._on_probe_ended(now, outcome, failed)
        if self.state not in SERVING_STATES:  # sent before the ejection
            return False
        if not failed:
            if self.state is HealthState.HEALTHY:
                self._ejections = 0  # a run has succeeded after the slow start
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
        # Independent of `may_eject`: an unreachable back end adds no capacity to the pool.
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
        """Return whether the back end is ejected and the ejection time is over."""
        return self.state in EJECTED_STATES and now >= self.ejected_until
