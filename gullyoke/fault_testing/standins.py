"""Stand-ins for what the members of a fault test share.

A dependency that counts its concurrent calls, a resource that checks epochs, and SCGI back ends
that count their runs. They speak their published protocols on loopback and count what they receive.
"""

from __future__ import annotations

import contextlib
import select
import socket
import threading
import time
from collections import Counter
from typing import NamedTuple

from gullyoke.codec import scgi
from gullyoke.codec.buffer import Buffer
from gullyoke.experiments.ports import free
from gullyoke.experiments.world import Peer
from gullyoke.runtime.close_reasons import ConnectionClosedError
from gullyoke.runtime.messages import Answer, BadRequestError
from gullyoke.runtime.sockets import Receiver

ABANDONED_CALL_S = 0.15  # for which an abandoned call still occupies the dependency


class Below(Peer):
    """A dependency: each call takes `span` seconds, bounded by its stated time limit.

    `hand` counts the calls in progress, `most` is their maximum and `asked` counts all calls. An
    abandoned call stays in progress for ABANDONED_CALL_S.
    """

    def __init__(self, span: float) -> None:
        self.span, self.dead, self.pen = (
            span,
            False,
            threading.Lock(),
        )  # `dead`: every call fails at once
        self.hand = self.most = self.asked = 0
        self.times: list[float] = []  # arrival times of calls while `dead` was set
        super().__init__()

    def message(self, link: socket.socket, file, words: list[str]) -> None:
        """Handle a call and answer it, unless the caller has given up."""
        if words[0] != "Q":
            return
        file.read(int(words[-1]) + 2)
        with self.pen:
            self.asked += 1
            if self.dead:
                self.times.append(time.monotonic())
        if self.dead:
            link.sendall(f"{words[1]} FAIL\r\n".encode())
            return
        with self.pen:
            self.hand += 1
            self.most = max(self.most, self.hand)
        try:
            # The caller sends nothing during a call, so a readable link means that it has given up.
            gone = bool(select.select([link], [], [], min(self.span, int(words[2]) / 1000))[0])
            if gone:
                time.sleep(ABANDONED_CALL_S)
        finally:
            with self.pen:
                self.hand -= 1
        if not gone:
            word = "ROWS 3\r\nrow" if self.span <= int(words[2]) / 1000 else "TIMEOUT"
            link.sendall(f"{words[1]} {word}\r\n".encode())


class Act(NamedTuple):
    """An act that the resource received.

    `came` and `at` are when it was received and handled, in seconds; `taken`, whether it was
    accepted.
    """

    came: float
    at: float
    duty: str
    epoch: int
    life: str
    taken: bool


class Resource(Peer):
    """The resource of a singleton task: refuses acts of old epochs and keeps the history.

    `late` is the delay in seconds of the next act that arrives.
    """

    def __init__(self) -> None:
        self.pen, self.acts, self.newest, self.late = threading.Lock(), [], {}, 0.0
        super().__init__()

    def message(self, link: socket.socket, file, words: list[str]) -> None:
        """Accept or refuse an act by its epoch, and record it."""
        if words[:1] != ["HOLD"] or len(words) != 5:
            return
        duty, epoch, life, came = words[1], int(words[2]), words[3], time.monotonic()
        late, self.late = self.late, 0.0  # only one act is delayed
        if late:
            time.sleep(late)
        with self.pen:
            newest = self.newest.get(duty, (0, ""))
            taken = epoch > newest[0] or (epoch, life) == newest
            if taken:
                self.newest[duty] = epoch, life
            self.acts.append(Act(came, time.monotonic(), duty, epoch, life, taken))
        link.sendall(b"OK\n" if taken else b"STALE\n")


class BackEnd:
    """An application server that speaks SCGI at an address of its own.

    Each run takes `span` seconds.
    """

    def __init__(self, name: str, span: float) -> None:
        self.name, self.span, self.address = name, span, free()
        self.pen, self.begun = threading.Lock(), Counter()
        self.listener: socket.socket | None = None
        self.well()

    def well(self) -> None:
        """Accept connections."""
        if self.listener is None:
            self.listener = socket.create_server(self.address, backlog=256)
            threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def lame(self) -> None:
        """Refuse new connections; requests in progress are completed."""
        listener, self.listener = self.listener, None
        if listener is not None:
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()

    def accept(self, listener: socket.socket) -> None:
        """Serve each connection on a thread of its own until the listener is closed."""
        with contextlib.suppress(OSError):
            while True:
                conn, _ = listener.accept()
                threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn: socket.socket) -> None:
        """Count and answer the request of a connection."""
        with contextlib.suppress(OSError, ConnectionClosedError, BadRequestError), conn:
            message = scgi.read(Buffer(Receiver(conn), scgi.MAX_MESSAGE_BYTES))
            if message is None:
                return
            with self.pen:
                self.begun[message.fields.get("trace-id", "")] += 1
            time.sleep(self.span)
            conn.sendall(scgi.encode_answer(Answer(200, b"done")))

    def close(self) -> None:
        """Stop accepting connections."""
        self.lame()
