"""What one member knows; the modules that act on it share one `MemberState`."""

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
        view: The members that it knows, itself included.
        join_state: Its stage and its own record.
        local_health: How far it trusts its own observations.
        edges: The edges to its subjects, by their ids.
        suspicions: The reports of all observers.
        gossip: Updates to be disseminated.
        reconciliation: When to reconcile the view with a peer's.
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
        """Drop all that is known of the others, under a new record of this member's own."""
        self.view.clear_except(self.id)
        self.suspicions = SuspicionTally()
        self.gossip = GossipQueue()
        self.edges.clear()
        self.view.merge(now, record)
