"""Class pools: each request class has a part of the cores to itself."""

from __future__ import annotations

from gullyoke.daemon.extension import DaemonParts
from gullyoke.errors import ConfigurationError
from gullyoke.extensions.base import BaseExtension
from gullyoke.operator_config.wanted import PoolsSection


class ClassPools(BaseExtension):
    """Gives the pools of the operator's file to the dispatcher."""

    name = section = "classed"

    def __init__(self, path: str, wanted: PoolsSection) -> None:
        """Create the extension.

        Args:
            path: the operator's file, for errors.
            wanted: its section.
        """
        super().__init__(wanted)
        self.path = path
        self.wanted = wanted

    def attach(self, daemon: DaemonParts) -> None:
        """Set the pools, which are used from the first decision on.

        Raises:
            ConfigurationError: a pool names a request class that the site does not have.
        """
        known = daemon.dispatcher.request_classes
        for name in self.wanted.classes:
            if name not in known:
                raise ConfigurationError(
                    f"{self.path}: pools.class.handler: {name!r} is no handler of this site; "
                    f"right would be one of {', '.join(known)}"
                )
        daemon.dispatcher.set_class_pools(self.wanted.minimum, self.wanted.classes)
