"""How a member's messages are sent: what they carry, and to whom updates go that do not wait."""

from __future__ import annotations

from typing import Final, NamedTuple

from gullyoke.membership.member_record import MemberRecord, Update
from gullyoke.membership.member_state import MemberState
from gullyoke.membership.messages import (
    SIGNAL_BITS,
    Ack,
    Gossip,
    Message,
    OutgoingMessage,
    Ping,
    PingRequest,
    ViewDigests,
)

PUSH_FANOUT: Final = 3  # random members that a change of the view is sent to at once
DRAWS_PER_MEMBER: Final = 3  # random draws for each member wanted, as some are drawn twice


class Piggyback(NamedTuple):
    """What a message carries besides its own purpose; see `messages.Ping`."""

    digest: int
    lost: int
    updates: tuple[Update, ...]


class Dissemination:
    """Builds the member's messages and collects them to be sent.

    Attributes:
        outgoing: The messages that nobody has taken yet.
        ticks: The number of the present tick.
        signal: The load signal to carry, of `SIGNAL_BITS` bits; None where there is none.
        push_pending: Whether the view changed since the last push.
    """

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self.outgoing: list[OutgoingMessage] = []
        self.ticks = 0
        self.signal: int | None = None
        self.push_pending = False

    def take_outgoing(self) -> list[OutgoingMessage]:
        """Hand over the messages to be sent."""
        outgoing = self.outgoing
        self.outgoing = []
        return outgoing

    def random_members(self, count: int, excluded: int = 0) -> list[MemberRecord]:
        """Return up to `count` random members, without this one and `excluded`."""
        state = self._state
        ids = state.view.ids
        if not ids:
            return []
        found: dict[int, MemberRecord] = {}
        for _ in range(DRAWS_PER_MEMBER * count):
            member = ids[state.random.randrange(len(ids))]
            if member not in (state.id, excluded):
                found[member] = state.view.records[member]
                if len(found) == count:
                    break
        return list(found.values())

    def send(self, address: str, message: Message, to: int = 0) -> None:
        """Send a message to an address, and to the member of the id `to` if that is known."""
        self.outgoing.append(OutgoingMessage(address, message, to))

    def send_ping(self, target: MemberRecord, seq: int) -> None:
        """Probe a member."""
        message = Ping(self._state.record, seq, *self._piggyback(), self._packed_signal())
        self.send(target.address, message, target.id)

    def send_untracked_ping(self, address: str) -> None:
        """Probe another process of this member's own name; nothing waits for the answer."""
        self.send(address, Ping(self._state.record, 0, 0, 0), self._state.id)

    def send_ping_request(self, helper: MemberRecord, seq: int, target: MemberRecord) -> None:
        """Ask a helper to probe a member; load signals are not sent along."""
        message = PingRequest(self._state.record, seq, target, *self._piggyback())
        self.send(helper.address, message, helper.id)

    def send_ack(
        self, to: MemberRecord, seq: int, subject: int, first: tuple[Update, ...] = ()
    ) -> None:
        """Answer a probe, with the updates `first` before all others."""
        message = Ack(
            self._state.record, seq, subject, *self._piggyback(first), self._packed_signal()
        )
        self.send(to.address, message, to.id)

    def send_gossip(self, member: int, first: tuple[Update, ...] = ()) -> None:
        """Send updates to a member of the view at once, with `first` before all others."""
        record = self._state.view.records.get(member)
        if record is None or member == self._state.id:
            return
        message = Gossip(self._state.record, *self._piggyback(first), self._packed_signal())
        self.send(record.address, message, member)

    def send_digests(self, peer: MemberRecord) -> None:
        """Ask a peer for the records of the view that differ."""
        state = self._state
        self.send(peer.address, ViewDigests(state.record, tuple(state.view.buckets)), peer.id)

    def push(self) -> None:
        """Send updates to a few random members if the view changed."""
        if not self.push_pending:
            return
        self.push_pending = False
        for record in self.random_members(PUSH_FANOUT):
            self.send_gossip(record.id)

    def _packed_signal(self) -> int:
        return 0 if self.signal is None else self.ticks << SIGNAL_BITS | self.signal

    def _piggyback(self, first: tuple[Update, ...] = ()) -> Piggyback:
        state = self._state
        batch = state.gossip.next_batch(len(state.view.records))
        updates = first + tuple(update for update in batch if update not in first)
        return Piggyback(state.view.digest, state.local_health.scaled_lost(), updates)
