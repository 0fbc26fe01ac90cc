"""Monitors the disk of one folder.

The monitor times every operation and records the errors, checks the free space, and probes a disk
in a bad state. gullyoke/durability/disk_health.py decides the state of the disk from the results.
"""

from __future__ import annotations

import errno
import logging
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

from gullyoke.durability.disk_health import BAD_STATES, DiskHealth, DiskState, DiskStateChange
from gullyoke.runtime import clock
from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.metrics import Metrics
from gullyoke.storage import folder as storage_folder
from gullyoke.storage.folder import FreeSpace, StorageFolder

CHECK_INTERVAL_S: Final = 0.25
PROBE_FILE: Final = "trial"
PROBE_BYTES: Final = 16 * 1024


class DiskMonitor:
    """The health of the disk of a folder, judged by the results and duration of its operations.

    Attributes:
        listeners: Functions called with each change of state, on the thread that notices it and
            under the monitor's lock; they must not block.
        quota_left: Returns the share of the quota that is free.
        on_check: Called with the state after each check of the disk, on the monitor's thread.

    Args:
        folder: The path of the folder.
        metrics: Counts the changes of state.
        draw: Returns a random number from 0 to 1.
        quota_bytes: How much of the disk this program may use; None for all of it.
    """

    def __init__(
        self,
        folder: str,
        metrics: Metrics,
        draw: Callable[[], float],
        quota_bytes: int | None = None,
    ) -> None:
        self.folder = folder
        self.metrics = metrics
        self.quota_bytes = quota_bytes
        self.lock = threading.RLock()
        self.health = DiskHealth(clock.now(), draw)
        self.health.listeners.append(self._state_changed)
        self.listeners: list[Callable[[DiskStateChange], None]] = []
        self.stopped = False
        self.quota_left: Callable[[], float] = lambda: 1.0
        self.on_check: Callable[[DiskState], None] = lambda state: None

    def start(self) -> None:
        """Start to check the disk regularly, on a thread that ends after `stop`.

        If the disk hangs, that thread ends only with the process.
        """
        threading.Thread(target=self._run, name="disk", daemon=True).start()

    def stop(self) -> None:
        """Stop checking the disk."""
        self.stopped = True

    def open_folder(self, path: str, locked: bool = True, create: bool = True) -> MonitoredFolder:
        """Open a folder on this disk; the caller closes it.

        Raises:
            OSError: The folder can't be opened, as for `StorageFolder`.
        """
        with self.timed("open"):
            # The class is looked up in its module at each call, since fault tests replace it there.
            return MonitoredFolder(storage_folder.StorageFolder(path, locked, create), self)

    def update_state(self) -> DiskState:
        """Bring the state of the disk up to date and return it."""
        with self.lock:
            return self.health.update_state(clock.now())

    def admit_write(self) -> bool:
        """Decide whether the disk accepts a write that a request waits for.

        Also brings the state up to date.
        """
        with self.lock:
            return self.health.admit_write(clock.now())

    @contextmanager
    def timed(self, operation: str, probe: bool = False) -> Iterator[None]:
        """Time an operation on the disk, and record its error if it raises one."""
        with self.lock:
            call_id = self.health.call_started(clock.now(), operation)
        error_number: int | None = None
        try:
            yield
        except OSError as error:
            error_number = error.errno or errno.EIO
            raise
        finally:
            with self.lock:
                self.health.call_finished(clock.now(), call_id, error_number, probe)

    def _state_changed(self, change: DiskStateChange) -> None:
        """Count and log a change of state, and pass it on. Called under the lock."""
        self.metrics.increment(f"disk.{change.current.counter_name}")
        log.log(
            logging.ERROR if change.current in BAD_STATES else logging.WARNING,
            "disk state changed",
            extra=log_fields(
                folder=self.folder,
                state=change.current.value,
                was=change.previous.value,
                why=change.reason,
            ),
        )
        for listener in self.listeners:
            listener(change)

    def _run(self) -> None:
        while not self.stopped:
            time.sleep(CHECK_INTERVAL_S)
            try:
                self.check()
            except OSError:
                pass  # `timed` has recorded the error
            except Exception:
                self.metrics.record_internal_error("disk")

    def check(self) -> None:
        """Check the free space, and probe the disk if a probe is due.

        Raises:
            OSError: An operation on the disk failed; the error has been recorded.
        """
        with self.lock:
            should_probe = self.health.claim_probe(clock.now())
            calls_hang = False
            if self.health.calls_in_flight:
                calls_hang = self.health.update_state(clock.now()) is DiskState.STALLED
        if calls_hang:
            return  # another operation would hang as well
        folder = storage_folder.StorageFolder(self.folder, False, False)
        free_share = self._free_share(MonitoredFolder(folder, self).free_space())
        with self.lock:
            self.health.set_free_share(free_share)
            state = self.health.update_state(clock.now())
        if should_probe:
            self._probe(folder)
        self.on_check(state)

    def _free_share(self, space: FreeSpace) -> float:
        """Return the free share of the disk; with a quota, the free share of the quota.

        Space that is free in the quota but not on the disk does not count.
        """
        if self.quota_bytes:
            return min(1.0, space.free_bytes / self.quota_bytes, self.quota_left())
        return space.free_bytes / max(1, space.total_bytes)

    def _probe(self, folder: StorageFolder) -> None:
        """Write a small file, make it durable, and remove it."""
        with self.timed("a trial", probe=True):
            if PROBE_FILE in folder.list_files():
                folder.remove(PROBE_FILE)
            try:
                folder.create(PROBE_FILE)
                folder.append(PROBE_FILE, bytes(PROBE_BYTES))
                folder.sync(PROBE_FILE)
            finally:
                folder.close_file(PROBE_FILE)
                if PROBE_FILE in folder.list_files():
                    folder.remove(PROBE_FILE)


