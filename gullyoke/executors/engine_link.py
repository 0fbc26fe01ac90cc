"""Send, to the engine: the link that is kept open, its commands, its notices, and attaching to it
again.
"""

from __future__ import annotations

import socket
import threading
from collections import deque
from logging import DEBUG, WARNING
from typing import NamedTuple

from gullyoke.codec import lines
from gullyoke.codec.buffer import Buffer
from gullyoke.codec.lines import command
from gullyoke.executors import ExecutorListener
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError, served
from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.sockets import Receiver, connected, shut

CONNECT = 1.0  # seconds for a connection to come about
PAUSES = (0.02, 1.0)  # seconds before the next try: the first, and the longest
SENT = 256  # commands that no gauges confirm, before they are looked through


class Sent(NamedTuple):
    """A command, and how many notices on its req had been read when it was given."""

    data: bytes
    request: object = None
    noticed: int = 0
    tag: int = -1


class EngineLink:
    """Tables: `outbox`, commands not yet written.

    `sent`, written since the last gauges that were answered, which prove that the engine read what
    was written before. Both hold a few for each req in hand; where gauges stay out for long, `sent`
    is rid of reqs that are over. `rest` is what the link did not take at once of the last command;
    `writing`, whether the thread writes.
    """

    def __init__(self, address: tuple[str, int], gauges: tuple[str, ...], metrics: Metrics) -> None:
        self.address, self.gauges, self.metrics, self.listener = address, gauges, metrics, None
        self.bell = threading.Condition(threading.Lock())
        self.outbox: deque[Sent] = deque()
        self.sent: deque[Sent] = deque()
        self.sock: socket.socket | None = None
        self.last, self.marks, self.mark, self.attached = 0, 0, "", False
        self.rest, self.writing = b"", False
        self.moved = threading.Event()
        self.look_at = SENT

    def start(self, listener: ExecutorListener) -> None:
        self.listener = listener
        threading.Thread(target=self.keep, name="engine-read", daemon=True).start()
        threading.Thread(
            target=self.metrics.run_forever,
            args=("engine", self.write),
            name="engine-write",
            daemon=True,
        ).start()

    def update_address(self, address: tuple[str, int]) -> None:
        """Its address is another from now on.

        Runs go on; the new link tells what the old one did not.
        """
        with self.bell:
            self.address = address
            if self.sock is not None:
                shut(self.sock)
        self.moved.set()

    # Commands, given under the desk's lock.

    def start_run(self, request) -> None:
        self._give(
            request,
            command(
                "RUN", request.request_id, request.request_class.name, body=request.message.body
            ),
        )

    def send_call_reply(self, request, reply: bytes) -> None:
        self._give(request, command("FEED", request.request_id, body=reply))

    def skip_call(self, request) -> None:
        self._give(request, command("SKIP", request.request_id, request.call_notice))

    def cancel_run(self, request) -> None:
        self._give(request, command("HALT", request.request_id))

    def poll_gauges(self, tag: int) -> None:
        if self.attached:  # without a link they would pile up
            self._put(Sent(command("STAT", tag), tag=tag))
            self.flush()

    def _give(self, request, data: bytes) -> None:
        self._put(Sent(data, request, request.notices_read))

    def _put(self, sent: Sent) -> None:
        with self.bell:
            self.outbox.append(sent)

    def flush(self) -> None:
        """Write what was given, where the link takes it without waiting.

        That saves a change of threads for each command. What it does not take is left to the
        writing thread. Called without the desk's lock.
        """
        with self.bell:
            if not self.outbox or not self.attached or self.rest or self.writing:
                return  # the writing thread is at it, or will be
            batch = self._batch()
            data = b"".join(s.data for s in batch)
            try:
                took = self.sock.send(data, socket.MSG_DONTWAIT)
            except BlockingIOError:
                took = 0
            except OSError:
                shut(self.sock)  # the reading side tells how it ended
                return
            if took < len(data):
                self.rest = data[took:]
                self.bell.notify_all()
        self.metrics.increment("engine.commands", len(batch))

    def _batch(self) -> list[Sent]:
        """All that is to be written now.

        From here on it may have reached the engine, in part or whole.
        """
        batch = list(self.outbox)
        self.outbox.clear()
        self.sent.extend(batch)
        if len(self.sent) > self.look_at:
            last = max((s.tag for s in self.sent), default=-1)
            self.sent = deque(s for s in self.sent if self._in_hand(s) or 0 <= s.tag == last)
            self.look_at = max(SENT, 2 * len(self.sent))
        return batch

    def _in_hand(self, sent: Sent) -> bool:
        return (
            sent.request is not None
            and sent.request.request_id in self.listener.dispatcher.requests
        )

    def write(self) -> None:
        """Write what there is, once there is something and a link to write it on."""
        with self.bell:
            while not (self.attached and (self.outbox or self.rest)):
                self.bell.wait()
            batch, sock, rest = self._batch(), self.sock, self.rest
            self.rest, self.writing = b"", True
        try:
            sock.sendall(rest + b"".join(s.data for s in batch))
            self.metrics.increment("engine.commands", len(batch))
        except OSError:
            shut(sock)  # the reading side tells how it ended
        finally:
            with self.bell:
                self.writing = False
                self.bell.notify_all()

    # Notices.

    def keep(self) -> None:
        """Attach, read until the link ends, and again, for as long as the process lives."""
        pause, last = PAUSES[0], None
        while True:
            before = self.last
            end, why = served(
                self.attach_and_read, lambda: self.metrics.record_internal_error("engine")
            )
            self.close()
            self.metrics.increment(f"ends.engine.{end.value}")
            # A peer that stays away would fill the log with one line; the counters go on counting.
            log.log(
                DEBUG if end is last else WARNING,
                "link to the engine ended",
                extra=log_fields(end=end.value, why=why),
            )
            last = end
            pause = PAUSES[0] if self.last > before else min(2 * pause, PAUSES[1])
            if self.moved.wait(pause):
                self.moved.clear()
                pause = PAUSES[0]

    def close(self) -> None:
        """Close the link, by the reading thread alone, once no other thread writes on it."""
        with self.bell:
            self.attached, sock, self.sock = False, self.sock, None
            if sock is None:
                return
            shut(sock)  # ends a write that is going on
            while self.writing:
                self.bell.wait()
        sock.close()

    def attach_and_read(self) -> CloseReason:
        address = self.address
        sock = connected(address, CONNECT)
        with self.bell:
            self.sock, self.mark = sock, ""
            if address != self.address:  # moved while this link came about
                raise ConnectionClosedError(
                    CloseReason.DECLARED, "the engine's address is another now"
                )
        sock.sendall(command("ATTACH", self.last))
        buffer = Buffer(Receiver(sock), lines.BUFFER)
        while (words := lines.read(buffer)) is not None:
            self.notice(words, buffer)
        return CloseReason.CLOSED

    def notice(self, words: list[str], buffer: Buffer) -> None:
        kind, listener = words[0], self.listener
        if kind == "HELLO" and len(words) == 3 and words[1] in ("cold", "warm"):
            listener.on_engine_hello(words[1], lines.whole(words[2]))
            self.marks += 1  # once it is answered, all notices missed have been read
            self.mark = f"mark{self.marks}"
            self.sock.sendall(command("STAT", self.mark))
        elif kind == "DONE" and len(words) == 6 and words[3] in ("ok", "failed", "halted", "void"):
            result = lines.content(buffer, words[5])
            if self.new(words[1]):
                listener.on_run_ended(words[2], words[3], result)
        elif kind == "NEED" and len(words) == 4:
            body = lines.content(buffer, words[3])
            if self.new(words[1]):
                listener.on_call_needed(words[2], self.last, body)
        elif kind == "STATS" and len(words) == 2 + len(self.gauges):
            if words[1] == self.mark:
                self.reattached()
            else:
                self.confirmed(words[1])
                listener.on_gauges(
                    words[1], dict(zip(self.gauges, map(figure, words[2:]), strict=True))
                )
        elif kind == "NO" and len(words) == 3:
            listener.on_command_refused(words[1], words[2])
        elif kind == "NOTE" and len(words) >= 2:
            self.new(words[1])
        else:
            raise ConnectionClosedError(CloseReason.GARBLED, " ".join(words)[:100])

    def new(self, number: str) -> bool:
        """Whether this notice was not read before."""
        n = lines.whole(number)
        if n <= self.last:
            return False
        self.last = n
        return True

    def confirmed(self, tag: str) -> None:
        with self.bell:
            if any(str(s.tag) == tag for s in self.sent):
                while str(self.sent.popleft().tag) != tag:
                    pass

    def reattached(self) -> None:
        """What may have been lost with the last link is given once more, unless a notice shows it
        was read.

        Guards against commands lost on a link that breaks. `RUN` may be repeated, `SKIP` names its
        notice. A `FEED` might be doubled where its run goes on without a notice; no call of it
        waits then.
        """
        with self.bell:
            again = [
                s for s in self.sent if self._in_hand(s) and s.noticed == s.request.notices_read
            ]
            self.sent.clear()
            self.outbox.extendleft(reversed(again))
            self.attached, self.mark, self.rest = True, "", b""  # the old link's rest is void
            self.bell.notify_all()
        if again:
            self.metrics.increment("engine.repeated", len(again))


def figure(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        raise ConnectionClosedError(CloseReason.GARBLED, f"gauge {text[:20]!r}") from None
