"""A listening socket with its accepting thread."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final, Protocol

from gullyoke.codec.buffer import Buffer
from gullyoke.frontends.connection import Connection
from gullyoke.frontends.listening import open_listening_socket
from gullyoke.runtime.close_reasons import CloseReason
from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.sockets import shutdown_both

if TYPE_CHECKING:
    from gullyoke.frontends.connections import ConnectionTable

ACCEPT_RETRY_S: Final = 0.02  # after an accept that failed


class Frontend(Protocol):
    """A protocol's side of a connection.

    Attributes:
        name: Its name in counters and logs.
        max_message_bytes: The most bytes that one message takes.
    """

    name: str
    max_message_bytes: int

    def serve(self, connection: Connection, buffer: Buffer) -> CloseReason:
        """Read messages and write their answers until a side closes; return why it closed."""


class Listener:
    """Where one frontend listens.

    Args:
        address: A host and port, or the path of a Unix socket.
        frontend: The protocol spoken there.
        table: Where the accepted connections go.

    Attributes:
        sock: The listening socket, which the accepting thread owns and closes once it is stopped.
        stopped: Whether no connection is accepted any more.
        connections: Its connections that count towards the limit; each leaves when it is decided
            to close it.
    """

    def __init__(
        self, address: tuple[str, int] | str, frontend: Frontend, table: ConnectionTable
    ) -> None:
        self.frontend = frontend
        self.table = table
        self.sock = open_listening_socket(address)
        self.stopped = False
        self.connections: dict[Connection, None] = {}

    def start(self) -> None:
        """Start the accepting thread."""
        threading.Thread(target=self._accept_forever, name="accept", daemon=True).start()

    def _accept_forever(self) -> None:
        """Accept connections until stopped, then close the socket.

        Not before: closing it resets whatever waits in the backlog.
        """
        while not self.stopped:
            self.table.wait_for_descriptor()
            try:
                sock, _ = self.sock.accept()
            except OSError as error:
                self._accept_failed(error)
                continue
            self.table.take(sock, self)
        self.sock.close()

    def _accept_failed(self, error: OSError) -> None:
        """Wait a moment after running out of descriptors or memory, or at the end of the drain."""
        if not self.table.lifecycle.closing:  # what waits stays in the backlog
            self.table.metrics.increment("accept.failed")
            log.warning("accept failed", extra=log_fields(why=error))
        time.sleep(ACCEPT_RETRY_S)

    def stop(self) -> None:
        """Take what waits in the backlog, then accept nothing more."""
        self.sock.setblocking(False)
        for sock in self._backlog():
            sock.setblocking(True)
            self.table.take(sock, self)
        self.stopped = True
        shutdown_both(self.sock)  # wakes the accepting thread, which closes the socket

    def _backlog(self) -> Iterator[socket.socket]:
        with contextlib.suppress(OSError):  # nothing waits any more
            while True:
                sock, _ = self.sock.accept()
                yield sock
