"""What the controller learns from the other servers of its fleet, with defaults for a lone server.

Each method is called while the controller's lock is held, and must not block. Times are whole
microseconds.
"""

from __future__ import annotations

import math
from typing import Final, Protocol

UNSHARED_CALLS_AT_ONCE: Final = 8.0
"""Calls assumed to be in flight at once, for estimates of waits, where no slots are shared."""


class DependencySlots(Protocol):
    """This server's part of the dependency calls that all servers share."""

    def update_mean_limit(
        self, now: int, stated: float | None, used_call_time: float
    ) -> float | None:
        """Report the call time used so far, and return the mean number of calls allowed in flight.

        Implementations may record the demand that the call time shows.

        Args:
            now: The time.
            stated: The limit so far; None for none.
            used_call_time: Call time that counts against the limit.

        Returns:
            The new limit; None if the mean is not limited.
        """

    def request_slot(self, now: int, waiting: int) -> bool:
        """Request a slot for one more call, and return whether the call may be made now.

        Implementations may record the demand and count a refusal; `call_started` takes the slot.

        Args:
            now: The time.
            waiting: Number of requests that wait for a call.
        """

    def secured_until(self, now: int) -> float:
        """Return the time by which the next call has to be over, its linger included."""

    def concurrency(self, now: int) -> float:
        """Return how many calls may be in flight at once, above 0, to estimate waits."""

    def call_started(self) -> None:
        """Count a call that starts now."""

    def call_ended(self, now: int, lost: bool, succeeded: bool) -> None:
        """Count a call that has ended.

        Args:
            now: The time.
            lost: Whether the dependency may still work on the call for the stated linger.
            succeeded: Whether the dependency answered.
        """


class FleetFeedback(Protocol):
    """The conclusions from the reports of the other servers."""

    def is_overloaded(self, own: bool) -> bool:
        """Return whether so many servers reject requests that a retry is not worth it.

        Args:
            own: Whether this server itself rejects that many of its requests.
        """

    def retry_after(self, own_advice: int) -> int:
        """Return how long a client should wait before it retries.

        Args:
            own_advice: The wait that this server would advise without the other servers' reports.
        """


class UnsharedSlots:
    """No slots are shared: the calls of other servers do not count."""

    def update_mean_limit(
        self, now: int, stated: float | None, used_call_time: float
    ) -> float | None:
        """Return the stated limit."""
        return stated

    def request_slot(self, now: int, waiting: int) -> bool:
        """Return True: a slot is always free."""
        return True

    def secured_until(self, now: int) -> float:
        """Return infinity: calls may take any time."""
        return math.inf

    def concurrency(self, now: int) -> float:
        """Return a fixed number of calls."""
        return UNSHARED_CALLS_AT_ONCE

    def call_started(self) -> None:
        """Count nothing."""

    def call_ended(self, now: int, lost: bool, succeeded: bool) -> None:
        """Count nothing."""


class NoFleetFeedback:
    """There are no reports of other servers."""

    def is_overloaded(self, own: bool) -> bool:
        """Return whether this server itself rejects that many of its requests."""
        return own

    def retry_after(self, own_advice: int) -> int:
        """Return this server's own advice."""
        return own_advice


UNSHARED_SLOTS: Final = UnsharedSlots()
NO_FLEET_FEEDBACK: Final = NoFleetFeedback()
