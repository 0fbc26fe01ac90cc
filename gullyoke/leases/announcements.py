"""What a holder tells all members, and what anybody asks of a holder.

Whoever hears a notice or an order holds its epoch against the newest it has seen
(gullyoke/leases/fence.py).
"""

from __future__ import annotations

from typing import NamedTuple


class Announcement(NamedTuple):
    """I hold this duty; `body` is what all should know of it."""

    duty: str
    epoch: int
    life: int
    name: str
    body: bytes


class Instruction(NamedTuple):
    """From a holder to one member: do this."""

    duty: str
    epoch: int
    life: int
    what: str
    body: bytes


class ForwardedCommand(NamedTuple):
    """From anybody to the holder: an operator asks this."""

    duty: str
    what: str


class KnownHolder(NamedTuple):
    """The last notice of a duty, and when it came."""

    notice: Announcement
    at: int


class KnownHolders:
    """What is known of holders here. Table: one row a duty, at most MOST."""

    MOST = 64

    def __init__(self) -> None:
        self.rows: dict[str, KnownHolder] = {}

    def take(self, now: int, notice: Announcement) -> bool:
        """Whether it is news: not of an older epoch."""
        known = self.rows.get(notice.duty)
        if (known is not None and notice.epoch < known.notice.epoch) or (
            known is None and len(self.rows) >= self.MOST
        ):
            return False
        self.rows[notice.duty] = KnownHolder(notice, now)
        return True

    def holder(self, now: int, duty: str, young: int) -> str:
        """Who holds it by a notice that is young enough; empty where that is not known."""
        known = self.rows.get(duty)
        return known.notice.name if known is not None and now - known.at < young else ""
