"""Opening of listening sockets."""

from __future__ import annotations

import os
import socket
import stat
from typing import Final

BACKLOG: Final = 1024  # the maximum number of connections that are not accepted yet


def open_listening_socket(address: tuple[str, int] | str) -> socket.socket:
    """Return a socket that listens on a host and port, or on the path of a Unix socket.

    A socket file that an earlier listener left on the path is removed.

    Raises:
        OSError: The address cannot be listened on.
    """
    if isinstance(address, tuple):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    else:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        remove_stale_socket(address)
    sock.bind(address)
    sock.listen(BACKLOG)
    return sock


def remove_stale_socket(path: str) -> None:
    """Remove the socket file of a killed server, but not one on which a process listens."""
    try:
        if not stat.S_ISSOCK(os.stat(path).st_mode):
            return
    except FileNotFoundError:
        return
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        try:
            probe.connect(path)
        except ConnectionRefusedError:
            os.unlink(path)
