"""One attempt to run a request at an SCGI back end, over a connection of its own."""

from __future__ import annotations

import socket
from typing import Final, NamedTuple, Protocol, cast

from gullyoke.codec import scgi_client
from gullyoke.codec.buffer import Buffer
from gullyoke.routing import AttemptOutcome, RoutedRun, SendAttempt, outcome_of_close
from gullyoke.runtime import clock
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError, close_reason_of
from gullyoke.runtime.messages import Answer
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.pending_request import PendingRequest
from gullyoke.runtime.sockets import (
    ConnectionBrokenError,
    DeadlineSocket,
    open_connection,
    shutdown_both,
)

CONNECT_TIMEOUT_S: Final = 1.0
US_PER_S: Final = 1_000_000
FIRST_FAILED_STATUS: Final = 500  # lowest status that counts as a failure of the application
BAD_GATEWAY: Final = 502
# Statuses that tell a client that the request never ran.
NEVER_RAN_STATUSES: Final = (429, 503)

SocketAddress = tuple[str, int] | str  # host and port, or path of a Unix socket


class AttemptSettings(NamedTuple):
    """Settings common to all attempts of a pool.

    Args:
        linger_us: How long after the deadline an answer is still awaited, in microseconds.
        cancel_by_close: Whether closing the connection stops the application.
        max_answer_bytes: Largest answer that is accepted.
    """

    linger_us: int
    cancel_by_close: bool
    max_answer_bytes: int


class AttemptResult(NamedTuple):
    """How an attempt ended.

    Args:
        outcome: Outcome of the attempt.
        answer: The back end's answer; None if no complete one was read.
        reason: Why there is no answer, for the log; empty if there is one.
    """

    outcome: AttemptOutcome
    answer: Answer | None
    reason: str


class AttemptOwner(Protocol):
    """The part of the pool that an attempt uses."""

    def address_of(self, backend_name: str) -> SocketAddress:
        """Return the address of a back end."""

    def register(self, attempt: BackendAttempt) -> bool:
        """Register the open connection for cancellation; False if the run is cancelled already."""


def request_of(run: RoutedRun) -> PendingRequest:
    """Return the request of a run, which the router knows by its base type only."""
    return cast(PendingRequest, run.request)


class BackendAttempt:
    """Sends a request to a back end and reads its answer.

    Attributes:
        run: The run that the attempt belongs to.
    """

    __slots__ = ("_backend_name", "_metrics", "_owner", "_settings", "_sock", "run")

    def __init__(
        self, send: SendAttempt, settings: AttemptSettings, owner: AttemptOwner, metrics: Metrics
    ) -> None:
        self.run = send.run
        self._backend_name = send.backend.settings.name
        self._settings = settings
        self._owner = owner
        self._metrics = metrics
        self._sock: socket.socket | None = None

    def perform(self) -> AttemptResult:
        """Perform the attempt; never raises."""
        try:
            answer = self._exchange()
        except ConnectionBrokenError as fault:
            return self._failed(fault.reason, True, str(fault))
        except ConnectionClosedError as fault:
            return self._failed(fault.reason, False, str(fault))
        except OSError as fault:
            return self._failed(close_reason_of(fault), True, str(fault))
        except Exception:
            self._metrics.record_internal_error("backends", request_of(self.run).request_id)
            outcome = outcome_of_close(CloseReason.FAULT, True)
            return AttemptResult(outcome, None, CloseReason.FAULT.value)
        finally:
            self._close()
        failed = answer.status >= FIRST_FAILED_STATUS
        outcome = AttemptOutcome.FAILED if failed else AttemptOutcome.COMPLETED
        return AttemptResult(outcome, answer, "")

    def shut_down(self) -> None:
        """Shut the connection down, if any; the thread that performs the attempt closes it."""
        if self._sock is not None:
            shutdown_both(self._sock)

    def _close(self) -> None:
        if self._sock is not None:
            shutdown_both(self._sock)
            self._sock.close()

    def _failed(self, reason: CloseReason, written: bool, text: str) -> AttemptResult:
        if self.run.cancelled and self._settings.cancel_by_close:
            reason = CloseReason.DECLARED  # closed here by the cancellation
        return AttemptResult(outcome_of_close(reason, written), None, text)

    def _exchange(self) -> Answer:
        """Send the request and read its answer.

        Raises:
            ConnectionClosedError: The connection ended before the first byte was written.
            ConnectionBrokenError: The connection ended after the first byte was written.
        """
        until = self.run.deadline + self._settings.linger_us
        connection = self._connect(until)
        connection.send(self._encode_request())
        try:
            answer = self._read_answer(connection)
        except ConnectionClosedError as fault:
            raise ConnectionBrokenError(fault.reason, str(fault)) from None
        # The request has reached the back end, so a rejection there must not be passed on with a
        # status that promises the client that the request never ran.
        if answer.status in NEVER_RAN_STATUSES:
            return answer._replace(status=BAD_GATEWAY)
        return answer

    def _connect(self, until: int) -> DeadlineSocket:
        left_s = (until - clock.now()) / US_PER_S
        if left_s <= 0:  # not a failure of the back end
            raise ConnectionClosedError(
                CloseReason.DECLARED, "the deadline of the run and its linger time have passed"
            )
        address = self._owner.address_of(self._backend_name)
        self._sock = open_connection(address, min(CONNECT_TIMEOUT_S, left_s))
        if not self._owner.register(self):
            raise ConnectionClosedError(CloseReason.DECLARED, "the run was cancelled")
        return DeadlineSocket(self._sock, until)

    def _encode_request(self) -> bytes:
        replaced_fields = {
            "max-wait-ms": str(max(0, (self.run.deadline - clock.now()) // 1000)),
            "accepted-at-ms": str(clock.unix_ms()),
        }
        return scgi_client.encode_request(request_of(self.run).message, replaced_fields)

    def _read_answer(self, connection: DeadlineSocket) -> Answer:
        max_bytes = self._settings.max_answer_bytes
        return scgi_client.read_answer(
            Buffer(connection, scgi_client.MAX_ANSWER_HEAD_BYTES + max_bytes + 1), max_bytes
        )
