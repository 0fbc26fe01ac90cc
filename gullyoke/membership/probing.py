"""Probes of this member's own subjects, and probes on behalf of other members.

As in SWIM (Das, Gupta and Motivala 2002) a subject whose answer is overdue is also probed through
other members. The observer rings determine which subjects a member probes.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from gullyoke.membership.dissemination import Dissemination
from gullyoke.membership.member_record import MemberRecord, StatusUpdate
from gullyoke.membership.member_state import MemberState
from gullyoke.membership.messages import Ack, PingRequest
from gullyoke.membership.monitor_edge import PROBE_PERIOD_US, MonitorEdge

HELPERS: Final = 2  # members that are asked to probe a subject whose answer is overdue
MAX_RELAYS: Final = 128  # remembered relays, and remembered targets; the oldest is dropped first
NO_RING_VERSION: Final = -1


class Relay(NamedTuple):
    """A probe on behalf of another member.

    Attributes:
        requester: The member that requested the probe.
        seq: The sequence number that the requester expects in the answer.
        target: The id of the probed member.
    """

    requester: MemberRecord
    seq: int
    target: int


class Probing:
    """Sends probes and handles their answers.

    Attributes:
        relays: The unanswered probes on behalf of others, by this member's sequence number.
        targets: The id of the member that each recent probe was sent to, by sequence number.
    """

    def __init__(self, state: MemberState, dissemination: Dissemination) -> None:
        self._state = state
        self._dissemination = dissemination
        self.relays: dict[int, Relay] = {}
        self.targets: dict[int, int] = {}
        self._last_seq = 0
        self._matched_rings = 0

    def process_resumed(self, now: int) -> None:
        """Probe all subjects at once after a pause of this process.

        Probes that went unanswered during the pause do not count.
        """
        for edge in self._state.edges.values():
            edge.reset(now)

    def rings_reset(self) -> None:
        """Recompute the subjects at the next `match_subjects`."""
        self._matched_rings = NO_RING_VERSION

    def match_subjects(self, now: int) -> None:
        """If the rings have changed, make the edges match the subjects that the rings assign."""
        state = self._state
        rings = state.view.rings
        if self._matched_rings == rings.version or not state.join_state.has_joined():
            return
        self._matched_rings = rings.version
        subjects = rings.subjects(state.id)
        for member in state.edges.keys() - subjects:
            del state.edges[member]
        for member in sorted(subjects - state.edges.keys()):
            first_probe_at = now + state.random.randrange(PROBE_PERIOD_US)
            state.edges[member] = MonitorEdge(member, first_probe_at)

    def probe_subjects(self, now: int) -> None:
        """Send the probes that are due; for overdue subjects also through helpers."""
        for edge in self._state.edges.values():
            overdue = edge.hasten_probe_if_overdue(now)
            if not edge.should_probe(now):
                continue
            target = self._state.view.records.get(edge.id)
            if target is None:
                continue
            seq = self._next_seq(edge.id)
            edge.probe_sent(now, seq)
            self._dissemination.send_ping(target, seq)
            if overdue:
                for helper in self._dissemination.random_members(HELPERS, target.id):
                    self._dissemination.send_ping_request(helper, seq, target)

    def relay_probe(self, sender: MemberRecord, request: PingRequest) -> None:
        """Probe a member on behalf of the sender."""
        seq = self._next_seq(request.target.id)
        self.relays[seq] = Relay(sender, request.seq, request.target.id)
        if len(self.relays) > MAX_RELAYS:
            del self.relays[next(iter(self.relays))]
        self._dissemination.send_ping(request.target, seq)

    def answer(self, to: MemberRecord, seq: int, subject: int) -> None:
        """Answer a probe; a prober that counts as departed here receives that status first."""
        departed = self._state.view.departed.get(to.id)
        first: tuple[StatusUpdate, ...] = ()
        if departed is not None and departed.record.rank() >= to.rank():
            record = departed.record
            first = (StatusUpdate(to.id, record.version, record.status, self._state.id),)
        self._dissemination.send_ack(to, seq, subject, first)

    def ack_received(self, now: int, sender: MemberRecord, ack: Ack) -> None:
        """Relay an answer to its requester; record one that concerns a subject of this member."""
        relay = self.relays.pop(ack.seq, None)
        if relay is not None and relay.target == ack.subject:
            self.answer(relay.requester, relay.seq, ack.subject)
        target = self.targets.get(ack.seq)
        edge = self._state.edges.get(target) if target is not None else None
        if target is None or edge is None:
            return
        direct = ack.subject == sender.id
        if target == ack.subject:
            edge.ack_received(now, ack.seq, direct)
        elif direct and self._has_address(target, sender.address):
            edge.refusal_received(now)  # another member now has the subject's address

    def connection_refused(self, now: int, member: int) -> None:
        """Record that a member's host reports a closed port at its address."""
        edge = self._state.edges.get(member)
        if edge is not None:
            edge.refusal_received(now)

    def _next_seq(self, target: int) -> int:
        self._last_seq += 1
        self.targets[self._last_seq] = target
        if len(self.targets) > MAX_RELAYS:
            del self.targets[next(iter(self.targets))]
        return self._last_seq

    def _has_address(self, member: int, address: str) -> bool:
        record = self._state.view.records.get(member)
        return record is not None and record.address == address
