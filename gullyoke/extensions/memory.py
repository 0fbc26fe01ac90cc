"""Keeps across a restart the run times that the decisions have learned.

Both recorders run on the timer's thread and read the decisions under the dispatcher's lock.
"""

from __future__ import annotations

import time
from typing import Final

from gullyoke.admission.controller import AdmissionController
from gullyoke.admission.interface import RequestClass
from gullyoke.daemon.extension import DaemonParts
from gullyoke.durability.disk_quota import DataKind
from gullyoke.extensions.base import BaseExtension
from gullyoke.extensions.data_folders import DataFolder, DataFolders
from gullyoke.extensions.memory_store import (
    RUN_TIMES_KEY,
    STARTS_KEY,
    WARMUP_KEY,
    MemoryStore,
)
from gullyoke.operator_config.wanted import StoreSection
from gullyoke.runtime import clock
from gullyoke.storage import run_time_history, warmup_history
from gullyoke.storage.run_time_history import RunTimeSnapshot, StartHistory

LEARNER_INTERVAL_US: Final = 500_000
SNAPSHOT_INTERVAL_US: Final = 5_000_000
WARMUP_INTERVAL_US: Final = 50_000
#: The prefix of the counters of errors in the daemon's own code.
INTERNAL_ERRORS: Final = "internal_errors."


class Memory(BaseExtension):
    """Keeps learned run times in the folder of the operator's file."""

    name = section = "kept"

    # Set by `attach`.
    folder: DataFolder
    store: MemoryStore
    run_times: RunTimeRecorder
    warmup: WarmupTracker

    def __init__(self, wanted: StoreSection, folders: DataFolders) -> None:
        """Create the extension.

        Args:
            wanted: the section of the operator's file.
            folders: the folders, which other extensions use too.
        """
        super().__init__(wanted)
        self.wanted = wanted
        self.folders = folders

    def attach(self, daemon: DaemonParts) -> None:
        """Read the rows of an earlier process."""
        self.folder = self.folders.open(self.wanted.folder, self.wanted.quota, daemon.metrics)
        self.store = MemoryStore(
            self.folder, self.wanted.quota, daemon.configuration.settings, daemon.metrics
        )
        self.run_times = RunTimeRecorder(daemon, self.store)
        self.warmup = WarmupTracker(daemon, self.store)

    def start(self) -> None:
        """Apply the rows once there are decisions, and keep what the decisions learn."""
        self.folder.register(
            DataKind.RUN_TIMES, self.store.size_bytes, lambda size: self.store.delete_all()
        )
        self.folder.start()
        if self.store.committer is not None:
            self.run_times.start()
            self.warmup.start()


