"""An executor that runs requests at the engine, over one link that is kept open.

One thread attaches and reads, and attaches again when the link ends; another writes what the link
did not take at once from the threads that gave the commands.
"""

from __future__ import annotations

import socket
import threading
from collections import deque
from logging import DEBUG, WARNING
from typing import Final, NamedTuple

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
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError, serve_connection
from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.pending_request import PendingRequest
from gullyoke.runtime.sockets import Receiver, open_connection, shutdown_both

CONNECT_TIMEOUT_S: Final = 1.0
FIRST_BACKOFF_S: Final = 0.02
LONGEST_BACKOFF_S: Final = 1.0
MAX_UNCONFIRMED: Final = 256  # commands that no gauges confirm, before they are looked through
NO_TAG: Final = -1


class SentCommand(NamedTuple):
    """A command to the engine.

    Args:
        data: Its bytes.
        request: The request that it concerns; None for a poll of the gauges.
        notices_read: How many notices on that request had been read when it was given.
        tag: The tag of a poll of the gauges.
    """

    data: bytes
    request: PendingRequest | None = None
    notices_read: int = 0
    tag: int = NO_TAG


class EngineLink:
    """The link, and the commands that may have to be sent again on the next one.

    The condition `condition` guards everything here that more than one thread uses.

    Attributes:
        outbox: Commands that are not written yet.
        unconfirmed: Commands written since the last poll of the gauges that was answered; the
            answer proves that the engine read what was written before. Like the outbox it holds a
            few for each request in flight; where gauges stay out for long it is rid of requests
            that are over.
        unwritten: What the link did not take at once of the last command.
        attached: Whether commands may be written: all notices that were missed have been read.
        sock: The link; None while there is none.
    """

    def __init__(self, address: tuple[str, int], gauges: tuple[str, ...], metrics: Metrics) -> None:
        """Make a link that is not attached yet.

        Args:
            address: Where the engine listens.
            gauges: Names of the gauges that it reports, in their order.
            metrics: Counters.
        """
        self._address = address
        self._gauges = gauges
        self.metrics = metrics
        self.listener: ExecutorListener
        self.condition = threading.Condition(threading.Lock())
        self.outbox: deque[SentCommand] = deque()
        self.unconfirmed: deque[SentCommand] = deque()
        self.sock: socket.socket | None = None
        self.attached = False
        self.unwritten = b""
        self._writing = False  # whether the writing thread is writing
        self._last_notice = 0  # the highest number of a notice that was read
        self._links_made = 0
        self._attach_tag = ""  # the poll whose answer shows that all missed notices were read
        self._address_changed = threading.Event()
        self._prune_above = MAX_UNCONFIRMED

    def start(self, listener: ExecutorListener) -> None:
        """Start the reading and the writing thread."""
        self.listener = listener
        threading.Thread(target=self._keep_attached, name="engine-read", daemon=True).start()
        threading.Thread(
            target=self.metrics.run_forever,
            args=("engine", self.write_pending),
            name="engine-write",
            daemon=True,
        ).start()

    def update_address(self, address: tuple[str, int]) -> None:
        """Attach to another address from now on.

        Runs go on; the notices on the new link report what the old one did not.
        """
        with self.condition:
            self._address = address
            if self.sock is not None:
                shutdown_both(self.sock)
        self._address_changed.set()

    # Commands, given under the dispatcher's lock.

    def start_run(self, request: PendingRequest) -> None:
        """Begin the run of a request."""
        self._queue(
            request,
            engine_protocol.run(
                request.request_id, request.request_class.name, request.message.body
            ),
        )

    def send_call_reply(self, request: PendingRequest, reply: bytes) -> None:
        """Hand the run the reply of the dependency that it waits for."""
        self._queue(request, engine_protocol.call_reply(request.request_id, reply))

    def skip_call(self, request: PendingRequest) -> None:
        """Let the run go on without the call that it waits for."""
        self._queue(request, engine_protocol.skip_call(request.request_id, request.call_notice))

    def cancel_run(self, request: PendingRequest) -> None:
        """End the run; the engine reports its end."""
        self._queue(request, engine_protocol.cancel(request.request_id))

    def _queue(self, request: PendingRequest, data: bytes) -> None:
        self._append(SentCommand(data, request, request.notices_read))

    def _append(self, command: SentCommand) -> None:
        with self.condition:
            self.outbox.append(command)

    # Writing.

    def poll_gauges(self, tag: int) -> None:
        """Ask for the gauges; without a link polls would pile up, and none is made."""
        if self.attached:
            self._append(SentCommand(engine_protocol.poll_gauges(tag), tag=tag))
            self.flush()

    def flush(self) -> None:
        """Write what was given, as far as the link takes it without waiting.

        That saves a change of threads for each command. What the link does not take is left to the
        writing thread.
        """
        with self.condition:
            if not self.outbox or not self.attached or self.unwritten or self._writing:
                return  # the writing thread is at it, or will be
            assert self.sock is not None
            batch = self._take_batch()
            data = b"".join(command.data for command in batch)
            try:
                written = self.sock.send(data, socket.MSG_DONTWAIT)
            except BlockingIOError:
                written = 0
            except OSError:
                shutdown_both(self.sock)  # the reading thread reports how it ended
                return
            if written < len(data):
                self.unwritten = data[written:]
                self.condition.notify_all()
        self.metrics.increment("engine.commands", len(batch))

    def _take_batch(self) -> list[SentCommand]:
        """All commands that are to be written now.

        From here on they may have reached the engine, in part or whole.
        """
        batch = list(self.outbox)
        self.outbox.clear()
        self.unconfirmed.extend(batch)
        if len(self.unconfirmed) > self._prune_above:
            self._prune_unconfirmed()
        return batch

    def _prune_unconfirmed(self) -> None:
        """Drop commands for requests that are over, and all polls but the last."""
        last_tag = max((command.tag for command in self.unconfirmed), default=NO_TAG)
        self.unconfirmed = deque(
            command
            for command in self.unconfirmed
            if self._is_in_flight(command) or 0 <= command.tag == last_tag
        )
        self._prune_above = max(MAX_UNCONFIRMED, 2 * len(self.unconfirmed))

    def _is_in_flight(self, command: SentCommand) -> bool:
        return command.request is not None and self.listener.is_in_flight(command.request)

    def write_pending(self) -> None:
        """Write what there is, once there is something and a link to write it on."""
        with self.condition:
            while not (self.attached and (self.outbox or self.unwritten)):
                self.condition.wait()
            assert self.sock is not None
            batch = self._take_batch()
            sock = self.sock
            unwritten = self.unwritten
            self.unwritten = b""
            self._writing = True
        try:
            sock.sendall(unwritten + b"".join(command.data for command in batch))
            self.metrics.increment("engine.commands", len(batch))
        except OSError:
            shutdown_both(sock)  # the reading thread reports how it ended
        finally:
            with self.condition:
                self._writing = False
                self.condition.notify_all()

    # Reading.

    def _keep_attached(self) -> None:
        """Attach, read until the link ends, and again, for as long as the process lives."""
        backoff_s = FIRST_BACKOFF_S
        last_reason = None
        while True:
            last_notice = self._last_notice
            reason, text = serve_connection(
                self.attach_and_read, lambda: self.metrics.record_internal_error("engine")
            )
            self._close()
            self.metrics.increment(f"ends.engine.{reason.value}")
            # An engine that stays away must not fill the log; the counters go on counting.
            log.log(
                DEBUG if reason is last_reason else WARNING,
                "link to the engine ended",
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

    def _close(self) -> None:
        """Close the link, by the reading thread alone, once no other thread writes on it."""
        with self.condition:
            self.attached = False
            sock = self.sock
            self.sock = None
            if sock is None:
                return
            shutdown_both(sock)  # ends a write that is going on
            while self._writing:
                self.condition.wait()
        sock.close()

    def attach_and_read(self) -> CloseReason:
        """The life of one link."""
        address = self._address
        sock = open_connection(address, CONNECT_TIMEOUT_S)
        with self.condition:
            self.sock = sock
            self._attach_tag = ""
            if address != self._address:  # changed while this link came about
                raise ConnectionClosedError(
                    CloseReason.DECLARED, "the engine's address is another now"
                )
        sock.sendall(engine_protocol.attach(self._last_notice))
        buffer = Buffer(Receiver(sock), lines.BUFFER)
        while (notice := engine_protocol.read_notice(buffer, len(self._gauges))) is not None:
            self._on_notice(notice)
        return CloseReason.CLOSED

    def _on_notice(self, notice: Notice) -> None:
        match notice:
            case RunEndedNotice():
                if self._is_new(notice.number):
                    self.listener.on_run_ended(notice.request_id, notice.outcome, notice.result)
            case CallNeededNotice():
                if self._is_new(notice.number):
                    self.listener.on_call_needed(notice.request_id, notice.number, notice.body)
            case GaugesNotice():
                self._on_gauges(notice)
            case CommandRefused():
                self.listener.on_command_refused(notice.command, notice.request_id)
            case Hello():
                self._on_hello(notice)
            case _:
                self._is_new(notice.number)

    def _is_new(self, number: int) -> bool:
        """Whether the notice of this number was not read before; it is from now on."""
        if number <= self._last_notice:
            return False
        self._last_notice = number
        return True

    def _on_hello(self, hello: Hello) -> None:
        self.listener.on_engine_hello(hello.state, hello.uptime_ms)
        self._links_made += 1
        # Once this poll is answered, all notices that were missed have been read.
        self._attach_tag = f"mark{self._links_made}"
        assert self.sock is not None
        self.sock.sendall(engine_protocol.poll_gauges(self._attach_tag))

    def _on_gauges(self, notice: GaugesNotice) -> None:
        if notice.tag == self._attach_tag:
            self.resend_unconfirmed()
            return
        self._confirm(notice.tag)
        values = map(engine_protocol.parse_gauge, notice.values)
        self.listener.on_gauges(notice.tag, dict(zip(self._gauges, values, strict=True)))

    def _confirm(self, tag: str) -> None:
        """The engine has read the poll of this tag, and with it all commands before."""
        with self.condition:
            if any(str(command.tag) == tag for command in self.unconfirmed):
                while str(self.unconfirmed.popleft().tag) != tag:
                    pass

    def resend_unconfirmed(self) -> None:
        """Attach: give commands again that may have been lost with the last link.

        Not those of which a notice shows that they were read. `RUN` may be repeated, `SKIP` names
        its notice. A `FEED` might be doubled where its run goes on without a notice; no call of it
        waits then.
        """
        with self.condition:
            resent = [
                command
                for command in self.unconfirmed
                if self._is_in_flight(command)
                and command.request is not None
                and command.notices_read == command.request.notices_read
            ]
            self.unconfirmed.clear()
            self.outbox.extendleft(reversed(resent))
            self.attached = True
            self._attach_tag = ""
            self.unwritten = b""  # what the old link did not take is void
            self.condition.notify_all()
        if resent:
            self.metrics.increment("engine.repeated", len(resent))
