"""Loopback ports for those who listen later, in another process.

Guards against one that is asked of the system, let go and given to somebody else before it is
bound: these lie under those that the system gives by itself, each process has a block of its own,
and hands out each once before it begins anew.
"""

from __future__ import annotations

import contextlib
import itertools
import os
import pathlib
import socket

LOWEST, ITS_OWN = 10_000, 32_768  # from where on; where the system's own begin, if it does not say
BLOCK = 1000  # ports of one process; neighbours by their numbers have different ones

Address = tuple[str, int]


def until() -> int:
    """The first port that the system gives by itself."""
    with contextlib.suppress(OSError, ValueError):
        return int(pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    return ITS_OWN


BLOCKS = max(1, (until() - LOWEST) // BLOCK)
COUNT = itertools.count()


def free() -> Address:
    """An address that nobody has, for datagrams and connections alike.

    Raises `OSError` where there is none.
    """
    first = LOWEST + os.getpid() % BLOCKS * BLOCK
    for number in itertools.islice(COUNT, BLOCK):
        address = "127.0.0.1", first + number % BLOCK
        with (
            contextlib.suppress(OSError),
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as one,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other,
        ):
            one.bind(address)
            other.bind(address)
            return address
    raise OSError(f"no port is free from {first} to {first + BLOCK}")
