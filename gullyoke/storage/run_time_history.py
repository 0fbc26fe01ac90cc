"""What a server saves of its usual run times for the next start, and when that may use it.

No I/O: rows in, verdicts out.

Saved are the usual times of runs and of dependency calls. Not saved are:

- the learner's counts: given back at half their weight they cost 0.034 of the value in the first
  30 s after a cold start (simulated over 30 seeds), since a cold server is not the machine that
  they were taken from;
- limits, which follow from the settings;
- idempotency keys, which need a record before each run (gullyoke/durability);
- anything of single requests.

The names of a row's fields on the disk are those given to `rename`.
"""

from __future__ import annotations

import json
from typing import Final, NamedTuple, TypeVar

import google_crc32c
import msgspec

from gullyoke.admission.controller import AdmissionController

ROW_VERSION: Final = 1
HALF_LIFE_S: Final = 3600.0  # in which a snapshot loses half of its weight
MAX_AGE_S: Final = 24 * 3600.0  # an older snapshot is not used at all
MAX_WEIGHT: Final = 0.5  # of a snapshot: the rest is learned anew
HEALTHY_AFTER_S: Final = 60.0  # of service without trouble after which a start was healthy
MAX_UNHEALTHY_STARTS: Final = 3  # in a row; after more the snapshot may be the cause
SLOW_FACTOR: Final = 2.0  # times the usual at which run times are not worth keeping
MAX_GROWTH: Final = 1.1  # of the usual times from one snapshot to the next


class RunTimeSnapshot(
    msgspec.Struct,
    frozen=True,
    rename={
        "settings_digest": "stated",
        "recorded_at_s": "at",
        "run_times_us": "costs",
        "dependency_call_us": "call",
    },
):
    """What a server had learned at one moment.

    Attributes:
        settings_digest: The digest of the settings under which it was learned.
        recorded_at_s: When, in seconds of the Unix clock.
        run_times_us: The usual time of a run by request class, in microseconds.
        dependency_call_us: The usual time of a dependency call, in microseconds.
        version: Of the row.
    """

    settings_digest: int
    recorded_at_s: float
    run_times_us: dict[str, float]
    dependency_call_us: float
    version: int = ROW_VERSION


class StartHistory(msgspec.Struct, frozen=True, rename={"unhealthy_starts": "unwell"}):
    """How the last starts went.

    Attributes:
        unhealthy_starts: How many in a row did not become healthy.
        version: Of the row.
    """

    unhealthy_starts: int = 0
    version: int = ROW_VERSION


class SnapshotVerdict(NamedTuple):
    """How much of a snapshot counts, from 0 for none of it, and why."""

    weight: float
    reason: str


def settings_digest(settings: object) -> int:
    """Digest all settings of a server; a snapshot of other settings is not used."""
    text = json.dumps(settings, sort_keys=True, default=str)
    digest: int = google_crc32c.value(text.encode())
    return digest


def should_save(
    run_times_us: dict[str, float], usual_us: dict[str, float], warm: bool, draining: bool
) -> bool:
    """Whether the run times of now may be saved for the next start.

    Only of a warm server that does not drain and runs no slower than twice the usual: times of a
    slow or cold spell would, after the restart, reject what a healthy server can do.
    """
    slow = any(
        run_time_us > SLOW_FACTOR * usual_us.get(name, run_time_us)
        for name, run_time_us in run_times_us.items()
    )
    return warm and not draining and not slow


def usual_run_times(run_times_us: dict[str, float], usual_us: dict[str, float]) -> dict[str, float]:
    """Move the usual times towards those of now.

    They fall at once and rise by a tenth a snapshot at most, so that a lasting change is believed
    in the end.
    """
    return {
        name: min(run_time_us, MAX_GROWTH * usual_us.get(name, run_time_us))
        for name, run_time_us in run_times_us.items()
    }


def judge_snapshot(
    snapshot: RunTimeSnapshot | None, settings_digest: int, now_s: float, starts: StartHistory
) -> SnapshotVerdict:
    """Say how much of a snapshot a start may use.

    Its weight falls with its age; a clock that went back makes it neither younger nor older.

    Args:
        snapshot: What the last start saved, if anything.
        settings_digest: Of this start's settings.
        now_s: Seconds of the Unix clock.
        starts: How the last starts went.
    """
    if snapshot is None:
        return SnapshotVerdict(0.0, "nothing remembered")
    if snapshot.version != ROW_VERSION:
        return SnapshotVerdict(0.0, f"version {snapshot.version}")
    if snapshot.settings_digest != settings_digest:
        return SnapshotVerdict(0.0, "other things were stated")
    if starts.unhealthy_starts >= MAX_UNHEALTHY_STARTS:
        return SnapshotVerdict(0.0, f"{starts.unhealthy_starts} starts that did not come to calm")
    age_s = max(0.0, now_s - snapshot.recorded_at_s)
    if age_s > MAX_AGE_S:
        return SnapshotVerdict(0.0, "too old")
    return SnapshotVerdict(MAX_WEIGHT * 0.5 ** (age_s / HALF_LIFE_S), "remembered")


def start_begun(starts: StartHistory) -> StartHistory:
    """Count a start that begins; it counts as unhealthy until it has become healthy."""
    return StartHistory(starts.unhealthy_starts + 1)


def is_healthy_start(served_s: float, internal_errors: int, overloaded: bool) -> bool:
    """Whether this start has served for long enough, without internal errors or an overload now."""
    return served_s >= HEALTHY_AFTER_S and not internal_errors and not overloaded


# To and from the decisions. Called under the dispatcher's lock: copies of small tables alone.


def take_snapshot(
    server: AdmissionController, settings_digest: int, now_s: float
) -> RunTimeSnapshot | None:
    """Copy what the decisions have learned; None before their first request."""
    if server.learner is None:
        return None
    run_times_us = {
        request_class.name: cost for request_class, cost in server.queue.run_times.items()
    }
    return RunTimeSnapshot(settings_digest, now_s, run_times_us, server.dependency.usual_call_time)


def apply_snapshot(server: AdmissionController, snapshot: RunTimeSnapshot, weight: float) -> None:
    """Move the first guesses of the decisions towards a snapshot, by its weight from 0 to 1."""
    costs = server.queue.run_times
    for request_class in costs:
        if request_class.name in snapshot.run_times_us:
            saved_us = snapshot.run_times_us[request_class.name]
            costs[request_class] += weight * (saved_us - costs[request_class])
    usual_us = snapshot.dependency_call_us * (weight > 0)
    server.dependency.usual_call_time = usual_us
    server.dependency.recent_call_time = usual_us


RowT = TypeVar("RowT", bound=msgspec.Struct)


def pack_row(row: msgspec.Struct) -> bytes:
    """Give the bytes of a row."""
    return msgspec.msgpack.encode(row)


def unpack_row(data: bytes | None, row_type: type[RowT]) -> RowT | None:
    """Read a row; None where there is none, or it is of a form that is not known."""
    if data is None:
        return None
    try:
        return msgspec.msgpack.decode(data, type=row_type)
    except msgspec.MsgspecError:
        return None
