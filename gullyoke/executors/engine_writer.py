"""Writes commands to the engine, and keeps those that may have to be sent again."""

from __future__ import annotations

import socket
import threading
from collections import deque
from typing import NamedTuple

from gullyoke.executors import ExecutorListener
from gullyoke.executors.unconfirmed_commands import SentCommand, UnconfirmedCommands
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.pending_request import PendingRequest
from gullyoke.runtime.sockets import shutdown_both


class AttachReport(NamedTuple):
    """What became of the commands of requests in flight that the last link may have lost.

    Args:
        resent: How many are sent again.
        unconfirmed_replies: The requests whose replies to dependency calls are not sent again.
    """

    resent: int
    unconfirmed_replies: list[PendingRequest]


class EngineWriter:
    """Writes commands in order, without blocking the thread that flushes them.

    What the link does not accept at once is left to the writing thread. `condition` guards all
    attributes.

    Attributes:
        outbox: Commands that are not completely written, so that the engine can't have read them.
        bytes_written: How many bytes of the first command in `outbox` this link has accepted.
        unconfirmed: Commands that the engine may or may not have read.
        sock: Socket of the link; None while there is no link.
        attached: Whether commands may be written, because all missed notices have been read.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self.listener: ExecutorListener
        self.condition = threading.Condition(threading.Lock())
        self.outbox: deque[SentCommand] = deque()
        self.bytes_written = 0
        self.unconfirmed = UnconfirmedCommands(lambda request: self.listener.is_in_flight(request))
        self.sock: socket.socket | None = None
        self.attached = False
        self._writing = False  # whether the writing thread is writing

    def start(self, listener: ExecutorListener) -> None:
        """Start the writing thread; `listener` knows which requests are in flight."""
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
        """Write queued commands as far as the link accepts them without blocking.

        Writing on the calling thread saves a thread switch for each command.
        """
        with self.condition:
            if not self.outbox or not self.attached or self.bytes_written or self._writing:
                return  # the writing thread writes them, now or once the link is attached
            assert self.sock is not None
            data = self._unwritten_data()
            try:
                written = self.sock.send(data, socket.MSG_DONTWAIT)
            except BlockingIOError:
                written = 0
            except OSError:
                self.attached = False  # the link accepts nothing; the commands wait for the next
                shutdown_both(self.sock)  # the reading thread reports how the link ended
                return
            completed = self._mark_written(written)
            if self.outbox:
                self.condition.notify_all()
        self._metrics.increment("engine.commands", completed)

    def write_pending(self) -> None:
        """Wait for queued commands and an attached link, then write all of them."""
        with self.condition:
            while not (self.attached and self.outbox):
                self.condition.wait()
            assert self.sock is not None
            sock = self.sock
            data = self._unwritten_data()
            # From now on the engine may read any of them.
            completed = self._mark_written(len(data))
            self._writing = True
        try:
            sock.sendall(data)
            self._metrics.increment("engine.commands", completed)
        except OSError:
            shutdown_both(sock)  # the reading thread reports how the link ended
        finally:
            with self.condition:
                self._writing = False
                self.condition.notify_all()

    def _unwritten_data(self) -> bytes:
        """Return the queued commands, without what this link has accepted of the first one."""
        return b"".join(command.data for command in self.outbox)[self.bytes_written :]

    def _mark_written(self, byte_count: int) -> int:
        """Count bytes as written, move the commands that are complete to the unconfirmed ones.

        Returns:
            The number of these commands.
        """
        self.bytes_written += byte_count
        completed = 0
        while self.outbox and self.bytes_written >= len(self.outbox[0].data):
            command = self.outbox.popleft()
            self.bytes_written -= len(command.data)
            self.unconfirmed.append(command)
            completed += 1
        return completed

    # Called by the reading thread; `shut_down` also when the address changes.

    def confirm(self, tag: str) -> None:
        """Drop the poll with this tag and all commands before it: the engine has read them."""
        with self.condition:
            self.unconfirmed.confirm(tag)

    def attach(self) -> AttachReport:
        """Allow writing on the new link, and queue again what the last link may have lost.

        Repeating is safe for all commands but one: `RUN` and `HALT` do nothing the second time, and
        `SKIP` names its notice. `FEED` names no call. If the engine has read the first one, the run
        may wait for its next call when the second one arrives, and would take the reply for that
        to the next call.
        """
        with self.condition:
            uncertain = self.unconfirmed.take_uncertain()
            resent = [command for command in uncertain if not command.is_call_reply]
            self.outbox.extendleft(reversed(resent))
            self.attached = True
            self.bytes_written = 0  # a command that was partly written is sent again whole
            self.condition.notify_all()
        unconfirmed_replies = [
            command.request
            for command in uncertain
            if command.is_call_reply and command.request is not None
        ]
        if uncertain:
            self._metrics.increment("engine.resent_commands", len(resent))
            self._metrics.increment("engine.unconfirmed_replies", len(unconfirmed_replies))
        return AttachReport(len(resent), unconfirmed_replies)

    def shut_down(self) -> None:
        """Shut the link down, if there is one; the caller holds `condition`."""
        if self.sock is not None:
            shutdown_both(self.sock)

    def close(self) -> None:
        """Close the link once the writing thread no longer uses it."""
        with self.condition:
            self.attached = False
            sock = self.sock
            self.sock = None
            if sock is None:
                return
            shutdown_both(sock)  # ends a write in progress
            while self._writing:
                self.condition.wait()
        sock.close()
