"""What the daemon remembers over a restart.

Read at the start, given to the learner, kept as it goes on.

The rules are in gullyoke/storage/run_time_history.py; here they meet the store, the clock and the desk's
lock. Nothing of it stops a server: a folder that can't be used is said and counted, and the server
starts with nothing.
"""

from __future__ import annotations

import time

from gullyoke.daemon.extension import DaemonParts
from gullyoke.durability.disk_quota import DataKind
from gullyoke.extensions.base import BaseExtension
from gullyoke.extensions.disks import ConnectionLimits, Disks
from gullyoke.operator_config.wanted import Kept
from gullyoke.runtime import clock
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.timer import Timer
from gullyoke.storage import GroupCommitter, Store
from gullyoke.storage import run_time_history as rules
from gullyoke.storage import warmup_history as colds

LOOK, KEEP = 500_000, 5_000_000  # microseconds between looks, and between snapshots
COLD_LOOK = 50_000  # and between looks while cold
LEARNED, STARTS, COLD = "learned", "starts", "cold"  # the keys


class Memory(BaseExtension):
    """The feature: what is remembered lies in the folder that the file names."""

    name = section = "kept"

    def __init__(self, kept: Kept, disks: Disks) -> None:
        super().__init__(kept)
        self.kept, self.disks, self.memory, self.daemon = kept, disks, None, None

    def attach(self, daemon: DaemonParts) -> None:
        self.daemon = daemon
        self.room = self.disks.at(self.kept.folder, self.kept.quota, daemon.metrics)
        self.memory = Remembered(
            self.room, self.kept.quota, daemon.configuration.settings, daemon.metrics
        )

    def start(self) -> None:
        self.room.size[DataKind.RUN_TIMES] = self.memory.size
        self.room.give[DataKind.RUN_TIMES] = lambda size: self.memory.give()
        self.room.start()
        self.memory.watch(self.daemon.dispatcher, self.daemon.timer)


