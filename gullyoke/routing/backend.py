"""The router's state of one back end: runs in flight, concurrency limit and response time."""

from __future__ import annotations

import math
from collections import deque
from typing import Final, NamedTuple

from gullyoke.routing.concurrency_limit import ConcurrencyLimit
from gullyoke.routing.outcomes import FAILURES, MAY_STILL_RUN, AttemptOutcome
from gullyoke.routing.outlier_detection import HealthState, OutlierDetector
from gullyoke.routing.routed_run import RoutedRun

RESPONSE_TIME_TAU_US: Final = 2_000_000  # time constant of the smoothed response time
# Upper bound of the weight of the previous smoothed value: a new response time weighs at least 1/8.
LARGEST_REMAINING_WEIGHT: Final = 7 / 8
FAILURE_PENALTY: Final = 4  # a failure is measured as at least this many typical response times


class BackendSettings(NamedTuple):
    """The operator's settings of a back end.

    Args:
        name: Name of the back end, which is its address as text.
        weight: Share of the runs relative to other back ends.
        least: Lower bound of the concurrency limit.
        most: Upper bound of the concurrency limit.
    """

    name: str
    weight: float = 1.0
    least: int = 1
    most: int = 64


class Backend:
    """Runs and measurements of one back end.

    Attributes:
        started: Runs in flight, oldest first, with the time at which each was sent.
        sent: Number of attempts sent so far.
        response_time_us: The smoothed response time; 0 before the first measurement.
    """

    def __init__(
        self, settings: BackendSettings, health: OutlierDetector, initial_limit: int
    ) -> None:
        self.settings = settings
        self.health = health
        self.limit = ConcurrencyLimit(initial_limit, settings.least, settings.most)
        self.started: dict[RoutedRun, int] = {}
        # Expiry times of abandoned runs that the back end may still execute; bounded by the
        # concurrency limit.
        self._lingering_until: deque[int] = deque()
        self.response_time_us = 0.0
        self._measured_at = 0
        self.sent = 0

    def in_flight(self, now: int) -> int:
        """Drop abandoned runs that have expired; return the number of runs in flight.

        Abandoned runs that the back end may still execute count as in flight.
        """
        while self._lingering_until and self._lingering_until[0] <= now:
            self._lingering_until.popleft()
        return len(self.started) + len(self._lingering_until)

    def capacity(self, now: int) -> int:
        """Return how many runs the back end takes at once: 0 while ejected, 1 for a probe.

        Changes the state to healthy when the slow start is over.
        """
        if self.health.state is HealthState.PROBING or self.health.is_ready_to_probe(now):
            return 1
        share = self.health.update_traffic_share(now)
        return max(1, int(self.limit.current * share)) if share else 0

    def update_availability(self, now: int) -> bool:
        """Return whether the back end takes one more run that is not a probe.

        Drops expired abandoned runs, and changes the state to healthy when the slow start is over.
        """
        share = self.health.update_traffic_share(now)
        return share > 0 and self.in_flight(now) < max(1, int(self.limit.current * share))

    def _expected_response_us(self, now: int, typical_us: float) -> float:
        """Return the expected response time, or the age of the oldest run in flight if higher.

        Without new measurements an expected time above `typical_us` decays to it, so that a back
        end that was slow gets runs again. The age of the oldest run covers a back end that accepts
        runs and never answers: no response time is ever measured there.
        """
        oldest = next(iter(self.started.values()), now)
        expected = self.response_time_us or typical_us
        if expected > typical_us:
            decay = math.exp((self._measured_at - now) / RESPONSE_TIME_TAU_US)
            expected = typical_us + (expected - typical_us) * decay
        return max(1.0, expected, now - oldest)

    def score(self, now: int, typical_us: float) -> float:
        """Return the expected cost of one more run; the back end with the lowest score is best.

        `typical_us` is used where no response time has been measured. Updates the back end as
        `update_availability` does.
        """
        weight = self.settings.weight * self.health.update_traffic_share(now)
        if weight <= 0:
            return math.inf
        return (self.in_flight(now) + 1) / weight * self._expected_response_us(now, typical_us)

    def on_sent(self, now: int, run: RoutedRun) -> None:
        """Record an attempt that is sent to the back end."""
        self.started[run] = now
        self.sent += 1

    def on_attempt_ended(
        self, now: int, run: RoutedRun, outcome: AttemptOutcome, linger_us: int, typical_us: float
    ) -> None:
        """Update the limit and the response time after an attempt.

        A run that the back end may still execute counts as in flight for `linger_us` more. A
        failure is measured as at least `FAILURE_PENALTY` times `typical_us`, so that a back end
        that fails fast does not look fast.
        """
        in_flight = self.in_flight(now)
        duration_us = now - self.started.pop(run, now)
        if outcome in MAY_STILL_RUN and linger_us:
            self._lingering_until.append(now + linger_us)
            if len(self._lingering_until) > max(1, int(self.limit.current)):
                self._lingering_until.popleft()
        if outcome is AttemptOutcome.CANCELLED:
            return
        if outcome is AttemptOutcome.COMPLETED:
            self.limit.on_completed(now, duration_us, in_flight)
        elif outcome in (AttemptOutcome.CONNECTION_LOST, AttemptOutcome.TIMED_OUT):
            self.limit.on_lost(now)
        if outcome in FAILURES:
            self._measure(now, max(duration_us, FAILURE_PENALTY * typical_us))
        else:
            self._measure(now, duration_us)

    def _measure(self, now: int, duration_us: float) -> None:
        if not self.response_time_us:
            self.response_time_us = float(duration_us)
            self._measured_at = now
            return
        remaining_weight = math.exp(-max(1, now - self._measured_at) / RESPONSE_TIME_TAU_US)
        # Without the bound, attempts that end at almost the same time would hardly count.
        remaining_weight = min(remaining_weight, LARGEST_REMAINING_WEIGHT)
        self.response_time_us = self.response_time_us * remaining_weight + duration_us * (
            1 - remaining_weight
        )
        self._measured_at = now
