"""The operator's file in force, the features that it makes, and reading it again."""

from __future__ import annotations

from typing import Protocol

from gullyoke.daemon.daemon import Feature
from gullyoke.extensions.back_ends import BackEnds
from gullyoke.extensions.listeners import Listeners
from gullyoke.extensions.pools import ClassPools
from gullyoke.operator_config.read import read
from gullyoke.operator_config.wanted import OperatorFileError, Wanted
from gullyoke.runtime.logs import log, log_fields
from gullyoke.settings.site_settings import ConfigurationError


class Unit(Feature, Protocol):
    """A feature as its file knows it. `part` is what stands in the file for it."""

    def fits(self, new: Wanted) -> None:
        """Raises `Misstated` where it can't take over what the file says now."""

    def take(self, new: Wanted) -> dict[str, object]:
        """Take over what may change while the server runs.

        What that came to, as pairs for the log.
        """

    def ignored(self, new: Wanted) -> list[str]:
        """The names of what differs and needs a restart."""


class OperatorFile:
    """An operator's file as it stands, and what was made of it."""

    def __init__(self, path: str) -> None:
        """Raises `Faulty` where the file can't be right."""
        self.path, self.wanted = path, read(path)
        self.features: list[Unit] = made(path, self.wanted)

    def apart(self) -> bool:
        """Whether no engine is needed."""
        return self.wanted.pool is not None

    def reload(self) -> bool:
        """Read the file again.

        False where it can't be right; the one in force stays then, whole.
        """
        try:
            new = read(self.path)
            for one in self.features:
                one.fits(new)
        except (OperatorFileError, ConfigurationError) as fault:
            log.error("configuration kept", extra=log_fields(why=fault))
            return False
        ignored = ["json_log"] if new.json_log != self.wanted.json_log else []
        taken: dict[str, object] = {"back_ends": 0}
        for one in self.features:
            ignored += one.ignored(new)
            taken |= one.take(new)
        # A part that the file did not have at the start has no feature that could take it over.
        ignored += [
            name
            for name, field in PARTS.items()
            if getattr(new, field) and not getattr(self.wanted, field)
        ]
        log.warning(
            "operator's file read", extra=log_fields(**taken, ignored=",".join(ignored) or "-")
        )
        return True


PARTS = {
    "ways": "ways",
    "classed": "classed",
    "kept": "kept",
    "backends": "pool",
    "fleet": "fleet",
    "duties": "duties",
}  # their names in the log, and what is read


def made(path: str, wanted: Wanted) -> list[Unit]:
    """The features that the file asks for, in the order in which they join the house."""
    units: list[Unit] = []
    if wanted.pool is not None:
        units.append(BackEnds(path, wanted.pool))
    if wanted.ways:
        units.append(Listeners(wanted.ways))
    if wanted.classed is not None:
        units.append(ClassPools(path, wanted.classed))
    if wanted.kept is not None or wanted.fleet is not None:
        from gullyoke.extensions.disks import Disks

        disks = Disks()
    if wanted.kept is not None:
        from gullyoke.extensions.memory import Memory

        units.append(Memory(wanted.kept, disks))
    if wanted.fleet is not None:
        from gullyoke.extensions.fleet import Fleet

        units.append(Fleet(path, wanted.fleet, wanted.kept, wanted.pool, wanted.duties, disks))
    if wanted.kept is not None and wanted.kept.without:
        from gullyoke.extensions.keys import Keys

        units.append(Keys(wanted.kept, disks))
    return units
