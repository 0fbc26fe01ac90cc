"""An embedded store that survives cuts.

Records in segments, an index in memory, compaction, recovery.

One writer, no server. `Store` is the core and does what it is told, on the caller's thread;
`Committer` puts it behind a thread that groups what is to be durable. docs/store.md has the format.
The daemon imports it only where an operator's file names a folder.
"""

from gullyoke.storage.folder import Disk, Files
from gullyoke.storage.group_commit import Committer
from gullyoke.storage.slot_file import Cells
from gullyoke.storage.store import Store, StoreFaultedError, StoreFullError, StoreVersionError

__all__ = [
    "Cells",
    "Committer",
    "Disk",
    "Files",
    "Store",
    "StoreFaultedError",
    "StoreFullError",
    "StoreVersionError",
]
