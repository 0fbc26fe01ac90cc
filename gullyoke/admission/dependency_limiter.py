"""Limits how many calls to the dependency are in flight, and for how long.

Times are microseconds.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Final, NamedTuple

from gullyoke.admission.interface import DependencySlots, Request, RequestEvent
from gullyoke.admission.timing import TICK_US, full_value_deadline

USED_QUOTA_SHARE: Final = 0.95
"""Share of the quota that this server uses at most."""
TIMEOUT_CALL_TIMES: Final = 4
"""Timeout of a call, as a multiple of the recent call time."""
TIMEOUT_BUDGET_DIVISOR: Final = 4
"""The timeout may also be as long as the remaining call time divided by this."""
LOWERING_CALL_TIMES: Final = 8
"""The concurrency limit is lowered while the recent call time exceeds the usual one times this."""
SLOW_CALL_TIMES: Final = 2
"""Requests call by priority weight while the recent call time exceeds the usual one times this."""
LOWERING_FACTOR: Final = 0.9
RAISING_FACTOR: Final = 1.125
CALL_TIME_SMOOTHING: Final = 8
"""The weight of one call in the recent call time is one divided by this."""
USUAL_CALL_TIME_GROWTH: Final = 1.001
"""Factor by which the usual call time, the lowest recent one, rises with each call."""


class EndedCall(NamedTuple):
    """An ended call that still counts against the quota.

    Args:
        counts_until: When the call leaves the window of the quota.
        call_time: Microseconds for which the dependency worked on the call, linger included.
    """

    counts_until: int
    call_time: int


class DependencyLimiter:
    """Limits the time that calls are in flight, and chooses which request calls next.

    This server keeps to its quota of the dependency without the help of other servers. The call
    time of the calls that ended within the window and of the calls in flight stays below the quota
    times the window, even if the quota is less than one call. A call in flight counts for its whole
    timeout plus the linger. The tables hold the waiting requests, which leave when they call or are
    given up, and the ended calls of one window.

    Args:
        now: The time in microseconds.
        quota: Mean number of calls that this server may have in flight; None for no limit.
        window: Microseconds over which that mean is taken.
        linger: Microseconds for which the dependency works on an abandoned call at most.
        slots: This server's part of the dependency calls that all servers share.
    """

    def __init__(
        self, now: int, quota: float | None, window: int, linger: int, slots: DependencySlots
    ) -> None:
        self.quota = quota
        self.window = window
        self.linger = linger
        self.slots = slots
        self.waiting: list[Request] = []
        # Call time in the window: allowed by the quota, used by ended calls, reserved for those in
        # flight.
        self.budget = self._window_budget()
        self.ended_calls: deque[EndedCall] = deque()
        self.used_call_time = 0
        self.reserved_call_time = 0
        # Calls in flight: the limit, the current number, and the largest since the last tick.
        self.concurrency_limit = math.inf
        self.in_flight = 0
        self.peak_in_flight = 0
        # Call times: the recent mean, and the lowest recent mean.
        self.recent_call_time = 0.0
        self.usual_call_time = 0.0
        self.paused_until = now
        self.last_ended_at = now
        self.last_success_started_at = 0
        self.last_reply_lost = False

    def _window_budget(self) -> float:
        return math.inf if self.quota is None else USED_QUOTA_SHARE * self.quota * self.window

    def remaining_call_time(self, now: int) -> float:
        """Drop the calls that have left the window, and return the call time left of the quota."""
        while self.ended_calls and self.ended_calls[0].counts_until <= now:
            self.used_call_time -= self.ended_calls.popleft().call_time
        return self.budget - self.used_call_time - self.reserved_call_time

    def call_timeout(self, request: Request, now: int) -> int:
        """Return the timeout of a call made now, in microseconds.

        The call ends by the request's deadline, and its linger while the slot is secured. With a
        quota, the timeout is also limited to a multiple of the recent call time, or to a share of
        the remaining call time if that is longer, and always to what the window and the quota allow
        for one call.
        """
        longest: float = min(request.deadline, self.slots.secured_until(now) - self.linger) - now
        if self.quota is not None:
            longest = min(
                longest,
                max(
                    TIMEOUT_CALL_TIMES * self.recent_call_time,
                    self.remaining_call_time(now) / TIMEOUT_BUDGET_DIVISOR,
                ),
                2 * self.window // 5,
                self.budget - self.linger,
            )
        return max(1, int(longest))

    def request_capacity(self, request: Request, now: int) -> bool:
        """Request capacity for one more call, and return whether the call may be made now.

        The request for a slot may be recorded as demand. A call that is allowed stays within the
        quota however long it takes.
        """
        if now < self.paused_until or self.in_flight >= self.concurrency_limit:
            return False
        if not self.slots.request_slot(now, len(self.waiting)):
            return False
        return self.call_timeout(request, now) + self.linger <= self.remaining_call_time(now)

    def call_started(self, timeout: int) -> None:
        """Count a call that starts now."""
        self.reserved_call_time += timeout + self.linger
        self.in_flight += 1
        self.slots.call_started()
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)

    def adjust(self, now: int) -> None:
        """Adjust the limits at a tick.

        The concurrency limit is lowered while calls take far longer than usual, since an overloaded
        dependency completes less.
        """
        self.quota = self.slots.update_mean_limit(
            now, self.quota, self.used_call_time + self.reserved_call_time
        )
        self.budget = self._window_budget()
        peak = min(self.concurrency_limit, self.peak_in_flight or self.concurrency_limit)
        self.peak_in_flight = self.in_flight
        if self.recent_call_time > LOWERING_CALL_TIMES * self.usual_call_time:
            self.concurrency_limit = max(1.0, LOWERING_FACTOR * peak)
        else:
            self.concurrency_limit = self.concurrency_limit * RAISING_FACTOR + 1

    def call_ended(self, now: int, event: RequestEvent, took: int, timeout: int) -> bool:
        """Count the end of a call.

        Args:
            now: The time in microseconds.
            event: How the call ended.
            took: Microseconds that the call took.
            timeout: The timeout of the call.

        Returns:
            Whether the call is an isolated loss, which says nothing about the dependency: a call
            that started later has succeeded, or the reply of this call was lost and that of the
            call before was not. Without this exception a single lost reply would pause all calls.
        """
        succeeded = event is RequestEvent.CALL_SUCCEEDED
        reply_lost = event is RequestEvent.CALL_REPLY_LOST
        lost = not succeeded and event is not RequestEvent.CALL_NOT_SENT
        self.reserved_call_time -= timeout + self.linger
        self.last_ended_at = now
        self.in_flight -= 1
        self.slots.call_ended(now, lost, succeeded)
        is_isolated_loss = lost and (
            self.last_success_started_at > now - took or (reply_lost and not self.last_reply_lost)
        )
        self.last_reply_lost = reply_lost
        self._count_call_time(now, took, lost)
        if succeeded:
            self.last_success_started_at = max(self.last_success_started_at, now - took)
        elif not is_isolated_loss:
            self.paused_until = now + TICK_US  # no other call right after a failed one
        # The time of a lost call is a lower bound, so it only raises the recent call time.
        if succeeded or (lost and not is_isolated_loss and took > self.recent_call_time):
            smoothing = CALL_TIME_SMOOTHING if self.recent_call_time else 1
            self.recent_call_time += (took - self.recent_call_time) / smoothing
        lowest = min(self.usual_call_time or self.recent_call_time, self.recent_call_time)
        self.usual_call_time = lowest * USUAL_CALL_TIME_GROWTH
        return is_isolated_loss

    def _count_call_time(self, now: int, took: int, lost: bool) -> None:
        """Count an ended call in the window; a lost one counts its linger too."""
        call_time = took + (self.linger if lost else 0)
        self.ended_calls.append(EndedCall(now + call_time - took + self.window, call_time))
        self.used_call_time += call_time

    def expected_wait(self, now: int) -> float:
        """Estimate how long a request that begins to wait now waits until its call has ended.

        Used call time becomes available again at the rate of the quota.
        """
        if self.budget <= self.linger:  # no call can be made within the quota
            return math.inf
        is_stale = (
            not self.reserved_call_time
            and not self.waiting
            and now > self.last_ended_at + self.recent_call_time
        )
        # If the recent call time is stale, the next call measures it anew.
        call_time = 0.0 if is_stale else self.recent_call_time
        if self.quota is None:
            return call_time * (1 + len(self.waiting) / self.slots.concurrency(now))
        wanted = min(self.budget, self.linger + TIMEOUT_CALL_TIMES * call_time)
        missing = max(0.0, wanted - self.remaining_call_time(now))
        rate = min(self.quota, self.concurrency_limit)
        return call_time + (len(self.waiting) * call_time + missing) / rate

    def requests_to_skip(self, now: int) -> list[Request]:
        """Return the waiting requests that have to skip their call now to be in time."""
        return [
            request
            for request in self.waiting
            if request.request_class.degraded_value_share
            and now + self.recent_call_time + request.request_class.latency_objective / 8
            > full_value_deadline(request)
        ]

    def next_request(self) -> Request:
        """Return the waiting request that calls next.

        It is the first one, or while calls are slow the one with the highest priority weight.
        """
        if self.recent_call_time > SLOW_CALL_TIMES * self.usual_call_time:
            return max(self.waiting, key=lambda request: request.request_class.priority_weight)
        return self.waiting[0]
