"""An adaptive limit on the runs in flight at one back end."""

from __future__ import annotations

from typing import Final

CONGESTED_RATIO: Final = 2.0  # response time over baseline above which a back end is overloaded
CONGESTION_FACTOR: Final = 0.9  # multiplies the limit of an overloaded back end
LOSS_FACTOR: Final = 0.7  # multiplies the limit when a run is lost or times out
PROBE_INTERVAL_US: Final = 10_000_000  # between baseline probes of a saturated back end
PROBE_FACTOR: Final = 0.5  # multiplies the limit during a baseline probe
PROBE_SAMPLES: Final = 8  # runs measured by a baseline probe
SMOOTHING: Final = 8  # a new response time has a weight of 1 / SMOOTHING


class ConcurrencyLimit:
    """A limit that rises while it is reached, and falls when runs become slow or are lost.

    While response times are normal and the limit is reached, it rises by 1 / `current` for each
    completed run. It falls by a tenth while the smoothed response time exceeds twice the baseline,
    and by three tenths when a run is lost or times out, at most once per baseline time.

    The baseline is the lowest smoothed response time, or the result of the last baseline probe:
    a saturated back end regularly gets half of its limit until a few runs are measured. Without
    probes, a back end that was overloaded from the start would look normal. A baseline that drifts
    upwards instead would raise the limit without bound (to 47 where the back end is overloaded
    above 8, tests/routing). Request classes need not be known: a change in their mix changes the
    baseline at the next probe.
    """

    def __init__(self, initial: int, least: int, most: int) -> None:
        self.least = least
        self.most = most
        self.current = float(min(max(initial, least), most))
        self._smoothed_us = 0.0
        self._baseline_us = 0.0
        self._reduced_at: int | None = None
        self._probed_at: int | None = None
        self._limit_before_probe = 0.0  # 0 while no baseline probe is in progress
        self._older_runs = 0  # runs sent before the baseline probe that are still in flight
        self._probe_samples = 0
        self._probe_total_us = 0

    def set_bounds(self, least: int, most: int) -> None:
        """Change the bounds, and move the current limit into them."""
        self.least = least
        self.most = most
        self.current = float(min(max(self.current, least), most))

    def on_completed(self, now: int, duration_us: int, in_flight: int) -> None:
        """Update the limit after a completed run; `in_flight` includes that run."""
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
        """Skip runs that were sent before the baseline probe, then measure `PROBE_SAMPLES` runs."""
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
        """Lower the limit after a run was lost or timed out."""
        self._reduce(now, LOSS_FACTOR)

    def _reduce(self, now: int, factor: float) -> None:
        """Lower the limit, unless the last reduction is less than one baseline time ago."""
        if self._reduced_at is None or now - self._reduced_at >= self._baseline_us:
            self._reduced_at = now
            self.current = max(float(self.least), self.current * factor)

    def on_ejected(self) -> None:
        """Discard the measurements and halve the limit; the back end may return restarted."""
        self._smoothed_us = 0.0
        self._baseline_us = 0.0
        self._limit_before_probe = 0.0
        self._probed_at = None
        self.current = max(float(self.least), self.current / 2)
