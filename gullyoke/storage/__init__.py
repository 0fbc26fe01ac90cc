"""An embedded store that survives cuts.

Records in segments, an index in memory, compaction, recovery.

One writer, no server. `Store` is the core and does what it is told, on the caller's thread;
`Committer` puts it behind a thread that groups what is to be durable. docs/store.md has the format.
The daemon imports it only where an operator's file names a folder.
"""

from gullyoke.storage.folder import FileOperations, StorageFolder
from gullyoke.storage.group_commit import GroupCommitter
from gullyoke.storage.slot_file import SlotFile
from gullyoke.storage.store import Store, StoreFaultedError, StoreFullError, StoreVersionError

__all__ = [
    "FileOperations",
    "GroupCommitter",
    "SlotFile",
    "StorageFolder",
    "Store",
    "StoreFaultedError",
    "StoreFullError",
    "StoreVersionError",
]