class RunTimeRecorder:
    """Gives the learned run times to the decisions at their start, and keeps them from then on."""

    def __init__(self, daemon: DaemonParts, store: MemoryStore) -> None:
        self.daemon = daemon
        self.store = store
        self.serving_since_us: int | None = None  # None until the engine is up
        self.last_snapshot_us = clock.now()
        self.usual_run_times_us: dict[str, float] = {}
        self.applied = False
        self.start_is_healthy = False

    def start(self) -> None:
        """Read the learned run times after an interval, and again at each interval."""
        self.daemon.timer.call_at(clock.now() + LEARNER_INTERVAL_US, self._update)

    def _update(self) -> None:
        self.start()
        dispatcher = self.daemon.dispatcher
        with dispatcher.lock:  # only a small copy is made
            server = dispatcher.controller
            if server is None:
                return
            if self.serving_since_us is None:
                self.serving_since_us = clock.now()
            snapshot = self._exchange(server)
            if snapshot is None:
                return
            load = server.load_snapshot(dispatcher.now)
            draining = dispatcher.stop_at is not None
            overloaded = load.running > server.safety.max_on_cores(dispatcher.now)
        if clock.now() - self.last_snapshot_us >= SNAPSHOT_INTERVAL_US or draining:
            self._keep(snapshot, not load.warming_up, draining, overloaded)

    def _exchange(self, server: AdmissionController) -> RunTimeSnapshot | None:
        """Apply the kept snapshot the first time; return a snapshot of what is learned now."""
        if server.learner is None:
            return None
        if not self.applied:
            self.applied = True
            kept = self.store.snapshot if self.store.weight > 0 else None
            if kept is not None:
                run_time_history.apply_snapshot(server, kept, self.store.weight)
            self.daemon.metrics.increment("memory.recalled" if kept is not None else "memory.fresh")
        return run_time_history.take_snapshot(server, self.store.digest, time.time())

    def _keep(
        self, snapshot: RunTimeSnapshot, warm: bool, draining: bool, overloaded: bool
    ) -> None:
        """Keep a snapshot of a server in its usual state."""
        now = clock.now()
        run_times_us = snapshot.run_times_us
        is_usual = run_time_history.should_save(
            run_times_us, self.usual_run_times_us, warm, draining
        )
        self.usual_run_times_us = run_time_history.usual_run_times(
            run_times_us, self.usual_run_times_us
        )
        self.last_snapshot_us = now
        if is_usual:
            self.store.put(RUN_TIMES_KEY, snapshot)
        if not self.start_is_healthy and run_time_history.is_healthy_start(
            (now - self.serving_since_us) / 1e6, self._internal_errors(), overloaded
        ):
            self.start_is_healthy = True
            self.store.put(STARTS_KEY, StartHistory())

    def _internal_errors(self) -> int:
        rows = self.daemon.metrics.counters
        return sum(count for name, count in rows.items() if name.startswith(INTERNAL_ERRORS))


class WarmupTracker:
    """Sets the run times of earlier warm-ups while this one lasts, and records it.

    A server that has just started is slower than a warm one: run times depend on its age.
    """

    def __init__(self, daemon: DaemonParts, store: MemoryStore) -> None:
        self.daemon = daemon
        self.store = store
        self.recorder = warmup_history.WarmupRecorder()
        self.recording = False
        self.bucket: int | None = None

    def start(self) -> None:
        """Follow the server's age from now on, at each interval until it is warm."""
        self.daemon.timer.call_at(clock.now() + WARMUP_INTERVAL_US, self._update)

    def _update(self) -> None:
        dispatcher = self.daemon.dispatcher
        with dispatcher.lock:
            server = dispatcher.controller
            if server is not None:
                if not self.daemon.configuration.facts.machine.needs_warmup:
                    return
                self._follow_age(server)
        if server is None or self.bucket is not None:
            self.start()
            return
        self._finish(server)

    def _follow_age(self, server: AdmissionController) -> None:
        """Set the run times of the age that the server has reached; under the lock."""
        age_us = clock.now() - server.safety.started_at
        bucket = warmup_history.age_bucket(age_us)
        if self.recording and bucket == self.bucket:
            return
        if not self.recording:
            self.recording = True
            self._record_runs(server)
        self.bucket = bucket
        kept = self.store.warmup
        if bucket is not None and warmup_history.is_usable(
            kept, self.store.digest, self.store.starts
        ):
            warmup_history.apply_snapshot(server, kept, age_us)
            self.daemon.metrics.increment("memory.cold_recalled")

    def _record_runs(self, server: AdmissionController) -> None:
        """Record the time of each run, after the decisions have learned from it."""
        decide = server.queue.run_finished

        def record(request_class: RequestClass, took_us: int) -> None:
            decide(request_class, took_us)
            age_us = server.now - server.safety.started_at
            self.recorder.record_run(age_us, request_class.name, took_us)

        server.queue.run_finished = record  # type: ignore[method-assign,assignment]  # no hook for it

    def _finish(self, server: AdmissionController) -> None:
        """Keep the record of the warm-up that is over."""
        with self.daemon.dispatcher.lock:
            del server.queue.run_finished  # restores the method of the class
            snapshot = self.recorder.take_snapshot(
                self.store.digest, time.time(), self.store.warmup
            )
        if snapshot.run_times_us:
            self.store.put(WARMUP_KEY, snapshot)
