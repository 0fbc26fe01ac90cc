"""What a server remembers over a restart, and when it trusts it.

No I/O: records in, verdicts out.

What is remembered are the usual times of runs and of calls below. What is not: the learner's counts
(tried: half of them given back cost 0.034 of the value in the first 30 s after a cold start,
simulated over 30 seeds; a cold server is not the machine that they were taken from), limits (they
follow from what is stated), keys (they need a word before each run), anything of reqs.
"""

from __future__ import annotations

import json
from typing import NamedTuple

import google_crc32c
import msgspec

from gullyoke.admission.controller import AdmissionController

VERSION = 1
HALF_LIFE_S = 3600.0  # seconds in which what was learned loses half of its weight
MAX_AGE_S = 24 * 3600.0  # seconds after which it is not used at all
MAX_WEIGHT = 0.5  # of what was learned at the most: the rest is found anew
HEALTHY_AFTER_S = 60.0  # seconds of service without trouble after which a start has gone well
MAX_UNHEALTHY_STARTS = 3  # starts in a row that never came to calm: the memory may be the cause
SLOW_FACTOR = 2.0  # times what is usual at which a spell is not fit to be remembered


class RunTimeSnapshot(msgspec.Struct, frozen=True):
    """One snapshot.

    `stated` is the digest of what the server was told; `at` Unix seconds; times of runs and calls
    in microseconds.
    """

    stated: int
    at: float
    costs: dict[str, float]
    call: float
    version: int = VERSION


class StartHistory(msgspec.Struct, frozen=True):
    """How the last starts went: how many in a row did not come to calm."""

    unwell: int = 0
    version: int = VERSION


class SnapshotVerdict(NamedTuple):
    """How much of a snapshot counts, 0 for none of it, and why."""

    weight: float
    reason: str


def settings_digest(stated: object) -> int:
    """Of all that the server was told.

    A memory of another machine, other handlers or limits is none.
    """
    return google_crc32c.value(json.dumps(stated, sort_keys=True, default=str).encode())


def is_worth_keeping(
    costs: dict[str, float], usual: dict[str, float], warm: bool, leaving: bool
) -> bool:
    """Whether this moment may be remembered.

    Warm, not leaving, runs no slower than twice the usual. Times learned in a slow or cold spell
    would shed, after the restart, what a well server can do.
    """
    slow = any(cost > SLOW_FACTOR * usual.get(name, cost) for name, cost in costs.items())
    return warm and not leaving and not slow


def usual_run_times(costs: dict[str, float], usual: dict[str, float]) -> dict[str, float]:
    """The usual times, moved a little towards those of now.

    The lowest of late, rising by a tenth a snapshot at most, so that a lasting change is believed
    in the end.
    """
    return {name: min(cost, 1.1 * usual.get(name, cost)) for name, cost in costs.items()}


def judge_snapshot(
    found: RunTimeSnapshot | None, stated: int, now: float, starts: StartHistory
) -> SnapshotVerdict:
    """How much of a snapshot a start may use.

    A clock that went back makes it neither younger nor older.
    """
    if found is None:
        return SnapshotVerdict(0.0, "nothing remembered")
    if found.version != VERSION:
        return SnapshotVerdict(0.0, f"version {found.version}")
    if found.stated != stated:
        return SnapshotVerdict(0.0, "other things were stated")
    if starts.unwell >= MAX_UNHEALTHY_STARTS:
        return SnapshotVerdict(0.0, f"{starts.unwell} starts that did not come to calm")
    age = max(0.0, now - found.at)
    if age > MAX_AGE_S:
        return SnapshotVerdict(0.0, "too old")
    return SnapshotVerdict(MAX_WEIGHT * 0.5 ** (age / HALF_LIFE_S), "remembered")


def start_begun(starts: StartHistory) -> StartHistory:
    """A start counts as unwell until it has come to calm."""
    return StartHistory(starts.unwell + 1)


def is_healthy_start(served: float, faults: int, crowded: bool) -> bool:
    """Whether this start has gone well.

    So many seconds of service, without faults of our own or a crowd.
    """
    return served >= HEALTHY_AFTER_S and not faults and not crowded


# To and from the decisions. Called under the desk's lock: copies of small tables and nothing else.


def take_snapshot(server: AdmissionController, stated: int, at: float) -> RunTimeSnapshot | None:
    """A snapshot of what the decisions have learned; None before their first req."""
    if server.learner is None:
        return None
    return RunTimeSnapshot(
        stated, at, {h.name: cost for h, cost in server.hold.cost.items()}, server.below.usual
    )


def apply_snapshot(server: AdmissionController, found: RunTimeSnapshot, weight: float) -> None:
    """Let the decisions begin with a part of what was learned, beside their first guesses."""
    for h in server.hold.cost:
        if h.name in found.costs:
            server.hold.cost[h] += weight * (found.costs[h.name] - server.hold.cost[h])
    server.below.usual = server.below.lately = found.call * (weight > 0)


def pack_row(row: msgspec.Struct) -> bytes:
    return msgspec.msgpack.encode(row)


def unpack_row(data: bytes | None, kind: type) -> msgspec.Struct | None:
    """A row as it was kept; None where there is none, or it is of a form that is not known."""
    if data is None:
        return None
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError:
        return None
