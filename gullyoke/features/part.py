"""What stands on a fleet's membership, a unit each: signals, shares, and what later comes to it."""
from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gullyoke.features.fleet import Fleet


class Part:
    """Does nothing; a part says otherwise. `join` comes while the house is put together and may raise
    `Misstated`, `begin` before the link's thread and before the decisions are made, `look` once a second from
    the timer, the rest as for a feature."""

    def join(self, fleet: Fleet) -> None: ...

    def begin(self, fleet: Fleet) -> None: ...

    def look(self, now: int) -> None: ...

    def print(self) -> None: ...

    def leave(self) -> None: ...

    def end(self) -> None: ...
