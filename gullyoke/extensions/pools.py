"""Class pools, where they are wanted."""

from __future__ import annotations

from gullyoke.daemon.daemon import Daemon
from gullyoke.extensions.unit import Plain
from gullyoke.operator_config.wanted import Classed
from gullyoke.settings.site_settings import ConfigurationError


class ClassPools(Plain):
    name = part = "classed"

    def __init__(self, path: str, classed: Classed) -> None:
        super().__init__(classed)
        self.path, self.classed = path, classed

    def join(self, daemon: Daemon) -> None:
        """Raises `Misstated` for a handler that the site does not have."""
        dispatcher = daemon.dispatcher
        for name in self.classed.classes:
            if name not in dispatcher.request_classes:
                raise ConfigurationError(
                    f"{self.path}: pools.class.handler: {name!r} is no handler of this site; "
                    f"right would be one of {', '.join(dispatcher.request_classes)}"
                )
        dispatcher.pool(self.classed.minimum, self.classed.classes)
