"""The folders that an operator's file names: each watched once, whoever keeps something there."""

from __future__ import annotations

import random
from collections.abc import Callable

from gullyoke.durability.disk_health import State
from gullyoke.durability.disk_quota import Kind, Rooms
from gullyoke.runtime import clock
from gullyoke.runtime.metrics import Metrics
from gullyoke.storage.disk_monitor import Watch

EACH = 1_000_000  # microseconds between looks at who has how much


class Room:
    """A folder under watch, with what each kind may have of it.

    `size` and `give` are by kind: how many bytes it takes, and giving up so many; `tidy` compacts
    what is dead. All are called by the watch's thread, and may wait for the disk.
    """

    def __init__(self, folder: str, quota: int, metrics: Metrics) -> None:
        self.folder, self.rooms, self.metrics = folder, Rooms(quota), metrics
        self.watch = Watch(folder, metrics, random.Random(folder).random, quota)
        self.watch.left = self.rooms.left
        self.watch.looked = self.look
        self.size: dict[Kind, Callable[[], int]] = {}
        self.give: dict[Kind, Callable[[int], None]] = {}
        self.tidy: list[Callable[[], None]] = []
        self.started, self.next = False, 0

    def start(self) -> None:
        if not self.started:
            self.started = True
            self.watch.start()

    def writes(self, kind: Kind) -> bool:
        """Whether this kind is written now."""
        return self.rooms.writes(kind, self.watch.state())

    def look(self, state: State) -> None:
        """What is dead goes first, then what is worth least."""
        now = clock.now()
        if now < self.next:
            return
        self.next = now + EACH
        for kind, size in self.size.items():
            self.rooms.used[kind] = size()
        if state is State.NEAR_FULL:
            for tidy in self.tidy:
                tidy()
        for one in self.rooms.goes(state):
            if one.kind in self.give:
                self.metrics.increment(f"disk.gave_{one.kind.name.lower()}")
                self.give[one.kind](one.bytes)


class Disks:
    """Table: `rooms`, one a folder; as many as the file names."""

    def __init__(self) -> None:
        self.rooms: dict[str, Room] = {}

    def at(self, folder: str, quota: int, metrics: Metrics) -> Room:
        if folder not in self.rooms:
            self.rooms[folder] = Room(folder, quota, metrics)
        return self.rooms[folder]
