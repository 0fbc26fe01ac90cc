"""Turns: what many members may do, but only so many at a time.

Who has a turn follows from the membership view and the clock alone. Time is cut into slots. In each
slot the next `k` members have a turn, in the order of a hash of the subject, the round and the
name, so all members have one within ceil(n / k) slots; a turn that is not used ends with its slot.
Members whose views differ by d members give at most k turns more for each of the views: what must
be exclusive needs a lease. A gap at both ends of a slot keeps clocks that differ apart.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, NamedTuple

from gullyoke.membership.member_record import stable_hash

GAP_DIVISOR: Final = 8  # a gap is this part of its slot


def turns_within(subject: str, count: int, slot_us: int, slots: int) -> Turns:
    """Return turns of `count` members that come round within so many slots."""
    members_a_slot = max(1, -(-count // slots))
    return Turns(subject, members_a_slot, slot_us, slot_us // GAP_DIVISOR)


class SlotPosition(NamedTuple):
    """A moment: its round, its slot within the round, and whether it is outside the gaps."""

    round: int
    slot: int
    inside: bool


class Turns:
    """Turns about one subject. Times are microseconds of the wall clock."""

    def __init__(self, subject: str, members_a_slot: int, slot_us: int, gap_us: int) -> None:
        """Set the slots.

        Args:
            subject: What the turns are about; each has an order of its own.
            members_a_slot: How many members have a turn at a time.
            slot_us: The length of a slot.
            gap_us: The length of the gaps at its ends; clocks may differ by as much.

        Raises:
            ValueError: For no members, or gaps that leave nothing of a slot.
        """
        if members_a_slot < 1 or not 0 <= 2 * gap_us < slot_us:
            raise ValueError(
                f"{members_a_slot} at a time in slots of {slot_us} with gaps of {gap_us}"
            )
        self.subject = subject
        self.members_a_slot = members_a_slot
        self.slot_us = slot_us
        self.gap_us = gap_us

    def order(self, round_: int, members: Iterable[str]) -> list[str]:
        """Return the members in the order of a round."""
        return sorted(members, key=lambda name: stable_hash(f"{self.subject} {round_} {name}"))

    def position(self, wall_us: int, count: int) -> SlotPosition:
        """Return where a moment is in the turns of `count` members."""
        slots = max(1, -(-count // self.members_a_slot))
        number, into_us = divmod(wall_us, self.slot_us)
        inside = self.gap_us <= into_us < self.slot_us - self.gap_us
        return SlotPosition(number // slots, number % slots, inside)

    def mine(self, wall_us: int, name: str, members: Iterable[str]) -> bool:
        """Tell whether a member has a turn now."""
        members = set(members)
        if name not in members:
            return False
        position = self.position(wall_us, len(members))
        if not position.inside:
            return False
        first = position.slot * self.members_a_slot
        return name in self.order(position.round, members)[first : first + self.members_a_slot]

    def remaining_us(self, wall_us: int) -> int:
        """Return the time until the slot's last gap; what does not fit should not begin."""
        return max(0, self.slot_us - self.gap_us - wall_us % self.slot_us)
