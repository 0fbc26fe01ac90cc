"""The state of one member, shared by the modules that act on it."""

from __future__ import annotations

from random import Random

from gullyoke.membership.gossip_queue import GossipQueue
from gullyoke.membership.join_state import JoinState
from gullyoke.membership.local_health import LocalHealth
from gullyoke.membership.member_record import MemberRecord
from gullyoke.membership.monitor_edge import MonitorEdge
from gullyoke.membership.reconciliation import ReconciliationSchedule
from gullyoke.membership.suspicion_tally import SuspicionTally
from gullyoke.membership.view import View


class MemberState:
    """The state of one member.

    Attributes:
        id: The member's own id.
        random: The only source of randomness.
        view: The members that this one knows, including itself.
        join_state: The member's stage and its own record.
        local_health: How far the member trusts its own observations.
        edges: The edges to the member's subjects, by the subjects' ids.
        suspicions: The suspicion reports of all observers.
        gossip: The updates to disseminate.
        reconciliation: When to reconcile the view with a peer's view.
    """

    def __init__(
        self,
        now: int,
        record: MemberRecord,
        seeds: tuple[str, ...],
        random: Random,
        ring_count: int,
    ) -> None:
        self.id = record.id
        self.random = random
        self.view = View(ring_count)
        self.join_state = JoinState(now, record, seeds, random)
        self.local_health = LocalHealth(now)
        self.edges: dict[int, MonitorEdge] = {}
        self.suspicions = SuspicionTally()
        self.gossip = GossipQueue()
        self.reconciliation = ReconciliationSchedule()
        self.view.merge(now, record)

    @property
    def record(self) -> MemberRecord:
        """The member's own record."""
        return self.join_state.record

    def reset_view(self, now: int, record: MemberRecord) -> None:
        """Discard all state about other members, and start over with a new own record."""
        self.view.clear_except(self.id)
        self.suspicions = SuspicionTally()
        self.gossip = GossipQueue()
        self.edges.clear()
        self.view.merge(now, record)
