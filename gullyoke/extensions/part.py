"""What stands on a fleet's membership, a unit each: signals, shares, and what later comes to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gullyoke.operator_config.wanted import Wanted

if TYPE_CHECKING:
    from gullyoke.extensions.fleet import Fleet


class Part:
    """Does nothing; a part says otherwise.

    `join` comes while the house is put together and may raise `Misstated`, `begin` before the
    link's thread and before the decisions are made, `look` once a second from the timer, the rest
    as for a feature.
    """

    def join(self, fleet: Fleet) -> None: ...

    def begin(self, fleet: Fleet) -> None: ...

    def look(self, now: int) -> None: ...

    def print(self) -> None: ...

    def leave(self) -> None: ...

    def end(self) -> None: ...

    # The file was read again.

    def take(self, new: Wanted) -> dict[str, object]:
        """Take over what may change while the server runs: what that came to, for the log."""
        return {}

    def ignored(self, new: Wanted) -> list[str]:
        """The names of what differs and needs a restart."""
        return []
