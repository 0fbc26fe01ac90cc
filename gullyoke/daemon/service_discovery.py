"""Reports to the name service, which tells the gateways which servers are there.

Nothing else depends on it: while it can't be reached, requests are served as before.
"""

from __future__ import annotations

import random
import socket
import threading
import time
from collections.abc import Callable
from logging import DEBUG, WARNING
from typing import Final

from gullyoke.codec import http
from gullyoke.codec.buffer import Buffer
from gullyoke.runtime import clock
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError, serve_connection
from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.messages import BadRequestError
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.sockets import DeadlineSocket, open_connection

REPORT_INTERVAL_S: Final = 0.8  # the name service drops a server that is silent for 3 seconds
REPORT_TIMEOUT_S: Final = 0.5
FIRST_BACKOFF_S: Final = 0.1  # after a failed report; each further failure doubles it
MAX_BACKOFF_S: Final = 0.8
#: Each wait is this share of itself at the least, so that servers do not report in step.
MIN_JITTER: Final = 0.8
ACCEPTED_STATUS: Final = "204"


class ServiceDiscoveryReporter(threading.Thread):
    """The thread that reports whether this server accepts requests.

    It owns the connection to the name service.
    """

    def __init__(
        self,
        address: tuple[str, int],
        name: str,
        healthy: Callable[[], bool],
        jitter: random.Random,
        metrics: Metrics,
    ) -> None:
        """Create the thread.

        Args:
            address: the name service's.
            name: this server's, under which it is registered.
            healthy: whether this server accepts requests now.
            jitter: draws the waits.
            metrics: counts the reports and their failures.
        """
        super().__init__(name="naming", daemon=True)
        self.address = address
        self.path = f"/ns/hosts/{name}"
        self.healthy = healthy
        self.jitter = jitter
        self.metrics = metrics
        self.connection: socket.socket | None = None
        self.connected_address = address

    def update_address(self, address: tuple[str, int]) -> None:
        """Use another address from the next report on."""
        self.address = address

    def run(self) -> None:
        """Report again and again, with a backoff after failures."""
        backoff_s = FIRST_BACKOFF_S
        last_failure: CloseReason | None = None
        while True:
            result, why = serve_connection(
                self.report, lambda: self.metrics.record_internal_error("naming")
            )
            if result is CloseReason.DECLARED:
                last_failure = None
                wait_s = REPORT_INTERVAL_S
                backoff_s = FIRST_BACKOFF_S
            else:
                self._note_failure(result, why, repeated=result is last_failure)
                last_failure = result
                wait_s = backoff_s
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
            time.sleep(wait_s * self.jitter.uniform(MIN_JITTER, 1.0))

    def report(self) -> CloseReason:
        """Send one report and read its answer.

        Returns:
            `DECLARED` where the name service has accepted it.

        Raises:
            ConnectionClosedError: the connection broke, or the answer came late or is invalid.
            OSError: no connection can be made.
        """
        connection = self._connect()
        # Guards against an answer that comes byte by byte: the timeout is for the whole of it.
        link = DeadlineSocket(connection, clock.now() + int(REPORT_TIMEOUT_S * 1e6))
        buffer = Buffer(link, http.BUFFER)
        link.send(self._request())
        try:
            answer = http.read(buffer)
        except BadRequestError as error:
            raise ConnectionClosedError(CloseReason.GARBLED, str(error)) from None
        if answer is None:
            raise ConnectionClosedError(CloseReason.CLOSED)
        status = answer.start_line[1]
        if status != ACCEPTED_STATUS:
            raise ConnectionClosedError(CloseReason.GARBLED, f"answered {status[:20]}")
        self.metrics.increment("service_discovery.reports")
        # With more than one answer, the next is out of step.
        if answer.wants_close() or len(buffer):
            self.close()
        return CloseReason.DECLARED

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _connect(self) -> socket.socket:
        """Return the open connection, or a new one where there is none to the address in force."""
        if self.connection is None or self.connected_address != self.address:
            self.close()
            self.connected_address = self.address
            self.connection = open_connection(self.connected_address, REPORT_TIMEOUT_S)
        return self.connection

    def _request(self) -> bytes:
        body = b'{"serving":"yes"}' if self.healthy() else b'{"serving":"no"}'
        head = f"PUT {self.path} HTTP/1.1\r\nHost: naming\r\nContent-Length: {len(body)}\r\n\r\n"
        return head.encode("latin-1") + body

    def _note_failure(self, reason: CloseReason, why: str, repeated: bool) -> None:
        """Count a failed report, and log it; at the debug level where the last failed alike."""
        self.close()
        self.metrics.increment(f"ends.service_discovery.{reason.value}")
        log.log(
            DEBUG if repeated else WARNING,
            "report to the service registry failed",
            extra=log_fields(end=reason.value, why=why),
        )
