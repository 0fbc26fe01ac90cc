"""Builds a member's messages, and sends urgent updates without waiting for the next probe."""

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

PUSH_FANOUT: Final = 3  # random members to which a change of the view is sent at once
DRAWS_PER_MEMBER: Final = 3  # random draws per requested member, as some draws repeat


class Piggyback(NamedTuple):
    """Fields that most messages carry besides their own; see `messages.Ping`."""

    digest: int
    lost: int
    updates: tuple[Update, ...]


class Dissemination:
    """Builds the member's messages and collects them to be sent.

    Attributes:
        outgoing: The messages to be sent, until `take_outgoing` returns them.
        ticks: The number of the current tick.
        signal: The load signal to carry, of `SIGNAL_BITS` bits; None if there is none.
        push_pending: Whether the view has changed since the last push.
    """

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self.outgoing: list[OutgoingMessage] = []
        self.ticks = 0
        self.signal: int | None = None
        self.push_pending = False

    def take_outgoing(self) -> list[OutgoingMessage]:
        """Return the messages to be sent, and clear the list."""
        outgoing = self.outgoing
        self.outgoing = []
        return outgoing

    def random_members(self, count: int, excluded: int = 0) -> list[MemberRecord]:
        """Return up to `count` random members other than this one and `excluded`."""
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
        """Queue a message to an address; `to` is the id of the member there, or 0 if unknown."""
        self.outgoing.append(OutgoingMessage(address, message, to))

    def send_ping(self, target: MemberRecord, seq: int) -> None:
        """Probe a member."""
        message = Ping(self._state.record, seq, *self._piggyback(), self._packed_signal())
        self.send(target.address, message, target.id)

    def send_untracked_ping(self, address: str) -> None:
        """Probe another process with this member's name; the answer is not tracked."""
        self.send(address, Ping(self._state.record, 0, 0, 0), self._state.id)

    def send_ping_request(self, helper: MemberRecord, seq: int, target: MemberRecord) -> None:
        """Ask a helper to probe a member; the message carries no load signal."""
        message = PingRequest(self._state.record, seq, target, *self._piggyback())
        self.send(helper.address, message, helper.id)

    def send_ack(
        self, to: MemberRecord, seq: int, subject: int, first: tuple[Update, ...] = ()
    ) -> None:
        """Answer a probe; the updates in `first` go before all others."""
        message = Ack(
            self._state.record, seq, subject, *self._piggyback(first), self._packed_signal()
        )
        self.send(to.address, message, to.id)

    def send_gossip(self, member: int, first: tuple[Update, ...] = ()) -> None:
        """Send updates to a member of the view at once; those in `first` go before all others."""
        record = self._state.view.records.get(member)
        if record is None or member == self._state.id:
            return
        message = Gossip(self._state.record, *self._piggyback(first), self._packed_signal())
        self.send(record.address, message, member)

    def send_digests(self, peer: MemberRecord) -> None:
        """Ask a peer for the records in which its view differs from this one."""
        state = self._state
        self.send(peer.address, ViewDigests(state.record, tuple(state.view.buckets)), peer.id)

    def push(self) -> None:
        """Send updates to a few random members if the view has changed since the last push."""
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