class Remembered:
    """Table: none but its curve's; the store holds three rows."""

    def __init__(self, room: ConnectionLimits, quota: int, stated: object, metrics: Metrics) -> None:
        self.stated, self.metrics, self.committer = rules.settings_digest(stated), metrics, None
        self.room, folder = room, room.folder
        self.found, self.weight, self.starts = None, 0.0, rules.StartHistory()
        self.cold, self.curve, self.step = None, colds.WarmupRecorder(), -1
        self.usual: dict[str, float] = {}
        self.recalled, self.calm, self.kept, self.began = False, False, clock.now(), clock.now()
        try:
            store = Store(
                room.watch.open_folder(folder),
                segment_bytes=max(4096, quota // 8),
                quota_bytes=quota,
            )
            self.starts = (
                rules.unpack_row(store.get(STARTS), rules.StartHistory) or rules.StartHistory()
            )
            self.found = rules.unpack_row(store.get(LEARNED), rules.RunTimeSnapshot)
            self.cold = rules.unpack_row(store.get(COLD), colds.WarmupSnapshot)
            verdict = rules.judge_snapshot(self.found, self.stated, time.time(), self.starts)
            self.weight = verdict.weight
            self.committer = GroupCommitter(store)
            self.committer.put(STARTS, rules.pack_row(rules.start_begun(self.starts)))
            log.info(
                "memory",
                extra=log_fields(
                    folder=folder,
                    weight=f"{verdict.weight:.3f}",
                    why=verdict.reason,
                    dropped=store.dropped_bytes,
                    unwell=self.starts.unhealthy_starts,
                ),
            )
        except OSError as fault:
            metrics.increment("memory.faults")
            log.error("memory not used", extra=log_fields(folder=folder, why=fault))

    def watch(self, dispatcher: Dispatcher, timer: Timer) -> None:
        """From now on: recall once there is a learner, keep a snapshot now and then."""
        if self.committer is not None:
            timer.call_at(clock.now() + LOOK, lambda: self.look(dispatcher, timer))
            timer.call_at(clock.now() + COLD_LOOK, lambda: self.look_cold(dispatcher, timer))

    def look_cold(self, dispatcher: Dispatcher, timer: Timer) -> None:
        """While the server is cold.

        Usual times as they were then, by age; what this start is like is noted. At the end of it
        that is kept.
        """
        with dispatcher.lock:
            server = dispatcher.server
            if server is not None and not server.safety.machine.starts_cold:
                return  # it began warm
            age = clock.now() - server.safety.started_at if server is not None else 0
            step = colds.age_bucket(age)
            if server is not None and step != self.step:
                if self.step < 0:
                    self.follow(server)
                self.step = step
                if step is not None and colds.is_usable(self.cold, self.stated, self.starts):
                    colds.apply_snapshot(server, self.cold, age)
                    self.metrics.increment("memory.cold_recalled")
        if step is not None:
            timer.call_at(clock.now() + COLD_LOOK, lambda: self.look_cold(dispatcher, timer))
            return
        with dispatcher.lock:
            del server.queue.run_finished  # the class's own again
            row = self.curve.take_snapshot(self.stated, time.time(), self.cold)
        if row.run_times_us:
            self.put(COLD, rules.pack_row(row))

    def follow(self, server) -> None:
        """Each run's time is noted from now on, beside what the decisions make of it."""
        ran, curve = server.queue.run_finished, self.curve

        def noted(request_class, took: int) -> None:
            ran(request_class, took)
            curve.record_run(server.now - server.safety.started_at, request_class.name, took)

        server.queue.run_finished = noted

    def look(self, dispatcher: Dispatcher, timer: Timer) -> None:
        timer.call_at(clock.now() + LOOK, lambda: self.look(dispatcher, timer))
        with dispatcher.lock:  # copies of small tables
            server = dispatcher.server
            if server is None or server.learner is None:
                return
            if not self.recalled:
                self.recalled = True
                if self.weight > 0:
                    rules.apply_snapshot(server, self.found, self.weight)
                self.metrics.increment("memory.recalled" if self.weight > 0 else "memory.fresh")
            row = rules.take_snapshot(server, self.stated, time.time())
            warm = server.safety.speed(dispatcher.now) >= 1.0
            leaving, crowd = (
                dispatcher.stop_at is not None,
                server.state.running > server.safety.max_on_cores(dispatcher.now),
            )
        self.keep(row, warm, leaving, crowd)

    def keep(self, row: rules.RunTimeSnapshot, warm: bool, leaving: bool, crowd: bool) -> None:
        """A snapshot, if it is time for one and the moment is fit."""
        now = clock.now()
        if now - self.kept < KEEP and not leaving:
            return
        fit = rules.should_save(row.run_times_us, self.usual, warm, leaving)
        self.usual = rules.usual_run_times(row.run_times_us, self.usual)
        self.kept = now
        if fit:
            self.put(LEARNED, rules.pack_row(row))
        faults = sum(n for name, n in self.metrics.counters.items() if name.startswith("faults."))
        if not self.calm and rules.is_healthy_start((now - self.began) / 1e6, faults, crowd):
            self.calm = True
            self.put(STARTS, rules.pack_row(rules.StartHistory()))

    def size(self) -> int:
        return self.committer.store.plan.live_bytes() if self.committer is not None else 0

    def give(self) -> None:
        """All of it: what a server remembers of usual times it can learn again."""
        for key in (LEARNED, COLD):
            self.committer.put(key, None)

    def put(self, key: str, data: bytes) -> None:
        if not self.room.writes(
            DataKind.RUN_TIMES
        ):  # what is worth least is not written where room is short
            self.metrics.increment("memory.skipped")
            return

        def told(durable: bool) -> None:
            self.metrics.increment("memory.kept" if durable else "memory.faults")

        if not self.committer.put(key, data, told):
            self.metrics.increment("memory.refused")
