"""A listening socket and the thread that accepts its connections."""

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

ACCEPT_RETRY_S: Final = 0.02  # pause after a failed accept


class Frontend(Protocol):
    """A protocol that serves client connections.

    Attributes:
        name: The name in counters and logs.
        max_message_bytes: The maximum size of a message.
    """

    name: str
    max_message_bytes: int

    def serve(self, connection: Connection, buffer: Buffer) -> CloseReason:
        """Read messages and write answers until a side closes; return why it closed."""


class Listener:
    """Accepts the connections of one front end.

    Args:
        address: A host and port, or the path of a Unix socket.
        frontend: The front end that serves the connections.
        table: The connection table.

    Attributes:
        sock: The listening socket; the accepting thread owns it and closes it after `stop`.
        stopped: Whether the accepting thread has to end.
        waited_until: When an accepted connection last had to wait for room, in microseconds of the
            clock; 0 before that.
        connections: The connections that count towards the limit; a connection is removed when the
            server decides to close it.
    """

    def __init__(
        self, address: tuple[str, int] | str, frontend: Frontend, table: ConnectionTable
    ) -> None:
        self.frontend = frontend
        self.table = table
        self.sock = open_listening_socket(address)
        self.stopped = False
        self.waited_until = 0
        self.connections: dict[Connection, None] = {}

    def start(self) -> None:
        """Start the accepting thread."""
        threading.Thread(target=self._accept_forever, name="accept", daemon=True).start()

    def _accept_forever(self) -> None:
        """Accept connections until `stop`, then close the socket.

        The socket is not closed earlier, since that resets the connections in the backlog.
        """
        while not self.stopped:
            try:
                sock, _ = self.sock.accept()
            except OSError as error:
                self._handle_accept_error(error)
                continue
            self.table.add(sock, self)
        self.sock.close()

    def _handle_accept_error(self, error: OSError) -> None:
        """Pause after a failed accept, when descriptors or memory ran out or the drain has ended.

        The connections stay in the backlog meanwhile.
        """
        if not self.table.lifecycle.closing:
            self.table.metrics.increment("accept.failed")
            log.warning("accept failed", extra=log_fields(why=error))
        time.sleep(ACCEPT_RETRY_S)

    def stop(self) -> None:
        """Accept the connections in the backlog, then no others."""
        self.sock.setblocking(False)
        for sock in self._backlog():
            sock.setblocking(True)
            self.table.add(sock, self)
        self.stopped = True
        shutdown_both(self.sock)  # wakes the accepting thread, which then closes the socket

    def _backlog(self) -> Iterator[socket.socket]:
        with contextlib.suppress(OSError):  # the backlog is empty
            while True:
                sock, _ = self.sock.accept()
                yield sock
