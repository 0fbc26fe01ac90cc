"""What the daemon asks of an extension, and what an extension gets of the daemon.

The modules of gullyoke/extensions/ implement `Extension`. They are imported only where an
operator's file asks for them, so a daemon without such a file starts without their dependencies.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from gullyoke.daemon.configuration import DaemonConfiguration
from gullyoke.executors import Executor
from gullyoke.frontends.connections import ConnectionTable
from gullyoke.frontends.message_handler import MessageHandler
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.duplicate_table import DuplicateTable
from gullyoke.runtime.lifecycle import Lifecycle
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.timer import Timer


@dataclass(frozen=True)
class DaemonParts:
    """The parts of the daemon that an extension may use.

    Attributes:
        configuration: as read at the start. A reload never changes what extensions read of it: the
            name, the seed, the settings and the facts of the site.
        metrics: the daemon's counters.
        timer: runs functions at a time, on its own thread.
        dispatcher: the decisions behind their lock.
        lifecycle: the answer to health checks and the other state of the server as a whole.
        message_handler: answers the requests and health checks of every front end.
        connections: all client connections; further listeners are added here.
    """

    configuration: DaemonConfiguration
    metrics: Metrics
    timer: Timer
    dispatcher: Dispatcher
    lifecycle: Lifecycle
    message_handler: MessageHandler
    connections: ConnectionTable


class Extension(Protocol):
    """An optional part of the daemon that an operator's file adds.

    The daemon calls the methods in this order: `create_executor`, `create_duplicate_table` and
    `wrap_executor` while it is built, then `attach`; `start` once the timer runs; `log_status` with
    each print of the counters; `begin_drain` at the stop signal; `close` at the end of the drain.
    """

    def create_executor(
        self, configuration: DaemonConfiguration, metrics: Metrics
    ) -> Executor | None:
        """Create the executor that replaces the engine; None where this does not replace it."""

    def create_duplicate_table(self, configuration: DaemonConfiguration) -> DuplicateTable | None:
        """Create the table of idempotency keys; None where the table in memory is enough."""

    def wrap_executor(self, daemon: DaemonParts, executor: Executor) -> Executor:
        """Return what stands in front of the executor; the executor itself for nothing."""

    def reserved_descriptors(self) -> int:
        """Return the most file descriptors that this opens at once."""

    def attach(self, daemon: DaemonParts) -> None:
        """Connect to the parts of the daemon, before anything runs.

        Raises:
            ConfigurationError: the configuration can't be met.
            OSError: an address or a file can't be used.
        """

    def start(self) -> None:
        """Start threads and periodic work."""

    def log_status(self) -> None:
        """Log the state of this extension, next to the counters."""

    def begin_drain(self) -> None:
        """Take note that the daemon has begun to drain."""

    def close(self) -> None:
        """Release what is open; the daemon ends right after."""


class OperatorConfiguration(Protocol):
    """An operator's file: the extensions that it asks for, in the order in which they attach."""

    @property
    def extensions(self) -> Sequence[Extension]:
        """The extensions, made once at the start."""

    def reload(self) -> bool:
        """Read the file again and apply what may change while the daemon runs.

        Returns:
            Whether the file is valid; if not, nothing has changed.
        """
