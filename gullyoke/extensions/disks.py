"""The folders that an operator's file names: each watched once, whoever keeps something there."""

from __future__ import annotations

import random
from collections.abc import Callable

from gullyoke.durability.disk_health import DiskState
from gullyoke.durability.disk_quota import DataKind, DiskQuota
from gullyoke.runtime import clock
from gullyoke.runtime.metrics import Metrics
from gullyoke.storage.disk_monitor import DiskMonitor

EACH = 1_000_000  # microseconds between looks at who has how much


class ConnectionLimits:
    """A folder under watch, with what each kind may have of it.

    `size` and `give` are by kind: how many bytes it takes, and giving up so many; `tidy` compacts
    what is dead. All are called by the watch's thread, and may wait for the disk.
    """

    def __init__(self, folder: str, quota: int, metrics: Metrics) -> None:
        self.folder, self.rooms, self.metrics = folder, DiskQuota(quota), metrics
        self.watch = DiskMonitor(folder, metrics, random.Random(folder).random, quota)
        self.watch.quota_left = self.rooms.free_share
        self.watch.on_check = self.look
        self.size: dict[DataKind, Callable[[], int]] = {}
        self.give: dict[DataKind, Callable[[int], None]] = {}
        self.tidy: list[Callable[[], None]] = []
        self.started, self.next = False, 0

    def start(self) -> None:
        if not self.started:
            self.started = True
            self.watch.start()

    def writes(self, kind: DataKind) -> bool:
        """Whether this kind is written now."""
        return self.rooms.is_written(kind, self.watch.state())

    def look(self, state: DiskState) -> None:
        """What is dead goes first, then what is worth least."""
        now = clock.now()
        if now < self.next:
            return
        self.next = now + EACH
        for kind, size in self.size.items():
            self.rooms.used[kind] = size()
        if state is DiskState.NEAR_FULL:
            for tidy in self.tidy:
                tidy()
        for one in self.rooms.to_reclaim(state):
            if one.kind in self.give:
                self.metrics.increment(f"disk.gave_{one.kind.counter_name}")
                self.give[one.kind](one.size_bytes)


class Disks:
    """Table: `rooms`, one a folder; as many as the file names."""

    def __init__(self) -> None:
        self.rooms: dict[str, ConnectionLimits] = {}

    def at(self, folder: str, quota: int, metrics: Metrics) -> ConnectionLimits:
        if folder not in self.rooms:
            self.rooms[folder] = ConnectionLimits(folder, quota, metrics)
        return self.rooms[folder]
