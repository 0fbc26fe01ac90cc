"""The start's number on a lasting disk, so that the next start takes one above it, whatever the
clock says.
"""

from __future__ import annotations

import os
from collections.abc import Callable

from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.metrics import Metrics

KEY, FOLDER, QUOTA = "number", "fleet", 2**20
CLOSE = 0.5  # seconds that the end waits for a disk that hangs


class StoredStartNumber:
    """`folder` None: nothing is kept, and the others' memory and the clock must do.

    A disk that fails is said and counted, never waited for. `files` opens the folder; a plain
    `Disk` where it is not given.
    """

    def __init__(self, folder: str | None, metrics: Metrics, files: Callable | None = None) -> None:
        self.metrics, self.latest, self.committer, self._known = metrics, 0, None, 0
        if folder is None:
            return
        from gullyoke.storage import GroupCommitter, StorageFolder, Store

        try:
            self.disk = (files or StorageFolder)(os.path.join(folder, FOLDER))
            store = Store(self.disk, segment_bytes=4096, quota_bytes=QUOTA)
            self._known = int.from_bytes(store.get(KEY) or b"", "big")
            self.committer = GroupCommitter(store)
        except OSError as fault:
            metrics.increment("fleet.unkept")
            log.error("fleet number not kept", extra=log_fields(folder=folder, why=fault))

    def known(self) -> int:
        """What the last start kept, 0 where there is none."""
        return self._known

    def keep(self, number: int) -> None:
        self.latest = number
        if self.committer is not None:

            def told(durable: bool) -> None:
                self.metrics.increment("fleet.kept" if durable else "fleet.unkept")

            self.committer.put(KEY, number.to_bytes(8, "big"), told)

    def close(self) -> None:
        if self.committer is not None:
            self.committer.close(CLOSE)
            self.disk.close()
