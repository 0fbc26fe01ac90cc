"""A file of lines that a thread of its own appends: whoever adds one never waits for the disk."""

from __future__ import annotations

import os
import queue
import threading
from collections.abc import Callable
from typing import Final

from gullyoke.storage.disk_monitor import DiskMonitor

MAX_QUEUED_LINES: Final = 64
OLDER_SUFFIX: Final = ".1"
OPERATION: Final = "a line"  # what the disk's monitor names in the log


class AppendFile:
    """A file that is rotated at a size; one older file is left.

    Attributes:
        faults: Lines in a row that were not written to the file.
        reason: What was wrong with the last of them.

    Args:
        path: The file.
        max_bytes: The size at which the next line begins a new file.
        monitor: Told of each write.
        may_write: Whether to write at all now.
    """

    def __init__(
        self, path: str, max_bytes: int, monitor: DiskMonitor, may_write: Callable[[], bool]
    ) -> None:
        self.path = path
        self.older_path = path + OLDER_SUFFIX
        self.max_bytes = max_bytes
        self.monitor = monitor
        self.may_write = may_write
        self.faults = 0
        self.reason = ""
        self.queue: queue.Queue[str] = queue.Queue(MAX_QUEUED_LINES)
        threading.Thread(target=self._run, name="lines", daemon=True).start()

    def add(self, line: str) -> None:
        """Queue a line; counted as a fault where the queue is full."""
        try:
            self.queue.put_nowait(line)
        except queue.Full:
            self._record_fault("the disk does not come back")

    def size_bytes(self) -> int:
        """Give the bytes of both files."""
        return sum(
            os.path.getsize(path) for path in (self.path, self.older_path) if os.path.exists(path)
        )

    def drop_older(self) -> None:
        """Remove the older file.

        Raises:
            OSError: It can't be removed.
        """
        with self.monitor.timed(OPERATION):
            if os.path.exists(self.older_path):
                os.remove(self.older_path)

    def _run(self) -> None:
        while True:
            self._write(self.queue.get())

    def _write(self, line: str) -> None:
        if not self.may_write():
            self._record_fault(f"the disk is {self.monitor.state().value}")
            return
        try:
            with self.monitor.timed(OPERATION):
                if os.path.exists(self.path) and os.path.getsize(self.path) > self.max_bytes:
                    os.replace(self.path, self.older_path)
                with open(self.path, "a", encoding="utf-8") as file:
                    file.write(line + "\n")
            self.faults = 0
        except OSError as error:
            self._record_fault(str(error))

    def _record_fault(self, reason: str) -> None:
        self.faults += 1
        self.reason = reason
