"""Who is there: membership among servers.

Decisions and state alone; no I/O, no clock, no chance but what is handed in. docs/members-design.md
says what was chosen and why; gullyoke/peers puts it on sockets.
"""

from gullyoke.members.member import TICK, Member
from gullyoke.members.row import Row, Status, began, identity
from gullyoke.members.view import Change

__all__ = ["TICK", "Change", "Member", "Row", "Status", "began", "identity"]
