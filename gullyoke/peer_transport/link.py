"""The datagrams of one member.

A socket, a thread with a small stack that hears, takes its turns and sends.

What comes is only used if it is whole, verifies, is new and of this fleet; all else is dropped and
counted. No lock but its own small one, under which nothing waits; a fault here ends no thread and
touches no req.
"""

from __future__ import annotations

import contextlib
import errno
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from gullyoke.membership import TICK, Member, Row
from gullyoke.membership.words import Letter, Send
from gullyoke.peer_transport import codec
from gullyoke.peer_transport.field_readers import MalformedDatagramError
from gullyoke.peer_transport.seal import ReplayWindow, Seal
from gullyoke.runtime import clock
from gullyoke.runtime.metrics import Metrics

BUFFER = 2**20  # bytes that the system keeps of what was not read yet
TELLS = getattr(
    socket, "IP_RECVERR", 11
)  # Linux: what other machines refuse is told on this socket
TOLD = getattr(socket, "MSG_ERRQUEUE", 0x2000)
BURST = 256  # datagrams heard in one turn, so that turns come in time
TRIES = 4  # to send one where others were refused meanwhile
KNOWN = 4096  # addresses that are kept in the system's form


class AddressedBody(NamedTuple):
    """The address of a peer, and the body of a message to it."""

    address: str
    body: bytes


class MessageHandler(Protocol):
    """One that sends letters of its own beside membership.

    Called under the link's lock, by its thread.
    """

    def tick(self, now: int) -> Iterable[AddressedBody]: ...

    def handle(self, now: int, sender: Row, body: bytes) -> Iterable[AddressedBody]:
        """Raises `MalformedDatagramError` for what is none of its letters."""


class PeerLink(threading.Thread):
    """Tables: `known`, addresses in the system's form, emptied when there are KNOWN.

    `topics`, by number, who else sends by this; `told`, what else `fleet status` says, and `asked`,
    what else can be asked there, by name.
    """

    def __init__(self, listen: tuple[str, int], seal: Seal, metrics: Metrics) -> None:
        """Raises `OSError` where it can't listen there."""
        super().__init__(name="peers", daemon=True)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(listen)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
        try:
            self.sock.setsockopt(socket.IPPROTO_IP, TELLS, 1)
        except OSError:  # silence alone must do then
            metrics.increment("peers.no_refusals")
        self.address = self.sock.getsockname()
        self.seal, self.metrics, self.counts = seal, metrics, ReplayWindow()
        self.member: Member | None = None
        self.signals = None  # what others told of how they stand, if wanted
        self.topics: dict[int, MessageHandler] = {}
        self.status_sections: dict[str, Callable[[int], object]] = {}
        self.commands: dict[str, Callable[[list[str]], dict]] = {}
        self.lock = threading.Lock()
        self.known: dict[str, tuple[str, int]] = {}
        self.due, self.ended = 0, threading.Event()

    def begin(self, member: Member) -> None:
        self.member = member
        self.start()

    def run(self) -> None:
        while not self.ended.is_set():
            try:
                self.turn()
            except Exception:  # an error of our own ends one turn, not the thread
                if self.ended.is_set():
                    return  # its socket was closed under it: that is its end
                self.metrics.record_internal_error("peers")
                time.sleep(0.05)

    def turn(self) -> None:
        """Hear what comes until the next turn is due, then take it."""
        now = clock.now()
        if now >= self.due:
            self.due = now + TICK
            self.act(lambda: self.tick(now))
        self.sock.settimeout(max(0.0005, (self.due - clock.now()) / 1e6))
        for _ in range(BURST):
            try:
                data = self.sock.recv(codec.LONGEST + 1)
            except TimeoutError:
                return
            except OSError as fault:
                if fault.errno in (errno.EBADF, errno.EINVAL):
                    return
                self.refusals()  # what an earlier datagram met comes up here
                return
            self.heard(data)
            if clock.now() >= self.due:
                return

    def heard(self, data: bytes) -> None:
        self.metrics.increment("peers.heard")
        opened = self.seal.open(data) if len(data) <= codec.LONGEST else None
        if opened is None:
            self.metrics.increment("peers.dropped.seal")
            return
        try:
            message = codec.unpack(opened[0])
        except MalformedDatagramError:
            self.metrics.increment("peers.dropped.malformed")
            return
        if not self.counts.fresh(message.row.life, opened[1]):
            self.metrics.increment("peers.dropped.old")
            return
        now = clock.now()
        if not isinstance(message, Letter):
            self.act(lambda: self.member.hear(now, message))
        elif message.topic in self.topics:
            self.act(lambda: self.letter(now, message))
        else:
            self.metrics.increment("peers.dropped.topic")

    def tick(self, now: int) -> list[Send]:
        self.member.tick(now)
        return [
            send
            for number, topic in self.topics.items()
            for send in self.posted(number, topic.tick(now))
        ]

    def letter(self, now: int, letter: Letter) -> list[Send]:
        try:
            return self.posted(
                letter.topic, self.topics[letter.topic].handle(now, letter.row, letter.body)
            )
        except MalformedDatagramError:
            self.metrics.increment("peers.dropped.malformed")
            return []

    def posted(self, topic: int, posts: Iterable[AddressedBody]) -> list[Send]:
        return [Send(address, Letter(self.member.row, topic, body)) for address, body in posts]

    def act(self, act: Callable[[], list[Send] | None]) -> None:
        """Let the decisions go on, and send what they want sent."""
        with self.lock:
            more = act() or []
            out = self.member.take() + more
        for send in out:
            self.send(send)

    def send(self, send: Send) -> None:
        data = self.seal.seal(codec.pack(send.message))
        if len(data) > codec.LONGEST:
            self.metrics.increment("peers.too_long")
            return
        # Guards against what an earlier datagram met, which comes up at this one's sending: taken
        # note of, and

        # this one is sent again. Without that whoever is named after one that is gone would hear
        # nothing.
        for _ in range(TRIES):
            try:
                self.sock.sendto(data, self.system(send.address))
                self.metrics.increment("peers.sent")
                return
            except OSError as fault:
                if fault.errno != errno.ECONNREFUSED:
                    break
                self.refusals()
        self.metrics.increment("peers.unsent")

    def system(self, address: str) -> tuple[str, int]:
        found = self.known.get(address)
        if found is None:
            host, _, port = address.rpartition(":")
            if len(self.known) >= KNOWN:
                self.known.clear()
            found = self.known[address] = (
                host,
                int(port) if port.isdigit() and int(port) < 65536 else 0,
            )
        return found

    def refusals(self) -> None:
        """What machines said of datagrams sent: that nobody listens there."""
        while True:
            try:
                _, extra, _, address = self.sock.recvmsg(64, 512, TOLD | socket.MSG_DONTWAIT)
            except OSError:
                return
            for level, kind, data in extra:
                if (
                    level == socket.IPPROTO_IP
                    and kind == TELLS
                    and len(data) >= 4
                    and struct.unpack("I", data[:4])[0] == errno.ECONNREFUSED
                ):
                    self.metrics.increment("peers.refused")
                    self.refused("{}:{}".format(*address[:2]))

    def refused(self, address: str) -> None:
        now = clock.now()

        def act() -> None:
            for row in list(self.member.view.rows.values()):
                if row.address == address and row.id != self.member.id:
                    self.member.refused(now, row.id)

        self.act(act)

    def end(self) -> None:
        self.ended.set()
        with contextlib.suppress(OSError):
            self.sock.close()
