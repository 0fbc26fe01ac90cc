"""Class pools, where they are wanted."""

from __future__ import annotations

from gullyoke.daemon.house import House
from gullyoke.features.unit import Plain
from gullyoke.operator.wanted import Classed
from gullyoke.options import Misstated


class ClassPools(Plain):
    name = part = "classed"

    def __init__(self, path: str, classed: Classed) -> None:
        super().__init__(classed)
        self.path, self.classed = path, classed

    def join(self, house: House) -> None:
        """Raises `Misstated` for a handler that the site does not have."""
        desk = house.desk
        for name in self.classed.classes:
            if name not in desk.request_classes:
                raise Misstated(
                    f"{self.path}: pools.class.handler: {name!r} is no handler of this site; "
                    f"right would be one of {', '.join(desk.request_classes)}"
                )
        desk.pool(self.classed.minimum, self.classed.classes)
