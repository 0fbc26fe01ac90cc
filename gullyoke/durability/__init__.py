"""Rules for data that must survive a restart, and for when the disk can't store it.

They cover the health of a disk, which data may be written to it, the records of requests that must
not run again after a restart, and whether a server trusts the data folder that it finds at start.

The package holds decisions and state only: no I/O, and the time and random numbers are passed in.
docs/disk-design.md explains the design, docs/store.md what an operator sees.
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
