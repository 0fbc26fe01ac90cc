"""What other servers of a fleet report to the decisions, and what stands there where none does.

Each method is called under the lock that the decisions run under, and answers at once. Times are
whole microseconds.
"""

from __future__ import annotations

import math
from typing import Final, Protocol

UNSHARED_CALLS_AT_ONCE: Final = 8.0
"""Calls that are taken to be in flight at once where no slots are shared."""


class DependencySlots(Protocol):
    """This server's part of the dependency calls that all servers share."""

    def share(self, now: int, told: float | None, spent: float) -> float | None:
        """Return the mean number of calls that may be in flight.

        Args:
            now: The time.
            told: That number so far.
            spent: Call time that counts against it.

        Returns:
            The mean; None where none is bound.
        """

    def free(self, now: int, waiting: int) -> bool:
        """Return whether one more call may be made now; `waiting` more requests want one."""

    def until(self, now: int) -> float:
        """Return by when the next call has to be over, its linger included."""

    def pace(self, now: int) -> float:
        """Return how many calls may be in flight at once, above 0; for estimates of waits."""

    def began(self) -> None:
        """Count a call that is made now."""

    def ended(self, now: int, lost: bool, well: bool) -> None:
        """Count a call that has ended.

        Args:
            now: The time.
            lost: Whether it may stay in the dependency's hands for the stated linger.
            well: Whether it was answered.
        """


class FleetFeedback(Protocol):
    """What the reports of the other servers come to."""

    def full(self, alone: bool) -> bool:
        """Return whether so many servers reject requests that a retry is not worth it.

        Args:
            alone: Whether this server by itself is so full.
        """

    def stay(self, wait: int) -> int:
        """Return for how long a client should stay away; `wait`, this server's own advice."""


class UnsharedSlots:
    """No slots are shared: calls of other servers don't count here."""

    def share(self, now: int, told: float | None, spent: float) -> float | None:
        """Return the stated mean."""
        return told

    def free(self, now: int, waiting: int) -> bool:
        """Return True: there is always a slot."""
        return True

    def until(self, now: int) -> float:
        """Return that calls may take for ever."""
        return math.inf

    def pace(self, now: int) -> float:
        """Return a fixed number of calls."""
        return UNSHARED_CALLS_AT_ONCE

    def began(self) -> None:
        """Count nothing."""

    def ended(self, now: int, lost: bool, well: bool) -> None:
        """Count nothing."""


class NoFleetFeedback:
    """No other server reports anything."""

    def full(self, alone: bool) -> bool:
        """Return what this server finds by itself."""
        return alone

    def stay(self, wait: int) -> int:
        """Return this server's own advice."""
        return wait


UNSHARED: Final = UnsharedSlots()
ALONE: Final = NoFleetFeedback()
