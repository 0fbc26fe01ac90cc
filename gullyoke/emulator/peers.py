"""Members without sockets.

The decisions of gullyoke/membership in the model's clock, and a network between them that loses,
delays, doubles and cuts. All figures from here are simulated.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from gullyoke.membership import TICK, Change, Member, MemberRecord, Status, start_version
from gullyoke.membership.gossip_queue import wire_size
from gullyoke.membership.member_record import member_id
from gullyoke.membership.messages import Message
from gullyoke.membership.view import View

SECOND = 1_000_000
HEAD = 130  # bytes of a datagram beside its news, about


class Seen(NamedTuple):
    """A change in the view of one member."""

    at: int
    by: str
    change: Change


class Host:
    """One process: its member, and whether it runs. `inbox` is what came while it was paused."""

    def __init__(self, name: str, zone: str, address: str) -> None:
        self.name, self.zone, self.address = name, zone, address
        self.member: Member | None = None
        self.up, self.refuses, self.starts, self.paused = False, False, 0, 0
        self.inbox: list[Message] = []
        self.sent = self.bytes = 0


# How likely a datagram from one host to another is lost now, beside the loss everywhere.
Cut = Callable[[int, Host, Host], float]


class Network:
    """`loss`, `doubled`: shares of all datagrams; `delay`: from least to most, in microseconds.

    `weighed` counts bytes, which takes time.
    """

    def __init__(
        self,
        seed: int,
        loss: float = 0.0,
        delay: tuple[int, int] = (200, 2_000),
        doubled: float = 0.0,
        weighed: bool = False,
        make: Callable[..., Member] = Member,
    ) -> None:
        self.chance = random.Random(seed)
        self.loss, self.delay, self.doubled, self.weighed, self.make = (
            loss,
            delay,
            doubled,
            weighed,
            make,
        )
        self.now, self.count, self.cut = 0, itertools.count(), None
        self.queue: list = []
        self.hosts: dict[str, Host] = {}
        self.at: dict[str, Host] = {}
        self.seen: list[Seen] = []
        self.clock = 1_800_000_000  # the wall's seconds when the model starts

    # What happens to hosts.

    def start(
        self,
        name: str,
        seeds: Iterable[str] = (),
        zone: str = "z",
        kept: int = 0,
        behind: int = 0,
        address: str | None = None,
        host: str | None = None,
    ) -> Host:
        """A process starts under a name, `behind` seconds on a clock that went back.

        `host` tells two processes of one name apart.
        """
        key = host or name
        at = self.hosts.get(key) or Host(name, zone, address or key)
        self.hosts[key] = self.at[at.address] = at
        at.starts += 1
        number = start_version(self.clock + self.now // SECOND - behind, kept)
        row = MemberRecord(
            name, number, Status.JOINING, at.address, zone, self.chance.getrandbits(60)
        )
        at.member = self.make(
            self.now, row, tuple(seeds), random.Random(self.chance.getrandbits(60))
        )
        at.up, at.paused, at.inbox = True, 0, []
        if hasattr(at.member, "listeners"):
            at.member.listeners.append(
                lambda change, key=key: self.seen.append(Seen(self.now, key, change))
            )
        self.after(self.chance.randrange(TICK), self._tick, at, at.starts)
        return at

    def kill(self, name: str, refuses: bool = True) -> None:
        """The process ends; `refuses`: its machine goes on and says that nobody is there."""
        host = self.hosts[name]
        host.up, host.refuses = False, refuses

    def pause(self, name: str, span: int) -> None:
        self.hosts[name].paused = self.now + span

    def leave(self, name: str, span: int = 500_000) -> None:
        """An orderly end: leaving, then left, then gone."""
        host, starts = self.hosts[name], self.hosts[name].starts
        host.member.leave(self.now)
        self._out(host)

        def last() -> None:
            if host.up and host.starts == starts:
                for _ in range(2):
                    host.member.announce_left(self.now)
                    self._out(host)
                self.kill(host.name)

        self.after(span, last)

    # The model's clock.

    def after(self, span: int, act: Callable, *given: object) -> None:
        heapq.heappush(self.queue, (self.now + span, next(self.count), act, given))

    def run(self, until: int, done: Callable[[], bool] | None = None, every: int = 100_000) -> bool:
        """Play until then, or until `done` is found true."""
        queue, look = self.queue, self.now
        while queue and queue[0][0] <= until:
            self.now, _, act, given = heapq.heappop(queue)
            act(*given)
            if done is not None and self.now >= look:
                look = self.now + every
                if done():
                    return True
        self.now = until
        return done is not None and done()

    def _tick(self, host: Host, starts: int) -> None:
        if not host.up or host.starts != starts:
            return
        if host.paused > self.now:  # it stands still, and wakes with all that came meanwhile
            self.after(host.paused - self.now, self._tick, host, starts)
            return
        inbox, host.inbox = host.inbox, []
        host.member.tick(self.now)
        for message in inbox:
            host.member.receive(self.now, message)
        self._out(host)
        self.after(TICK, self._tick, host, starts)

    def _out(self, host: Host) -> None:
        for address, message, to in host.member.take_outgoing():
            host.sent += 1
            if self.weighed:
                host.bytes += HEAD + weight(message)
            there = self.at.get(address)
            if there is None or self._lost(host, there):
                continue
            copies = 2 if self.doubled and self.chance.random() < self.doubled else 1
            for _ in range(copies):
                self.after(self.chance.randint(*self.delay), self._come, host, there, message, to)

    def _lost(self, a: Host, b: Host) -> bool:
        if self.loss and self.chance.random() < self.loss:
            return True
        share = self.cut(self.now, a, b) if self.cut is not None else 0.0
        return share > 0 and self.chance.random() < share

    def _come(self, a: Host, b: Host, message: Message, to: int) -> None:
        if not b.up:
            if b.refuses and to and not self._lost(b, a):
                self.after(self.chance.randint(*self.delay), self._refused, a, to)
        elif b.paused > self.now:
            b.inbox.append(message)
        else:
            b.member.receive(self.now, message)
            self._out(b)

    def _refused(self, host: Host, member: int) -> None:
        if host.up and host.paused <= self.now:
            host.member.connection_refused(self.now, member)

    # What is asked of the whole.

    def up(self) -> list[Host]:
        return [h for h in self.hosts.values() if h.up]

    def equal(self) -> bool:
        """Whether all who are up hold one view, of all of them and nobody else."""
        up = self.up()
        return (
            len({h.member.view.digest for h in up}) == 1
            and all(h.member.join_state.has_joined() for h in up)
            and len(up[0].member.view) == len({h.name for h in up})
        )

    def removed(self, name: str, since: int = 0) -> list[Seen]:
        """Who saw a member removed, and when."""
        member = member_id(name)
        return [
            s
            for s in self.seen
            if s.at >= since and s.change.kind == "removed" and s.change.record.id == member
        ]


def weight(message: Message) -> int:
    """Bytes of what a message carries, about."""
    carried = getattr(message, "updates", ()) or getattr(message, "records", ())
    return sum(map(wire_size, carried)) + 6 * len(getattr(message, "buckets", ()))


def fleet(
    size: int, seed: int, zones: int = 3, settle: int = 6 * SECOND, joined: bool = False, **network
) -> Network:
    """A fleet that has come together.

    `joined`: its members are started knowing each other, which saves the time that joining takes in
    the model.
    """
    net = Network(seed, **network)
    seeds = [f"m{i}" for i in range(min(3, size))]
    hosts = [net.start(f"m{i}", seeds, f"z{i % zones}") for i in range(size)]
    if joined:
        acquaint(net, hosts)
    else:
        net.run(30 * SECOND, net.equal)
        settle += net.now
    net.run(settle)
    net.seen.clear()
    for host in hosts:
        host.sent = host.bytes = 0
    return net


def acquaint(net: Network, hosts: list[Host]) -> None:
    """All of them are in, and know all."""
    if not isinstance(hosts[0].member, Member):  # a detector to weigh ours against
        for host in hosts:
            host.member.acquaint([other.member.record for other in hosts], net.now)
        return
    view = View(hosts[0].member.view.rings.ring_count)
    for host in hosts:
        view.merge(net.now, host.member.join_state.join(net.now))
    for host in hosts:
        host.member.adopt_view(view.copy_live())  # copied, as a thousand merges take long
