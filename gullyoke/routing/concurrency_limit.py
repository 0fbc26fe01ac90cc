"""How many runs at once one back end takes, learned from what it completes."""

from __future__ import annotations

from typing import Final

CONGESTED_RATIO: Final = 2.0  # times the baseline at which runs are taken to crowd each other
CONGESTION_FACTOR: Final = 0.9  # what the limit is multiplied by then
LOSS_FACTOR: Final = 0.7  # what the limit is multiplied by when a run is lost
PROBE_INTERVAL_US: Final = 10_000_000  # between baseline probes of a saturated back end
PROBE_FACTOR: Final = 0.5  # the part of its limit that a back end has during a probe
PROBE_SAMPLES: Final = 8  # runs that a probe measures
SMOOTHING: Final = 8  # a new response time has one part in so many of the smoothed one


class ConcurrencyLimit:
    """A limit that grows while it is used up and falls when response times rise or runs are lost.

    It grows by one a round of runs while runs take no longer than usual. It falls by a tenth, at
    most once per baseline time, while runs take twice the baseline, and faster where they are lost.

    The baseline is the lowest smoothed response time seen, or what a probe measures: now and then a
    saturated back end gets half of its limit for as long as it takes to measure a few runs. Without
    probes a back end that was crowded from the start would look normal. A baseline that drifts
    upwards instead makes the limit creep up with it without end (47 where 8 crowd, tests/routing).
    No knowledge of request classes is needed: a mix that changes moves it at the next probe.
    """

    def __init__(self, initial: int, least: int, most: int) -> None:
        self.least = least
        self.most = most
        self.current = float(min(max(initial, least), most))
        self._smoothed_us = 0.0
        self._baseline_us = 0.0
        self._reduced_at: int | None = None
        self._probed_at: int | None = None
        self._limit_before_probe = 0.0  # 0 while no probe is under way
        self._older_runs = 0  # runs from before the probe that have yet to end
        self._probe_samples = 0
        self._probe_total_us = 0

    def set_bounds(self, least: int, most: int) -> None:
        """Keep within other bounds from now on."""
        self.least = least
        self.most = most
        self.current = float(min(max(self.current, least), most))

    def on_completed(self, now: int, duration_us: int, in_flight: int) -> None:
        """Learn from a run that ended well while `in_flight` runs, itself included, were there."""
        if self._probed_at is None:
            self._probed_at = now
        if self._limit_before_probe:
            self._measure_probe(now, duration_us)
            return
        divisor = SMOOTHING if self._smoothed_us else 1
        self._smoothed_us += (duration_us - self._smoothed_us) / divisor
        self._baseline_us = min(self._baseline_us or self._smoothed_us, self._smoothed_us)
        if self._smoothed_us > CONGESTED_RATIO * self._baseline_us:
            self._reduce(now, CONGESTION_FACTOR)
        elif in_flight >= int(self.current):
            if now - self._probed_at >= PROBE_INTERVAL_US and self.current > self.least:
                self._begin_probe(in_flight)
            else:
                self.current = min(self.most, self.current + 1 / self.current)

    def _begin_probe(self, in_flight: int) -> None:
        self._limit_before_probe = self.current
        self._older_runs = in_flight
        self._probe_samples = 0
        self._probe_total_us = 0
        self.current = max(float(self.least), self.current * PROBE_FACTOR)

    def _measure_probe(self, now: int, duration_us: int) -> None:
        """Let the runs from before the probe end, then measure the probe's own."""
        if self._older_runs:
            self._older_runs -= 1
            return
        self._probe_samples += 1
        self._probe_total_us += duration_us
        if self._probe_samples == PROBE_SAMPLES:
            self._baseline_us = self._probe_total_us / PROBE_SAMPLES
            self.current = min(self._limit_before_probe, self.most)
            self._limit_before_probe = 0.0
            self._probed_at = now

    def on_lost(self, now: int) -> None:
        """Fall because a run was lost or timed out."""
        self._reduce(now, LOSS_FACTOR)

    def _reduce(self, now: int, factor: float) -> None:
        """Fall, but not again before a baseline time has shown what the last fall did."""
        if self._reduced_at is None or now - self._reduced_at >= self._baseline_us:
            self._reduced_at = now
            self.current = max(float(self.least), self.current * factor)

    def on_ejected(self) -> None:
        """Forget the learned times and halve: it may come back as a new process."""
        self._smoothed_us = 0.0
        self._baseline_us = 0.0
        self._limit_before_probe = 0.0
        self._probed_at = None
        self.current = max(float(self.least), self.current / 2)
