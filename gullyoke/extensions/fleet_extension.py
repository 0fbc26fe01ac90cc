"""The base class of the extensions of a fleet's membership: signals, shares, subsets and leases."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gullyoke.operator_config.wanted import OperatorSettings

if TYPE_CHECKING:
    from gullyoke.extensions.fleet import Fleet


class FleetExtension:
    """An addition to the membership that changes nothing.

    The fleet calls the methods as the daemon calls those of an extension, see
    `gullyoke.daemon.extension.Extension`.
    """

    def attach(self, fleet: Fleet) -> None:
        """Check the configuration, while the daemon is built.

        Raises:
            ConfigurationError: this server can't do what the configuration asks for.
        """

    def start(self, fleet: Fleet) -> None:
        """Connect to the fleet, before its thread starts and before the decisions are made."""

    def update(self, now: int) -> None:
        """Act on the members as they are now; called once a second on the timer's thread.

        Args:
            now: the time, in microseconds.
        """

    def log_status(self) -> None:
        """Log the state, next to the counters."""

    def begin_drain(self) -> None:
        """Prepare for the drain that begins now."""

    def close(self) -> None:
        """Release what is open; the daemon ends right after."""

    def apply_reload(self, new: OperatorSettings) -> dict[str, object]:
        """Apply what may change while the daemon runs.

        Returns:
            What has been applied, as fields of a log line.
        """
        return {}

    def ignored_changes(self, new: OperatorSettings) -> list[str]:
        """Return the names of the settings that differ and need a restart."""
        return []
