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

    def mean_limit(self, now: int, stated: float | None, used_call_time: float) -> float | None:
        """Return the mean number of calls that may be in flight.

        Args:
            now: The time.
            stated: That number so far.
            used_call_time: Call time that counts against it.

        Returns:
            The mean; None where none is bound.
        """

    def has_free_slot(self, now: int, waiting: int) -> bool:
        """Return whether one more call may be made now; `waiting` more requests want one."""

    def secured_until(self, now: int) -> float:
        """Return by when the next call has to be over, its linger included."""

    def concurrency(self, now: int) -> float:
        """Return how many calls may be in flight at once, above 0; for estimates of waits."""

    def call_started(self) -> None:
        """Count a call that is made now."""

    def call_ended(self, now: int, lost: bool, succeeded: bool) -> None:
        """Count a call that has ended.

        Args:
            now: The time.
            lost: Whether it may stay in the dependency's hands for the stated linger.
            succeeded: Whether it was answered.
        """


class FleetFeedback(Protocol):
    """What the reports of the other servers come to."""

    def is_overloaded(self, own: bool) -> bool:
        """Return whether so many servers reject requests that a retry is not worth it.

        Args:
            own: Whether this server rejects so many itself.
        """

    def retry_after(self, own_advice: int) -> int:
        """Return for how long a client should stay away.

        Args:
            own_advice: What this server would advise by itself.
        """


class UnsharedSlots:
    """No slots are shared: calls of other servers don't count here."""

    def mean_limit(self, now: int, stated: float | None, used_call_time: float) -> float | None:
        """Return the stated mean."""
        return stated

    def has_free_slot(self, now: int, waiting: int) -> bool:
        """Return True: there is always a slot."""
        return True

    def secured_until(self, now: int) -> float:
        """Return that calls may take for ever."""
        return math.inf

    def concurrency(self, now: int) -> float:
        """Return a fixed number of calls."""
        return UNSHARED_CALLS_AT_ONCE

    def call_started(self) -> None:
        """Count nothing."""

    def call_ended(self, now: int, lost: bool, succeeded: bool) -> None:
        """Count nothing."""


class NoFleetFeedback:
    """No other server reports anything."""

    def is_overloaded(self, own: bool) -> bool:
        """Return what this server finds by itself."""
        return own

    def retry_after(self, own_advice: int) -> int:
        """Return this server's own advice."""
        return own_advice


UNSHARED: Final = UnsharedSlots()
ALONE: Final = NoFleetFeedback()
