"""The base class of the extensions, with the default of each method."""

from __future__ import annotations

from gullyoke.daemon.configuration import DaemonConfiguration
from gullyoke.daemon.extension import DaemonParts
from gullyoke.executors import Executor
from gullyoke.operator_config.wanted import OperatorSettings
from gullyoke.runtime.duplicate_table import DuplicateTable
from gullyoke.runtime.metrics import Metrics


class BaseExtension:
    """An extension that changes nothing.

    It opens no descriptors, replaces no part of the daemon and applies no change of the operator's
    file while the daemon runs. See `gullyoke.daemon.extension.Extension` for the first methods and
    `gullyoke.extensions.operator_file.ReloadableExtension` for the last three.

    Attributes:
        name: the name in the log of this extension's section of the operator's file.
        section: the attribute of the parsed file that has this section.
        initial: the section as it was at the start.
    """

    name = ""
    section = ""

    def __init__(self, initial: object) -> None:
        """Create the extension from its section of the operator's file."""
        self.initial = initial

    def create_executor(
        self, configuration: DaemonConfiguration, metrics: Metrics
    ) -> Executor | None:
        """Return None: the engine runs the requests."""
        return None

    def create_duplicate_table(self, configuration: DaemonConfiguration) -> DuplicateTable | None:
        """Return None: idempotency keys are remembered in memory."""
        return None

    def wrap_executor(self, daemon: DaemonParts, executor: Executor) -> Executor:
        """Return the executor as it is."""
        return executor

    def reserved_descriptors(self) -> int:
        """Return 0."""
        return 0

    def attach(self, daemon: DaemonParts) -> None:
        """Do nothing."""

    def start(self) -> None:
        """Do nothing."""

    def log_status(self) -> None:
        """Do nothing."""

    def begin_drain(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""

    def check_reload(self, new: OperatorSettings) -> None:
        """Accept the file."""

    def apply_reload(self, new: OperatorSettings) -> dict[str, object]:
        """Apply nothing."""
        return {}

    def ignored_changes(self, new: OperatorSettings) -> list[str]:
        """Return this extension's name where its section differs from that of the start."""
        return [] if getattr(new, self.section) == self.initial else [self.name]
