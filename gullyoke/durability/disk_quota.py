"""Who may use how much of a disk, and what is dropped first when it grows full.

Each kind of data has its quota. Near full nothing is lost yet: what is dead is compacted away. When
that does not do, what is worth least goes first: the usual run times of a server, then the fleet's
record, then the results of ended requests (a duplicate is then answered failed, as unknown, never
run again), and key records whose window is over. Key records that are in force and lease grants are
never dropped for space; lease grants have theirs reserved (gullyoke/storage/slot_file.py).
"""

from __future__ import annotations

from enum import IntEnum
from typing import Final, NamedTuple

from gullyoke.durability.disk_health import DiskState


class DataKind(IntEnum):
    """The data on a disk, by worth: the least first."""

    RUN_TIMES = 0
    FLEET_RECORD = 1
    RESULTS = 2
    KEY_RECORDS = 3
    LEASE_GRANTS = 4

    @property
    def counter_name(self) -> str:
        """The end of the name of the counter of what was dropped of this kind."""
        return COUNTER_NAMES[self]


COUNTER_NAMES: Final = {
    DataKind.RUN_TIMES: "memory",
    DataKind.FLEET_RECORD: "record",
    DataKind.RESULTS: "results",
    DataKind.KEY_RECORDS: "notes",
    DataKind.LEASE_GRANTS: "promises",
}
# The share of the whole quota that each kind may have; lease grants have slots of their own beside.
QUOTA_SHARES: Final = {
    DataKind.RUN_TIMES: 0.05,
    DataKind.FLEET_RECORD: 0.15,
    DataKind.RESULTS: 0.5,
    DataKind.KEY_RECORDS: 0.3,
}
DROPPABLE: Final = (DataKind.RUN_TIMES, DataKind.FLEET_RECORD, DataKind.RESULTS)
RECLAIMED_SHARE: Final = 0.02  # of the quota, at each look while the disk is near full
# The least kind that is still written in a state.
LEAST_KIND_WRITTEN: Final = {
    DiskState.HEALTHY: DataKind.RUN_TIMES,
    DiskState.NEAR_FULL: DataKind.RESULTS,
    DiskState.FULL: DataKind.LEASE_GRANTS,
    DiskState.FAILING: DataKind.LEASE_GRANTS,
    DiskState.STALLED: DataKind.LEASE_GRANTS,
    DiskState.READ_ONLY: DataKind.LEASE_GRANTS,
    DiskState.MISSING: DataKind.LEASE_GRANTS,
}


class Reclaim(NamedTuple):
    """So many bytes of a kind are to be dropped."""

    kind: DataKind
    size_bytes: int


class DiskQuota:
    """The bytes of each kind of data against its share.

    Attributes:
        quota_bytes: What all kinds but lease grants may take together.
        used: Bytes by kind, as last reported by their owners.
    """

    def __init__(self, quota_bytes: int) -> None:
        self.quota_bytes = quota_bytes
        self.used = dict.fromkeys(QUOTA_SHARES, 0)

    def limit_bytes(self, kind: DataKind) -> int:
        """Give how many bytes a kind may have."""
        return int(QUOTA_SHARES[kind] * self.quota_bytes)

    def is_written(self, kind: DataKind, state: DiskState) -> bool:
        """Whether a kind is written at all in a state of the disk."""
        return kind >= LEAST_KIND_WRITTEN[state]

    def free_share(self) -> float:
        """Give the share of the quota that is left."""
        return max(0.0, 1 - sum(self.used.values()) / max(1, self.quota_bytes))

    def over_limit(self) -> list[Reclaim]:
        """Say what is to be dropped because its kind has more than its share."""
        return [
            Reclaim(kind, used_bytes - self.limit_bytes(kind))
            for kind, used_bytes in self.used.items()
            if kind in DROPPABLE and used_bytes > self.limit_bytes(kind)
        ]

    def to_reclaim(self, state: DiskState) -> list[Reclaim]:
        """Say what is to be dropped now, the least worth first.

        Near full a part of the quota at a time, on a healthy disk what is over its share. Where
        nothing can be written nothing can be dropped either.
        """
        if state is DiskState.HEALTHY:
            return self.over_limit()
        if state is not DiskState.NEAR_FULL:
            return []
        reclaims = []
        needed_bytes = max(1, int(RECLAIMED_SHARE * self.quota_bytes))
        for kind in DROPPABLE:
            size_bytes = min(needed_bytes, self.used[kind])
            if size_bytes > 0:
                reclaims.append(Reclaim(kind, size_bytes))
                needed_bytes -= size_bytes
        return reclaims
