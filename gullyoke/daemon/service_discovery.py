"""Reports to the service registry, from which the gateways learn which servers exist.

Nothing else depends on the registry: while it can't be reached, requests are served as before.
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

REPORT_INTERVAL_S: Final = 0.8  # the registry removes a server after 3 seconds without a report
REPORT_TIMEOUT_S: Final = 0.5
FIRST_BACKOFF_S: Final = 0.1  # after a failed report; doubled after each further failure
MAX_BACKOFF_S: Final = 0.8
#: The least factor by which a wait is shortened at random, so that servers don't report in step.
MIN_JITTER: Final = 0.8
ACCEPTED_STATUS: Final = "204"


class ServiceDiscoveryReporter(threading.Thread):
    """The thread that reports whether this server accepts requests.

    It owns the connection to the service registry.
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
            address: the address of the service registry.
            name: the name under which this server is registered.
            healthy: returns whether this server accepts requests now.
            jitter: draws the random factors of the waits.
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
        """Set the address that is used from the next report on."""
        self.address = address

    def run(self) -> None:
        """Report periodically, with an exponential backoff after failures."""
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
                self._record_failure(result, why, repeated=result is last_failure)
                last_failure = result
                wait_s = backoff_s
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
            time.sleep(wait_s * self.jitter.uniform(MIN_JITTER, 1.0))

    def report(self) -> CloseReason:
        """Send one report and read the answer.

        Returns:
            `DECLARED`: the service registry has accepted the report.

        Raises:
            ConnectionClosedError: the connection failed, or the answer is late or invalid.
            OSError: no connection can be opened.
        """
        connection = self._connect()
        # One deadline for the whole exchange guards against an answer that comes byte by byte.
        link = DeadlineSocket(connection, clock.now() + int(REPORT_TIMEOUT_S * 1e6))
        buffer = Buffer(link, http.MAX_MESSAGE_BYTES)
        link.send(self._request())
        try:
            answer = http.read(buffer)
        except BadRequestError as error:
            raise ConnectionClosedError(CloseReason.GARBLED, str(error)) from None
        if answer is None:
            raise ConnectionClosedError(CloseReason.CLOSED)
        status = answer.start_line[1]
        if status != ACCEPTED_STATUS:
            raise ConnectionClosedError(
                CloseReason.GARBLED,
                f"service registry answered status {status[:20]}, not {ACCEPTED_STATUS}",
            )
        self.metrics.increment("service_discovery.reports")
        # Bytes after the answer would be taken for the answer to the next report.
        if answer.wants_close() or len(buffer):
            self.close()
        return CloseReason.DECLARED

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _connect(self) -> socket.socket:
        """Return the connection to the current address; open a new one if there is none."""
        if self.connection is None or self.connected_address != self.address:
            self.close()
            self.connected_address = self.address
            self.connection = open_connection(self.connected_address, REPORT_TIMEOUT_S)
        return self.connection

    def _request(self) -> bytes:
        body = b'{"serving":"yes"}' if self.healthy() else b'{"serving":"no"}'
        head = f"PUT {self.path} HTTP/1.1\r\nHost: naming\r\nContent-Length: {len(body)}\r\n\r\n"
        return head.encode("latin-1") + body

    def _record_failure(self, reason: CloseReason, why: str, repeated: bool) -> None:
        """Close the connection, count and log a failed report; a repeated failure at DEBUG."""
        self.close()
        self.metrics.increment(f"ends.service_discovery.{reason.value}")
        log.log(
            DEBUG if repeated else WARNING,
            "report to the service registry failed",
            extra=log_fields(end=reason.value, why=why),
        )
