"""What lasts, and what to do where it can't.

How a disk is, what may be written to it, the notes of reqs that must not run again after a restart,
and whose folder one finds.

Decisions and state alone; no I/O, no clock and no chance but what is handed in. docs/disk-design.md
says what was weighed, docs/store.md what an operator sees.
"""

from gullyoke.durability.condition import Condition, State, Turn
from gullyoke.durability.ledger import Act, Do, Ledger, Put, Without
from gullyoke.durability.note import Note, Phase, Verdict, judged
from gullyoke.durability.rooms import Kind, Rooms
from gullyoke.durability.trust import Mark, Trust, trusted
from gullyoke.durability.waits import Waits

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
