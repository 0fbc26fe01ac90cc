"""The interface between the daemon and its extensions.

The modules of gullyoke/extensions/ implement `Extension`. They are imported only if an operator's
file configures them, so a daemon without such a file does not need their dependencies.
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
        configuration: the configuration read at the start. A reload never changes the fields that
            extensions read: the name, the seed, the settings and the facts of the site.
        metrics: the daemon's counters.
        timer: runs scheduled callbacks on its own thread.
        dispatcher: serializes the calls of the admission controller.
        lifecycle: the answer to health checks and the other state of the server as a whole.
        message_handler: answers the requests and health checks of every front end.
        connections: all client connections; extensions add their listeners here.
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
    `wrap_executor` while it is created, then `attach`; `start` after the timer has started;
    `log_status` whenever the counters are logged; `begin_drain` at the stop signal; `close` at the
    end of the drain.
    """

    def create_executor(
        self, configuration: DaemonConfiguration, metrics: Metrics
    ) -> Executor | None:
        """Create the executor that replaces the engine; None if the extension has none."""

    def create_duplicate_table(self, configuration: DaemonConfiguration) -> DuplicateTable | None:
        """Create the duplicate table; None if the extension does not replace the one in memory."""

    def wrap_executor(self, daemon: DaemonParts, executor: Executor) -> Executor:
        """Return an executor that wraps the given one, or the given one itself."""

    def reserved_descriptors(self) -> int:
        """Return the maximum number of file descriptors that the extension opens at once."""

    def attach(self, daemon: DaemonParts) -> None:
        """Connect to the parts of the daemon, before any of them runs.

        Raises:
            ConfigurationError: the configuration of the extension is invalid.
            OSError: an address or a file can't be used.
        """

    def start(self) -> None:
        """Start threads and periodic work."""

    def log_status(self) -> None:
        """Log the state of the extension; called when the counters are logged."""

    def begin_drain(self) -> None:
        """Prepare for the stop, at the beginning of the drain."""

    def close(self) -> None:
        """Release all resources; the daemon ends right after."""


class OperatorConfiguration(Protocol):
    """An operator's file: the extensions that it configures, in the order in which they attach."""

    @property
    def extensions(self) -> Sequence[Extension]:
        """The extensions, created once at the start."""

    def reload(self) -> bool:
        """Read the file again and apply what may change while the daemon runs.

        Returns:
            Whether the file is valid; nothing is applied from an invalid file.
        """
