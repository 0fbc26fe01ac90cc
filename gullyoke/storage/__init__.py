"""An embedded key-value store that survives crashes and power cuts.

Records in append-only segments, an index in memory, compaction and recovery; one writer, no server.
`Store` works on the caller's thread; `GroupCommitter` puts it behind a thread that commits entries
in groups. `SlotFile` has a few small values whose space is reserved. docs/store.md has the format.
The daemon imports the package only where an operator's file names a folder.
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
