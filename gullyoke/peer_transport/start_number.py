"""The number of a process' start on a lasting disk.

The next start takes a number above it, whatever the clock says.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.metrics import Metrics

if TYPE_CHECKING:  # loaded only where there is a folder
    from gullyoke.storage import GroupCommitter, Store

FOLDER: Final = "fleet"  # within the folder that is configured
KEY: Final = "number"
SEGMENT_BYTES: Final = 4096
QUOTA_BYTES: Final = 2**20
NUMBER_BYTES: Final = 8
CLOSE_TIMEOUT_S: Final = 0.5  # for a disk that hangs


class StoredStartNumber:
    """The number that the last start stored, and the store of this one.

    A disk that fails is logged and counted, and never waited for.

    Attributes:
        latest: The last number given to `keep`, 0 before.
    """

    def __init__(
        self, folder: str | None, metrics: Metrics, open_folder: Callable[[str], Any] | None = None
    ) -> None:
        """Read what the last start stored.

        Args:
            folder: The folder that is configured. None: nothing is stored, and the number rests on
                what the other members remember and on the clock.
            metrics: Counts what was stored and what could not be.
            open_folder: Opens a folder; a plain `StorageFolder` where it is not given.
        """
        self.metrics = metrics
        self.latest = 0
        self._known = 0
        self._committer: GroupCommitter[Store] | None = None
        if folder is None:
            return
        from gullyoke.storage import GroupCommitter, StorageFolder, Store

        try:
            self._folder = (open_folder or StorageFolder)(os.path.join(folder, FOLDER))
            store = Store(self._folder, segment_bytes=SEGMENT_BYTES, quota_bytes=QUOTA_BYTES)
            self._known = int.from_bytes(store.get(KEY) or b"", "big")
            self._committer = GroupCommitter(store)
        except OSError as error:
            metrics.increment("fleet.unkept")
            log.error("fleet number not kept", extra=log_fields(folder=folder, why=error))

    def known(self) -> int:
        """Return what the last start stored; 0 where there is nothing."""
        return self._known

    def keep(self, number: int) -> None:
        """Store a number; does not wait for the disk."""
        self.latest = number
        if self._committer is not None:
            data = number.to_bytes(NUMBER_BYTES, "big")
            self._committer.put(KEY, data, self._count_outcome)

    def _count_outcome(self, written: bool) -> None:
        self.metrics.increment("fleet.kept" if written else "fleet.unkept")

    def close(self) -> None:
        """Store what is queued, for `CLOSE_TIMEOUT_S` at the most, and close the folder."""
        if self._committer is not None:
            self._committer.close(CLOSE_TIMEOUT_S)
            self._folder.close()
