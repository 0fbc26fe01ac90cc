"""The operator's file in force, the extensions that it asks for, and its reload."""

from __future__ import annotations

from typing import Final, Protocol

from gullyoke.daemon.extension import Extension
from gullyoke.errors import ConfigurationError
from gullyoke.extensions.back_ends import BackEnds
from gullyoke.extensions.class_pools import ClassPools
from gullyoke.extensions.fleet_extension import FleetExtension
from gullyoke.extensions.listeners import Listeners
from gullyoke.operator_config.read import read
from gullyoke.operator_config.wanted import (
    DutiesSection,
    FleetSection,
    OperatorFileError,
    OperatorSettings,
)
from gullyoke.runtime.logs import log, log_fields

#: The attribute of the parsed file that has a section, by the section's name in the log.
SECTIONS: Final = {
    "ways": "ways",
    "classed": "classed",
    "kept": "kept",
    "backends": "pool",
    "fleet": "fleet",
    "duties": "duties",
}


class ReloadableExtension(Extension, Protocol):
    """An extension that takes part in reloads of the operator's file."""

    def check_reload(self, new: OperatorSettings) -> None:
        """Check a new file before any of it is applied.

        Raises:
            ConfigurationError: this extension can't apply the file.
        """

    def apply_reload(self, new: OperatorSettings) -> dict[str, object]:
        """Apply what may change while the daemon runs.

        Returns:
            What has been applied, as fields of a log line.
        """

    def ignored_changes(self, new: OperatorSettings) -> list[str]:
        """Return the names of the settings that differ and need a restart."""


class OperatorFile:
    """An operator's file as it was at the start, and the extensions made of it."""

    def __init__(self, path: str) -> None:
        """Read the file.

        Raises:
            OperatorFileError: the file can't be read or is invalid.
        """
        self.path = path
        self.wanted = read(path)
        self.extensions = create_extensions(path, self.wanted)

    def replaces_engine(self) -> bool:
        """Return whether back ends of this file run the requests."""
        return self.wanted.pool is not None

    def reload(self) -> bool:
        """Read the file again and apply what may change while the daemon runs.

        Returns:
            Whether the file is valid; if not, nothing has changed.
        """
        try:
            new = read(self.path)
            for extension in self.extensions:
                extension.check_reload(new)
        except (OperatorFileError, ConfigurationError) as error:
            log.error("configuration kept", extra=log_fields(why=error))
            return False
        ignored = ["json_log"] if new.json_log != self.wanted.json_log else []
        applied: dict[str, object] = {"back_ends": 0}
        for extension in self.extensions:
            ignored += extension.ignored_changes(new)
            applied |= extension.apply_reload(new)
        ignored += self._sections_added(new)
        log.warning(
            "operator's file read", extra=log_fields(**applied, ignored=",".join(ignored) or "-")
        )
        return True

    def _sections_added(self, new: OperatorSettings) -> list[str]:
        """Return the sections that the file lacked at the start; no extension applies them."""
        return [
            name
            for name, section in SECTIONS.items()
            if getattr(new, section) and not getattr(self.wanted, section)
        ]


def create_extensions(path: str, wanted: OperatorSettings) -> list[ReloadableExtension]:
    """Create the extensions that the file asks for, in the order in which they attach.

    Modules that only some files need are imported only for those, since they take memory.
    """
    extensions: list[ReloadableExtension] = []
    back_ends = None
    if wanted.pool is not None:
        back_ends = BackEnds(path, wanted.pool)
        extensions.append(back_ends)
    if wanted.ways:
        extensions.append(Listeners(wanted.ways))
    if wanted.classed is not None:
        extensions.append(ClassPools(path, wanted.classed))
    if wanted.kept is not None or wanted.fleet is not None:
        extensions += _create_stateful_extensions(path, wanted, back_ends)
    return extensions


def _create_stateful_extensions(
    path: str, wanted: OperatorSettings, back_ends: BackEnds | None
) -> list[ReloadableExtension]:
    """Create the extensions that write to folders; they share the monitor of a folder."""
    from gullyoke.extensions.data_folders import DataFolders

    folders = DataFolders()
    extensions: list[ReloadableExtension] = []
    fleet = None
    if wanted.kept is not None:
        from gullyoke.extensions.memory import Memory

        extensions.append(Memory(wanted.kept, folders))
    if wanted.fleet is not None:
        from gullyoke.extensions.fleet import Fleet

        fleet = Fleet(
            path,
            wanted.fleet,
            wanted.kept,
            create_fleet_extensions(wanted.fleet, wanted.duties, back_ends),
            folders,
        )
        extensions.append(fleet)
    if wanted.kept is not None and wanted.kept.without:
        from gullyoke.extensions.keys import Keys

        extensions.append(Keys(wanted.kept, folders, fleet))
    return extensions


def create_fleet_extensions(
    wanted: FleetSection, duties: DutiesSection | None, back_ends: BackEnds | None
) -> list[FleetExtension]:
    """Create the extensions of the fleet's membership."""
    extensions: list[FleetExtension] = []
    if wanted.signals:
        from gullyoke.extensions.signals import Signals

        extensions.append(Signals(wanted.heed))
    if wanted.shares is not None:
        from gullyoke.extensions.shares import Shares

        extensions.append(Shares(wanted.shares))
    if back_ends is not None:
        from gullyoke.extensions.subsets import Subsets

        extensions.append(Subsets(back_ends.wanted.subset, back_ends))
    if duties is not None:
        from gullyoke.extensions.duties import FleetLeases

        extensions.append(FleetLeases(duties))
    return extensions
