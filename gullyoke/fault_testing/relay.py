"""The links between members.

A socket of the rig's own at each member's advertised address, through which all that is sent to it
must come; by who sent it, the pair is known and its faults apply.
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

LONGEST = 2048


class Relay(threading.Thread):
    """Tables: `queue`, datagrams on their way.

    `sockets`, one a member, none while its process is killed, so that its machine's refusals are
    real.
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
        """Its address listens, the same one each time."""
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
        """Nobody listens at its address: who sends there is refused."""
        with self.lock:
            sock = self.sockets.pop(name, None)
            if sock is not None:
                self.selector.unregister(sock)
                sock.close()

    def run(self) -> None:
        while not self.ended:
            wait = 0.02
            with self.lock:
                if self.queue:
                    wait = max(0.0, min(wait, self.queue[0][0] - time.monotonic()))
            for key, _ in self.selector.select(wait):
                with contextlib.suppress(OSError):
                    while True:
                        data, source = key.fileobj.recvfrom(LONGEST)
                        self.take(data, source, key.data)
            self.deliver()

    def take(self, data: bytes, source: tuple[str, int], to: str) -> None:
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
        now = time.monotonic()
        while self.queue and self.queue[0][0] <= now:
            _, _, data, to = heapq.heappop(self.queue)
            with contextlib.suppress(OSError):
                self.out.sendto(data, self.real[to])

    def end(self) -> None:
        self.ended = True
        self.join(1)
        for name in list(self.sockets):
            self.close(name)
        self.out.close()
