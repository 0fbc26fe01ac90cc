"""The few things that the store asks of a folder, and a real folder that does them."""

from __future__ import annotations

import errno
import fcntl
import os
import pathlib
from typing import Protocol


class FileOperations(Protocol):
    """Each raises `OSError`.

    What was appended is durable once `sync` has returned; that a file came or went, once
    `sync_folder` has.
    """

    def names(self) -> list[str]: ...
    def read(self, name: str) -> bytes: ...
    def read_at(self, name: str, at: int, size: int) -> bytes: ...
    def create(self, name: str) -> None: ...
    def append(self, name: str, data: bytes) -> None: ...
    def sync(self, name: str) -> None: ...
    def shut(self, name: str) -> None: ...
    def remove(self, name: str) -> None: ...
    def sync_folder(self) -> None: ...
    def free(self) -> tuple[int, int]: ...


class StorageFolder:
    """A folder, made if it is not there unless `made` is False, with a lock against a second
    process. Raises `BlockingIOError` where another has it. Table: `open`, the files that are
    written to; the store closes all but one.
    """

    def __init__(self, folder: str | os.PathLike, locked: bool = True, made: bool = True) -> None:
        self.folder = pathlib.Path(folder)
        if made:
            self.folder.mkdir(parents=True, exist_ok=True)
        self.open: dict[str, int] = {}
        self.lock = None
        if locked:
            self.lock = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
            try:
                fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(self.lock)
                raise

    def close(self) -> None:
        for number in self.open.values():
            os.close(number)
        self.open.clear()
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None

    def names(self) -> list[str]:
        return sorted(p.name for p in self.folder.iterdir() if p.is_file() and p.name != "lock")

    def read(self, name: str) -> bytes:
        return (self.folder / name).read_bytes()

    def read_at(self, name: str, at: int, size: int) -> bytes:
        with (self.folder / name).open("rb") as file:
            file.seek(at)
            return file.read(size)

    def create(self, name: str) -> None:
        how = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND
        self.open[name] = os.open(self.folder / name, how, 0o600)

    def append(self, name: str, data: bytes) -> None:
        with memoryview(data) as view:
            sent = 0
            while sent < len(data):
                sent += os.write(self.open[name], view[sent:])

    def make(self, name: str, size: int) -> None:
        """A file of so many bytes whose room is taken now, whatever it held.

        It is written in place.
        """
        number = os.open(self.folder / name, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            os.posix_fallocate(number, 0, size)
            os.fsync(number)
        finally:
            os.close(number)
        self.sync_folder()

    def write_at(self, name: str, at: int, data: bytes) -> None:
        if name not in self.open:
            self.open[name] = os.open(self.folder / name, os.O_WRONLY)
        if os.pwrite(self.open[name], data, at) < len(data):
            raise OSError(errno.EIO, "a write was cut short")

    def free(self) -> tuple[int, int]:
        """Bytes of the disk that are left to us, and all of its bytes."""
        found = os.statvfs(self.folder)
        return found.f_bavail * found.f_frsize, found.f_blocks * found.f_frsize

    def sync(self, name: str) -> None:
        os.fsync(self.open[name])

    def shut(self, name: str) -> None:
        """It is not appended to any more."""
        if (number := self.open.pop(name, None)) is not None:
            os.close(number)

    def remove(self, name: str) -> None:
        self.shut(name)
        (self.folder / name).unlink()

    def sync_folder(self) -> None:
        number = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(number)
        finally:
            os.close(number)
