"""How many calls to the dependency may be in flight, and for how long; times are microseconds."""

from __future__ import annotations

import math
from collections import deque
from typing import Final, NamedTuple

from gullyoke.admission.interface import DependencySlots, Request, RequestEvent
from gullyoke.admission.timing import TICK_US, full_value_deadline

USED_QUOTA_SHARE: Final = 0.95
"""Share of the quota that is used."""
TIMEOUT_CALL_TIMES: Final = 4
"""A call's timeout in recent call times (not from the paper)."""
TIMEOUT_BUDGET_SHARE: Final = 4
"""A call may also take what is left of the budget divided by this (not from the paper)."""
LOWERING_CALL_TIMES: Final = 8
"""Recent call time over the usual one from which the limit is lowered (not from the paper)."""
SLOW_CALL_TIMES: Final = 2
"""Recent call time over the usual one from which requests wait by weight."""
LOWERED_SHARE: Final = 0.9
RAISED_SHARE: Final = 1.125
CALL_TIME_SMOOTHING: Final = 8
"""A call moves the recent call time by one part in so many."""
USUAL_CALL_TIME_GROWTH: Final = 1.001
"""By this the usual call time, the lowest of late, rises with each call."""


class EndedCall(NamedTuple):
    """A call that still counts against the quota.

    Args:
        counts_until: When it leaves the quota's window.
        call_time: Microseconds for which the dependency had it, its linger included.
    """

    counts_until: int
    call_time: int


