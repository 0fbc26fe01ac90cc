"""Joining: contacting seeds, reading the fleet's view, and resolving duplicate names."""

from __future__ import annotations

from typing import Final

from gullyoke.membership import reconciliation
from gullyoke.membership.dissemination import Dissemination
from gullyoke.membership.join_state import JoinStage
from gullyoke.membership.member_record import MemberRecord, Status
from gullyoke.membership.member_state import MemberState
from gullyoke.membership.messages import Gossip, Hello, ViewRecords
from gullyoke.membership.update_processing import UpdateProcessor
from gullyoke.membership.view import BUCKETS

MAX_HELLOS_PER_TICK: Final = 16  # only these are answered; the senders of further hellos retry
RECORDS_PER_HELLO: Final = 6  # random members' records in the answer to a hello
READ_PERIOD_US: Final = 200_000  # between requests while reading the fleet's view


class Joining:
    """Sends and answers the messages by which members find each other."""

    def __init__(
        self, state: MemberState, dissemination: Dissemination, updates: UpdateProcessor
    ) -> None:
        self._state = state
        self._dissemination = dissemination
        self._updates = updates
        self._hellos_this_tick = 0
        self._requested_at = 0

    def start_alone(self, now: int) -> None:
        """Join at once as the first member of a fleet; for a member with no other seed."""
        join_state = self._state.join_state
        join_state.seed_answered(now, None)
        self._updates.adopt_own_record(now, join_state.record)
        self._updates.adopt_own_record(now, join_state.join(now))

    def tick_started(self) -> None:
        """Reset the count of hellos, which limits the answers in one tick."""
        self._hellos_this_tick = 0

    def contact_seeds(self, now: int) -> None:
        """Send the hellos that are due."""
        state = self._state
        live_addresses: set[str] = set()
        if now >= state.join_state.next_contact_at:
            live_addresses = {record.address for record in state.view.records.values()}
        for address in state.join_state.take_next_contacts(now, live_addresses):
            self._dissemination.send(address, Hello(state.record))

    def read_view(self, now: int) -> None:
        """Continue to read the fleet's view, or join if reading has timed out."""
        join_state = self._state.join_state
        if join_state.stage is not JoinStage.JOINING:
            return
        record = join_state.finish_reading(now, BUCKETS)
        if record is not None:
            self._updates.adopt_own_record(now, record)
        elif now - self._requested_at >= READ_PERIOD_US:
            self._requested_at = now
            for peer in self._dissemination.random_members(1):
                self._dissemination.send_digests(peer)

    def hello_received(self, now: int, sender: MemberRecord) -> None:
        """Answer with the record known for the sender's name, if any, and some members' records."""
        state = self._state
        join_state = state.join_state
        self._hellos_this_tick += 1
        if self._hellos_this_tick > MAX_HELLOS_PER_TICK:
            return
        if join_state.stage in (JoinStage.OUT, JoinStage.DISPLACED):
            return
        if sender.status is Status.ALIVE:  # from a fleet that formed separately
            self._updates.learn_sender(now, sender)
        join_state.contact_received(now, sender.address)
        known = state.view.known(sender.id)
        records = [
            *([known] if known is not None else []),
            state.record,
            *self._dissemination.random_members(RECORDS_PER_HELLO, sender.id),
        ]
        answer = ViewRecords(state.record, (), tuple(records), True, BUCKETS)
        self._dissemination.send(sender.address, answer, sender.id)

    def records_received(self, now: int, message: ViewRecords) -> None:
        """Merge a peer's records, and join if they complete the reading of the view."""
        join_state = self._state.join_state
        if join_state.stage is JoinStage.OUT:
            return
        alone = join_state.stage in (JoinStage.ALONE, JoinStage.DISPLACED)
        if alone and message.is_reply and not self._seed_answered(now, message):
            return
        for record in message.records:
            self._updates.learn(now, record)
        if message.is_reply:
            self._reply_received(now, message)

    def namesake_received(self, now: int, other: MemberRecord) -> None:
        """Handle a message from another process with this member's name.

        A process that has joined keeps the name against one that is joining; of two that have
        joined, the one whose record ranks higher keeps it.
        """
        state = self._state
        wins = other.status is Status.JOINING or state.record.rank() > other.rank()
        if state.join_state.is_inside() and wins:
            message = Gossip(state.record, state.view.digest, 0, ())
            self._dissemination.send(other.address, message, state.id)
        elif state.join_state.stage is not JoinStage.OUT:
            state.join_state.name_holder_answered()

    def _seed_answered(self, now: int, message: ViewRecords) -> bool:
        """Handle an answer to a hello; return whether this member begins to read the view."""
        state = self._state
        known = next((record for record in message.records if record.id == state.id), None)
        record = state.join_state.seed_answered(now, known)
        if record is not None:
            self._updates.adopt_own_record(now, record)
            return True
        if known is not None:  # probes the process that may have the name
            self._dissemination.send_untracked_ping(known.address)
        return False

    def _reply_received(self, now: int, message: ViewRecords) -> None:
        state = self._state
        peer = message.sender
        for records in reconciliation.missing_records(state.record, state.view, message.parts):
            self._dissemination.send(peer.address, records, peer.id)
        if state.join_state.has_joined() and message.differing:
            state.reconciliation.peer_reported(now, peer.id, same_view=False)
        record = state.join_state.finish_reading(now, message.differing)
        if record is not None:
            self._updates.adopt_own_record(now, record)
