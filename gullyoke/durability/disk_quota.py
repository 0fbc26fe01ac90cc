"""How much of a disk each kind of data may use, and which data is dropped when space runs short.

Each kind of data has a quota. When the disk is near full, dead records are compacted away first,
which loses nothing. If that is not enough, the least valuable data is dropped first: the usual run
times of a server, then the fleet's record, then the results of ended requests (a duplicate of such
a request fails as unknown and is never run again), and key records whose window is over. Key
records in force and lease grants are never dropped for space; the space of lease grants is reserved
(gullyoke/storage/slot_file.py).
"""

from __future__ import annotations

from enum import IntEnum
from typing import Final, NamedTuple

from gullyoke.durability.disk_health import DiskState


class DataKind(IntEnum):
    """The kinds of data on a disk, the least valuable first."""

    RUN_TIMES = 0
    FLEET_RECORD = 1
    RESULTS = 2
    KEY_RECORDS = 3
    LEASE_GRANTS = 4

    @property
    def counter_name(self) -> str:
        """The last part of the name of the counter of dropped data of this kind."""
        return COUNTER_NAMES[self]


COUNTER_NAMES: Final = {
    DataKind.RUN_TIMES: "memory",
    DataKind.FLEET_RECORD: "record",
    DataKind.RESULTS: "results",
    DataKind.KEY_RECORDS: "notes",
    DataKind.LEASE_GRANTS: "promises",
}
# The share of the quota that each kind may use; lease grants use reserved space outside the quota.
QUOTA_SHARES: Final = {
    DataKind.RUN_TIMES: 0.05,
    DataKind.FLEET_RECORD: 0.15,
    DataKind.RESULTS: 0.5,
    DataKind.KEY_RECORDS: 0.3,
}
DROPPABLE: Final = (DataKind.RUN_TIMES, DataKind.FLEET_RECORD, DataKind.RESULTS)
RECLAIMED_SHARE: Final = 0.02  # share of the quota to drop at each check of a near full disk
# The least valuable kind that is still written in each state.
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
    """An order to drop a number of bytes of a kind of data."""

    kind: DataKind
    size_bytes: int


class DiskQuota:
    """The bytes used by each kind of data, compared with its share of the quota.

    Attributes:
        quota_bytes: How much all kinds but lease grants may use together.
        used: Bytes by kind, as last reported by the owners of the data.
    """

    def __init__(self, quota_bytes: int) -> None:
        self.quota_bytes = quota_bytes
        self.used = dict.fromkeys(QUOTA_SHARES, 0)

    def limit_bytes(self, kind: DataKind) -> int:
        """Return how many bytes a kind may use."""
        return int(QUOTA_SHARES[kind] * self.quota_bytes)

    def accepts_kind(self, kind: DataKind, state: DiskState) -> bool:
        """Return whether data of a kind is written while the disk is in a state."""
        return kind >= LEAST_KIND_WRITTEN[state]

    def free_share(self) -> float:
        """Return the share of the quota that is free."""
        return max(0.0, 1 - sum(self.used.values()) / max(1, self.quota_bytes))

    def over_limit(self) -> list[Reclaim]:
        """Return what to drop of the kinds that use more than their share."""
        return [
            Reclaim(kind, used_bytes - self.limit_bytes(kind))
            for kind, used_bytes in self.used.items()
            if kind in DROPPABLE and used_bytes > self.limit_bytes(kind)
        ]

    def to_reclaim(self, state: DiskState) -> list[Reclaim]:
        """Return what to drop in a state of the disk, the least valuable kind first.

        On a healthy disk this is what exceeds the share of its kind; on one that is near full, a
        fixed part of the quota at each check. In all other states nothing is dropped, since a
        deletion has to be written too.
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
