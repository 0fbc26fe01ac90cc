"""The folders that an operator's file names, each with a monitor and a quota.

Several extensions may write to one folder; they share its monitor.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

from gullyoke.durability.disk_health import DiskState
from gullyoke.durability.disk_quota import DataKind, DiskQuota
from gullyoke.runtime import clock
from gullyoke.runtime.metrics import Metrics
from gullyoke.storage.disk_monitor import DiskMonitor

USAGE_INTERVAL_US: Final = 1_000_000


class DataFolder:
    """A folder, the health of its disk, and how much of the quota each kind of data uses.

    The registered functions run on the monitor's thread and may wait for the disk.

    Attributes:
        path: the folder.
        monitor: watches the disk.
    """

    def __init__(self, path: str, quota_bytes: int, metrics: Metrics) -> None:
        """Create the folder's monitor, without starting it.

        Args:
            path: the folder.
            quota_bytes: the most bytes that its files may take together.
            metrics: counts the deletions that free space.
        """
        self.path = path
        self.metrics = metrics
        self.quota = DiskQuota(quota_bytes)
        self.monitor = DiskMonitor(path, metrics, random.Random(path).random, quota_bytes)
        self.monitor.quota_left = self.quota.free_share
        self.monitor.on_check = self._check_usage
        self.sizes: dict[DataKind, Callable[[], int]] = {}
        self.reclaimers: dict[DataKind, Callable[[int], None]] = {}
        self.compactions: list[Callable[[], None]] = []
        self.started = False
        self.next_check_us = 0

    def register(
        self,
        kind: DataKind,
        size_bytes: Callable[[], int],
        reclaim: Callable[[int], None] | None = None,
    ) -> None:
        """Register a kind of data that is kept in the folder.

        Args:
            kind: the kind.
            size_bytes: returns how many bytes it uses.
            reclaim: deletes at least a number of bytes of it; None where none may be deleted.
        """
        self.sizes[kind] = size_bytes
        if reclaim is not None:
            self.reclaimers[kind] = reclaim

    def add_compaction(self, compact: Callable[[], None]) -> None:
        """Register a function that frees the space of data that is no longer used."""
        self.compactions.append(compact)

    def start(self) -> None:
        """Start the monitor, unless another user of the folder has done so."""
        if not self.started:
            self.started = True
            self.monitor.start()

    def accepts(self, kind: DataKind) -> bool:
        """Return whether data of this kind is written in the disk's present state."""
        return self.quota.accepts_kind(kind, self.monitor.update_state())

    def _check_usage(self, state: DiskState) -> None:
        """Free space if it is short: compact first, then delete what the quota asks for."""
        now = clock.now()
        if now < self.next_check_us:
            return
        self.next_check_us = now + USAGE_INTERVAL_US
        for kind, size_bytes in self.sizes.items():
            self.quota.used[kind] = size_bytes()
        if state is DiskState.NEAR_FULL:
            for compact in self.compactions:
                compact()
        for reclaim in self.quota.to_reclaim(state):
            if reclaim.kind in self.reclaimers:
                self.metrics.increment(f"disk.gave_{reclaim.kind.counter_name}")
                self.reclaimers[reclaim.kind](reclaim.size_bytes)


class DataFolders:
    """All folders that the operator's file names, by path."""

    def __init__(self) -> None:
        self.folders: dict[str, DataFolder] = {}

    def open(self, path: str, quota_bytes: int, metrics: Metrics) -> DataFolder:
        """Return the folder, with a quota that the first call for its path sets."""
        if path not in self.folders:
            self.folders[path] = DataFolder(path, quota_bytes, metrics)
        return self.folders[path]

    def states(self) -> dict[str, str]:
        """Return the state of each folder's disk, as it is called in logs and status answers."""
        return {path: folder.monitor.update_state().value for path, folder in self.folders.items()}
