"""The writing side of the link to the engine, with the commands that it may have to send again."""

from __future__ import annotations

import socket
import threading
from collections import deque
from typing import Final, NamedTuple

from gullyoke.executors import ExecutorListener
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.pending_request import PendingRequest
from gullyoke.runtime.sockets import shutdown_both

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


class EngineWriter:
    """Writes commands in their order, by the thread that gave them where the link takes them.

    What the link does not take at once is left to the writing thread. `condition` guards all of
    this.

    Attributes:
        outbox: Commands that are not written yet.
        unconfirmed: Commands written since the last poll of the gauges that was answered; the
            answer proves that the engine read what was written before. Like the outbox it has a few
            for each request in flight; where gauges stay out for long it is rid of requests that
            are over.
        unwritten: What the link did not take at once of the last command.
        sock: The link; None while there is none.
        attached: Whether commands may be written: all notices that were missed have been read.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self.listener: ExecutorListener
        self.condition = threading.Condition(threading.Lock())
        self.outbox: deque[SentCommand] = deque()
        self.unconfirmed: deque[SentCommand] = deque()
        self.unwritten = b""
        self.sock: socket.socket | None = None
        self.attached = False
        self._writing = False  # whether the writing thread is writing
        self._prune_above = MAX_UNCONFIRMED

    def start(self, listener: ExecutorListener) -> None:
        """Start the writing thread; `listener` tells which requests are in flight."""
        self.listener = listener
        threading.Thread(
            target=self._metrics.run_forever,
            args=("engine", self.write_pending),
            name="engine-write",
            daemon=True,
        ).start()

    def append(self, command: SentCommand) -> None:
        """Queue a command; `flush` writes it."""
        with self.condition:
            self.outbox.append(command)

    def flush(self) -> None:
        """Write what was queued, as far as the link takes it without waiting.

        That saves a change of threads for each command.
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
        self._metrics.increment("engine.commands", len(batch))

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
            self._metrics.increment("engine.commands", len(batch))
        except OSError:
            shutdown_both(sock)  # the reading thread reports how it ended
        finally:
            with self.condition:
                self._writing = False
                self.condition.notify_all()

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

    # Called by the reading thread.

    def confirm(self, tag: str) -> None:
        """The engine has read the poll of this tag, and with it all commands before."""
        with self.condition:
            if any(str(command.tag) == tag for command in self.unconfirmed):
                while str(self.unconfirmed.popleft().tag) != tag:
                    pass

    def attach(self) -> None:
        """Write on the link from now on; first again what may have been lost with the last one.

        That is all that is unconfirmed, but for commands of which a notice shows that they were
        read. `RUN` may be repeated, `SKIP` names its notice. A `FEED` might be doubled where its
        run goes on without a notice; no call of it waits then.
        """
        with self.condition:
            resent = [command for command in self.unconfirmed if self._may_be_lost(command)]
            self.unconfirmed.clear()
            self.outbox.extendleft(reversed(resent))
            self.attached = True
            self.unwritten = b""  # what the old link did not take is void
            self.condition.notify_all()
        if resent:
            self._metrics.increment("engine.resent_commands", len(resent))

    def _may_be_lost(self, command: SentCommand) -> bool:
        request = command.request
        return (
            request is not None
            and self.listener.is_in_flight(request)
            and command.notices_read == request.notices_read
        )

    def shut_down(self) -> None:
        """End the link, if there is one; called with the condition acquired."""
        if self.sock is not None:
            shutdown_both(self.sock)

    def close(self) -> None:
        """Close the link, once no other thread writes on it."""
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
