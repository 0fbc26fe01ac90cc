"""Class pools, where they are wanted."""

from __future__ import annotations

from gullyoke.daemon.extension import DaemonParts
from gullyoke.errors import ConfigurationError
from gullyoke.extensions.base import BaseExtension
from gullyoke.operator_config.wanted import Classed


class ClassPools(BaseExtension):
    name = section = "classed"

    def __init__(self, path: str, classed: Classed) -> None:
        super().__init__(classed)
        self.path, self.classed = path, classed

    def attach(self, daemon: DaemonParts) -> None:
        """Raises `Misstated` for a handler that the site does not have."""
        dispatcher = daemon.dispatcher
        for name in self.classed.classes:
            if name not in dispatcher.request_classes:
                raise ConfigurationError(
                    f"{self.path}: pools.class.handler: {name!r} is no handler of this site; "
                    f"right would be one of {', '.join(dispatcher.request_classes)}"
                )
        dispatcher.set_class_pools(self.classed.minimum, self.classed.classes)
