"""The datagrams of one member: its UDP socket and the thread that receives, ticks and sends.

A datagram is used only if it is whole, verifies, is new and of this fleet; all others are dropped
and counted. The thread takes no lock but its own, under which nothing waits. An error of the
program ends one turn of the thread, never the thread, and touches no request.
"""

from __future__ import annotations

import contextlib
import errno
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, Final, NamedTuple, Protocol

from gullyoke.membership import TICK_US, Member, MemberRecord
from gullyoke.membership.messages import OutgoingMessage, TopicMessage
from gullyoke.peer_transport import codec
from gullyoke.peer_transport.field_readers import MalformedDatagramError
from gullyoke.peer_transport.seal import ReplayWindow, Seal
from gullyoke.runtime import clock
from gullyoke.runtime.metrics import Metrics

if TYPE_CHECKING:  # loaded only where signals are wanted
    from gullyoke.coordination.signals import ReceivedReports

RECEIVE_BUFFER_BYTES: Final = 2**20
IP_RECVERR: Final = getattr(socket, "IP_RECVERR", 11)  # Linux: ICMP errors come to the error queue
MSG_ERRQUEUE: Final = getattr(socket, "MSG_ERRQUEUE", 0x2000)
MAX_BURST: Final = 256  # datagrams received in one turn, so that ticks come in time
SEND_ATTEMPTS: Final = 4  # for one datagram, where errors of earlier ones come up meanwhile
MAX_ADDRESSES: Final = 4096  # addresses that are kept as the system needs them
SHORTEST_WAIT_S: Final = 0.0005
ERROR_PAUSE_S: Final = 0.05  # after an error of the program


class AddressedBody(NamedTuple):
    """The address of a peer, and the body of a message to it."""

    address: str
    body: bytes


class MessageHandler(Protocol):
    """One that sends messages of its own by the link, under the number of a topic.

    Called by the link's thread, under its lock.
    """

    def tick(self, now: int) -> Iterable[AddressedBody]:
        """Return what is to be sent now."""

    def handle(self, now: int, sender: MemberRecord, body: bytes) -> Iterable[AddressedBody]:
        """Take a message; return what is to be sent because of it.

        Raises:
            MalformedDatagramError: For a body that is none of its messages.
        """


