"""Who may have how much of a disk, and what goes first when it grows full.

Each kind of what is kept has its bytes. Near full nothing is lost yet: what is dead is compacted
away. When that does not do, what is worth least goes first: what a server remembers of usual times,
then the fleet's record, then the results of ended reqs (a repeat is then answered errored, as
unknown, never run again), and notes whose window is over. Notes that are in force and promises are
never given up for room; promises have theirs from the start (gullyoke/storage/slot_file.py).
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from gullyoke.durability.disk_health import DiskState


class DataKind(IntEnum):
    """What is kept, by worth: the least first."""

    RUN_TIMES = 0
    FLEET_RECORD = 1
    RESULTS = 2
    KEY_RECORDS = 3
    LEASE_GRANTS = 4

    @property
    def counter_name(self) -> str:
        """The end of the name of the counter of what was given up of this kind."""
        return COUNTER_NAMES[self]


COUNTER_NAMES = {
    DataKind.RUN_TIMES: "memory",
    DataKind.FLEET_RECORD: "record",
    DataKind.RESULTS: "results",
    DataKind.KEY_RECORDS: "notes",
    DataKind.LEASE_GRANTS: "promises",
}

# The share of the quota that each kind may have; promises stand beside it, in cells of their own.
SHARES = {
    DataKind.RUN_TIMES: 0.05,
    DataKind.FLEET_RECORD: 0.15,
    DataKind.RESULTS: 0.5,
    DataKind.KEY_RECORDS: 0.3,
}
GIVEN = (
    DataKind.RUN_TIMES,
    DataKind.FLEET_RECORD,
    DataKind.RESULTS,
)  # what may be given up, the least worth first
STEP = 0.02  # of the quota, each second that the disk is near full
STILL = {
    DiskState.HEALTHY: DataKind.RUN_TIMES,
    DiskState.NEAR_FULL: DataKind.RESULTS,
    DiskState.FULL: DataKind.LEASE_GRANTS,
    DiskState.FAILING: DataKind.LEASE_GRANTS,
    DiskState.STALLED: DataKind.LEASE_GRANTS,
    DiskState.READ_ONLY: DataKind.LEASE_GRANTS,
    DiskState.MISSING: DataKind.LEASE_GRANTS,
}  # the least kind that is still written in a state


class Reclaim(NamedTuple):
    """So many bytes of a kind are to go."""

    kind: DataKind
    size_bytes: int


class DiskQuota:
    """Bytes by kind, as whoever keeps them says (`used`).

    `quota` is what all but promises may take.
    """

    def __init__(self, quota: int) -> None:
        self.quota = quota
        self.used = dict.fromkeys(SHARES, 0)

    def limit_bytes(self, kind: DataKind) -> int:
        return int(SHARES[kind] * self.quota)

    def is_written(self, kind: DataKind, state: DiskState) -> bool:
        """Whether this kind is written at all while the disk is so."""
        return kind >= STILL[state]

    def free_share(self) -> float:
        """The share of the quota that is left."""
        return max(0.0, 1 - sum(self.used.values()) / max(1, self.quota))

    def over_limit(self) -> list[Reclaim]:
        """What is to go because its kind has more than its share."""
        return [
            Reclaim(kind, size - self.limit_bytes(kind))
            for kind, size in self.used.items()
            if kind in GIVEN and size > self.limit_bytes(kind)
        ]

    def to_reclaim(self, state: DiskState) -> list[Reclaim]:
        """What to give up now, the least worth first.

        Near full a STEP of the quota at a time, else what is over its share. Notes in force are not
        among it; where nothing can be written nothing can be taken out either.
        """
        if state is not DiskState.NEAR_FULL:
            return self.over_limit() if state is DiskState.HEALTHY else []
        out, need = [], max(1, int(STEP * self.quota))
        for kind in GIVEN:
            part = min(need, self.used[kind])
            if part > 0:
                out.append(Reclaim(kind, part))
                need -= part
        return out
