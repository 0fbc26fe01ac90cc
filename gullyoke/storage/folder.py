"""The file operations that the store needs, and a folder on a disk that provides them."""

from __future__ import annotations

import errno
import fcntl
import os
import pathlib
from typing import Final, NamedTuple, Protocol

LOCK_NAME: Final = "lock"
FILE_MODE: Final = 0o600


class FreeSpace(NamedTuple):
    """The space of a disk: the bytes that this process may still use, and all of its bytes."""

    free_bytes: int
    total_bytes: int


class FileOperations(Protocol):
    """The file operations that the store needs. Each may raise `OSError`.

    Appended data is durable once `sync` has returned; the creation or removal of a file, once
    `sync_folder` has returned.
    """

    def list_files(self) -> list[str]:
        """Return the names of the files."""

    def read(self, name: str) -> bytes:
        """Read a whole file."""

    def read_at(self, name: str, offset: int, size_bytes: int) -> bytes:
        """Read a part of a file."""

    def create(self, name: str) -> None:
        """Create a file that must not exist yet, and open it for appends."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file that this process created."""

    def sync(self, name: str) -> None:
        """Make the data written to a file durable."""

    def close_file(self, name: str) -> None:
        """Close a file that was open for writing."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_folder(self) -> None:
        """Make the creation and removal of files durable."""

    def free_space(self) -> FreeSpace:
        """Return how much space the disk has."""


class StorageFolder:
    """A folder on a disk, with a lock that keeps other processes out.

    The owner closes it. It has the operations of `FileOperations` and of `SlotFileOperations`.

    Attributes:
        open_files: The descriptors of the files open for writing, by name.

    Args:
        folder: The path of the folder.
        locked: Whether to take the lock.
        create: Whether to create the folder if it does not exist.

    Raises:
        BlockingIOError: Another process holds the lock.
        OSError: The folder can't be created or used.
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
        """Close all files and release the lock."""
        for descriptor in self.open_files.values():
            os.close(descriptor)
        self.open_files.clear()
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None

    def list_files(self) -> list[str]:
        """Return the names of the files, sorted, without the lock file."""
        return sorted(
            path.name for path in self.folder.iterdir() if path.is_file() and path.name != LOCK_NAME
        )

    def read(self, name: str) -> bytes:
        """Read a whole file."""
        return (self.folder / name).read_bytes()

    def read_at(self, name: str, offset: int, size_bytes: int) -> bytes:
        """Read a part of a file; returns less at the end of the file."""
        with (self.folder / name).open("rb") as file:
            file.seek(offset)
            return file.read(size_bytes)

    def create(self, name: str) -> None:
        """Create a file that must not exist yet, and open it for appends."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND
        self.open_files[name] = os.open(self.folder / name, flags, FILE_MODE)

    def append(self, name: str, data: bytes) -> None:
        """Append all of the data, with as many calls of `write` as it takes."""
        with memoryview(data) as view:
            written = 0
            while written < len(data):
                written += os.write(self.open_files[name], view[written:])

    def allocate(self, name: str, size_bytes: int) -> None:
        """Create a file of a size, or extend it to that size, with its blocks reserved.

        The file is then written in place with `write_at`.
        """
        descriptor = os.open(self.folder / name, os.O_RDWR | os.O_CREAT, FILE_MODE)
        try:
            os.posix_fallocate(descriptor, 0, size_bytes)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        self.sync_folder()

    def write_at(self, name: str, offset: int, data: bytes) -> None:
        """Overwrite a part of a file."""
        if name not in self.open_files:
            self.open_files[name] = os.open(self.folder / name, os.O_WRONLY)
        if os.pwrite(self.open_files[name], data, offset) < len(data):
            raise OSError(errno.EIO, f"short write to {name}")

    def free_space(self) -> FreeSpace:
        """Return how much space the disk has."""
        status = os.statvfs(self.folder)
        return FreeSpace(status.f_bavail * status.f_frsize, status.f_blocks * status.f_frsize)

    def sync(self, name: str) -> None:
        """Make the data written to a file durable."""
        os.fsync(self.open_files[name])

    def close_file(self, name: str) -> None:
        """Close a file that was open for writing, if it was."""
        descriptor = self.open_files.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def remove(self, name: str) -> None:
        """Close a file and remove it."""
        self.close_file(name)
        (self.folder / name).unlink()

    def sync_folder(self) -> None:
        """Make the creation and removal of files durable."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
