"""The rows that a daemon keeps over a restart: learned run times, the warm-up and earlier starts.

gullyoke/storage/run_time_history.py and warmup_history.py decide what the rows mean; here they are
read at the start and written afterwards. A folder that can't be used is logged and counted, and the
daemon starts as one that has never run.
"""

from __future__ import annotations

import time
from typing import Final

import msgspec

from gullyoke.durability.disk_quota import DataKind
from gullyoke.extensions.data_folders import DataFolder
from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.metrics import Metrics
from gullyoke.storage import GroupCommitter, Store
from gullyoke.storage.run_time_history import (
    RunTimeSnapshot,
    StartHistory,
    judge_snapshot,
    pack_row,
    settings_digest,
    unpack_row,
    with_new_start,
)
from gullyoke.storage.warmup_history import WarmupSnapshot

RUN_TIMES_KEY: Final = "learned"
STARTS_KEY: Final = "starts"
WARMUP_KEY: Final = "cold"
MIN_SEGMENT_BYTES: Final = 4096
SEGMENTS_PER_QUOTA: Final = 8


class MemoryStore:
    """Holds the rows that were read at the start, and writes new ones.

    Attributes:
        digest: identifies the settings of the site; rows of other settings are not used.
        snapshot: the run times that were learned; None where there are none.
        weight: how far the snapshot is trusted, from 0 to 1.
        warmup: the run times during earlier warm-ups; None where there are none.
        starts: the outcome of the starts before this one.
        committer: writes the rows; None where the folder can't be used.
    """

    def __init__(
        self, folder: DataFolder, quota_bytes: int, settings: object, metrics: Metrics
    ) -> None:
        """Read the rows, and note that a start has begun.

        Args:
            folder: where the rows are.
            quota_bytes: the most bytes that they may take.
            settings: the settings of the site.
            metrics: counts writes and faults.
        """
        self.folder = folder
        self.metrics = metrics
        self.digest = settings_digest(settings)
        self.snapshot: RunTimeSnapshot | None = None
        self.weight = 0.0
        self.warmup: WarmupSnapshot | None = None
        self.starts = StartHistory()
        self.committer: GroupCommitter[Store] | None = None
        try:
            self._open(quota_bytes)
        except OSError as error:
            metrics.increment("memory.faults")
            log.error(
                "memory folder can't be used", extra=log_fields(folder=folder.path, why=error)
            )

    def put(self, key: str, row: msgspec.Struct) -> None:
        """Queue a row to be written, unless the disk is short of space for it."""
        if self.committer is None:
            return
        if not self.folder.accepts(DataKind.RUN_TIMES):
            self.metrics.increment("memory.skipped")
            return
        if not self.committer.put(key, pack_row(row), self._count_write):
            self.metrics.increment("memory.refused")

    def size_bytes(self) -> int:
        """Return how many bytes the rows take."""
        return self.committer.store.plan.live_bytes() if self.committer is not None else 0

    def delete_all(self) -> None:
        """Delete the run times, which a daemon can learn again."""
        if self.committer is not None:
            for key in (RUN_TIMES_KEY, WARMUP_KEY):
                self.committer.put(key, None)

    def _open(self, quota_bytes: int) -> None:
        store = Store(
            self.folder.monitor.open_folder(self.folder.path),
            segment_bytes=max(MIN_SEGMENT_BYTES, quota_bytes // SEGMENTS_PER_QUOTA),
            quota_bytes=quota_bytes,
        )
        self.starts = unpack_row(store.get(STARTS_KEY), StartHistory) or StartHistory()
        self.snapshot = unpack_row(store.get(RUN_TIMES_KEY), RunTimeSnapshot)
        self.warmup = unpack_row(store.get(WARMUP_KEY), WarmupSnapshot)
        verdict = judge_snapshot(self.snapshot, self.digest, time.time(), self.starts)
        self.weight = verdict.weight
        self.committer = GroupCommitter(store)
        self.committer.put(STARTS_KEY, pack_row(with_new_start(self.starts)))
        log.info(
            "memory",
            extra=log_fields(
                folder=self.folder.path,
                weight=f"{verdict.weight:.3f}",
                why=verdict.reason,
                dropped=store.dropped_bytes,
                unwell=self.starts.unhealthy_starts,
            ),
        )

    def _count_write(self, durable: bool) -> None:
        self.metrics.increment("memory.kept" if durable else "memory.faults")
