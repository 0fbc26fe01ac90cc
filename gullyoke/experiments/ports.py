"""Loopback ports for listeners that another process binds later.

A port that the operating system assigned and that was closed again may be assigned to another
process before it is bound. The ports here lie below the ephemeral range, each process uses a block
of its own, and a port is repeated only after all others of the block.
"""

from __future__ import annotations

import contextlib
import itertools
import os
import pathlib
import socket

# The second is the start of the ephemeral range where the system does not report one.
FIRST_PORT, DEFAULT_EPHEMERAL_START = 10_000, 32_768
PORTS_PER_PROCESS = 1000  # processes with neighbouring ids get different blocks

Address = tuple[str, int]


def until() -> int:
    """The first port of the system's ephemeral range."""
    with contextlib.suppress(OSError, ValueError):
        return int(pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    return DEFAULT_EPHEMERAL_START


PORT_BLOCKS = max(1, (until() - FIRST_PORT) // PORTS_PER_PROCESS)
_port_counter = itertools.count()


def free() -> Address:
    """A loopback address whose port is free for both UDP and TCP; each call takes the next port.

    Raises `OSError` if every port of the process's block is in use.
    """
    first = FIRST_PORT + os.getpid() % PORT_BLOCKS * PORTS_PER_PROCESS
    for number in itertools.islice(_port_counter, PORTS_PER_PROCESS):
        address = "127.0.0.1", first + number % PORTS_PER_PROCESS
        with (
            contextlib.suppress(OSError),
            socket.socket(socket.AF_INET, socket.SOCK_STREAM) as one,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other,
        ):
            one.bind(address)
            other.bind(address)
            return address
    raise OSError(f"no free loopback port from {first} to {first + PORTS_PER_PROCESS}")
