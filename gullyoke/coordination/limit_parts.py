"""One server's part of a limit on the calls of all servers to a dependency.

These classes implement the `DependencySlots` protocol
(gullyoke/admission/interface/fleet_feedback.py) for admission control.

There are two kinds of limit. `ConcurrencyPart` limits the calls in flight at any moment. A call
uses a token from its start to its end; a lost call also uses it for the linger time that follows,
because the dependency may still be working on it. `MeanConcurrencyPart` limits the mean number of
calls in flight over a window. A token is then a fraction of that mean, and used call time counts
for a whole window, so a token is passed on only once no call time counts against it.

A call must end while the server is certain to have the tokens that it uses. The need for tokens is
estimated from the recent peak of calls in flight and waiting.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Final

from gullyoke.coordination.borrower import BorrowedQuota
from gullyoke.coordination.quota_durations import RENEW_US
from gullyoke.coordination.quota_messages import QuotaMessage
from gullyoke.coordination.quota_participant import AddressedQuotaMessage, QuotaParticipant

MIN_SECURED_US: Final = 100_000  # a call starts only if its token is secured for this long
SPARE_DIVISOR: Final = 8  # one spare token is requested per this many needed, for growth
PEAK_WINDOW_US: Final = 2 * RENEW_US  # a peak counts for one to two windows
CALL_US: Final = 600_000  # tokens of a mean must be secured for this plus the linger time
TOKENS_PER_CALL: Final = 16  # tokens that allow a mean of one call in flight
USED_SHARE: Final = 0.95  # share of the mean that admission control uses; the rest is its margin
MEAN_GROWTH: Final = 1.25  # tokens requested, relative to those in use, to allow for growth
MIN_CONCURRENCY: Final = 0.25  # calls in flight; lower bound for estimates of waits
MIN_MEAN: Final = 0.01  # calls in flight; above 0, so that a wait can be estimated


class RecentPeak:
    """The highest value in the current and the previous window of `PEAK_WINDOW_US`."""

    def __init__(self) -> None:
        """Start at 0."""
        self._current = 0
        self._before = 0
        self._since_us = 0

    def record(self, now: int, value: int) -> None:
        """Record a value."""
        self._advance_window(now)
        self._current = max(self._current, value)

    def highest(self, now: int) -> int:
        """Return the highest value."""
        self._advance_window(now)
        return max(self._current, self._before)

    def _advance_window(self, now: int) -> None:
        age_us = now - self._since_us
        if age_us >= PEAK_WINDOW_US:
            self._before = self._current if age_us < 2 * PEAK_WINDOW_US else 0
            self._current = 0
            self._since_us = now


class LimitPart:
    """The base of all parts of limits: a participant, its need of tokens and its messages.

    Attributes:
        refused: How often tokens were missing; operators see the count under this name.
    """

    def __init__(self, participant: QuotaParticipant, linger_us: int) -> None:
        """Start with a participant; a lost call may run on for `linger_us`."""
        self.participant = participant
        self.linger_us = linger_us
        self.peak = RecentPeak()
        self.refused = 0

    def used(self, now: int) -> int:
        """Return how many tokens are in use."""
        raise NotImplementedError

    def tick(self, now: int) -> list[AddressedQuotaMessage]:
        """Return the messages to send now; to be called a few times a second."""
        highest = self.peak.highest(now)
        self.participant.needed = highest + -(-highest // SPARE_DIVISOR)
        self.participant.used = self.used(now)
        return self.participant.tick(now)

    def handle(self, now: int, message: QuotaMessage) -> AddressedQuotaMessage | None:
        """Handle a message; return the answer, if there is one."""
        self.participant.used = self.used(now)
        return self.participant.handle(now, message)


class ConcurrencyPart(LimitPart):
    """A part of a limit on the calls in flight; a token is a call.

    Attributes:
        calls_in_flight: Number of calls that have started here and not ended.
    """

    def __init__(self, participant: QuotaParticipant, linger_us: int) -> None:
        """Start without calls."""
        super().__init__(participant, linger_us)
        self.calls_in_flight = 0
        self._lost_until_us: deque[int] = deque()  # latest possible ends of lost calls

    def used(self, now: int) -> int:
        """Return how many calls are in flight or, once lost, may still run at the dependency."""
        while self._lost_until_us and self._lost_until_us[0] <= now:
            self._lost_until_us.popleft()
        return self.calls_in_flight + len(self._lost_until_us)

    def update_mean_limit(
        self, now: int, stated: float | None, used_call_time: float
    ) -> float | None:
        """Return None: this part limits no mean."""
        return None

    def request_slot(self, now: int, waiting: int) -> bool:
        """Return whether a call may start now, while `waiting` more calls wait.

        Records the need for tokens, and counts in `refused` if no token is free.
        """
        used = self.used(now)
        self.peak.record(now, used + waiting + 1)
        secured_until_us = self.participant.borrower.secured_until(now, used + 1)
        free = secured_until_us - self.linger_us > now + MIN_SECURED_US
        self.refused += not free
        return free

    def secured_until(self, now: int) -> float:
        """Return the time by which the next call and its linger time must have ended."""
        return self.participant.borrower.secured_until(now, self.used(now) + 1)

    def concurrency(self, now: int) -> float:
        """Return how many calls may be in flight at the same time."""
        return max(MIN_CONCURRENCY, float(self.participant.in_force(now)))

    def call_started(self) -> None:
        """Count a call that starts."""
        self.calls_in_flight += 1

    def call_ended(self, now: int, lost: bool, succeeded: bool) -> None:
        """Count a call that ends; a `lost` one may still run at the dependency."""
        self.calls_in_flight -= 1
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
        """Return how many tokens the call time of the last window uses."""
        return math.ceil(self._spent_us * TOKENS_PER_CALL / (USED_SHARE * self.window_us))

    def update_mean_limit(
        self, now: int, stated: float | None, used_call_time: float
    ) -> float | None:
        """Return the mean that is secured for the duration of a call.

        Records `used_call_time`, the call time of the last window in microseconds, and the need for
        tokens that follows from it.
        """
        self._spent_us = used_call_time
        self.peak.record(now, math.ceil(MEAN_GROWTH * self.used(now)) + 1)
        borrowed = sum(lease.tokens for lease in self._secured_leases(now))
        tokens = self.participant.borrower.guaranteed(now) + borrowed
        return max(MIN_MEAN, tokens / TOKENS_PER_CALL)

    def _secured_leases(self, now: int) -> list[BorrowedQuota]:
        """Return the leases that outlast a call and its linger time."""
        call_end_us = now + self.linger_us + CALL_US
        return [
            lease
            for lease in self.participant.borrower.leases.values()
            if lease.tokens and lease.until_us > call_end_us
        ]

    def request_slot(self, now: int, waiting: int) -> bool:
        """Return True: calls are limited by their mean instead.

        While calls wait, counts in `refused` and records a need for twice the tokens in force plus
        the tokens of one call.
        """
        if waiting:
            self.refused += 1
            self.peak.record(now, 2 * self.participant.in_force(now) + TOKENS_PER_CALL)
        return True

    def secured_until(self, now: int) -> float:
        """Return the time by which the next call and its linger time must have ended."""
        return min((lease.until_us for lease in self._secured_leases(now)), default=math.inf)

    def concurrency(self, now: int) -> float:
        """Return how many calls may be in flight at the same time."""
        return max(MIN_CONCURRENCY, self.participant.in_force(now) / TOKENS_PER_CALL)

    def call_started(self) -> None:
        """Do nothing: the limit counts call time."""

    def call_ended(self, now: int, lost: bool, succeeded: bool) -> None:
        """Do nothing: the limit counts call time."""
