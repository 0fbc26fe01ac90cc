"""Time slots for actions that only a few members may take at the same time.

The membership view and the clock alone decide which members have a slot. Each slot belongs to
the next `k` of the `n` members, in the order of a hash of the subject, the round and the name, so
every member has a slot within ceil(n / k) slots. An unused slot expires. Where members have
different views, each of the views gives the slot to at most `k` members; actions that must be
exclusive need a lease. A gap at both ends of a slot allows for clocks that differ.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, NamedTuple

from gullyoke.membership.member_record import stable_hash

GAP_DIVISOR: Final = 8  # the gap is the slot's length divided by this


def schedule_within(subject: str, count: int, slot_us: int, slots: int) -> TimeSlotSchedule:
    """Return a schedule in which each of `count` members has a slot within `slots` slots."""
    members_per_slot = max(1, -(-count // slots))
    return TimeSlotSchedule(subject, members_per_slot, slot_us, slot_us // GAP_DIVISOR)


class SlotPosition(NamedTuple):
    """A time: its round, its slot within the round, and whether it is outside the gaps."""

    round: int
    slot: int
    inside: bool


class TimeSlotSchedule:
    """The slots for one subject. Times are microseconds of the wall clock."""

    def __init__(self, subject: str, members_per_slot: int, slot_us: int, gap_us: int) -> None:
        """Create a schedule.

        Args:
            subject: The purpose of the slots; each subject has an order of its own.
            members_per_slot: How many members have the same slot.
            slot_us: The length of a slot.
            gap_us: The length of the gap at either end; clocks may differ by as much.

        Raises:
            ValueError: For fewer than one member per slot, or gaps that fill the slot.
        """
        if members_per_slot < 1 or not 0 <= 2 * gap_us < slot_us:
            raise ValueError(
                f"invalid slots: {members_per_slot} members, {slot_us} us long, gaps of {gap_us} us"
            )
        self.subject = subject
        self.members_per_slot = members_per_slot
        self.slot_us = slot_us
        self.gap_us = gap_us

    def order(self, round_: int, members: Iterable[str]) -> list[str]:
        """Return the members in the order of a round."""
        return sorted(members, key=lambda name: stable_hash(f"{self.subject} {round_} {name}"))

    def position(self, wall_us: int, count: int) -> SlotPosition:
        """Return the position of a time in the schedule of `count` members."""
        slots = max(1, -(-count // self.members_per_slot))
        number, into_us = divmod(wall_us, self.slot_us)
        inside = self.gap_us <= into_us < self.slot_us - self.gap_us
        return SlotPosition(number // slots, number % slots, inside)

    def has_slot(self, wall_us: int, name: str, members: Iterable[str]) -> bool:
        """Return whether a member has the current slot."""
        members = set(members)
        if name not in members:
            return False
        position = self.position(wall_us, len(members))
        if not position.inside:
            return False
        first = position.slot * self.members_per_slot
        return name in self.order(position.round, members)[first : first + self.members_per_slot]

    def remaining_us(self, wall_us: int) -> int:
        """Return the time until the gap at the slot's end; a longer action should not begin."""
        return max(0, self.slot_us - self.gap_us - wall_us % self.slot_us)
