"""A file of lines, appended by a thread of its own: whoever adds one waits for no disk."""

from __future__ import annotations

import os
import queue
import threading
from collections.abc import Callable

from gullyoke.storage.disk_monitor import DiskMonitor

WAITING = 64  # lines that may wait


class AppendFile:
    """Begun anew at `longest` bytes; one file more is kept.

    `faults` counts lines that did not come to the file in a row, `why` says what was wrong with the
    last of them. `fit`: whether to write at all now.
    """

    def __init__(
        self, path: str, longest: int, watch: DiskMonitor, fit: Callable[[], bool]
    ) -> None:
        self.path, self.longest, self.watch, self.fit = path, longest, watch, fit
        self.faults, self.reason = 0, ""
        self.queue: queue.Queue = queue.Queue(WAITING)
        threading.Thread(target=self.run, name="lines", daemon=True).start()

    def add(self, line: str) -> None:
        try:
            self.queue.put_nowait(line)
        except queue.Full:
            self.faults, self.reason = self.faults + 1, "the disk does not come back"

    def size_bytes(self) -> int:
        """Bytes of both files."""
        return sum(
            os.path.getsize(path) for path in (self.path, self.path + ".1") if os.path.exists(path)
        )

    def drop_older(self) -> None:
        """The older file goes."""
        with self.watch.timed("a line"):
            if os.path.exists(self.path + ".1"):
                os.remove(self.path + ".1")

    def run(self) -> None:
        while True:
            self.write(self.queue.get())

    def write(self, line: str) -> None:
        if not self.fit():
            self.faults, self.reason = self.faults + 1, f"the disk is {self.watch.state().value}"
            return
        try:
            with self.watch.timed("a line"):
                if os.path.exists(self.path) and os.path.getsize(self.path) > self.longest:
                    os.replace(self.path, self.path + ".1")
                with open(self.path, "a", encoding="utf-8") as file:
                    file.write(line + "\n")
            self.faults = 0
        except OSError as fault:
            self.faults, self.reason = self.faults + 1, str(fault)
