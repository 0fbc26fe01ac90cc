"""What a lease holder sends to the members of the fleet, and what operators send to a holder.

A receiver compares the epoch of an announcement or instruction with the newest that it has seen of
the lease (gullyoke/leases/fence.py). The messages travel as arrays of their fields in the order in
which they stand here.
"""

from __future__ import annotations

from typing import Final, NamedTuple

MAX_LEASES: Final = 64  # leases of which a process remembers the holder


class Announcement(NamedTuple):
    """From a holder to all members: it holds the lease `duty`; `body` is for its handler there."""

    duty: str
    epoch: int
    incarnation: int
    name: str
    body: bytes


class Instruction(NamedTuple):
    """From a holder to one member: do `what`, with `body` as its argument."""

    duty: str
    epoch: int
    incarnation: int
    what: str
    body: bytes


class ForwardedCommand(NamedTuple):
    """An operator's command in `what`, forwarded to the holder by the server that was asked."""

    duty: str
    what: str


class KnownHolder(NamedTuple):
    """The last announcement of a lease, and when it came, in microseconds."""

    announcement: Announcement
    received_at_us: int


class KnownHolders:
    """The last announcement of each lease that came to this process.

    Attributes:
        by_duty: Announcements by the name of the lease, at most `MAX_LEASES`.
    """

    def __init__(self) -> None:
        """Start without any announcement."""
        self.by_duty: dict[str, KnownHolder] = {}

    def take(self, now: int, announcement: Announcement) -> bool:
        """Remember an announcement; False where it is of an older epoch than the last."""
        known = self.by_duty.get(announcement.duty)
        if known is None:
            if len(self.by_duty) >= MAX_LEASES:
                return False
        elif announcement.epoch < known.announcement.epoch:
            return False
        self.by_duty[announcement.duty] = KnownHolder(announcement, now)
        return True
