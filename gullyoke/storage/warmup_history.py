"""How long runs took by the age of the server, so that the next cold start knows what to expect.

No I/O.

What a warm server learned does not help a cold one (gullyoke/storage/run_time_history.py); what one
learned while cold is of the same machine in the same state. Saved is the time that nine in ten runs
did not exceed, by age in steps that double: a cold server does better to think itself slow than to
begin what comes too late (docs/store.md has the figures, with those of the mean and of other
quantiles).
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
MAX_SAMPLES: Final = 64  # newest run times of a bucket that count
NEWEST_WEIGHT: Final = 0.5  # of the newest start against those before
ROW_VERSION: Final = 1


class WarmupSnapshot(
    msgspec.Struct,
    frozen=True,
    rename={"settings_digest": "stated", "recorded_at_s": "at", "run_times_us": "costs"},
):
    """What cold starts were like. The names of the fields on the disk are those in `rename`.

    Attributes:
        settings_digest: The digest of the settings under which it was learned.
        recorded_at_s: When, in seconds of the Unix clock.
        run_times_us: By request class, a time of runs for each bucket of AGE_BUCKETS_US, in
            microseconds; 0 where none was seen.
        version: Of the row.
    """

    settings_digest: int
    recorded_at_s: float
    run_times_us: dict[str, list[float]]
    version: int = ROW_VERSION


def age_bucket(age_us: int) -> int | None:
    """Say which bucket an age is in; None once it is past all of them."""
    return next((bucket for bucket, end in enumerate(AGE_BUCKETS_US) if age_us < end), None)


class WarmupRecorder:
    """Records what one start is like.

    Attributes:
        samples_us: The last MAX_SAMPLES run times of each bucket, by request class.
    """

    def __init__(self) -> None:
        self.samples_us: dict[str, list[list[float]]] = {}

    def record_run(self, age_us: int, request_class: str, run_time_us: float) -> None:
        """Record the time of a run at an age of the server."""
        bucket = age_bucket(age_us)
        if bucket is None:
            return
        buckets = self.samples_us.setdefault(request_class, empty_buckets())
        buckets[bucket].append(run_time_us)
        del buckets[bucket][:-MAX_SAMPLES]

    def take_snapshot(
        self, settings_digest: int, now_s: float, before: WarmupSnapshot | None
    ) -> WarmupSnapshot:
        """Summarize this start together with earlier ones under the same settings."""
        earlier: dict[str, list[float]] = {}
        if before is not None and before.settings_digest == settings_digest:
            earlier = before.run_times_us
        nothing = [0.0] * len(AGE_BUCKETS_US)
        run_times_us = {}
        for name in self.samples_us.keys() | earlier.keys():
            newest = [ninth_decile(row) for row in self.samples_us.get(name, empty_buckets())]
            pairs = zip(newest, earlier.get(name, nothing), strict=True)
            run_times_us[name] = [blend(new, old) for new, old in pairs]
        return WarmupSnapshot(settings_digest, now_s, run_times_us)


def empty_buckets() -> list[list[float]]:
    """Give one empty list of samples for each bucket."""
    return [[] for _ in AGE_BUCKETS_US]


def blend(new: float, old: float) -> float:
    """Weigh the newest start against those before; where one is 0 it was not seen."""
    if new and old:
        return new + (old - new) * NEWEST_WEIGHT
    return new or old


def ninth_decile(samples: list[float]) -> float:
    """Give the value that nine in ten samples do not exceed; 0 where there are none."""
    if len(samples) < 2:
        return sum(samples)
    deciles = statistics.quantiles(samples, n=DECILES, method="inclusive")
    return deciles[NINTH_DECILE - 1]


def is_usable(
    snapshot: WarmupSnapshot | None, settings_digest: int, starts: StartHistory
) -> TypeGuard[WarmupSnapshot]:
    """Whether a start may go by a snapshot.

    Not by one under other settings, nor where starts become unhealthy again and again.
    """
    return (
        snapshot is not None
        and snapshot.version == ROW_VERSION
        and snapshot.settings_digest == settings_digest
        and starts.unhealthy_starts < MAX_UNHEALTHY_STARTS
    )


def apply_snapshot(server: AdmissionController, snapshot: WarmupSnapshot, age_us: int) -> None:
    """Set the usual run times to those at this age, for the request classes that were seen then."""
    bucket = age_bucket(age_us)
    if bucket is None:
        return
    costs = server.queue.run_times
    nothing = [0.0] * len(AGE_BUCKETS_US)
    for request_class in costs:
        run_time_us = snapshot.run_times_us.get(request_class.name, nothing)[bucket]
        if run_time_us:
            costs[request_class] = run_time_us
