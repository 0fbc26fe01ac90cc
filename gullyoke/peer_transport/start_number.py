"""Stores the version of a process's start on disk.

The next start takes a version above the stored one, even if the clock has gone back.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.metrics import Metrics

if TYPE_CHECKING:  # loaded at run time only if a folder is configured
    from gullyoke.storage import GroupCommitter, Store

FOLDER: Final = "fleet"  # within the configured folder
KEY: Final = "number"
SEGMENT_BYTES: Final = 4096
QUOTA_BYTES: Final = 2**20
NUMBER_BYTES: Final = 8
CLOSE_TIMEOUT_S: Final = 0.5  # if the disk hangs


class StoredStartNumber:
    """Reads the version that the last start stored, and stores the versions of this start.

    Disk errors are logged and counted, and no caller waits for the disk.

    Attributes:
        latest: The last version given to `store_version`; 0 before the first call.
    """

    def __init__(
        self, folder: str | None, metrics: Metrics, open_folder: Callable[[str], Any] | None = None
    ) -> None:
        """Read the version that the last start stored.

        Args:
            folder: The configured folder. If None, nothing is stored, and the next version depends
                on the clock and on the version that other members know.
            metrics: Counts successful and failed writes.
            open_folder: Opens a folder; `StorageFolder` by default.
        """
        self.metrics = metrics
        self.latest = 0
        self._stored_version = 0
        self._committer: GroupCommitter[Store] | None = None
        if folder is None:
            return
        from gullyoke.storage import GroupCommitter, StorageFolder, Store

        try:
            self._folder = (open_folder or StorageFolder)(os.path.join(folder, FOLDER))
            store = Store(self._folder, segment_bytes=SEGMENT_BYTES, quota_bytes=QUOTA_BYTES)
            self._stored_version = int.from_bytes(store.get(KEY) or b"", "big")
            self._committer = GroupCommitter(store)
        except OSError as error:
            metrics.increment("fleet.unkept")
            log.error("start version cannot be stored", extra=log_fields(folder=folder, why=error))

    def stored_version(self) -> int:
        """Return the version that the last start stored; 0 if there is none."""
        return self._stored_version

    def store_version(self, version: int) -> None:
        """Store a version without waiting for the disk."""
        self.latest = version
        if self._committer is not None:
            data = version.to_bytes(NUMBER_BYTES, "big")
            self._committer.put(KEY, data, self._count_outcome)

    def _count_outcome(self, written: bool) -> None:
        self.metrics.increment("fleet.kept" if written else "fleet.unkept")

    def close(self) -> None:
        """Finish queued writes within `CLOSE_TIMEOUT_S`, and close the folder."""
        if self._committer is not None:
            self._committer.close(CLOSE_TIMEOUT_S)
            self._folder.close()
