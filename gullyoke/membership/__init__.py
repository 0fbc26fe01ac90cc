"""Group membership: which servers are in the fleet, and which of them are reachable.

A SWIM-style protocol (Das, Gupta and Motivala 2002) with the observer rings of Rapid (Suresh et al.
2018) and the local health of Lifeguard (Dadgar et al. 2018). The package holds decisions and state
alone: it does no I/O, reads no clock and draws no randomness but what its caller hands in.
docs/members-design.md says what was chosen and why; gullyoke/peer_transport puts it on sockets.
"""

from gullyoke.membership.member import TICK_US, Member
from gullyoke.membership.member_record import MemberRecord, Status, member_id, start_version
from gullyoke.membership.view import Change

__all__ = ["TICK_US", "Change", "Member", "MemberRecord", "Status", "member_id", "start_version"]
