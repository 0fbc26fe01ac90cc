"""Who is there: membership among servers.

Decisions and state alone; no I/O, no clock, no chance but what is handed in. docs/members-design.md
says what was chosen and why; gullyoke/peer_transport puts it on sockets.
"""

from gullyoke.membership.member import TICK, Member
from gullyoke.membership.row import Row, Status, began, identity
from gullyoke.membership.view import Change

__all__ = ["TICK", "Change", "Member", "Row", "Status", "began", "identity"]
