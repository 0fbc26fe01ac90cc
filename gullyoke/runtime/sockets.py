"""Socket helpers shared by several packages: opening, reading, writing and closing connections."""

from __future__ import annotations

import contextlib
import select
import socket
import time
from typing import Final

from gullyoke.runtime import clock
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError, close_reason_of

#: What `poll` says of a connection that the peer has reset, or that both sides have closed.
BROKEN_EVENTS: Final = select.POLLERR | select.POLLHUP
DISCARD_TIMEOUT_S: Final = 0.5
DISCARD_MAX_BYTES: Final = 2**18
DISCARD_CHUNK_BYTES: Final = 65536


class ConnectionBrokenError(ConnectionClosedError):
    """A connection that closed after bytes were written to it; the peer may have read them."""


def open_connection(address: tuple[str, int] | str | None, timeout_s: float) -> socket.socket:
    """Open a connection to a host and port, or to the path of a Unix socket.

    Raises:
        ConnectionClosedError: The connection could not be opened: REFUSED if nothing listens on
            the address, UNREACHED for any other reason.
    """
    if address is None:
        raise ConnectionClosedError(CloseReason.UNREACHED, "no address is configured")
    try:
        if isinstance(address, str):
            sock = _connect_unix(address, timeout_s)
        else:
            sock = socket.create_connection(address, timeout_s)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except (ConnectionRefusedError, FileNotFoundError) as error:
        raise ConnectionClosedError(CloseReason.REFUSED, str(error)) from None
    except OSError as error:
        raise ConnectionClosedError(CloseReason.UNREACHED, str(error)) from None
    sock.settimeout(None)
    return sock


def _connect_unix(path: str, timeout_s: float) -> socket.socket:
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.settimeout(timeout_s)
    try:
        sock.connect(path)
    except OSError:
        sock.close()
        raise
    return sock


class Receiver:
    """Receives from a blocking socket into a buffer.

    Args:
        sock: The socket.
        piece_timeout_s: How many seconds to wait for more bytes of a message that has begun; None
            for no limit.
    """

    def __init__(self, sock: socket.socket, piece_timeout_s: float | None = None) -> None:
        self.sock = sock
        self.piece_timeout_s = piece_timeout_s

    def __call__(self, view: memoryview, begun: bool) -> int:
        """Receive into `view`; return the number of bytes, 0 if the peer has closed its side.

        Raises:
            ConnectionClosedError: The connection failed, or no bytes arrived in time.
        """
        bounded = self.piece_timeout_s is not None and begun
        try:
            if bounded:
                self.sock.settimeout(self.piece_timeout_s)
            received = self.sock.recv_into(view)
        except OSError as error:
            raise ConnectionClosedError(close_reason_of(error), str(error)) from None
        if bounded:
            self.sock.settimeout(None)
        return received


class DeadlineSocket:
    """A socket with one deadline for everything that is sent and received on it.

    Guards against a peer that keeps the connection open by sending or accepting single bytes.

    Args:
        sock: The socket.
        deadline: In microseconds of the clock.
    """

    def __init__(self, sock: socket.socket, deadline: int) -> None:
        self.sock = sock
        self.deadline = deadline

    def __call__(self, view: memoryview, begun: bool) -> int:
        """Receive into `view`; return the number of bytes, 0 if the peer has closed its side.

        Raises:
            ConnectionClosedError: The connection failed, or the deadline has passed.
        """
        try:
            self.sock.settimeout(self._remaining_s())
            return self.sock.recv_into(view)
        except OSError as error:
            raise ConnectionClosedError(close_reason_of(error), str(error)) from None

    def send(self, data: bytes) -> None:
        """Send all of `data`.

        Raises:
            ConnectionClosedError: Sending failed before the first byte was written.
            ConnectionBrokenError: Sending failed later; the peer may have read what was written.
        """
        sent = 0
        try:
            with memoryview(data) as view:
                while sent < len(data):
                    self.sock.settimeout(self._remaining_s())
                    sent += self.sock.send(view[sent:])
        except OSError as error:
            raise self._send_error(sent, close_reason_of(error), str(error)) from None
        except ConnectionClosedError as error:
            raise self._send_error(sent, error.reason, str(error)) from None

    @staticmethod
    def _send_error(sent: int, reason: CloseReason, why: str) -> ConnectionClosedError:
        error_type = ConnectionBrokenError if sent else ConnectionClosedError
        return error_type(reason, why)

    def _remaining_s(self) -> float:
        remaining = (self.deadline - clock.now()) / 1e6
        if remaining <= 0:
            raise ConnectionClosedError(
                CloseReason.STALLED, f"deadline passed {-remaining:.3f} s ago"
            )
        return remaining


def is_broken(sock: socket.socket) -> bool:
    """Return whether the peer has reset the connection, so that nothing can be written to it.

    Bytes that arrived before the reset may still be there to be read.
    """
    poller = select.poll()
    poller.register(sock, 0)
    return any(events & BROKEN_EVENTS for _, events in poller.poll(0))


def shutdown_both(sock: socket.socket) -> None:
    """Shut down both directions, which wakes every thread that waits on the socket."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def half_close(sock: socket.socket) -> None:
    """Shut down the sending direction, which the peer sees as the end of the data."""
    with contextlib.suppress(OSError):  # the peer has closed the connection already
        sock.shutdown(socket.SHUT_WR)


def discard_input(
    sock: socket.socket,
    timeout_s: float = DISCARD_TIMEOUT_S,
    max_bytes: int = DISCARD_MAX_BYTES,
) -> None:
    """Read and discard what the peer still sends, until it closes its side or a limit is reached.

    The limits apply to a peer that keeps its side open or goes on sending after its answer.
    """
    until = time.monotonic() + timeout_s
    try:
        while max_bytes > 0 and (remaining := until - time.monotonic()) > 0:
            sock.settimeout(remaining)
            received = len(sock.recv(DISCARD_CHUNK_BYTES))
            max_bytes -= received
            if not received:
                return
    except OSError:  # the timeout has passed, or the peer reset the connection
        return
