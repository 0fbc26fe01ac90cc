"""Group membership: which servers are in the fleet, and which of them are reachable.

A SWIM-style protocol (Das, Gupta and Motivala 2002) with the observer rings of Rapid (Suresh et al.
2018) and the local health of Lifeguard (Dadgar et al. 2018). The package contains only state and
decisions: it does no I/O, and the caller passes in the time and the source of randomness.
docs/members-design.md explains the design; gullyoke/peer_transport connects it to sockets.
"""

from gullyoke.membership.member import TICK_US, Member
from gullyoke.membership.member_record import MemberRecord, Status, member_id, start_version
from gullyoke.membership.view import Change

__all__ = ["TICK_US", "Change", "Member", "MemberRecord", "Status", "member_id", "start_version"]
