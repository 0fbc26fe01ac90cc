"""What lasts, and what to do where it can't.

How a disk is, what may be written to it, the notes of reqs that must not run again after a restart,
and whose folder one finds.

Decisions and state alone; no I/O, no clock and no chance but what is handed in. docs/disk-design.md
says what was weighed, docs/store.md what an operator sees.
"""

from gullyoke.durability.disk_health import Condition, State, Turn
from gullyoke.durability.disk_quota import Kind, Rooms
from gullyoke.durability.folder_trust import Mark, Trust, trusted
from gullyoke.durability.key_ledger import Act, Do, Ledger, Put, Without
from gullyoke.durability.key_record import Note, Phase, Verdict, judged
from gullyoke.durability.pending_writes import Waits

__all__ = [
    "Act",
    "Condition",
    "Do",
    "Kind",
    "Ledger",
    "Mark",
    "Note",
    "Phase",
    "Put",
    "Rooms",
    "State",
    "Trust",
    "Turn",
    "Verdict",
    "Waits",
    "Without",
    "judged",
    "trusted",
]
