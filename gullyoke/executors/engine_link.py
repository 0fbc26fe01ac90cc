"""An executor that runs requests at the engine, over one persistent connection (the link).

One thread connects, reads notices, and reconnects when the link ends. `EngineWriter`, which has a
thread of its own, writes the commands.
"""

from __future__ import annotations

import threading
from logging import DEBUG, WARNING
from typing import Final

from gullyoke.codec import lines
from gullyoke.codec.buffer import Buffer
from gullyoke.executors import ExecutorListener, engine_protocol
from gullyoke.executors.engine_protocol import (
    CallNeededNotice,
    CommandRefused,
    GaugesNotice,
    Hello,
    Notice,
    RunEndedNotice,
)
from gullyoke.executors.engine_writer import EngineWriter
from gullyoke.executors.unconfirmed_commands import SentCommand
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError, serve_connection
from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.pending_request import PendingRequest
from gullyoke.runtime.sockets import Receiver, open_connection

CONNECT_TIMEOUT_S: Final = 1.0
FIRST_BACKOFF_S: Final = 0.02
LONGEST_BACKOFF_S: Final = 1.0


class EngineLink:
    """Sends commands to the engine and reports the engine's notices.

    The writer's condition also guards the address.
    """

    def __init__(
        self, address: tuple[str, int] | None, gauges: tuple[str, ...], metrics: Metrics
    ) -> None:
        """Create a link that is not connected yet.

        Args:
            address: Address of the engine; None if none is configured.
            gauges: Names of the gauges that the engine reports, in this order.
            metrics: Counters.
        """
        self._address = address
        self._gauges = gauges
        self._metrics = metrics
        self._listener: ExecutorListener
        self.writer = EngineWriter(metrics)
        self._last_notice = 0  # highest number of a notice that was read
        self._links_made = 0
        self._attach_tag = ""  # tag of the poll that is answered after all missed notices
        self._address_changed = threading.Event()

    def start(self, listener: ExecutorListener) -> None:
        """Start the reading thread and the writing thread."""
        self._listener = listener
        threading.Thread(target=self._keep_attached, name="engine-read", daemon=True).start()
        self.writer.start(listener)

    def update_address(self, address: tuple[str, int]) -> None:
        """Reconnect to another address.

        Runs continue; the notices missed on the old link arrive on the new one.
        """
        with self.writer.condition:
            self._address = address
            self.writer.shut_down()
        self._address_changed.set()

    # Commands; called under the dispatcher's lock.

    def start_run(self, request: PendingRequest) -> None:
        """Start the run of a request."""
        self._queue(
            request,
            engine_protocol.run(
                request.request_id, request.request_class.name, request.message.body
            ),
        )

    def send_call_reply(self, request: PendingRequest, reply: bytes) -> None:
        """Send the dependency's reply to the run that waits for it."""
        data = engine_protocol.call_reply(request.request_id, reply)
        self.writer.append(SentCommand(data, request, request.notices_read, is_call_reply=True))

    def skip_call(self, request: PendingRequest) -> None:
        """Let the run continue without the call that it waits for."""
        self._queue(request, engine_protocol.skip_call(request.request_id, request.call_notice))

    def cancel_run(self, request: PendingRequest) -> None:
        """Cancel the run; the engine reports its end."""
        self._queue(request, engine_protocol.cancel(request.request_id))

    def _queue(self, request: PendingRequest, data: bytes) -> None:
        self.writer.append(SentCommand(data, request, request.notices_read))

    def poll_gauges(self, tag: int) -> None:
        """Request the gauges if there is a link; without one, the polls would pile up."""
        if self.writer.attached:
            self.writer.append(SentCommand(engine_protocol.poll_gauges(tag), tag=tag))
            self.writer.flush()

    def flush(self) -> None:
        """Write the queued commands as far as the link accepts them without blocking."""
        self.writer.flush()

    # Reading.

    def _keep_attached(self) -> None:
        """Connect and read until the link ends, and repeat this for the life of the process."""
        backoff_s = FIRST_BACKOFF_S
        last_reason = None
        while True:
            last_notice = self._last_notice
            reason, text = serve_connection(
                self.attach_and_read, lambda: self._metrics.record_internal_error("engine")
            )
            self.writer.close()
            self._metrics.increment(f"ends.engine.{reason.value}")
            # Repeats are logged at debug level, so an unreachable engine does not fill the log;
            # the counter above counts each closed link.
            log.log(
                DEBUG if reason is last_reason else WARNING,
                "link to the engine closed",
                extra=log_fields(end=reason.value, why=text),
            )
            last_reason = reason
            if self._last_notice > last_notice:
                backoff_s = FIRST_BACKOFF_S
            else:
                backoff_s = min(2 * backoff_s, LONGEST_BACKOFF_S)
            if self._address_changed.wait(backoff_s):
                self._address_changed.clear()
                backoff_s = FIRST_BACKOFF_S

    def attach_and_read(self) -> CloseReason:
        """Connect, attach to the engine's notices, and read them until the link ends."""
        address = self._address
        sock = open_connection(address, CONNECT_TIMEOUT_S)
        self._attach_tag = ""
        with self.writer.condition:
            self.writer.sock = sock
            if address != self._address:  # changed while this link was opened
                raise ConnectionClosedError(
                    CloseReason.DECLARED, "the engine's address has changed"
                )
        sock.sendall(engine_protocol.attach(self._last_notice))
        buffer = Buffer(Receiver(sock), lines.MAX_MESSAGE_BYTES)
        while (notice := engine_protocol.read_notice(buffer, len(self._gauges))) is not None:
            self._on_notice(notice)
        return CloseReason.CLOSED

    def _on_notice(self, notice: Notice) -> None:
        match notice:
            case RunEndedNotice():
                if self._mark_read(notice.number):
                    self._listener.on_notice_read(notice.request_id)
                    self._listener.on_run_ended(notice.request_id, notice.outcome, notice.result)
            case CallNeededNotice():
                if self._mark_read(notice.number):
                    self._listener.on_notice_read(notice.request_id)
                    self._listener.on_call_needed(notice.request_id, notice.number, notice.body)
            case GaugesNotice():
                self._on_gauges(notice)
            case CommandRefused():
                self._listener.on_command_refused(notice.command, notice.request_id)
            case Hello():
                self._on_hello(notice)
            case _:
                self._mark_read(notice.number)

    def _mark_read(self, number: int) -> bool:
        """Mark the notice of this number as read; return whether it was not read before."""
        if number <= self._last_notice:
            return False
        self._last_notice = number
        return True

    def _on_hello(self, hello: Hello) -> None:
        self._listener.on_engine_hello(hello.state, hello.uptime_ms)
        self._links_made += 1
        # The answer to this poll follows all notices that were missed.
        self._attach_tag = f"mark{self._links_made}"
        # This thread writes the poll, since the writer writes only after the answer to it.
        assert self.writer.sock is not None
        self.writer.sock.sendall(engine_protocol.poll_gauges(self._attach_tag))

    def _on_gauges(self, notice: GaugesNotice) -> None:
        if notice.tag == self._attach_tag:
            self._attach_tag = ""
            report = self.writer.attach()
            log.info(
                "link to the engine attached",
                extra=log_fields(
                    notice=self._last_notice,
                    resent=report.resent,
                    unconfirmed_replies=len(report.unconfirmed_replies),
                ),
            )
            for request in report.unconfirmed_replies:
                self._listener.on_call_reply_unconfirmed(request)
            return
        self.writer.confirm(notice.tag)
        values = map(engine_protocol.parse_gauge, notice.values)
        self._listener.on_gauges(notice.tag, dict(zip(self._gauges, values, strict=True)))
