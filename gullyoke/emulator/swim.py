"""Published failure detectors to compare ours with, on the same simulated network.

SWIM (Das, Gupta and Motivala 2002) with suspicion, and Lifeguard's three changes to it (Dadgar et
al. 2018), with the constants of their papers' evaluations. They know all members from the start;
joining is not modelled. All figures from here are simulated.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from enum import IntEnum
from typing import Final, NamedTuple

from gullyoke.membership.member_record import MemberRecord
from gullyoke.membership.view import Change, ChangeKind

PERIOD_US: Final = 1_000_000  # between probes
ACK_TIMEOUT_US: Final = 500_000  # after which other members probe too
GOSSIP_PERIOD_US: Final = 200_000
INDIRECT_PROBES: Final = 3
GOSSIP_FANOUT: Final = 3
UPDATES_PER_MESSAGE: Final = 6
ROUNDS_PER_LOG10: Final = 4  # how often an update is sent, times log10 of the fleet's size
MIN_SUSPICION_PERIODS: Final = 4  # times log10 of the fleet's size
MAX_SUSPICION_FACTOR: Final = 6  # Lifeguard: of an unconfirmed suspicion
CONFIRMATIONS: Final = 3  # Lifeguard: after which a suspicion times out soonest
WORST_HEALTH: Final = 8  # Lifeguard
MAX_RELAYS: Final = 256


class State(IntEnum):
    """A member's state, in the order in which one incarnation goes through them."""

    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2


class SwimUpdate(NamedTuple):
    """A member's state under an incarnation number, and which member says so."""

    id: int
    incarnation: int
    state: State
    by: int


class Probe(NamedTuple):
    """A probe of `target` for the sender, or of the receiver where `target` is 0."""

    sender: MemberRecord
    seq: int
    target: int
    updates: tuple[SwimUpdate, ...]


class Echo(NamedTuple):
    """An answer, or gossip alone where `seq` is 0."""

    sender: MemberRecord
    seq: int
    updates: tuple[SwimUpdate, ...]


class PeerState:
    """What a member knows of another member."""

    def __init__(self, record: MemberRecord, now: int) -> None:
        self.record = record
        self.incarnation = 0
        self.state = State.ALIVE
        self.since = now
        self.confirmed_by: set[int] = set()


class PendingProbe:
    """The unanswered probe of the present period."""

    def __init__(self, target: int, seq: int, sent_at: int) -> None:
        self.target = target
        self.seq = seq
        self.sent_at = sent_at
        self.indirect = False


class QueuedUpdate:
    """An update, and how often it is still to be sent."""

    def __init__(self, update: SwimUpdate, rounds_left: int) -> None:
        self.update = update
        self.rounds_left = rounds_left