class MonitoredFolder:
    """A `StorageFolder` whose operations are timed.

    The names of operations that are passed to the monitor appear in the log.
    """

    def __init__(self, folder: StorageFolder, monitor: DiskMonitor) -> None:
        self.folder = folder
        self.monitor = monitor

    def close(self) -> None:
        """Close all files and release the lock."""
        self.folder.close()

    def list_files(self) -> list[str]:
        """Return the names of the files."""
        with self.monitor.timed("names"):
            return self.folder.list_files()

    def read(self, name: str) -> bytes:
        """Read a whole file."""
        with self.monitor.timed("read"):
            return self.folder.read(name)

    def read_at(self, name: str, offset: int, size_bytes: int) -> bytes:
        """Read a part of a file."""
        with self.monitor.timed("read_at"):
            return self.folder.read_at(name, offset, size_bytes)

    def create(self, name: str) -> None:
        """Create a file that must not exist yet, and open it for appends."""
        with self.monitor.timed("create"):
            self.folder.create(name)

    def append(self, name: str, data: bytes) -> None:
        """Append to a file that this process created."""
        with self.monitor.timed("append"):
            self.folder.append(name, data)

    def sync(self, name: str) -> None:
        """Make the data written to a file durable."""
        with self.monitor.timed("sync"):
            self.folder.sync(name)

    def close_file(self, name: str) -> None:
        """Close a file that was open for writing."""
        with self.monitor.timed("shut"):
            self.folder.close_file(name)

    def remove(self, name: str) -> None:
        """Remove a file."""
        with self.monitor.timed("remove"):
            self.folder.remove(name)

    def sync_folder(self) -> None:
        """Make the creation and removal of files durable."""
        with self.monitor.timed("sync_folder"):
            self.folder.sync_folder()

    def allocate(self, name: str, size_bytes: int) -> None:
        """Create a file or extend it, to the given size, with its space reserved."""
        with self.monitor.timed("make"):
            self.folder.allocate(name, size_bytes)

    def write_at(self, name: str, offset: int, data: bytes) -> None:
        """Overwrite a part of a file."""
        with self.monitor.timed("write_at"):
            self.folder.write_at(name, offset, data)

    def free_space(self) -> FreeSpace:
        """Return the free and the total space of the disk."""
        with self.monitor.timed("free"):
            return self.folder.free_space()
