"""Reports to the name service, so that gateways learn of this server.

Its absence touches nothing else.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from logging import DEBUG, WARNING

from gullyoke.codec import http
from gullyoke.codec.buffer import Buffer
from gullyoke.runtime import clock
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError, served
from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.messages import BadRequestError
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.sockets import Until, connected

EVERY, LIMIT = 0.8, 0.5  # seconds between reports, and for each; an entry lapses after 3
PAUSES = (0.1, 0.8)  # before the next try after a failure: the first, and the longest


class Naming(threading.Thread):
    def __init__(
        self,
        address: tuple[str, int],
        name: str,
        good: Callable[[], bool],
        chance: random.Random,
        metrics: Metrics,
    ) -> None:
        super().__init__(name="naming", daemon=True)
        self.address, self.path, self.good, self.metrics = (
            address,
            f"/ns/hosts/{name}",
            good,
            metrics,
        )
        self.chance, self.sock, self.at = chance.uniform, None, address

    def update_address(self, address: tuple[str, int]) -> None:
        """Its address is another from the next report on."""
        self.address = address

    def run(self) -> None:
        pause, last = PAUSES[0], None
        while True:
            end, why = served(self.report, lambda: self.metrics.record_internal_error("naming"))
            if end is not CloseReason.DECLARED:
                self.close()
                self.metrics.increment(f"ends.naming.{end.value}")
                log.log(
                    DEBUG if end is last else WARNING,
                    "report to the name service failed",
                    extra=log_fields(end=end.value, why=why),
                )
            last = end
            wait = EVERY if end is CloseReason.DECLARED else pause
            pause = PAUSES[0] if end is CloseReason.DECLARED else min(2 * pause, PAUSES[1])
            time.sleep(wait * self.chance(0.8, 1.0))

    def report(self) -> CloseReason:
        """One report; DECLARED when it was taken, whether the connection stays open or not."""
        if self.sock is None or self.at != self.address:
            self.close()
            self.at = self.address
            self.sock = connected(self.at, LIMIT)
        # Guards against an answer that comes byte by byte: one that is too late is none.
        until = Until(self.sock, clock.now() + int(LIMIT * 1e6))
        buffer = Buffer(until, http.BUFFER)
        body = b'{"serving":"yes"}' if self.good() else b'{"serving":"no"}'
        head = f"PUT {self.path} HTTP/1.1\r\nHost: naming\r\nContent-Length: {len(body)}\r\n\r\n"
        until.send(head.encode("latin-1") + body)
        try:
            said = http.read(buffer)
        except BadRequestError as fault:
            raise ConnectionClosedError(CloseReason.GARBLED, str(fault)) from None
        if said is None:
            raise ConnectionClosedError(CloseReason.CLOSED)
        if said.first[1] != "204":
            raise ConnectionClosedError(CloseReason.GARBLED, f"answered {said.first[1][:20]}")
        self.metrics.increment("naming.reports")
        if said.closes() or len(buffer):  # more than one answer: out of step
            self.close()
        return CloseReason.DECLARED

    def close(self) -> None:
        if self.sock is not None:
            self.sock.close()
            self.sock = None
