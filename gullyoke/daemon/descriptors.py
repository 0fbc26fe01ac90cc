"""Divides the daemon's file descriptors among calls, extensions and client connections."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from gullyoke.daemon.configuration import DaemonConfiguration
from gullyoke.daemon.extension import Extension

#: For the engine, the service registry, the listeners, the log and other single descriptors.
RESERVED_DESCRIPTORS: Final = 16
#: One descriptor out of this number is reserved for a dependency call.
DESCRIPTORS_PER_CALL: Final = 6


def max_calls(configuration: DaemonConfiguration) -> int:
    """Return how many connections to the dependency may be open at once."""
    return configuration.max_descriptors // DESCRIPTORS_PER_CALL


def max_connections(configuration: DaemonConfiguration, extensions: Iterable[Extension]) -> int:
    """Return how many client connections may be open: the descriptors that nothing else needs."""
    return (
        configuration.max_descriptors
        - RESERVED_DESCRIPTORS
        - max_calls(configuration)
        - sum(extension.reserved_descriptors() for extension in extensions)
    )
