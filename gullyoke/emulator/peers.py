"""A simulated network of members, without sockets.

It runs the decisions of gullyoke/membership in simulated time, over a network that loses, delays
and duplicates datagrams and that can be partitioned. All figures from here are simulated.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from typing import Any, Final, NamedTuple

from gullyoke.membership import (
    TICK_US,
    Change,
    Member,
    MemberRecord,
    Status,
    member_id,
    start_version,
)
from gullyoke.membership.gossip_queue import wire_size
from gullyoke.membership.messages import Message
from gullyoke.membership.view import ChangeKind, View

SECOND: Final = 1_000_000  # in microseconds of simulated time
DATAGRAM_OVERHEAD_BYTES: Final = 130  # approximate size of a datagram without its records
DIGEST_BYTES: Final = 6  # approximate size of one bucket's digest
WALL_CLOCK_AT_START: Final = 1_800_000_000  # seconds
INCARNATION_BITS: Final = 60
SEED_COUNT: Final = 3  # of a simulated fleet's members
LEFT_ANNOUNCEMENTS: Final = 2  # sent by a member before it ends

LossBetween = Callable[[int, "Host", "Host"], float]
"""The probability that a datagram between two hosts is lost now, besides the loss everywhere."""


class ObservedChange(NamedTuple):
    """A change in the view of one member.

    Attributes:
        at_us: When it happened, in simulated microseconds.
        by: The key of the host in whose view it happened.
        change: The change.
    """

    at_us: int
    by: str
    change: Change


class Host:
    """One process.

    Attributes:
        name: The member's name.
        zone: The member's zone.
        address: Where it receives datagrams.
        member: A `Member`, or another detector with the same entry points.
        up: Whether it runs.
        refuses: Whether its machine reports a closed port while it does not run.
        starts: How often it was started.
        paused_until: Until when it is paused, in simulated microseconds.
        inbox: Messages that arrived while it was paused.
        sent: Datagrams sent.
        sent_bytes: Their bytes, where the network counts them.
    """

    def __init__(self, name: str, zone: str, address: str) -> None:
        self.name = name
        self.zone = zone
        self.address = address
        self.member: Any = None
        self.up = False
        self.refuses = False
        self.starts = 0
        self.paused_until = 0
        self.inbox: list[Message] = []
        self.sent = 0
        self.sent_bytes = 0


class Network:
    """Hosts, the network between them and the simulated clock.

    Attributes:
        random: The only source of randomness.
        loss: The probability that a datagram is lost.
        duplicated: The probability that one arrives twice.
        cut: Further loss between pairs of hosts; None where there is none.
        now: The simulated time in microseconds.
        hosts: All hosts by their keys.
        changes: All changes in the members' views, in the order in which they happened.
    """

    def __init__(
        self,
        seed: int,
        loss: float = 0.0,
        delay_us: tuple[int, int] = (200, 2_000),
        duplicated: float = 0.0,
        count_bytes: bool = False,
        make_member: Callable[..., Any] = Member,
    ) -> None:
        """Make a network without hosts.

        Args:
            seed: The seed of all randomness; the same seed and calls give the same simulation.
            loss: See the class.
            delay_us: The shortest and the longest delay of a datagram, in microseconds.
            duplicated: See the class.
            count_bytes: Whether to count the bytes sent, which takes time.
            make_member: Makes the member of a host; takes the arguments of `Member`.
        """
        self.random = random.Random(seed)
        self.loss = loss
        self.duplicated = duplicated
        self.cut: LossBetween | None = None
        self.now = 0
        self.hosts: dict[str, Host] = {}
        self.changes: list[ObservedChange] = []
        self._delay_us = delay_us
        self._count_bytes = count_bytes
        self._make_member = make_member
        self._event_count = itertools.count()
        self._events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._by_address: dict[str, Host] = {}

    # Starts, ends and pauses of hosts.

    def start(
        self,
        name: str,
        seeds: Iterable[str] = (),
        zone: str = "z",
        behind: int = 0,
        address: str | None = None,
        host: str | None = None,
    ) -> Host:
        """Start a process.

        Args:
            name: The member's name.
            seeds: The addresses to join by.
            zone: The member's zone, where the host is new.
            behind: How many seconds its wall clock is behind.
            address: The host's address, where the host is new and it is not the key.
            host: The host's key, which tells two processes of one name apart; the name by default.
        """
        key = host or name
        started = self.hosts.get(key) or Host(name, zone, address or key)
        self.hosts[key] = started
        self._by_address[started.address] = started
        started.starts += 1
        version = start_version(WALL_CLOCK_AT_START + self.now // SECOND - behind)
        incarnation = self.random.getrandbits(INCARNATION_BITS)
        record = MemberRecord(name, version, Status.JOINING, started.address, zone, incarnation)
        member_random = random.Random(self.random.getrandbits(INCARNATION_BITS))
        started.member = self._make_member(self.now, record, tuple(seeds), member_random)
        started.up = True
        started.paused_until = 0
        started.inbox = []
        started.member.listeners.append(
            lambda change: self.changes.append(ObservedChange(self.now, key, change))
        )
        self.schedule(self.random.randrange(TICK_US), self._tick, started, started.starts)
        return started

    def kill(self, key: str, refuses: bool = True) -> None:
        """End a process; `refuses` is whether its machine stays up and reports the closed port."""
        host = self.hosts[key]
        host.up = False
        host.refuses = refuses

    def pause(self, key: str, duration_us: int) -> None:
        """Pause a process for `duration_us`."""
        self.hosts[key].paused_until = self.now + duration_us

    def leave(self, key: str, drain_us: int = 500_000) -> None:
        """End a process in order: it leaves now and ends after `drain_us`."""
        host = self.hosts[key]
        starts = host.starts
        host.member.leave(self.now)
        self._send_outgoing(host)

        def end() -> None:
            if host.up and host.starts == starts:
                for _ in range(LEFT_ANNOUNCEMENTS):
                    host.member.announce_left(self.now)
                    self._send_outgoing(host)
                self.kill(host.name)

        self.schedule(drain_us, end)

    # The simulated clock.

    def schedule(self, delay_us: int, action: Callable[..., None], *arguments: object) -> None:
        """Call an action after `delay_us`."""
        event = (self.now + delay_us, next(self._event_count), action, arguments)
        heapq.heappush(self._events, event)

    def run(
        self, until: int, done: Callable[[], bool] | None = None, check_every_us: int = 100_000
    ) -> bool:
        """Run until that time, or until `done` returns true.

        Returns:
            Whether `done` returned true at the end.
        """
        events = self._events
        check_at = self.now
        while events and events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(events)
            action(*arguments)
            if done is not None and self.now >= check_at:
                check_at = self.now + check_every_us
                if done():
                    return True
        self.now = until
        return done is not None and done()

    # Queries of the whole network.

    def running(self) -> list[Host]:
        """Return the hosts that are up."""
        return [host for host in self.hosts.values() if host.up]

    def views_agree(self) -> bool:
        """Return whether all running members have joined with one view, of exactly themselves."""
        running = self.running()
        return (
            len({host.member.view.digest for host in running}) == 1
            and all(host.member.join_state.has_joined() for host in running)
            and len(running[0].member.view) == len({host.name for host in running})
        )

    def removals_of(self, name: str, since: int = 0) -> list[ObservedChange]:
        """Return the removals of a member in all views since that time."""
        member = member_id(name)
        return [
            seen
            for seen in self.changes
            if seen.at_us >= since
            and seen.change.kind is ChangeKind.REMOVED
            and seen.change.record.id == member
        ]

    # Datagrams.

    def _tick(self, host: Host, starts: int) -> None:
        if not host.up or host.starts != starts:
            return
        if host.paused_until > self.now:  # handles its inbox when it resumes
            self.schedule(host.paused_until - self.now, self._tick, host, starts)
            return
        inbox = host.inbox
        host.inbox = []
        host.member.tick(self.now)
        for message in inbox:
            host.member.receive(self.now, message)
        self._send_outgoing(host)
        self.schedule(TICK_US, self._tick, host, starts)

    def _send_outgoing(self, host: Host) -> None:
        for address, message, to in host.member.take_outgoing():
            host.sent += 1
            if self._count_bytes:
                host.sent_bytes += datagram_bytes(message)
            receiver = self._by_address.get(address)
            if receiver is None or self._is_lost(host, receiver):
                continue
            twice = self.duplicated and self.random.random() < self.duplicated
            for _ in range(2 if twice else 1):
                delay = self.random.randint(*self._delay_us)
                self.schedule(delay, self._arrive, host, receiver, message, to)

    def _is_lost(self, sender: Host, receiver: Host) -> bool:
        if self.loss and self.random.random() < self.loss:
            return True
        loss = self.cut(self.now, sender, receiver) if self.cut is not None else 0.0
        return loss > 0 and self.random.random() < loss

    def _arrive(self, sender: Host, receiver: Host, message: Message, to: int) -> None:
        if not receiver.up:
            if receiver.refuses and to and not self._is_lost(receiver, sender):
                delay = self.random.randint(*self._delay_us)
                self.schedule(delay, self._refusal_arrives, sender, to)
        elif receiver.paused_until > self.now:
            receiver.inbox.append(message)
        else:
            receiver.member.receive(self.now, message)
            self._send_outgoing(receiver)

    def _refusal_arrives(self, host: Host, member: int) -> None:
        if host.up and host.paused_until <= self.now:
            host.member.connection_refused(self.now, member)


def datagram_bytes(message: Message) -> int:
    """Return the approximate size of a message's datagram in bytes."""
    carried = getattr(message, "updates", ()) or getattr(message, "records", ())
    digests = getattr(message, "buckets", ())
    return DATAGRAM_OVERHEAD_BYTES + sum(map(wire_size, carried)) + DIGEST_BYTES * len(digests)


