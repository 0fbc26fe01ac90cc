"""Run times during warm-up, by the age of the server, saved for the next cold start.

No I/O.

Run times learned on a warm server don't help a cold one (gullyoke/storage/run_time_history.py), but
those learned on a cold server do: they come from the same machine in the same state. The ninth
decile of the run times is saved for age ranges that double in length. A cold server does better to
overestimate its run times than to start runs that end too late (docs/store.md has the figures, with
those of the mean and of other quantiles).
"""

from __future__ import annotations

import statistics
from typing import Final, TypeGuard

import msgspec

from gullyoke.admission.controller import AdmissionController
from gullyoke.storage.run_time_history import MAX_UNHEALTHY_STARTS, StartHistory

AGE_BUCKETS_US: Final = (500_000, 1_000_000, 2_000_000, 4_000_000, 8_000_000, 16_000_000)
DECILES: Final = 10
NINTH_DECILE: Final = 9
MAX_SAMPLES: Final = 64  # run times kept for each bucket, the newest ones
NEWEST_WEIGHT: Final = 0.5  # weight of the newest start against the earlier ones
ROW_VERSION: Final = 1


class WarmupSnapshot(
    msgspec.Struct,
    frozen=True,
    rename={"settings_digest": "stated", "recorded_at_s": "at", "run_times_us": "costs"},
):
    """The run times of cold starts. The stored names of the fields are those in `rename`.

    Attributes:
        settings_digest: The digest of the settings under which they were learned.
        recorded_at_s: When they were recorded, in seconds of the Unix clock.
        run_times_us: By request class, a run time in microseconds for each bucket of
            AGE_BUCKETS_US; 0 for a bucket without runs.
        version: The version of the row's format.
    """

    settings_digest: int
    recorded_at_s: float
    run_times_us: dict[str, list[float]]
    version: int = ROW_VERSION


def age_bucket(age_us: int) -> int | None:
    """Return the bucket of an age; None if the age is past all buckets."""
    return next((bucket for bucket, end in enumerate(AGE_BUCKETS_US) if age_us < end), None)


class WarmupRecorder:
    """Records the run times of one start.

    Attributes:
        samples_us: By request class, the last MAX_SAMPLES run times of each bucket, in
            microseconds.
    """

    def __init__(self) -> None:
        self.samples_us: dict[str, list[list[float]]] = {}

    def record_run(self, age_us: int, request_class: str, run_time_us: float) -> None:
        """Record the duration of a run at an age of the server."""
        bucket = age_bucket(age_us)
        if bucket is None:
            return
        buckets = self.samples_us.setdefault(request_class, empty_buckets())
        buckets[bucket].append(run_time_us)
        del buckets[bucket][:-MAX_SAMPLES]

    def take_snapshot(
        self, settings_digest: int, now_s: float, before: WarmupSnapshot | None
    ) -> WarmupSnapshot:
        """Return a summary of this start and of earlier starts under the same settings."""
        earlier: dict[str, list[float]] = {}
        if before is not None and before.settings_digest == settings_digest:
            earlier = before.run_times_us
        no_runs = [0.0] * len(AGE_BUCKETS_US)
        run_times_us = {}
        for name in self.samples_us.keys() | earlier.keys():
            newest = [ninth_decile(row) for row in self.samples_us.get(name, empty_buckets())]
            pairs = zip(newest, earlier.get(name, no_runs), strict=True)
            run_times_us[name] = [blend(new, old) for new, old in pairs]
        return WarmupSnapshot(settings_digest, now_s, run_times_us)


def empty_buckets() -> list[list[float]]:
    """Return an empty list of samples for each bucket."""
    return [[] for _ in AGE_BUCKETS_US]


def blend(new: float, old: float) -> float:
    """Return the weighted mean of the newest start and earlier ones; 0 means no runs."""
    if new and old:
        return new + (old - new) * NEWEST_WEIGHT
    return new or old


def ninth_decile(samples: list[float]) -> float:
    """Return the ninth decile of samples; 0 if there are none."""
    if len(samples) < 2:
        return sum(samples)
    deciles = statistics.quantiles(samples, n=DECILES, method="inclusive")
    return deciles[NINTH_DECILE - 1]


def is_usable(
    snapshot: WarmupSnapshot | None, settings_digest: int, starts: StartHistory
) -> TypeGuard[WarmupSnapshot]:
    """Return whether a start may use a snapshot.

    It must not use one of other settings, nor any after MAX_UNHEALTHY_STARTS unhealthy starts.
    """
    return (
        snapshot is not None
        and snapshot.version == ROW_VERSION
        and snapshot.settings_digest == settings_digest
        and starts.unhealthy_starts < MAX_UNHEALTHY_STARTS
    )


def apply_snapshot(server: AdmissionController, snapshot: WarmupSnapshot, age_us: int) -> None:
    """Set the usual run times to those at an age, for request classes that had runs at that age."""
    bucket = age_bucket(age_us)
    if bucket is None:
        return
    times_by_class = server.queue.run_times
    no_runs = [0.0] * len(AGE_BUCKETS_US)
    for request_class in times_by_class:
        run_time_us = snapshot.run_times_us.get(request_class.name, no_runs)[bucket]
        if run_time_us:
            times_by_class[request_class] = run_time_us
