"""One server's part of a limit on the calls of all servers to a dependency.

These classes answer what the decisions ask of the `DependencySlots` protocol
(gullyoke/admission/interface/fleet_feedback.py).

There are two kinds of limit. `ConcurrencyPart` limits the calls in flight at every moment. A call
takes a token from its start until its end; one that was lost takes it until its linger is over as
well, because the dependency may still be working on it. `MeanConcurrencyPart` limits the mean
number of calls in flight over a window. A token is then a part of that mean, and call time that was
used counts for a whole window, so tokens that are passed on are free of it first.

A call never runs for longer than the tokens that it uses are surely this server's. The need is
estimated from the most calls that were lately in flight and waiting.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Final

from gullyoke.coordination.borrower import BorrowedQuota
from gullyoke.coordination.quota_durations import RENEW_US
from gullyoke.coordination.quota_messages import QuotaMessage
from gullyoke.coordination.quota_participant import AddressedQuotaMessage, QuotaParticipant

SHORTEST_CALL_US: Final = 100_000  # no call starts whose tokens are sure for less
GROWTH_DIVISOR: Final = 8  # one token more is wanted for so many in use, so that growth finds some
PEAK_WINDOW_US: Final = 2 * RENEW_US  # a need counts for one to two such windows
CALL_US: Final = 600_000  # the tokens of a mean must be sure for so long, and for the linger
TOKENS_PER_CALL: Final = 16  # tokens of a mean of one call in flight
USED_SHARE: Final = 0.95  # of a mean, so much is used: the margin of the decisions
MEAN_GROWTH: Final = 1.25  # so much of the mean in use is wanted
LEAST_PACE: Final = 0.25  # calls at a time, for estimates of waits
LEAST_MEAN: Final = 0.01  # calls; above 0, so that a wait can be estimated


class RecentPeak:
    """The highest value within the last `PEAK_WINDOW_US` and the window before."""

    def __init__(self) -> None:
        """Start at 0."""
        self._current = 0
        self._before = 0
        self._since_us = 0

    def record(self, now: int, value: int) -> None:
        """Take a value."""
        self._turn_window(now)
        self._current = max(self._current, value)

    def highest(self, now: int) -> int:
        """Return the highest value."""
        self._turn_window(now)
        return max(self._current, self._before)

    def _turn_window(self, now: int) -> None:
        age_us = now - self._since_us
        if age_us >= PEAK_WINDOW_US:
            self._before = self._current if age_us < 2 * PEAK_WINDOW_US else 0
            self._current = 0
            self._since_us = now


class LimitPart:
    """What all parts of limits have in common: a participant, its need and its messages.

    Attributes:
        refused: How often no token was free; the key of the same name is shown to operators.
    """

    def __init__(self, participant: QuotaParticipant, linger_us: int) -> None:
        """Take over a participant; a lost call may run on for `linger_us`."""
        self.participant = participant
        self.linger_us = linger_us
        self.peak = RecentPeak()
        self.refused = 0

    def used(self, now: int) -> int:
        """Return how many tokens are in use."""
        raise NotImplementedError

    def tick(self, now: int) -> list[AddressedQuotaMessage]:
        """Return what is to be sent now; to be called a few times a second."""
        highest = self.peak.highest(now)
        self.participant.needed = highest + -(-highest // GROWTH_DIVISOR)
        self.participant.used = self.used(now)
        return self.participant.tick(now)

    def handle(self, now: int, message: QuotaMessage) -> AddressedQuotaMessage | None:
        """Take a message; return the answer, if there is one."""
        self.participant.used = self.used(now)
        return self.participant.handle(now, message)


class ConcurrencyPart(LimitPart):
    """A part of a limit on the calls in flight; a token is a call.

    Attributes:
        out: Calls in flight.
    """

    def __init__(self, participant: QuotaParticipant, linger_us: int) -> None:
        """Start without calls."""
        super().__init__(participant, linger_us)
        self.out = 0
        self._lost_until_us: deque[int] = deque()  # when lost calls are over at the latest

    def used(self, now: int) -> int:
        """Return how many calls are in flight here or may be at the dependency."""
        while self._lost_until_us and self._lost_until_us[0] <= now:
            self._lost_until_us.popleft()
        return self.out + len(self._lost_until_us)

    def update_mean_limit(
        self, now: int, stated: float | None, used_call_time: float
    ) -> float | None:
        """Return None: no mean is limited."""
        return None

    def request_slot(self, now: int, waiting: int) -> bool:
        """Tell whether a call may start now; `waiting` more would like to."""
        used = self.used(now)
        self.peak.record(now, used + waiting + 1)
        secured_until_us = self.participant.borrower.secured_until(now, used + 1)
        free = secured_until_us - self.linger_us > now + SHORTEST_CALL_US
        self.refused += not free
        return free

    def secured_until(self, now: int) -> float:
        """Return when the next call has to be over, its linger included."""
        return self.participant.borrower.secured_until(now, self.used(now) + 1)

    def concurrency(self, now: int) -> float:
        """Return how many calls may be in flight at a time."""
        return max(LEAST_PACE, float(self.participant.in_force(now)))

    def call_started(self) -> None:
        """Count a call that starts."""
        self.out += 1

    def call_ended(self, now: int, lost: bool, succeeded: bool) -> None:
        """Count a call that ends; one that was `lost` may still be at the dependency."""
        self.out -= 1
        if lost and self.linger_us:
            self._lost_until_us.append(now + self.linger_us)


class MeanConcurrencyPart(LimitPart):
    """A part of a limit on the mean number of calls in flight over `window_us`."""

    def __init__(self, participant: QuotaParticipant, linger_us: int, window_us: int) -> None:
        """Start without calls."""
        super().__init__(participant, linger_us)
        self.window_us = window_us
        self._spent_us = 0.0

    def used(self, now: int) -> int:
        """Return how many tokens the call time of the last window comes to."""
        return math.ceil(self._spent_us * TOKENS_PER_CALL / (USED_SHARE * self.window_us))

    def update_mean_limit(
        self, now: int, stated: float | None, used_call_time: float
    ) -> float | None:
        """Return the mean that is sure for a call's time.

        `used_call_time` is the call time of the last window, in microseconds.
        """
        self._spent_us = used_call_time
        self.peak.record(now, math.ceil(MEAN_GROWTH * self.used(now)) + 1)
        borrowed = sum(lease.tokens for lease in self._sure_leases(now))
        tokens = self.participant.borrower.guaranteed(now) + borrowed
        return max(LEAST_MEAN, tokens / TOKENS_PER_CALL)

    def _sure_leases(self, now: int) -> list[BorrowedQuota]:
        """Return the leases that last for a call, and so count."""
        call_end_us = now + self.linger_us + CALL_US
        return [
            lease
            for lease in self.participant.borrower.leases.values()
            if lease.tokens and lease.until_us > call_end_us
        ]

    def request_slot(self, now: int, waiting: int) -> bool:
        """Return True: the mean limits the calls.

        While calls wait, twice the tokens in force are wanted, and those of one call at the least.
        """
        if waiting:
            self.refused += 1
            self.peak.record(now, 2 * self.participant.in_force(now) + TOKENS_PER_CALL)
        return True

    def secured_until(self, now: int) -> float:
        """Return when the next call has to be over, its linger included."""
        return min((lease.until_us for lease in self._sure_leases(now)), default=math.inf)

    def concurrency(self, now: int) -> float:
        """Return how many calls may be in flight at a time."""
        return max(LEAST_PACE, self.participant.in_force(now) / TOKENS_PER_CALL)

    def call_started(self) -> None:
        """Do nothing: the call time counts."""

    def call_ended(self, now: int, lost: bool, succeeded: bool) -> None:
        """Do nothing: the call time counts."""
