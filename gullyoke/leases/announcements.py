"""Messages from a lease holder to the members of the fleet, and from operators to a holder.

A receiver compares the epoch of an announcement or instruction with the newest epoch that it has
seen for the lease (gullyoke/leases/fence.py). The messages are sent as arrays of their fields in
the order of their definition.
"""

from __future__ import annotations

from typing import Final, NamedTuple

MAX_LEASES: Final = 64  # leases whose holder a process remembers


class Announcement(NamedTuple):
    """Tells all members who holds the lease `duty`; `body` is for the lease's handler there."""

    duty: str
    epoch: int
    incarnation: int
    name: str
    body: bytes


class Instruction(NamedTuple):
    """Tells one member, on behalf of the holder, to do `what` with the argument `body`."""

    duty: str
    epoch: int
    incarnation: int
    what: str
    body: bytes


class ForwardedCommand(NamedTuple):
    """An operator's command `what`, forwarded to the holder by the server that received it."""

    duty: str
    what: str


class KnownHolder(NamedTuple):
    """The last announcement of a lease and the time when it was received, in microseconds."""

    announcement: Announcement
    received_at_us: int


class KnownHolders:
    """The last announcement of each lease that this process received.

    Attributes:
        by_duty: Announcements by the name of the lease, at most `MAX_LEASES`.
    """

    def __init__(self) -> None:
        """Start without any announcement."""
        self.by_duty: dict[str, KnownHolder] = {}

    def take(self, now: int, announcement: Announcement) -> bool:
        """Store an announcement.

        Returns:
            False for an older epoch than the last one's, or a new lease above `MAX_LEASES`.
        """
        known = self.by_duty.get(announcement.duty)
        if known is None:
            if len(self.by_duty) >= MAX_LEASES:
                return False
        elif announcement.epoch < known.announcement.epoch:
            return False
        self.by_duty[announcement.duty] = KnownHolder(announcement, now)
        return True
