"""How the daemon divides its file descriptors among calls, extensions and client connections."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from gullyoke.daemon.configuration import DaemonConfiguration
from gullyoke.daemon.extension import Extension

#: For the engine, the name service, the listeners, the log and what else there is one of.
RESERVED_DESCRIPTORS: Final = 16
#: One descriptor in so many is for calls of the dependency.
DESCRIPTORS_PER_CALL: Final = 6


def max_calls(configuration: DaemonConfiguration) -> int:
    """Return how many connections to the dependency may be open at once."""
    return configuration.max_descriptors // DESCRIPTORS_PER_CALL


def max_connections(configuration: DaemonConfiguration, extensions: Iterable[Extension]) -> int:
    """Return how many client connections may be open at once: what all other uses leave."""
    return (
        configuration.max_descriptors
        - RESERVED_DESCRIPTORS
        - max_calls(configuration)
        - sum(extension.reserved_descriptors() for extension in extensions)
    )
