"""The file operations that the store needs, and a real folder that carries them out."""

from __future__ import annotations

import errno
import fcntl
import os
import pathlib
from typing import Final, NamedTuple, Protocol

LOCK_NAME: Final = "lock"
FILE_MODE: Final = 0o600


class FreeSpace(NamedTuple):
    """The bytes of a disk that are free for this process, and all of its bytes."""

    free_bytes: int
    total_bytes: int


class FileOperations(Protocol):
    """What the store asks of a folder. Each operation raises `OSError`.

    What was appended is durable once `sync` has returned; that a file was created or removed, once
    `sync_folder` has.
    """

    def list_files(self) -> list[str]:
        """Give the names of the files."""

    def read(self, name: str) -> bytes:
        """Read a whole file."""

    def read_at(self, name: str, offset: int, size_bytes: int) -> bytes:
        """Read a part of a file."""

    def create(self, name: str) -> None:
        """Make a file that is not there yet, and open it for appends."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file that this process created."""

    def sync(self, name: str) -> None:
        """Make durable what was written to a file."""

    def close_file(self, name: str) -> None:
        """Write no more to a file."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_folder(self) -> None:
        """Make durable which files there are."""

    def free_space(self) -> FreeSpace:
        """Ask how much space is left."""


class StorageFolder:
    """A folder on a disk, with a lock against a second process.

    The owner closes it. Operations are those of `FileOperations` and of `SlotFileOperations`.

    Attributes:
        open_files: The descriptors of the files that are written to.

    Args:
        folder: Its path.
        locked: Whether to take the lock.
        create: Whether to make the folder where it is not there.

    Raises:
        BlockingIOError: Another process has the lock.
        OSError: The folder can't be made or used.
    """

    def __init__(
        self, folder: str | os.PathLike[str], locked: bool = True, create: bool = True
    ) -> None:
        self.folder = pathlib.Path(folder)
        if create:
            self.folder.mkdir(parents=True, exist_ok=True)
        self.open_files: dict[str, int] = {}
        self.lock: int | None = None
        if locked:
            self.lock = self._take_lock()

    def _take_lock(self) -> int:
        descriptor = os.open(self.folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, FILE_MODE)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        return descriptor

    def close(self) -> None:
        """Close all files and give the lock back."""
        for descriptor in self.open_files.values():
            os.close(descriptor)
        self.open_files.clear()
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None

    def list_files(self) -> list[str]:
        """Give the names of the files, sorted, without the lock's."""
        return sorted(
            path.name for path in self.folder.iterdir() if path.is_file() and path.name != LOCK_NAME
        )

    def read(self, name: str) -> bytes:
        """Read a whole file."""
        return (self.folder / name).read_bytes()

    def read_at(self, name: str, offset: int, size_bytes: int) -> bytes:
        """Read a part of a file; less where it ends before."""
        with (self.folder / name).open("rb") as file:
            file.seek(offset)
            return file.read(size_bytes)

    def create(self, name: str) -> None:
        """Make a file that is not there yet, and open it for appends."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND
        self.open_files[name] = os.open(self.folder / name, flags, FILE_MODE)

    def append(self, name: str, data: bytes) -> None:
        """Append all of the data, in as many writes as it takes."""
        with memoryview(data) as view:
            written = 0
            while written < len(data):
                written += os.write(self.open_files[name], view[written:])

    def allocate(self, name: str, size_bytes: int) -> None:
        """Make a file of so many bytes, or extend it, with its blocks reserved on the disk.

        It is written in place with `write_at`.
        """
        descriptor = os.open(self.folder / name, os.O_RDWR | os.O_CREAT, FILE_MODE)
        try:
            os.posix_fallocate(descriptor, 0, size_bytes)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        self.sync_folder()

    def write_at(self, name: str, offset: int, data: bytes) -> None:
        """Write over a part of a file."""
        if name not in self.open_files:
            self.open_files[name] = os.open(self.folder / name, os.O_WRONLY)
        if os.pwrite(self.open_files[name], data, offset) < len(data):
            raise OSError(errno.EIO, "a write was cut short")

    def free_space(self) -> FreeSpace:
        """Ask how much space is left."""
        status = os.statvfs(self.folder)
        return FreeSpace(status.f_bavail * status.f_frsize, status.f_blocks * status.f_frsize)

    def sync(self, name: str) -> None:
        """Make durable what was written to a file."""
        os.fsync(self.open_files[name])

    def close_file(self, name: str) -> None:
        """Write no more to a file; nothing where it is not open."""
        descriptor = self.open_files.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def remove(self, name: str) -> None:
        """Close a file and remove it."""
        self.close_file(name)
        (self.folder / name).unlink()

    def sync_folder(self) -> None:
        """Make durable which files there are."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
