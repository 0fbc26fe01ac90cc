"""A file of lines, written by a thread of its own so that callers never wait for the disk."""

from __future__ import annotations

import os
import queue
import threading
from collections.abc import Callable
from typing import Final

from gullyoke.storage.disk_monitor import DiskMonitor

MAX_QUEUED_LINES: Final = 64
OLDER_SUFFIX: Final = ".1"
OPERATION: Final = "a line"  # name of the disk operation in the log


class AppendFile:
    """A file that is rotated at a size limit; one older file is kept.

    Attributes:
        faults: How many lines in a row were not written.
        reason: Why the last of them was not written.

    Args:
        path: The path of the file.
        max_bytes: The size above which the next line begins a new file.
        monitor: Monitors each disk operation.
        may_write: Returns whether lines may be written now.
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
        """Queue a line; if the queue is full, drop the line and count a fault."""
        try:
            self.queue.put_nowait(line)
        except queue.Full:
            self._record_fault("the queue is full")

    def size_bytes(self) -> int:
        """Return the size of both files together."""
        return sum(
            os.path.getsize(path) for path in (self.path, self.older_path) if os.path.exists(path)
        )

    def drop_older(self) -> None:
        """Remove the older file.

        Raises:
            OSError: The file can't be removed.
        """
        with self.monitor.timed(OPERATION):
            if os.path.exists(self.older_path):
                os.remove(self.older_path)

    def _run(self) -> None:
        while True:
            self._write(self.queue.get())

    def _write(self, line: str) -> None:
        if not self.may_write():
            self._record_fault(f"the disk is {self.monitor.update_state().value}")
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