class PeerLink(threading.Thread):
    """The socket of one member, and the thread that serves it.

    Attributes:
        member: The member's decisions on membership; set by `begin`.
        lock: Guards the member and the tables of handlers.
        signals: The load that other members report, where it is wanted; set by the owner.
        topics: Handlers of messages beside membership, by the number of their topic.
        status_sections: What else the operator's `status` answers, by key.
        commands: What else an operator can ask, by name; called with the words that follow it.
        address: The host and port that it listens on.
    """

    member: Member

    def __init__(self, listen: tuple[str, int], seal: Seal, metrics: Metrics) -> None:
        """Bind the socket.

        Args:
            listen: Host and port; port 0 for any that is free.
            seal: Seals and opens the datagrams.
            metrics: Counts datagrams.

        Raises:
            OSError: Where it can't listen there.
        """
        super().__init__(name="peers", daemon=True)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(listen)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        try:
            self.sock.setsockopt(socket.IPPROTO_IP, IP_RECVERR, 1)
        except OSError:  # a closed port is then found out by its silence alone
            metrics.increment("peers.no_refusals")
        self.address = self.sock.getsockname()
        self.seal = seal
        self.metrics = metrics
        self.lock = threading.Lock()
        self.signals: ReceivedReports | None = None
        self.topics: dict[int, MessageHandler] = {}
        self.status_sections: dict[str, Callable[[int], object]] = {}
        self.commands: dict[str, Callable[[list[str]], dict[str, Any]]] = {}
        self._replay_window = ReplayWindow()
        self._system_addresses: dict[str, tuple[str, int]] = {}
        self._next_tick_us = 0
        self._ended = threading.Event()

    def begin(self, member: Member) -> None:
        """Start the thread."""
        self.member = member
        self.start()

    def end(self) -> None:
        """Close the socket, which ends the thread."""
        self._ended.set()
        with contextlib.suppress(OSError):
            self.sock.close()

    def act(self, action: Callable[[], list[OutgoingMessage] | None]) -> None:
        """Call an action under the lock, and send what it and the member want sent."""
        with self.lock:
            more = action() or []
            out = self.member.take_outgoing() + more
        for send in out:
            self.send(send)

    def posted(self, topic: int, bodies: Iterable[AddressedBody]) -> list[OutgoingMessage]:
        """Return the datagrams of a handler's messages."""
        return [
            OutgoingMessage(address, TopicMessage(self.member.record, topic, body))
            for address, body in bodies
        ]

    # The thread.

    def run(self) -> None:
        """Take turns until the end."""
        while not self._ended.is_set():
            try:
                self._take_turn()
            except Exception:
                if self._ended.is_set():
                    return  # the socket was closed under it
                self.metrics.record_internal_error("peers")
                time.sleep(ERROR_PAUSE_S)

    def _take_turn(self) -> None:
        """Tick if that is due, and receive until the next tick is."""
        now = clock.now()
        if now >= self._next_tick_us:
            self._next_tick_us = now + TICK_US
            self.act(lambda: self._tick(now))
        wait_s = (self._next_tick_us - clock.now()) / 1e6
        self.sock.settimeout(max(SHORTEST_WAIT_S, wait_s))
        for _ in range(MAX_BURST):
            try:
                data = self.sock.recv(codec.MAX_DATAGRAM_BYTES + 1)
            except TimeoutError:
                return
            except OSError as error:
                if error.errno not in (errno.EBADF, errno.EINVAL):
                    self._read_errors()  # an earlier datagram's error comes up here
                return
            self._receive(data)
            if clock.now() >= self._next_tick_us:
                return

    def _tick(self, now: int) -> list[OutgoingMessage]:
        self.member.tick(now)
        return [
            send
            for topic, handler in self.topics.items()
            for send in self.posted(topic, handler.tick(now))
        ]

    def _receive(self, data: bytes) -> None:
        self.metrics.increment("peers.heard")
        opened = self.seal.open(data) if len(data) <= codec.MAX_DATAGRAM_BYTES else None
        if opened is None:
            self.metrics.increment("peers.dropped.seal")
            return
        try:
            message = codec.unpack(opened.data)
        except MalformedDatagramError:
            self.metrics.increment("peers.dropped.malformed")
            return
        if not self._replay_window.admits(message.sender.incarnation, opened.sender_count):
            self.metrics.increment("peers.dropped.old")
            return
        now = clock.now()
        if not isinstance(message, TopicMessage):
            self.act(lambda: self.member.receive(now, message))
        elif message.topic in self.topics:
            self.act(lambda: self._handle(now, message))
        else:
            self.metrics.increment("peers.dropped.topic")

    def _handle(self, now: int, letter: TopicMessage) -> list[OutgoingMessage]:
        """Hand a message to the handler of its topic."""
        handler = self.topics[letter.topic]
        try:
            return self.posted(letter.topic, handler.handle(now, letter.sender, letter.body))
        except MalformedDatagramError:
            self.metrics.increment("peers.dropped.malformed")
            return []

    # Sending.

    def send(self, send: OutgoingMessage) -> None:
        """Send one datagram; one that can't be sent is counted and dropped."""
        data = self.seal.seal(codec.pack(send.message))
        if len(data) > codec.MAX_DATAGRAM_BYTES:
            self.metrics.increment("peers.too_long")
            return
        # An error of an earlier datagram may come up at the sending of this one. It is read and
        # this one sent again; otherwise each datagram after one to a closed port would be lost.
        for _ in range(SEND_ATTEMPTS):
            try:
                self.sock.sendto(data, self._system_address(send.address))
                self.metrics.increment("peers.sent")
                return
            except OSError as error:
                if error.errno != errno.ECONNREFUSED:
                    break
                self._read_errors()
        self.metrics.increment("peers.unsent")

    def _system_address(self, address: str) -> tuple[str, int]:
        """Return host and port of an address; port 0, which fails, for one that has none."""
        found = self._system_addresses.get(address)
        if found is None:
            host, _, port = address.rpartition(":")
            number = int(port) if port.isdigit() and int(port) < 65536 else 0
            if len(self._system_addresses) >= MAX_ADDRESSES:
                self._system_addresses.clear()
            found = self._system_addresses[address] = (host, number)
        return found

    def _read_errors(self) -> None:
        """Read the socket's error queue: which datagrams met a closed port."""
        while True:
            try:
                _, extra, _, address = self.sock.recvmsg(
                    64, 512, MSG_ERRQUEUE | socket.MSG_DONTWAIT
                )
            except OSError:
                return
            for level, kind, data in extra:
                if level != socket.IPPROTO_IP or kind != IP_RECVERR or len(data) < 4:
                    continue
                if struct.unpack("I", data[:4])[0] == errno.ECONNREFUSED:
                    self.metrics.increment("peers.refused")
                    self._note_closed_port("{}:{}".format(*address[:2]))

    def _note_closed_port(self, address: str) -> None:
        """Tell the member that nobody listens at an address."""
        now = clock.now()

        def note() -> None:
            for row in list(self.member.view.records.values()):
                if row.address == address and row.id != self.member.id:
                    self.member.connection_refused(now, row.id)

        self.act(note)
