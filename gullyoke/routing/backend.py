"""One back end as the router knows it: its runs, its limit, its response time."""

from __future__ import annotations

import math
from collections import deque
from typing import Final, NamedTuple

from gullyoke.routing.concurrency_limit import ConcurrencyLimit
from gullyoke.routing.outcomes import FAILURES, MAY_STILL_RUN, AttemptOutcome
from gullyoke.routing.outlier_detection import HealthState, OutlierDetector
from gullyoke.routing.routed_run import RoutedRun

RESPONSE_TIME_TAU_US: Final = 2_000_000  # in which a response time loses most of its weight
LARGEST_REMAINING_WEIGHT: Final = (
    7 / 8
)  # each new response time has at least an eighth of the weight
FAILURE_PENALTY: Final = 4  # a failure counts as so many typical response times at least


class BackendSettings(NamedTuple):
    """What the operator configures for a back end.

    Args:
        name: Its name, which is its address as text.
        weight: Its share of the work relative to others.
        least: Lower bound of its concurrency limit.
        most: Upper bound of its concurrency limit.
    """

    name: str
    weight: float = 1.0
    least: int = 1
    most: int = 64


class Backend:
    """Runs and measurements of one back end.

    Attributes:
        started: When each run that is there was sent; a run leaves at its end.
        sent: Attempts so far.
        response_time_us: The smoothed response time; 0 while none is known.
    """

    def __init__(
        self, settings: BackendSettings, health: OutlierDetector, initial_limit: int
    ) -> None:
        self.settings = settings
        self.health = health
        self.limit = ConcurrencyLimit(initial_limit, settings.least, settings.most)
        self.started: dict[RoutedRun, int] = {}
        # Until when runs that nobody waits for any more are taken to go on there; at most as many
        # as the limit was.
        self._lingering_until: deque[int] = deque()
        self.response_time_us = 0.0
        self._measured_at = 0
        self.sent = 0

    def in_flight(self, now: int) -> int:
        """Runs that are there, those included that may go on though nobody waits for them."""
        while self._lingering_until and self._lingering_until[0] <= now:
            self._lingering_until.popleft()
        return len(self.started) + len(self._lingering_until)

    def capacity(self, now: int) -> int:
        """How many runs it takes at once: none while it is ejected, one for a probe."""
        if self.health.state is HealthState.PROBING or self.health.is_ready_to_probe(now):
            return 1
        share = self.health.traffic_share(now)
        return max(1, int(self.limit.current * share)) if share else 0

    def accepts(self, now: int) -> bool:
        """Whether it takes one more run that is no probe."""
        share = self.health.traffic_share(now)
        return share > 0 and self.in_flight(now) < max(1, int(self.limit.current * share))

    def _expected_response_us(self, now: int, typical_us: float) -> float:
        """Its response time, or the age of the oldest run that is there if that is more.

        What was measured decays to `typical_us` while nothing is measured, so that a back end that
        was slow is used again. The age guards against one that takes all and answers nothing, of
        which no response time is ever measured.
        """
        oldest = next(iter(self.started.values()), now)
        expected = self.response_time_us or typical_us
        if expected > typical_us:
            decay = math.exp((self._measured_at - now) / RESPONSE_TIME_TAU_US)
            expected = typical_us + (expected - typical_us) * decay
        return max(1.0, expected, now - oldest)

    def score(self, now: int, typical_us: float) -> float:
        """What one more run is likely to wait there; the lowest is the best.

        `typical_us` stands for a response time that is not known.
        """
        weight = self.settings.weight * self.health.traffic_share(now)
        if weight <= 0:
            return math.inf
        return (self.in_flight(now) + 1) / weight * self._expected_response_us(now, typical_us)

    def on_sent(self, now: int, run: RoutedRun) -> None:
        """Count an attempt that is sent there."""
        self.started[run] = now
        self.sent += 1

    def on_attempt_ended(
        self, now: int, run: RoutedRun, outcome: AttemptOutcome, linger_us: int, typical_us: float
    ) -> None:
        """Learn from the end of an attempt.

        One that may go on there counts as in flight for `linger_us` more. A failure counts as four
        times `typical_us` at least: failing fast is not being fast.
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
        remaining_weight = min(
            remaining_weight, LARGEST_REMAINING_WEIGHT
        )  # where many end at once each one counts
        self.response_time_us = self.response_time_us * remaining_weight + duration_us * (
            1 - remaining_weight
        )
        self._measured_at = now
