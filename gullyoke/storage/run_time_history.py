"""The usual run times that a server saves for its next start, and when that start may use them.

No I/O.

The server saves the usual durations of runs and of dependency calls. It does not save:

- the learner's counts: restored at half their weight they cost 0.034 of the value in the first 30 s
  after a cold start (simulated over 30 seeds), since a cold server behaves unlike the warm server
  that they were learned on;
- limits, which follow from the settings;
- idempotency keys, which need a record before each run (gullyoke/durability);
- data of single requests.

The stored names of a row's fields are those in `rename`.
"""

from __future__ import annotations

import json
from typing import Final, NamedTuple, TypeVar

import google_crc32c
import msgspec

from gullyoke.admission.controller import AdmissionController

ROW_VERSION: Final = 1
HALF_LIFE_S: Final = 3600.0  # time in which a snapshot loses half of its weight
MAX_AGE_S: Final = 24 * 3600.0  # an older snapshot is not used
MAX_WEIGHT: Final = 0.5  # weight of a new snapshot; the rest is the server's own first guess
HEALTHY_AFTER_S: Final = 60.0  # a start that has served this long without trouble is healthy
MAX_UNHEALTHY_STARTS: Final = 3  # in a row, after which no snapshot is used: it may be the cause
SLOW_FACTOR: Final = 2.0  # run times above this multiple of the usual ones are not saved
MAX_GROWTH: Final = 1.1  # limit for the growth of usual times from one snapshot to the next


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
    """The usual durations that a server has learned up to one moment.

    Attributes:
        settings_digest: The digest of the settings under which they were learned.
        recorded_at_s: When they were recorded, in seconds of the Unix clock.
        run_times_us: The usual duration of a run by request class, in microseconds.
        dependency_call_us: The usual duration of a dependency call, in microseconds.
        version: The version of the row's format.
    """

    settings_digest: int
    recorded_at_s: float
    run_times_us: dict[str, float]
    dependency_call_us: float
    version: int = ROW_VERSION


class StartHistory(msgspec.Struct, frozen=True, rename={"unhealthy_starts": "unwell"}):
    """The outcome of the last starts.

    Attributes:
        unhealthy_starts: How many starts in a row did not become healthy.
        version: The version of the row's format.
    """

    unhealthy_starts: int = 0
    version: int = ROW_VERSION


class SnapshotVerdict(NamedTuple):
    """The weight of a snapshot, from 0 to MAX_WEIGHT, and the reason as text for the log."""

    weight: float
    reason: str


def settings_digest(settings: object) -> int:
    """Return a digest of all settings of a server; a snapshot of other settings is not used."""
    text = json.dumps(settings, sort_keys=True, default=str)
    digest: int = google_crc32c.value(text.encode())
    return digest


def should_save(
    run_times_us: dict[str, float], usual_us: dict[str, float], warm: bool, draining: bool
) -> bool:
    """Return whether the present run times may be saved for the next start.

    They are saved only for a warm server that is not draining and whose run times are at most
    SLOW_FACTOR times the usual ones: after a restart, run times of a slow or cold server would make
    a healthy one reject requests that it can serve.
    """
    slow = any(
        run_time_us > SLOW_FACTOR * usual_us.get(name, run_time_us)
        for name, run_time_us in run_times_us.items()
    )
    return warm and not draining and not slow


def usual_run_times(run_times_us: dict[str, float], usual_us: dict[str, float]) -> dict[str, float]:
    """Return the usual run times, updated with the present ones.

    They fall at once, and rise by at most a tenth with each snapshot, so that only a lasting change
    is taken over in full.
    """
    return {
        name: min(run_time_us, MAX_GROWTH * usual_us.get(name, run_time_us))
        for name, run_time_us in run_times_us.items()
    }


def judge_snapshot(
    snapshot: RunTimeSnapshot | None, settings_digest: int, now_s: float, starts: StartHistory
) -> SnapshotVerdict:
    """Judge how far a start may use a snapshot.

    The weight falls with the age of the snapshot. If the clock was set back to before it,
    its age counts as 0.

    Args:
        snapshot: The snapshot that the last start saved; None if there is none.
        settings_digest: The digest of the present settings.
        now_s: The current time, in seconds of the Unix clock.
        starts: The outcome of the last starts.
    """
    if snapshot is None:
        return SnapshotVerdict(0.0, "nothing remembered")
    if snapshot.version != ROW_VERSION:
        return SnapshotVerdict(0.0, f"unsupported version {snapshot.version}")
    if snapshot.settings_digest != settings_digest:
        return SnapshotVerdict(0.0, "the settings have changed")
    if starts.unhealthy_starts >= MAX_UNHEALTHY_STARTS:
        return SnapshotVerdict(0.0, f"{starts.unhealthy_starts} starts that did not come to calm")
    age_s = max(0.0, now_s - snapshot.recorded_at_s)
    if age_s > MAX_AGE_S:
        return SnapshotVerdict(0.0, "too old")
    return SnapshotVerdict(MAX_WEIGHT * 0.5 ** (age_s / HALF_LIFE_S), "remembered")


def with_new_start(starts: StartHistory) -> StartHistory:
    """Return the history with a new start, which counts as unhealthy until it becomes healthy."""
    return StartHistory(starts.unhealthy_starts + 1)


def is_healthy_start(served_s: float, internal_errors: int, overloaded: bool) -> bool:
    """Return whether a start has served long enough and has no internal errors or overload."""
    return served_s >= HEALTHY_AFTER_S and not internal_errors and not overloaded


# The next two functions are called under the dispatcher's lock and only copy small tables.


def take_snapshot(
    server: AdmissionController, settings_digest: int, now_s: float
) -> RunTimeSnapshot | None:
    """Return what the admission controller has learned; None before its first request."""
    if server.learner is None:
        return None
    run_times_us = {
        request_class.name: run_time for request_class, run_time in server.queue.run_times.items()
    }
    return RunTimeSnapshot(settings_digest, now_s, run_times_us, server.dependency.usual_call_time)


def apply_snapshot(server: AdmissionController, snapshot: RunTimeSnapshot, weight: float) -> None:
    """Move the first guesses of the admission controller towards a snapshot.

    A weight of 0 leaves the run times as they are, a weight of 1 replaces them. The usual duration
    of a dependency call is replaced at any weight above 0, and cleared at 0.
    """
    times_by_class = server.queue.run_times
    for request_class in times_by_class:
        if request_class.name in snapshot.run_times_us:
            saved_us = snapshot.run_times_us[request_class.name]
            times_by_class[request_class] += weight * (saved_us - times_by_class[request_class])
    usual_us = snapshot.dependency_call_us * (weight > 0)
    server.dependency.usual_call_time = usual_us
    server.dependency.recent_call_time = usual_us


RowT = TypeVar("RowT", bound=msgspec.Struct)


def pack_row(row: msgspec.Struct) -> bytes:
    """Encode a row."""
    return msgspec.msgpack.encode(row)


def unpack_row(data: bytes | None, row_type: type[RowT]) -> RowT | None:
    """Decode a row; None if there is none or its form is unknown."""
    if data is None:
        return None
    try:
        return msgspec.msgpack.decode(data, type=row_type)
    except msgspec.MsgspecError:
        return None
