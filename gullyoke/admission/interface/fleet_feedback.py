"""What other servers of a fleet can state to the decisions, and what stands there where nothing is
known of them: each is asked under the lock that the decisions hold, and answers at once.
"""

from __future__ import annotations

import math
from typing import Protocol


class DependencySlots(Protocol):
    """What calls below this server may have out, of what all servers share."""

    def share(self, now: int, told: float | None, spent: float) -> float | None:
        """The mean number of calls that may be out; `told`, what it is so far.

        `spent`, the call time, in microseconds, that counts against it. None where no mean is
        bound.
        """

    def free(self, now: int, waiting: int) -> bool:
        """Whether one more may go out now; `waiting` would like to beside it."""

    def until(self, now: int) -> float:
        """By when the next one has to be over, its linger included.

        Its place is sure until then.
        """

    def pace(self, now: int) -> float:
        """How many may be out at once, for reckoning how long one waits; above 0."""

    def began(self) -> None: ...

    def ended(self, now: int, lost: bool, well: bool) -> None:
        """`lost`: it may stay in the dependency's hands for the stated linger; `well`.

        It was answered.
        """


class FleetFeedback(Protocol):
    """What the others' words come to."""

    def full(self, alone: bool) -> bool:
        """Whether so many turn reqs away themselves that a further try is not worth it.

        `alone`, what this server says by itself.
        """

    def stay(self, wait: int) -> int:
        """How long a caller should stay away, in microseconds, where this server alone would say
        `wait`.
        """


class Unshared:
    """No slots are shared: others' calls are no affair of this server's."""

    def share(self, now: int, told: float | None, spent: float) -> float | None:
        return told

    def free(self, now: int, waiting: int) -> bool:
        return True

    def until(self, now: int) -> float:
        return math.inf

    def pace(self, now: int) -> float:
        return 8.0

    def began(self) -> None: ...

    def ended(self, now: int, lost: bool, well: bool) -> None: ...


class Alone:
    """Nobody tells anything."""

    def full(self, alone: bool) -> bool:
        return alone

    def stay(self, wait: int) -> int:
        return wait


UNSHARED, ALONE = Unshared(), Alone()
