"""Sockets that listen."""

from __future__ import annotations

import os
import socket
import stat

BACKLOG = 1024


def listening(address: tuple[str, int] | str) -> socket.socket:
    """A socket that listens on a host and port, or on a path, where the file of a listener that is
    no more is taken away. Raises `OSError` where that can't be.
    """
    if isinstance(address, tuple):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    else:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        remove_stale(address)
    sock.bind(address)
    sock.listen(BACKLOG)
    return sock


def remove_stale(path: str) -> None:
    """Guards against a start that fails over what a killed server left.

    A live one is not touched.
    """
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