class Swim:
    """One member; it has the entry points of `gullyoke.membership.Member`.

    Attributes:
        record: The member's own record.
        listeners: Called with each change in the set of live members.
        peers: The other members by their ids, dead ones included.
        health: Lifeguard's local health; 0 is the best.
    """

    lifeguard = False

    def __init__(
        self, now: int, record: MemberRecord, seeds: tuple[str, ...], generator: random.Random
    ) -> None:
        self.record = record
        self.random = generator
        self.listeners: list[Callable[[Change], None]] = []
        self.peers: dict[int, PeerState] = {}
        self.health = 0
        self._outgoing: list[tuple[str, Probe | Echo, int]] = []
        self._updates: dict[int, QueuedUpdate] = {}
        self._incarnation = 0
        self._seq = 0
        self._next_probe_at = now + generator.randrange(PERIOD_US)
        self._next_gossip_at = now
        self._pending: PendingProbe | None = None
        self._relays: dict[int, tuple[MemberRecord, int]] = {}  # requester and its seq
        self._probe_order: list[int] = []

    def acquaint(self, records: list[MemberRecord], now: int) -> None:
        """Let this member know all others from the start."""
        self.peers = {
            record.id: PeerState(record, now) for record in records if record.id != self.record.id
        }

    def take_outgoing(self) -> list[tuple[str, Probe | Echo, int]]:
        """Remove and return the messages to be sent."""
        outgoing = self._outgoing
        self._outgoing = []
        return outgoing

    def tick(self, now: int) -> None:
        """Do the work that is due: suspicions, probes and gossip."""
        self._expire_suspicions(now)
        if self._pending is not None:
            self._probe_indirectly(now, self._pending)
        if now >= self._next_probe_at:
            self._probe(now)
        if now >= self._next_gossip_at and self._updates:
            self._next_gossip_at = now + GOSSIP_PERIOD_US
            for record in self._random_peers(GOSSIP_FANOUT, 0):
                self._send(record, Echo(self.record, 0, self._pick_updates(record.id)))

    def receive(self, now: int, message: Probe | Echo) -> None:
        """Handle a message of another member."""
        for update in message.updates:
            self._learn(now, update)
        if isinstance(message, Probe):
            self._probe_received(message)
        elif message.seq:
            self._echo_received(message)

    def connection_refused(self, now: int, member: int) -> None:
        """Ignore it: neither paper uses refusals."""

    def _probe_received(self, message: Probe) -> None:
        if message.target == 0:
            updates = self._pick_updates(message.sender.id)
            self._send(message.sender, Echo(self.record, message.seq, updates))
        elif message.target in self.peers:
            self._seq += 1
            self._relays[self._seq] = message.sender, message.seq
            if len(self._relays) > MAX_RELAYS:
                del self._relays[next(iter(self._relays))]
            self._send(self.peers[message.target].record, Probe(self.record, self._seq, 0, ()))

    def _echo_received(self, message: Echo) -> None:
        relayed = self._relays.pop(message.seq, None)
        if relayed is not None:
            requester, seq = relayed
            self._send(requester, Echo(self.record, seq, ()))
        if self._pending is not None and self._pending.seq == message.seq:
            self._pending = None
            self.health = max(0, self.health - 1)

    def _health_factor(self) -> int:
        return 1 + self.health if self.lifeguard else 1

    def _probe(self, now: int) -> None:
        if self._pending is not None:  # the last one was never answered
            self._suspect(now, self._pending.target)
            self.health = min(WORST_HEALTH, self.health + 1)
        self._next_probe_at = now + PERIOD_US * self._health_factor()
        if not self._probe_order:
            self._probe_order = list(self.peers)
            self.random.shuffle(self._probe_order)
        self._pending = None
        while self._probe_order:
            member = self._probe_order.pop()
            if member in self.peers and self.peers[member].state is not State.DEAD:
                self._seq += 1
                self._pending = PendingProbe(member, self._seq, now)
                updates = self._pick_updates(member)
                self._send(self.peers[member].record, Probe(self.record, self._seq, 0, updates))
                return

    def _probe_indirectly(self, now: int, pending: PendingProbe) -> None:
        overdue = now - pending.sent_at >= ACK_TIMEOUT_US * self._health_factor()
        if pending.indirect or not overdue:
            return
        pending.indirect = True
        for helper in self._random_peers(INDIRECT_PROBES, pending.target):
            updates = self._pick_updates(helper.id)
            self._send(helper, Probe(self.record, pending.seq, pending.target, updates))

    def _expire_suspicions(self, now: int) -> None:
        for member, peer in self.peers.items():
            if peer.state is not State.SUSPECTED:
                continue
            if now - peer.since >= self._suspicion_timeout_us(len(peer.confirmed_by)):
                update = SwimUpdate(member, peer.incarnation, State.DEAD, self.record.id)
                self._learn(now, update)

    def _suspicion_timeout_us(self, confirmed: int) -> float:
        scale = max(1.0, math.log10(max(1, len(self.peers))))
        shortest = MIN_SUSPICION_PERIODS * scale * PERIOD_US
        if not self.lifeguard:
            return shortest
        longest = MAX_SUSPICION_FACTOR * shortest
        share = math.log(confirmed + 1) / math.log(CONFIRMATIONS + 1)
        return max(shortest, longest - (longest - shortest) * min(1.0, share))

    def _suspect(self, now: int, member: int) -> None:
        peer = self.peers.get(member)
        if peer is not None and peer.state is State.ALIVE:
            update = SwimUpdate(member, peer.incarnation, State.SUSPECTED, self.record.id)
            self._learn(now, update)

    def _learn(self, now: int, update: SwimUpdate) -> None:
        if update.id == self.record.id:
            self._learn_of_self(update)
            return
        peer = self.peers.get(update.id)
        if peer is None:
            return
        if (
            update.state is State.SUSPECTED
            and peer.state is State.SUSPECTED
            and update.incarnation == peer.incarnation
        ):
            self._confirm(peer, update)
            return
        if (update.incarnation, update.state) <= (peer.incarnation, peer.state):
            return
        if peer.state is State.DEAD and update.incarnation <= peer.incarnation:
            return
        was_dead = peer.state is State.DEAD
        peer.incarnation = update.incarnation
        peer.state = update.state
        peer.since = now
        peer.confirmed_by = {update.by}
        self._queue(update)
        if (update.state is State.DEAD) != was_dead:
            kind = ChangeKind.REMOVED if update.state is State.DEAD else ChangeKind.JOINED
            for listener in self.listeners:
                listener(Change(0, kind, peer.record, None))

    def _learn_of_self(self, update: SwimUpdate) -> None:
        """Refute a suspicion with a higher incarnation number."""
        if update.state is State.ALIVE or update.incarnation < self._incarnation:
            return
        self._incarnation = update.incarnation + 1
        self.health = min(WORST_HEALTH, self.health + 1)
        self._queue(SwimUpdate(self.record.id, self._incarnation, State.ALIVE, self.record.id))

    def _confirm(self, peer: PeerState, update: SwimUpdate) -> None:
        """Pass on the suspicion of another, independent member."""
        if update.by not in peer.confirmed_by and len(peer.confirmed_by) < CONFIRMATIONS:
            peer.confirmed_by.add(update.by)
            self._queue(update)

    def _queue(self, update: SwimUpdate) -> None:
        rounds = ROUNDS_PER_LOG10 * math.ceil(math.log10(len(self.peers) + 2))
        self._updates[update.id] = QueuedUpdate(update, rounds)

    def _pick_updates(self, to: int) -> tuple[SwimUpdate, ...]:
        ranked = sorted(self._updates.values(), key=lambda queued: -queued.rounds_left)
        picked = ranked[:UPDATES_PER_MESSAGE]
        for queued in picked:
            queued.rounds_left -= 1
            if queued.rounds_left <= 0:
                self._updates.pop(queued.update.id, None)
        updates = [queued.update for queued in picked]
        peer = self.peers.get(to)
        if self.lifeguard and peer is not None and peer.state is State.SUSPECTED:
            # Lifeguard's buddy system: the next message to a suspect tells it of the suspicion.
            updates.append(SwimUpdate(to, peer.incarnation, State.SUSPECTED, self.record.id))
        return tuple(updates)

    def _random_peers(self, count: int, excluded: int) -> list[MemberRecord]:
        records = [
            peer.record
            for member, peer in self.peers.items()
            if member != excluded and peer.state is not State.DEAD
        ]
        return self.random.sample(records, min(count, len(records)))

    def _send(self, receiver: MemberRecord, message: Probe | Echo) -> None:
        self._outgoing.append((receiver.address, message, receiver.id))


class Lifeguard(Swim):
    """SWIM with the changes of Lifeguard."""

    lifeguard = True
