"""Rules for what has to survive a restart, and for what is done where the disk can't keep it.

The health of a disk, what may be written to it, the records of requests that must not run again
after a restart, and whose folder a server finds.

Decisions and state alone; no I/O, no clock and no chance but what is handed in. docs/disk-design.md
says what was weighed, docs/store.md what an operator sees.
"""

from gullyoke.durability.disk_health import DiskHealth, DiskState, DiskStateChange
from gullyoke.durability.disk_quota import DataKind, DiskQuota
from gullyoke.durability.folder_trust import FolderMark, FolderTrust, assess_folder
from gullyoke.durability.key_ledger import KeyLedger
from gullyoke.durability.key_record import DuplicateVerdict, KeyRecord, RunPhase, judge_record
from gullyoke.durability.ledger_commands import (
    ActionKind,
    LedgerAction,
    RecordWrite,
    UndurablePolicy,
)
from gullyoke.durability.pending_writes import PendingWrites

__all__ = [
    "ActionKind",
    "DataKind",
    "DiskHealth",
    "DiskQuota",
    "DiskState",
    "DiskStateChange",
    "DuplicateVerdict",
    "FolderMark",
    "FolderTrust",
    "KeyLedger",
    "KeyRecord",
    "LedgerAction",
    "PendingWrites",
    "RecordWrite",
    "RunPhase",
    "UndurablePolicy",
    "assess_folder",
    "judge_record",
]
