"""The folders that an operator's file names: each watched once, whoever keeps something there."""
from __future__ import annotations

import random

from gullyoke.core.book import Book
from gullyoke.durable.rooms import Kind, Rooms
from gullyoke.store.watch import Watch


class Room:
    """A folder under watch, with what each kind may have of it."""

    def __init__(self, folder: str, quota: int, book: Book) -> None:
        self.folder, self.rooms = folder, Rooms(quota)
        self.watch = Watch(folder, book, random.Random(folder).random, quota)
        self.watch.used = lambda: sum(self.rooms.used.values())
        self.started = False

    def start(self) -> None:
        if not self.started:
            self.started = True
            self.watch.start()

    def writes(self, kind: Kind) -> bool:
        """Whether this kind is written now."""
        return self.rooms.writes(kind, self.watch.state())


class Disks:
    """Table: `rooms`, one a folder; as many as the file names."""

    def __init__(self) -> None:
        self.rooms: dict[str, Room] = {}

    def at(self, folder: str, quota: int, book: Book) -> Room:
        if folder not in self.rooms:
            self.rooms[folder] = Room(folder, quota, book)
        return self.rooms[folder]