class DependencyLimiter:
    """Bounds the time that calls are in flight; requests wait by weight while calls are slow.

    This server keeps to the dependency's quota by itself. Calls that ended within the window, and
    those in flight, each counted to the end of its timeout and its linger, together stay under the
    quota's part of the window; also where the quota is under one call. Tables: the waiting
    requests, which leave when they call or are given up, and the ended calls of one window.

    Args:
        now: The time in microseconds.
        quota: Mean number of calls in flight that is this server's; None for no bound.
        window: Microseconds over which that mean is taken.
        linger: Microseconds for which an abandoned call stays in the dependency's hands at most.
        slots: What this server has of the calls that all servers share.
    """

    def __init__(
        self, now: int, quota: float | None, window: int, linger: int, slots: DependencySlots
    ) -> None:
        self.quota = quota
        self.window = window
        self.linger = linger
        self.slots = slots
        self.waiting: list[Request] = []
        # Call time in the window: the quota's, of ended calls, and reserved for those in flight.
        self.budget = self._window_budget()
        self.ended_calls: deque[EndedCall] = deque()
        self.used_call_time = 0
        self.reserved_call_time = 0
        # Calls at once: the limit, the number now, and the largest since the last tick.
        self.concurrency_limit = math.inf
        self.in_flight = 0
        self.peak_in_flight = 0
        # The mean of late, and the lowest one.
        self.recent_call_time = 0.0
        self.usual_call_time = 0.0
        self.paused_until = now
        self.last_ended_at = now
        self.last_success_started_at = 0
        self.last_reply_lost = False

    def _window_budget(self) -> float:
        return math.inf if self.quota is None else USED_QUOTA_SHARE * self.quota * self.window

    def remaining_call_time(self, now: int) -> float:
        """Return the call time that is left of this server's quota."""
        while self.ended_calls and self.ended_calls[0].counts_until <= now:
            self.used_call_time -= self.ended_calls.popleft().call_time
        return self.budget - self.used_call_time - self.reserved_call_time

    def call_timeout(self, request: Request, now: int) -> int:
        """Return the timeout of a call made now, in microseconds.

        A few times the recent call time, or a part of what is left of the quota if that is more;
        never past the request's deadline or the end of the slot.
        """
        longest: float = min(request.deadline, self.slots.secured_until(now) - self.linger) - now
        if self.quota is not None:
            longest = min(
                longest,
                max(
                    TIMEOUT_CALL_TIMES * self.recent_call_time,
                    self.remaining_call_time(now) / TIMEOUT_BUDGET_SHARE,
                ),
                2 * self.window // 5,
                self.budget - self.linger,
            )
        return max(1, int(longest))

    def has_capacity(self, request: Request, now: int) -> bool:
        """Return whether one more call stays within the quota, however long it takes."""
        if now < self.paused_until or self.in_flight >= self.concurrency_limit:
            return False
        if not self.slots.has_free_slot(now, len(self.waiting)):
            return False
        return self.call_timeout(request, now) + self.linger <= self.remaining_call_time(now)

    def call_started(self, timeout: int) -> None:
        """Count a call that is made now."""
        self.reserved_call_time += timeout + self.linger
        self.in_flight += 1
        self.slots.call_started()
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)

    def adjust(self, now: int) -> None:
        """Adjust the limits at a tick.

        Fewer calls at once are made while they take far longer than usual: a crowded dependency
        does less (not from the paper).
        """
        self.quota = self.slots.mean_limit(
            now, self.quota, self.used_call_time + self.reserved_call_time
        )
        self.budget = self._window_budget()
        peak = min(self.concurrency_limit, self.peak_in_flight or self.concurrency_limit)
        self.peak_in_flight = self.in_flight
        if self.recent_call_time > LOWERING_CALL_TIMES * self.usual_call_time:
            self.concurrency_limit = max(1.0, LOWERED_SHARE * peak)
        else:
            self.concurrency_limit = self.concurrency_limit * RAISED_SHARE + 1

    def call_ended(self, now: int, event: RequestEvent, took: int, timeout: int) -> bool:
        """Count the end of a call.

        Args:
            now: The time in microseconds.
            event: How it ended.
            took: Microseconds that it took.
            timeout: Its timeout.

        Returns:
            Whether it was lost by itself, which shows nothing of the dependency: a call that was
            started after it succeeded, or its reply was lost and the one before was not. Without
            that, a reply that is lost or never comes would pause all calls.
        """
        succeeded = event is RequestEvent.CALL_SUCCEEDED
        reply_lost = event is RequestEvent.CALL_REPLY_LOST
        lost = not succeeded and event is not RequestEvent.CALL_NOT_SENT
        self.reserved_call_time -= timeout + self.linger
        self.last_ended_at = now
        self.in_flight -= 1
        self.slots.call_ended(now, lost, succeeded)
        lost_alone = lost and (
            self.last_success_started_at > now - took or (reply_lost and not self.last_reply_lost)
        )
        self.last_reply_lost = reply_lost
        self._count_call_time(now, took, lost)
        if succeeded:
            self.last_success_started_at = max(self.last_success_started_at, now - took)
        elif not lost_alone:
            self.paused_until = now + TICK_US  # a failed call is not followed at once by another
        # A lost call took at least so long.
        if succeeded or (lost and not lost_alone and took > self.recent_call_time):
            smoothing = CALL_TIME_SMOOTHING if self.recent_call_time else 1
            self.recent_call_time += (took - self.recent_call_time) / smoothing
        lowest = min(self.usual_call_time or self.recent_call_time, self.recent_call_time)
        self.usual_call_time = lowest * USUAL_CALL_TIME_GROWTH
        return lost_alone

    def _count_call_time(self, now: int, took: int, lost: bool) -> None:
        """Count an ended call in the window; the dependency may have a lost one until later."""
        call_time = took + (self.linger if lost else 0)
        self.ended_calls.append(EndedCall(now + call_time - took + self.window, call_time))
        self.used_call_time += call_time

    def expected_wait(self, now: int) -> float:
        """Return how long a request that begins to wait now is likely to wait for its answer.

        Call time that is used comes back at the rate of the quota.
        """
        if self.budget <= self.linger:  # no call can be made within the quota
            return math.inf
        is_stale = (
            not self.reserved_call_time
            and not self.waiting
            and now > self.last_ended_at + self.recent_call_time
        )
        call_time = 0.0 if is_stale else self.recent_call_time  # the next call shows how it is
        if self.quota is None:
            return call_time * (1 + len(self.waiting) / self.slots.concurrency(now))
        wanted = min(self.budget, self.linger + TIMEOUT_CALL_TIMES * call_time)
        missing = max(0.0, wanted - self.remaining_call_time(now))
        rate = min(self.quota, self.concurrency_limit)
        return call_time + (len(self.waiting) * call_time + missing) / rate

    def requests_to_skip(self, now: int) -> list[Request]:
        """Return the waiting requests that have to go on without their call now to be in time."""
        return [
            request
            for request in self.waiting
            if request.request_class.degraded_value_share
            and now + self.recent_call_time + request.request_class.latency_objective / 8
            > full_value_deadline(request)
        ]

    def next_request(self) -> Request:
        """Return the waiting request that calls next: the first, or by weight while it is slow."""
        if self.recent_call_time > SLOW_CALL_TIMES * self.usual_call_time:
            return max(self.waiting, key=lambda request: request.request_class.priority_weight)
        return self.waiting[0]
