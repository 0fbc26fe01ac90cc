"""The UDP socket of one member, and the thread that receives, ticks and sends.

A datagram is used only if it is complete, verifies, is new and belongs to this fleet; all others
are dropped and counted. The thread takes only the link's lock, and no code blocks while it holds
that lock. A program error ends one iteration of the thread's loop, never the thread, and affects no
request.
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

if TYPE_CHECKING:  # loaded at run time only if signals are enabled
    from gullyoke.coordination.signals import ReceivedReports

RECEIVE_BUFFER_BYTES: Final = 2**20
IP_RECVERR: Final = getattr(socket, "IP_RECVERR", 11)  # Linux: ICMP errors go to the error queue
MSG_ERRQUEUE: Final = getattr(socket, "MSG_ERRQUEUE", 0x2000)
MAX_BURST: Final = 256  # datagrams received in one iteration, so that ticks are not late
SEND_ATTEMPTS: Final = 4  # to send a datagram, as errors of earlier ones may be reported
MAX_ADDRESSES: Final = 4096  # cached socket addresses
SHORTEST_WAIT_S: Final = 0.0005
ERROR_PAUSE_S: Final = 0.05  # after a program error


class AddressedBody(NamedTuple):
    """A peer's address, and the body of a message to it."""

    address: str
    body: bytes


class MessageHandler(Protocol):
    """A service that sends and receives messages over the link, under a topic's number.

    The link calls it from its thread, under the link's lock.
    """

    def tick(self, now: int) -> Iterable[AddressedBody]:
        """Return the messages to send now."""

    def handle(self, now: int, sender: MemberRecord, body: bytes) -> Iterable[AddressedBody]:
        """Handle a message; return the messages to send in response.

        Raises:
            MalformedDatagramError: For a body that is not one of the service's messages.
        """


class PeerLink(threading.Thread):
    """The socket of one member, and the thread that serves it.

    Attributes:
        member: The member's membership state machine; set by `begin`.
        lock: Guards the member and the calls of handlers.
        signals: The load reports of other members, if enabled; set by the owner.
        topics: The handlers of messages other than membership's, by topic number.
        status_sections: Functions that return additional sections of the status answer, by key.
        commands: Additional commands for operators, by name; called with the command's arguments.
        address: The host and port on which the link listens.
    """

    member: Member

    def __init__(self, listen: tuple[str, int], seal: Seal, metrics: Metrics) -> None:
        """Bind the socket.

        Args:
            listen: Host and port; port 0 selects a free port.
            seal: Seals and opens the datagrams.
            metrics: Counts datagrams.

        Raises:
            OSError: If the socket cannot be bound.
        """
        super().__init__(name="peers", daemon=True)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(listen)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        try:
            self.sock.setsockopt(socket.IPPROTO_IP, IP_RECVERR, 1)
        except OSError:  # closed ports are then detected only by missing answers
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

    def run_locked(self, action: Callable[[], list[OutgoingMessage] | None]) -> None:
        """Call an action under the lock; send the messages that it and the member return."""
        with self.lock:
            more = action() or []
            out = self.member.take_outgoing() + more
        for send in out:
            self.send(send)

    def outgoing_messages(
        self, topic: int, bodies: Iterable[AddressedBody]
    ) -> list[OutgoingMessage]:
        """Return a handler's messages as datagrams to send."""
        return [
            OutgoingMessage(address, TopicMessage(self.member.record, topic, body))
            for address, body in bodies
        ]

    # The thread.

    def run(self) -> None:
        """Run iterations of the loop until `end`."""
        while not self._ended.is_set():
            try:
                self._run_once()
            except Exception:
                if self._ended.is_set():
                    return  # `end` closed the socket during the iteration
                self.metrics.record_internal_error("peers")
                time.sleep(ERROR_PAUSE_S)

    def _run_once(self) -> None:
        """Tick if a tick is due, and receive datagrams until the next tick."""
        now = clock.now()
        if now >= self._next_tick_us:
            self._next_tick_us = now + TICK_US
            self.run_locked(lambda: self._tick(now))
        wait_s = (self._next_tick_us - clock.now()) / 1e6
        self.sock.settimeout(max(SHORTEST_WAIT_S, wait_s))
        for _ in range(MAX_BURST):
            try:
                data = self.sock.recv(codec.MAX_DATAGRAM_BYTES + 1)
            except TimeoutError:
                return
            except OSError as error:
                if error.errno not in (errno.EBADF, errno.EINVAL):
                    self._read_errors()  # the error of a datagram sent earlier
                return
            self._receive(data)
            if clock.now() >= self._next_tick_us:
                return

    def _tick(self, now: int) -> list[OutgoingMessage]:
        self.member.tick(now)
        return [
            send
            for topic, handler in self.topics.items()
            for send in self.outgoing_messages(topic, handler.tick(now))
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
        if not self._replay_window.record_if_new(message.sender.incarnation, opened.sender_count):
            self.metrics.increment("peers.dropped.old")
            return
        now = clock.now()
        if not isinstance(message, TopicMessage):
            self.run_locked(lambda: self.member.receive(now, message))
        elif message.topic in self.topics:
            self.run_locked(lambda: self._handle(now, message))
        else:
            self.metrics.increment("peers.dropped.topic")

    def _handle(self, now: int, message: TopicMessage) -> list[OutgoingMessage]:
        """Pass a message to its topic's handler."""
        handler = self.topics[message.topic]
        try:
            return self.outgoing_messages(
                message.topic, handler.handle(now, message.sender, message.body)
            )
        except MalformedDatagramError:
            self.metrics.increment("peers.dropped.malformed")
            return []

    # Sending.

    def send(self, send: OutgoingMessage) -> None:
        """Send one datagram; if that fails, count and drop it."""
        data = self.seal.seal(codec.pack(send.message))
        if len(data) > codec.MAX_DATAGRAM_BYTES:
            self.metrics.increment("peers.too_long")
            return
        # `sendto` may report the error of an earlier datagram. In that case the error queue is read
        # and this datagram is sent again; without that, each datagram that follows one to a closed
        # port would be lost.
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
        """Return an address's host and port; without a valid port, 0, to which sending fails."""
        found = self._system_addresses.get(address)
        if found is None:
            host, _, port = address.rpartition(":")
            number = int(port) if port.isdigit() and int(port) < 65536 else 0
            if len(self._system_addresses) >= MAX_ADDRESSES:
                self._system_addresses.clear()
            found = self._system_addresses[address] = (host, number)
        return found

    def _read_errors(self) -> None:
        """Read the socket's error queue, and report the closed ports in it to the member."""
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
                    self._report_closed_port("{}:{}".format(*address[:2]))

    def _report_closed_port(self, address: str) -> None:
        """Report a closed port to the member, for each other member with that address."""
        now = clock.now()

        def report() -> None:
            for record in list(self.member.view.records.values()):
                if record.address == address and record.id != self.member.id:
                    self.member.connection_refused(now, record.id)

        self.run_locked(report)
