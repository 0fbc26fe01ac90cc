"""One folder's disk under watch.

Every call on it is timed and its faults are told, room is looked at, and one that is not well is
tried now and then. What that means is decided in gullyoke/durability/disk_health.py.
"""

from __future__ import annotations

import errno
import threading
import time
from collections.abc import Callable
from contextlib import contextmanager
from typing import Any

from gullyoke.durability.disk_health import BAD_STATES, DiskHealth, DiskState, DiskStateChange
from gullyoke.runtime import clock
from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.metrics import Metrics
from gullyoke.storage import folder as storage_folder

LOOK = 0.25  # seconds between looks
TRIAL, TRIED = "trial", 16 * 1024  # a file, and the bytes that it is tried with
CALLS = (
    "names",
    "read",
    "read_at",
    "create",
    "append",
    "sync",
    "shut",
    "remove",
    "sync_folder",
    "make",
    "write_at",
    "free",
)


class DiskMonitor:
    """`files` gives what a store calls.

    `heed` hears each turn, on whatever thread came to see it, and must not block. One thread; it
    ends with `end`, or with the process should the disk hang.
    """

    def __init__(
        self, folder: str, metrics: Metrics, draw: Callable[[], float], quota: int | None = None
    ) -> None:
        self.folder, self.metrics, self.quota = folder, metrics, quota
        self.lock, self.condition = threading.RLock(), DiskHealth(clock.now(), draw)
        self.condition.listeners.append(self.turned)
        self.listeners: list[Callable[[DiskStateChange], None]] = []
        self.ended = False
        self.quota_left: Callable[[], float] = lambda: 1.0  # the share of the quota that is left
        self.on_check: Callable[[DiskState], None] = lambda state: None  # after each look

    def start(self) -> None:
        threading.Thread(target=self.run, name="disk", daemon=True).start()

    def open_folder(self, at: str, locked: bool = True, made: bool = True) -> MonitoredFolder:
        """A folder below, or the folder itself."""
        with self.timed("open"):
            return MonitoredFolder(storage_folder.StorageFolder(at, locked, made), self)

    # What is asked.

    def state(self) -> DiskState:
        with self.lock:
            return self.condition.state(clock.now())

    def accepts_writes(self) -> bool:
        """Whether a promise may be asked of it now."""
        with self.lock:
            return self.condition.accepts_writes(clock.now())

    # What is seen.

    @contextmanager
    def timed(self, what: str, trial: bool = False):
        """A call on the disk, from its beginning to its end."""
        with self.lock:
            number = self.condition.call_started(clock.now(), what)
        fault = None
        try:
            yield
        except OSError as found:
            fault = found.errno or errno.EIO
            raise
        finally:
            with self.lock:
                self.condition.call_finished(clock.now(), number, fault, trial)

    def turned(self, change: DiskStateChange) -> None:
        """Called under the lock."""
        self.metrics.increment(f"disk.{change.current.counter_name}")
        log.log(
            40 if change.current in BAD_STATES else 30,
            "disk",
            extra=log_fields(
                folder=self.folder,
                state=change.current.value,
                was=change.previous.value,
                why=change.reason,
            ),
        )
        for heed in self.listeners:
            heed(change)

    def run(self) -> None:
        while not self.ended:
            time.sleep(LOOK)
            try:
                self.look()
            except OSError:
                pass  # it was told
            except Exception:
                self.metrics.record_internal_error("disk")

    def look(self) -> None:
        with self.lock:
            due = self.condition.claim_probe(clock.now())
            stuck = (
                bool(self.condition.out) and self.condition.state(clock.now()) is DiskState.STALLED
            )
        if stuck:
            return  # it would hang as well
        where = MonitoredFolder(storage_folder.StorageFolder(self.folder, False, False), self)
        left, size = where.free()
        share = left / max(1, size)
        if self.quota:
            share = min(1.0, left / self.quota, self.quota_left())
        with self.lock:
            self.condition.set_free_share(clock.now(), share)
            state = self.condition.state(clock.now())
        if due:
            self.try_it(where)
        self.on_check(state)

    def try_it(self, where: MonitoredFolder) -> None:
        """Write a little, durably, and take it away again."""
        with self.timed("a trial", trial=True):
            own = where.disk
            if TRIAL in own.names():
                own.remove(TRIAL)
            try:
                own.create(TRIAL)
                own.append(TRIAL, bytes(TRIED))
                own.sync(TRIAL)
            finally:
                own.shut(TRIAL)
                if TRIAL in own.names():
                    own.remove(TRIAL)

    def stop(self) -> None:
        self.ended = True


class MonitoredFolder:
    """A `Disk` whose calls are timed."""

    def __init__(self, own: Any, watch: DiskMonitor) -> None:
        self.disk, self.watch = own, watch
        for name in CALLS:
            setattr(self, name, self.told(name, getattr(own, name)))
        self.close = own.close

    def told(self, name: str, call: Callable) -> Callable:
        def timed(*given):
            with self.watch.timed(name):
                return call(*given)

        return timed
