"""An embedded key-value store that survives crashes and power cuts.

Records are stored in append-only segments with an index in memory; the store has compaction and
recovery, a single writer and no server. `Store` works on the caller's thread; `GroupCommitter`
commits entries in groups on a thread of its own. `SlotFile` holds a few small values in reserved
space. docs/store.md describes the format. The daemon imports the package only if an operator's file
names a folder.
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
