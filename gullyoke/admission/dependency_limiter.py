"""How many calls to the dependency may be in flight, and for how long."""

from __future__ import annotations

import math
from collections import deque

from gullyoke.admission.interface import RequestEvent
from gullyoke.admission.timing import TICK, aim


class CallsBelow:
    """A bound of its own on the time that calls are in hand.

    The line goes by value when it is slow.

    Rule 4 by ourselves: what ended within the span and what is out, each counted to the end of its
    patience and its linger, together stay under our share of the span, also where the share is
    under one call. Tables: the line (left when let out or given up) and `spent` (calls that ended,
    gone after the span).
    """

    def __init__(self, now: int, share: float | None, span: int, linger: int, slots) -> None:
        self.share, self.span, self.linger, self.slots = share, span, linger, slots
        self.budget = math.inf if share is None else 0.95 * share * span  # anew at each wake-up
        self.line, self.spent, self.used, self.booked = [], deque(), 0, 0
        self.window, self.out, self.most = math.inf, 0, 0  # at once: allowed, now, most lately
        self.usual, self.lately, self.hush, self.told, self.well, self.spoilt = (
            0.0,
            0.0,
            now,
            now,
            0,
            False,
        )

    def left(self, now: int) -> float:
        """The call time that is still ours."""
        while self.spent and self.spent[0][0] <= now:
            self.used -= self.spent.popleft()[1]
        return self.budget - self.used - self.booked

    def try_for(self, request, now: int) -> int:
        """The patience with a call.

        A few usual ones (ours), or a quarter of what is left if more.
        """
        most = min(request.deadline, self.slots.until(now) - self.linger) - now
        if self.share is not None:  # a bound is stated, and its span
            most = min(
                most,
                max(4 * self.lately, self.left(now) / 4),
                2 * self.span // 5,
                self.budget - self.linger,
            )
        return max(1, int(most))

    def room(self, request, now: int) -> bool:
        """Whether one more stays within our share, however long it takes."""
        quiet = (
            now < self.hush or self.out >= self.window or not self.slots.free(now, len(self.line))
        )
        return not quiet and self.try_for(request, now) + self.linger <= self.left(now)

    def began(self, patience: int) -> None:
        self.booked, self.out = self.booked + patience + self.linger, self.out + 1
        self.slots.began()
        self.most = max(self.most, self.out)

    def adjust(self, now: int) -> None:
        """Fewer calls at once while they take far longer than usual (ours).

        One that is crowded does less.
        """
        self.share = self.slots.share(now, self.share, self.used + self.booked)
        self.budget = math.inf if self.share is None else 0.95 * self.share * self.span
        most, self.most = min(self.window, self.most or self.window), self.out
        self.window = (
            max(1.0, 0.9 * most) if self.lately > 8 * self.usual else self.window * 1.125 + 1
        )

    def ended(self, now: int, word: RequestEvent, took: int, patience: int) -> bool:
        """Whether it was lost alone.

        A younger one went `well`, or its reply was `spoilt` and not the last. Guards against a
        reply that is spoilt or never comes silencing all calls, as trouble below does.
        """
        self.booked -= patience + self.linger
        self.told, self.out = now, self.out - 1
        self.slots.ended(
            now,
            lost := word not in (RequestEvent.CALL_SUCCEEDED, RequestEvent.CALL_NOT_SENT),
            word is RequestEvent.CALL_SUCCEEDED,
        )
        alone = lost and (
            self.well > now - took or (word is RequestEvent.CALL_REPLY_LOST and not self.spoilt)
        )
        self.spoilt = word is RequestEvent.CALL_REPLY_LOST
        spent = took + (self.linger if lost else 0)
        self.spent.append((now + spent - took + self.span, spent))
        self.used += spent
        if word is RequestEvent.CALL_SUCCEEDED:
            self.well = max(self.well, now - took)
        elif not alone:
            self.hush = now + TICK  # a failed call is not followed at once by another
        if word is RequestEvent.CALL_SUCCEEDED or (
            lost and not alone and took > self.lately
        ):  # one lost took that at least
            self.lately += (took - self.lately) / (8 if self.lately else 1)
        self.usual = min(self.usual or self.lately, self.lately) * 1.001
        return alone

    def wait(self, now: int) -> float:
        """How long a call that joins the line now is likely to take.

        What is ours comes back at our share.
        """
        if self.budget <= self.linger:  # none can be made within our share
            return math.inf
        old = not self.booked and not self.line and now > self.told + self.lately
        call = 0.0 if old else self.lately  # the next call tells how it stands below
        if self.share is None:
            return call * (1 + len(self.line) / self.slots.pace(now))
        short = max(0.0, min(self.budget, self.linger + 4 * call) - self.left(now))
        return call + (len(self.line) * call + short) / min(self.share, self.window)

    def leave_out(self, now: int):
        """Those in the line that must go on without their call now to be in time."""
        return [
            r
            for r in self.line
            if r.request_class.degraded_value_share
            and now + self.lately + r.request_class.latency_objective / 8 > aim(r)
        ]

    def pick(self):
        return (
            max(self.line, key=lambda r: r.request_class.priority_weight)
            if self.lately > 2 * self.usual
            else self.line[0]
        )
