"""A connection to the dependency, which carries one call at a time."""

from __future__ import annotations

import socket
import threading

from gullyoke.dependencies.call import DependencyCall
from gullyoke.runtime import clock
from gullyoke.runtime.sockets import shutdown_both


class DependencyConnection:
    """An open connection. Its reading thread closes it; others may only shut it down.

    Attributes:
        sock: The socket.
        address: Where it leads.
        call: The call on it; None while there is none. Guarded by the client's lock.
        last_request_id: The request of the last call before that; empty before the first.
        idle_since: When that call ended, or the connection came about, in microseconds.
    """

    __slots__ = ("_is_open", "_lock", "address", "call", "idle_since", "last_request_id", "sock")

    def __init__(self, sock: socket.socket, address: tuple[str, int] | None) -> None:
        self.sock = sock
        self.address = address
        self.call: DependencyCall | None = None
        self.last_request_id = ""
        self.idle_since = clock.now()
        self._lock = threading.Lock()  # no thread may write on a socket that is closed
        self._is_open = True

    def is_usable(self) -> bool:
        """Whether it is open with nothing to be read: not closed by the peer, not out of step."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            return False
        except BlockingIOError:
            return True
        except OSError:
            return False

    def send(self, call: DependencyCall) -> None:
        """Write a call.

        At most one call is on its way, so it fits what the system buffers, and this does not block.
        Where it fails the reading thread ends the call.
        """
        with self._lock:
            if not self._is_open:
                return  # the reading thread has ended the call
            try:
                if self.sock.send(call.data, socket.MSG_DONTWAIT) < len(call.data):
                    self.shut_down()
            except OSError:
                self.shut_down()

    def shut_down(self) -> None:
        """End it in both directions, which wakes its reading thread."""
        shutdown_both(self.sock)

    def close(self) -> None:
        """Close the socket, by the reading thread alone."""
        with self._lock:
            self._is_open = False
            self.sock.close()
