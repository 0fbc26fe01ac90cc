"""A connection to the dependency, which carries one call at a time."""

from __future__ import annotations

import socket
import threading

from gullyoke.dependencies.call import DependencyCall
from gullyoke.runtime import clock
from gullyoke.runtime.pending_request import PendingRequest
from gullyoke.runtime.sockets import shutdown_both


class DependencyConnection:
    """An open connection; its reading thread closes it, other threads may only shut it down.

    Attributes:
        sock: Socket of the connection.
        address: Address of the dependency.
        call: The current call, or None. Guarded by the client's lock.
        last_request_id: Id of the request whose call was answered last; empty before the first.
        idle_since: When the last answered call ended, or the connection was opened if there was
            none, in microseconds.
    """

    __slots__ = ("_is_open", "_lock", "address", "call", "idle_since", "last_request_id", "sock")

    def __init__(self, sock: socket.socket, address: tuple[str, int] | None) -> None:
        self.sock = sock
        self.address = address
        self.call: DependencyCall | None = None
        self.last_request_id = ""
        self.idle_since = clock.now()
        self._lock = threading.Lock()  # prevents writing to a closed socket
        self._is_open = True

    def may_carry_call_of(self, request: PendingRequest) -> bool:
        """Return whether the connection carried no call of the request.

        The last call counts by its id, in case a client uses the id of an earlier request again.
        """
        return self not in request.call_connections and self.last_request_id != request.request_id

    def is_usable(self) -> bool:
        """Return whether the connection is open and has no unread bytes, such as a late reply."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            return False
        except BlockingIOError:
            return True
        except OSError:
            return False

    def send(self, call: DependencyCall) -> None:
        """Write a call without blocking.

        The connection carries one call at a time, so a call fits into the socket's buffer. If
        writing fails, the connection is shut down and its reading thread ends the call.
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
        """Shut the connection down in both directions, which wakes its reading thread."""
        shutdown_both(self.sock)

    def close(self) -> None:
        """Close the socket; only the reading thread may call this."""
        with self._lock:
            self._is_open = False
            self.sock.close()
