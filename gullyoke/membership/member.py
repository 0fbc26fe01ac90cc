"""One member: the entry points of the membership state machine.

The caller passes in the time, in whole microseconds of any monotonic clock, and the source of
randomness, and sends the messages that `Member.take_outgoing` returns. There is no I/O: the same
calls give the same messages.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final

from gullyoke.membership import reconciliation
from gullyoke.membership.dissemination import PUSH_FANOUT, Dissemination
from gullyoke.membership.gossip_queue import GossipQueue
from gullyoke.membership.join_state import JoinStage, JoinState
from gullyoke.membership.joining import Joining
from gullyoke.membership.local_health import LocalHealth
from gullyoke.membership.member_record import MemberRecord, Status
from gullyoke.membership.member_state import MemberState
from gullyoke.membership.messages import (
    SIGNAL_BITS,
    Ack,
    Hello,
    MembershipMessage,
    OutgoingMessage,
    Ping,
    PingRequest,
    UpdateCarrier,
    ViewDigests,
    ViewRecords,
)
from gullyoke.membership.monitor_edge import MonitorEdge
from gullyoke.membership.probing import Probing
from gullyoke.membership.removal import ObservedState, Removal
from gullyoke.membership.size_estimate import SizeEstimate, estimate_size
from gullyoke.membership.suspicion_tally import SuspicionTally
from gullyoke.membership.update_processing import UpdateProcessor
from gullyoke.membership.view import Change, View
from gullyoke.membership.view_history import ViewHistory

TICK_US: Final = 100_000  # microseconds between two ticks
OBSERVERS_PER_MEMBER: Final = 8

SignalListener = Callable[[int, int, int, int], None]


class Member:
    """A member of the fleet, from its start to its end.

    The owner calls `tick` every `TICK_US` microseconds, `receive` for each authenticated message,
    `connection_refused` when a host reports a closed port, and `leave` and `announce_left` at the
    beginning and the end of a drain.

    Attributes:
        dissemination: Builds and collects the messages to send.
        probing: Probes the subjects.
        removal: Suspects and removes members.
        joining: Joins the fleet.
        on_signal: Called with each load signal received: the time in microseconds, the sender's id,
            the sender's tick and the signal.
    """

    def __init__(
        self,
        now: int,
        record: MemberRecord,
        seeds: tuple[str, ...],
        random: Random,
        ring_count: int = OBSERVERS_PER_MEMBER,
    ) -> None:
        """Start a member.

        Args:
            now: The time in microseconds.
            record: The member's own record, with the status `JOINING`.
            seeds: Addresses of members to join through; if there is none but the member's
                own address, the member starts a fleet.
            random: The source of all randomness.
            ring_count: The number of observers per member; has to be the same in the whole fleet.
        """
        self._state = MemberState(now, record, seeds, random, ring_count)
        self.dissemination = Dissemination(self._state)
        self._updates = UpdateProcessor(self._state, self.dissemination)
        self.probing = Probing(self._state, self.dissemination)
        self.removal = Removal(self._state, self.dissemination, self._updates)
        self.joining = Joining(self._state, self.dissemination, self._updates)
        self.on_signal: SignalListener = lambda now, sender, tick, signal: None
        if all(seed == record.address for seed in seeds):
            self.joining.start_alone(now)

    # State, for other parts of the program.

    @property
    def id(self) -> int:
        """This member's id."""
        return self._state.id

    @property
    def record(self) -> MemberRecord:
        """This member's own record."""
        return self._state.record

    @property
    def view(self) -> View:
        """The members that this one knows, including itself."""
        return self._state.view

    @property
    def join_state(self) -> JoinState:
        """The stage and the own record of this member."""
        return self._state.join_state

    @property
    def local_health(self) -> LocalHealth:
        """This member's assessment of its own health."""
        return self._state.local_health

    @property
    def edges(self) -> dict[int, MonitorEdge]:
        """The edges to this member's subjects, by their ids."""
        return self._state.edges

    @property
    def suspicions(self) -> SuspicionTally:
        """The suspicion reports of all observers."""
        return self._state.suspicions

    @property
    def gossip(self) -> GossipQueue:
        """The updates to be disseminated."""
        return self._state.gossip

    @property
    def history(self) -> ViewHistory:
        """The recent changes of the view."""
        return self._updates.history

    @property
    def listeners(self) -> list[Callable[[Change], None]]:
        """Functions to call with each change of the view; callers append to it."""
        return self._updates.listeners

    @property
    def signal(self) -> int | None:
        """The load signal that this member's messages carry; None if there is none."""
        return self.dissemination.signal

    @signal.setter
    def signal(self, signal: int | None) -> None:
        self.dissemination.signal = signal

    def size(self, now: int) -> SizeEstimate:
        """Return the fleet's size as this member knows it."""
        health = self._state.local_health
        return estimate_size(
            len(self._state.view),
            health.lost,
            now - health.received_at,
            health.same_view_share(),
            self._state.join_state.has_joined(),
        )

    def state(self, now: int, record: MemberRecord) -> ObservedState:
        """Return the state of a member of the view as this member observes it."""
        return self.removal.observed_state(now, record)

    # Entry points.

    def take_outgoing(self) -> list[OutgoingMessage]:
        """Return the messages to be sent, and clear the list."""
        return self.dissemination.take_outgoing()

    def adopt_view(self, view: View) -> None:
        """Replace the view; for simulations that begin with a complete fleet."""
        self._state.view = view

    def tick(self, now: int) -> None:
        """Do all work that is due now."""
        state = self._state
        if state.local_health.record_tick(now):
            self.removal.process_resumed()
            self.probing.process_resumed(now)
        self.joining.tick_started()
        self.dissemination.ticks += 1
        state.view.forget_departed(now)
        self._rejoin_if_settled(now)
        self.joining.contact_seeds(now)
        self.joining.read_view(now)
        self.probing.match_subjects(now)
        state.local_health.update(now, state.edges.values())
        self.probing.probe_subjects(now)
        if state.join_state.has_joined():
            self.removal.report_suspicions(now)
            self.removal.remove_suspects(now)
        self.dissemination.push()
        self._reconcile(now)

    def receive(self, now: int, message: MembershipMessage) -> None:
        """Handle an authenticated message from another member."""
        sender = message.sender
        if sender.id == self.id:
            if sender.incarnation != self.record.incarnation:
                self.joining.namesake_received(now, sender)
            return
        if isinstance(message, Hello):
            self.joining.hello_received(now, sender)
            return
        from_member = self._updates.learn_sender(now, sender)
        if isinstance(message, ViewRecords):
            self.joining.records_received(now, message)
        elif isinstance(message, ViewDigests):
            self._answer_digests(message)
        else:
            self._take_in(now, message, from_member)
            self._answer(now, message)

    def connection_refused(self, now: int, member: int) -> None:
        """Record that a member's host reports a closed port at its address."""
        self.probing.connection_refused(now, member)

    def leave(self, now: int) -> None:
        """Begin to leave: announce it to the fleet, and keep answering messages."""
        if self._state.join_state.is_inside():
            self._updates.adopt_own_record(now, self.record.with_status(Status.LEAVING))

    def announce_left(self, now: int) -> None:
        """Send some members the status `LEFT`; the last step of a drain, which may be repeated."""
        if not self._state.join_state.is_inside():
            return
        record = self.record.with_status(Status.LEFT)
        members = {peer.id for peer in self.dissemination.random_members(2 * PUSH_FANOUT)}
        for member in sorted(members | self.view.rings.observers(self.id)):
            self.dissemination.send_gossip(member, (record,))

    # Parts of a tick.

    def _rejoin_if_settled(self, now: int) -> None:
        """Rejoin after a removal and the settle time; this member's own view is discarded."""
        health = self._state.local_health
        record = self._state.join_state.rejoin_if_settled(
            now, health.failing, health.receives_nothing
        )
        if record is not None:
            self._state.reset_view(now, record)
            self.probing.rings_reset()
            self.removal.reset(record)

    def _reconcile(self, now: int) -> None:
        state = self._state
        if not state.join_state.has_joined() or not state.reconciliation.try_begin_exchange(now):
            return
        peer = state.view.records.get(state.reconciliation.peer)
        if peer is not None:
            self.dissemination.send_digests(peer)

    # Parts of handling a message.

    def _answer_digests(self, message: ViewDigests) -> None:
        state = self._state
        sender = message.sender
        for records in reconciliation.answer_digests(
            state.record, state.view, message.buckets, state.random
        ):
            self.dissemination.send(sender.address, records, sender.id)

    def _take_in(self, now: int, message: UpdateCarrier, from_member: bool) -> None:
        """Apply a message's report and updates as far as this member's stage allows."""
        state = self._state
        sender = message.sender
        if from_member and state.join_state.is_inside():
            same_view = message.digest == state.view.digest
            state.local_health.peer_reported(now, sender.id, message.lost, same_view)
            state.reconciliation.peer_reported(now, sender.id, same_view)
            if message.signal:
                tick, signal = divmod(message.signal, 1 << SIGNAL_BITS)
                self.on_signal(now, sender.id, tick, signal)
            for update in message.updates:
                self._updates.learn(now, update)
        elif state.join_state.stage is JoinStage.OUT:
            state.local_health.peer_reported(now, sender.id, message.lost, same_view=False)
        else:
            state.join_state.contact_received(now, sender.address)

    def _answer(self, now: int, message: UpdateCarrier) -> None:
        if isinstance(message, Ping):
            self.probing.answer(message.sender, message.seq, self.id)
        elif isinstance(message, PingRequest):
            self.probing.relay_probe(message.sender, message)
        elif isinstance(message, Ack):
            self.probing.ack_received(now, message.sender, message)
