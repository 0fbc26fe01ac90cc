"""The links between members.

The relay listens at each member's advertised address and forwards what it receives to the member's
real address. The source address of a datagram names the sender, so the faults of the pair apply.
"""

from __future__ import annotations

import contextlib
import heapq
import itertools
import selectors
import socket
import threading
import time

from gullyoke.experiments.ports import free
from gullyoke.fault_testing.faults import Faults

MAX_DATAGRAM_BYTES = 2048


class Relay(threading.Thread):
    """Forwards datagrams between members, with faults.

    `queue` has the datagrams in flight. `sockets` has one socket per member, except while its
    process is killed: the operating system then refuses datagrams to that address.
    """

    def __init__(self, real: dict[str, tuple[str, int]], faults: Faults) -> None:
        super().__init__(name="relay", daemon=True)
        self.real, self.faults = real, faults
        self.by_address = {at: name for name, at in real.items()}
        self.selector, self.lock = selectors.DefaultSelector(), threading.Lock()
        self.sockets: dict[str, socket.socket] = {}
        self.advertised: dict[str, tuple[str, int]] = {}
        self.queue: list = []
        self.count, self.sent, self.lost = itertools.count(), 0, 0
        self.down: set[str] = set()
        self.out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.ended = False
        for name in real:
            self.open(name)

    def open(self, name: str) -> None:
        """Listen at a member's advertised address, which stays the same over restarts."""
        with self.lock:
            if name in self.sockets:
                return
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            if name not in self.advertised:
                self.advertised[name] = free()
            sock.bind(self.advertised[name])
            sock.setblocking(False)
            self.sockets[name] = sock
            self.selector.register(sock, selectors.EVENT_READ, name)

    def close(self, name: str) -> None:
        """Stop listening at a member's address, so that datagrams to it are refused."""
        with self.lock:
            sock = self.sockets.pop(name, None)
            if sock is not None:
                self.selector.unregister(sock)
                sock.close()

    def run(self) -> None:
        """Receive and forward datagrams until the end."""
        while not self.ended:
            wait = 0.02
            with self.lock:
                if self.queue:
                    wait = max(0.0, min(wait, self.queue[0][0] - time.monotonic()))
            for key, _ in self.selector.select(wait):
                with contextlib.suppress(OSError):
                    while True:
                        data, source = key.fileobj.recvfrom(MAX_DATAGRAM_BYTES)
                        self.take(data, source, key.data)
            self.deliver()

    def take(self, data: bytes, source: tuple[str, int], to: str) -> None:
        """Queue the copies of a received datagram, or drop it, as the faults say."""
        from_ = self.by_address.get(source, "?")
        arrivals = self.faults.fate(from_, to)
        self.sent += 1
        if not arrivals or to in self.down or from_ in self.down:
            self.lost += 1
            return
        now = time.monotonic()
        for after in arrivals:
            heapq.heappush(self.queue, (now + after, next(self.count), data, to))

    def deliver(self) -> None:
        """Send the queued datagrams whose delay has passed."""
        now = time.monotonic()
        while self.queue and self.queue[0][0] <= now:
            _, _, data, to = heapq.heappop(self.queue)
            with contextlib.suppress(OSError):
                self.out.sendto(data, self.real[to])

    def end(self) -> None:
        """Stop the thread and close all sockets."""
        self.ended = True
        self.join(1)
        for name in list(self.sockets):
            self.close(name)
        self.out.close()
