"""A memory of cold starts.

How long runs took by the age of the server, so that the next cold start knows what it is like. No
I/O.

What a warm server learned does not help a cold one (gullyoke/storage/run_time_history.py); what one
learned while cold is of the same machine in the same state. Kept is the time that nine in ten runs
did not exceed, by age in steps that double: a cold server does better to think itself slow than to
begin what comes too late (docs/store.md has the figures, the mean's and other quantiles' beside
them).
"""

from __future__ import annotations

import statistics

import msgspec

from gullyoke.admission.controller import AdmissionController
from gullyoke.storage.run_time_history import MAX_UNHEALTHY_STARTS, StartHistory

AGE_BUCKETS_US = (
    500_000,
    1_000_000,
    2_000_000,
    4_000_000,
    8_000_000,
    16_000_000,
)  # microseconds of age
DECILE = 9  # of ten
MAX_SAMPLES = 64  # that are kept of a step
NEWEST_WEIGHT = 0.5  # what the newest start counts for against those before
VERSION = 1


class WarmupSnapshot(msgspec.Struct, frozen=True):
    """`costs`: by handler, a time of runs for each step of EDGES, 0 where none was seen.

    Microseconds.
    """

    stated: int
    at: float
    costs: dict[str, list[float]]
    version: int = VERSION


def age_bucket(age: int) -> int | None:
    """Which step an age is in; None once it is past all of them."""
    return next((i for i, edge in enumerate(AGE_BUCKETS_US) if age < edge), None)


class WarmupRecorder:
    """What one start is like.

    Table: `rows`, the last SAMPLES times that were seen in each step, by handler.
    """

    def __init__(self) -> None:
        self.rows: dict[str, list[list[float]]] = {}

    def record_run(self, age: int, request_class: str, took: float) -> None:
        if (at := age_bucket(age)) is not None:
            row = self.rows.setdefault(request_class, [[] for _ in AGE_BUCKETS_US])[at]
            row.append(took)
            del row[:-MAX_SAMPLES]

    def take_snapshot(
        self, stated: int, at: float, before: WarmupSnapshot | None
    ) -> WarmupSnapshot:
        """A snapshot, with those of earlier starts in it."""
        old = before.costs if before is not None and before.stated == stated else {}
        nothing = [0.0] * len(AGE_BUCKETS_US)
        costs = {}
        for name in self.rows.keys() | old.keys():
            now = [ninth_decile(row) for row in self.rows.get(name, [[] for _ in AGE_BUCKETS_US])]
            costs[name] = [
                x + (was - x) * NEWEST_WEIGHT if x and was else x or was
                for x, was in zip(now, old.get(name, nothing), strict=True)
            ]
        return WarmupSnapshot(stated, at, costs)


def ninth_decile(row: list[float]) -> float:
    if len(row) < 2:
        return sum(row)
    return statistics.quantiles(row, n=10, method="inclusive")[DECILE - 1]


def is_usable(found: WarmupSnapshot | None, stated: int, starts: StartHistory) -> bool:
    """Whether a start may go by it.

    Another machine's or other handlers' is none, nor is one under which starts go ill again and
    again.
    """
    return (
        found is not None
        and found.version == VERSION
        and found.stated == stated
        and starts.unwell < MAX_UNHEALTHY_STARTS
    )


def apply_snapshot(server: AdmissionController, found: WarmupSnapshot, age: int) -> None:
    """Let the usual times be what they were at this age, for handlers that were seen then."""
    if (at := age_bucket(age)) is None:
        return
    for h in server.hold.cost:
        cost = found.costs.get(h.name, [0.0] * len(AGE_BUCKETS_US))[at]
        if cost:
            server.hold.cost[h] = cost