def fleet(
    size: int,
    seed: int,
    zones: int = 3,
    settle_us: int = 6 * SECOND,
    joined: bool = False,
    **network: Any,
) -> Network:
    """Return a network with a fleet whose members have joined.

    Args:
        size: The number of members, named `m0` and so on.
        seed: The seed of all randomness.
        zones: The number of zones, assigned in rotation.
        settle_us: For how long the fleet runs before it is returned, in simulated microseconds.
        joined: Whether the members know each other from the start, which saves the time that it
            takes to simulate how they join.
        **network: Further arguments of `Network`.
    """
    net = Network(seed, **network)
    seeds = [f"m{i}" for i in range(min(SEED_COUNT, size))]
    hosts = [net.start(f"m{i}", seeds, f"z{i % zones}") for i in range(size)]
    if joined:
        acquaint(net, hosts)
    else:
        net.run(30 * SECOND, net.views_agree)
        settle_us += net.now
    net.run(settle_us)
    net.changes.clear()
    for host in hosts:
        host.sent = 0
        host.sent_bytes = 0
    return net


def acquaint(net: Network, hosts: list[Host]) -> None:
    """Make all members join at once with a view of all of them."""
    if not isinstance(hosts[0].member, Member):  # another detector, for comparison
        for host in hosts:
            host.member.acquaint([other.member.record for other in hosts], net.now)
        return
    view = View(hosts[0].member.view.rings.ring_count)
    for host in hosts:
        view.merge(net.now, host.member.join_state.join(net.now))
    for host in hosts:
        host.member.adopt_view(view.copy_live())  # a copy, since a thousand merges take long
