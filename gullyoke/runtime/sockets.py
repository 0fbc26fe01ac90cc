"""Opening and ending connections: the few calls on sockets that more than one part needs."""

from __future__ import annotations

import contextlib
import socket
import time

from gullyoke.runtime import clock
from gullyoke.runtime.close_reasons import CloseReason, ConnectionClosedError, close_reason_of


def open_connection(address: tuple[str, int] | str | None, patience: float) -> socket.socket:
    """A connection opened here, to a host and port or a path.

    That none came about has two ends, told apart by whether the peer said so.
    """
    if address is None:
        raise ConnectionClosedError(CloseReason.UNREACHED, "no address is stated")
    try:
        if isinstance(address, str):
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            sock.settimeout(patience)
            try:
                sock.connect(address)
            except OSError:
                sock.close()
                raise
        else:
            sock = socket.create_connection(address, patience)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except (ConnectionRefusedError, FileNotFoundError) as fault:
        raise ConnectionClosedError(CloseReason.REFUSED, str(fault)) from None
    except OSError as fault:
        raise ConnectionClosedError(CloseReason.UNREACHED, str(fault)) from None
    sock.settimeout(None)
    return sock


class Receiver:
    """What a buffer receives by, from a blocking socket.

    Where `piece` is set, the wait for more of a message that has begun ends after so many seconds.
    """

    def __init__(self, sock: socket.socket, piece: float | None = None) -> None:
        self.sock, self.piece = sock, piece

    def __call__(self, view: memoryview, begun: bool) -> int:
        bounded = self.piece is not None and begun
        try:
            if bounded:
                self.sock.settimeout(self.piece)
            got = self.sock.recv_into(view)
        except OSError as fault:
            raise ConnectionClosedError(close_reason_of(fault), str(fault)) from None
        if bounded:
            self.sock.settimeout(None)
        return got


class DeadlineSocket:
    """What a buffer receives by where all that comes must have come by a time of the clock."""

    def __init__(self, sock: socket.socket, until: int) -> None:
        self.sock, self.until = sock, until

    def __call__(self, view: memoryview, begun: bool) -> int:
        try:
            self.sock.settimeout(self.left())
            return self.sock.recv_into(view)
        except OSError as fault:
            raise ConnectionClosedError(close_reason_of(fault), str(fault)) from None

    def left(self) -> float:
        """Seconds left; guards against a peer that sends a byte now and then for ever."""
        left = (self.until - clock.now()) / 1e6
        if left <= 0:
            raise ConnectionClosedError(CloseReason.STALLED, "its time is over")
        return left

    def send(self, data: bytes) -> bool:
        """Send all of it; whether it was.

        Raises before its first byte is on its way: `Ended`. Raises later: `Broken`, since what was
        sent may have been read.
        """
        sent = 0
        try:
            with memoryview(data) as view:
                while sent < len(data):
                    self.sock.settimeout(self.left())
                    sent += self.sock.send(view[sent:])
        except OSError as fault:
            raise (ConnectionBrokenError if sent else ConnectionClosedError)(
                close_reason_of(fault), str(fault)
            ) from None
        except ConnectionClosedError as fault:
            raise (ConnectionBrokenError if sent else ConnectionClosedError)(
                fault.reason, str(fault)
            ) from None
        return True


class ConnectionBrokenError(ConnectionClosedError):
    """A connection that ended after something was written to it."""


def shutdown_both(sock: socket.socket) -> None:
    """End both directions, which wakes whoever waits on it."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def half_close(sock: socket.socket) -> None:
    """Say that no more comes from here."""
    try:
        sock.shutdown(socket.SHUT_WR)
    except OSError:  # the peer has gone already
        pass


def discard_input(sock: socket.socket, patience: float = 0.5, most: int = 2**18) -> None:
    """Take and drop what the peer still sends, to its end.

    Bounded in seconds and bytes, for peers that go on and on; one that keeps its side open has had
    its answer.
    """
    until = time.monotonic() + patience
    try:
        while most > 0 and (left := until - time.monotonic()) > 0:
            sock.settimeout(left)
            got = len(sock.recv(65536))
            most -= got
            if not got:
                return
    except OSError:  # the time is over, or the peer broke off
        return
