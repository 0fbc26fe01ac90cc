"""Turns: what many may do, but only so many at a time.

Who has one is told by the view and the clock alone.

Time is cut into slots; in each, the members in the order of a hash of name, duty and round are
taken `k` at a time, so in ceil(n / k) slots everybody has had one: nobody is left out, and one that
is not used passes on with its slot. Two whose views differ by d members give at most k more for
each side's reading: where it must be exclusive, a duty is needed, not a turn. A short gap at each
slot's end keeps clocks that differ apart.
"""

from __future__ import annotations

from collections.abc import Iterable

from gullyoke.membership.row import whole


def turns_within(what: str, count: int, slot: int, slots: int) -> Turns:
    """Turns of so many members that come round within `slots` slots, an eighth of each a gap at
    both ends.
    """
    return Turns(what, max(1, -(-count // slots)), slot, slot // 8)


class Turns:
    """`slot` and `gap` in microseconds of the wall clock, which members hold alike within `gap`."""

    def __init__(self, what: str, k: int, slot: int, gap: int) -> None:
        if k < 1 or not 0 <= 2 * gap < slot:
            raise ValueError(f"{k} at a time in slots of {slot} with gaps of {gap}")
        self.what, self.k, self.slot, self.gap = what, k, slot, gap

    def order(self, round_: int, members: Iterable[str]) -> list[str]:
        """The members in this round's order.

        Another one each round, the same for all who see the same.
        """
        return sorted(members, key=lambda name: whole(f"{self.what} {round_} {name}"))

    def at(self, wall: int, count: int) -> tuple[int, int, bool]:
        """The round, the slot in it, and whether this moment is within it and not its gap."""
        slots = max(1, -(-count // self.k))
        number, into = divmod(wall, self.slot)
        return number // slots, number % slots, self.gap <= into < self.slot - self.gap

    def mine(self, wall: int, name: str, members: Iterable[str]) -> bool:
        """Whether `name` may act now."""
        members = set(members)
        if name not in members:
            return False
        round_, slot, inside = self.at(wall, len(members))
        order = self.order(round_, members)
        return inside and name in order[slot * self.k : (slot + 1) * self.k]

    def left(self, wall: int) -> int:
        """Microseconds until the slot's end, its gap taken off: what does not fit is not begun."""
        return max(0, self.slot - self.gap - wall % self.slot)
