"""Feedback to clients and load balancers: health, retry-after, load signal and idle timeout."""

from __future__ import annotations

import math
from typing import Final

from gullyoke.admission.interface import CommandExecutor, FleetFeedback, Permissions, Reject

SHORTEST_RETRY_AFTER_US: Final = 25_000
"""Advised wait in microseconds while nothing is queued."""
BACKLOG_PER_RETRY_AFTER: Final = 3
"""The advised wait grows by the time that the queue takes, divided by this."""
OVERLOADED_REJECTED_SHARE: Final = 0.25
"""Share of rejected requests above which this server counts as overloaded."""
DECISION_SMOOTHING: Final = 64
"""The weight of one decision in the share of rejected requests is one divided by this."""
LOAD_SIGNAL_STEP: Final = 0.05
"""Smallest change of the server's speed for which a new load signal is sent."""
IDLE_TIMEOUT_RANGE: Final = 10
"""The longest idle timeout divided by the shortest."""
CALLERS_PER_CONNECTION: Final = 4
"""The idle timeout is the longest while there are fewer callers per connection than this."""


class ClientFeedback:
    """Advises callers when to retry, and sets how long connections may be idle.

    Args:
        executor: Carries out the decisions.
        permissions: What the server may send to its callers.
        fleet: What the other servers report.
    """

    def __init__(
        self, executor: CommandExecutor, permissions: Permissions, fleet: FleetFeedback
    ) -> None:
        self.executor = executor
        self.permissions = permissions
        self.fleet = fleet
        self.sent_speed = 1.0
        self.rejected_share = 0.0  # of recent decisions
        self.idle_timeout = permissions.max_idle / IDLE_TIMEOUT_RANGE
        self.sent_idle_timeout: float = permissions.max_idle
        executor.set_health(True, True)  # checks are answered from memory, at little cost

    def reject(self, too_late: bool, unavailable: bool = False, backlog: float = 0.0) -> Reject:
        """Count a rejection and return its command.

        Args:
            too_late: Whether no other server could answer in time either.
            unavailable: Whether this server stops or does not accept the class; the advised wait is
                then the longest.
            backlog: Microseconds that the queue takes.
        """
        self.count_decision(True)
        # The advised wait is short: callers that all wait for long return in large groups, and
        # overload one server after another.
        longest = self.permissions.max_retry_after if self.permissions.sends_retry_after else 0
        if unavailable:
            retry_after = longest
        else:
            own_advice = SHORTEST_RETRY_AFTER_US + int(backlog) // BACKLOG_PER_RETRY_AFTER
            retry_after = min(longest, self.fleet.retry_after(own_advice))
        is_overloaded = self.rejected_share > OVERLOADED_REJECTED_SHARE
        return Reject(retry_after, too_late or self.fleet.is_overloaded(is_overloaded))

    def count_decision(self, rejected: bool) -> None:
        """Count one decision on a request in the share of rejected requests."""
        self.rejected_share += (rejected - self.rejected_share) / DECISION_SMOOTHING

    def adjust_idle_timeout(self, connections: float | None, callers: int) -> None:
        """Adjust the idle timeout at a tick to the number of connections and callers.

        A connection table full of idle connections costs work and shuts out other callers before
        their requests are read. So while only a small share of the callers has a connection, the
        timeout is shortened step by step and idle connections are closed sooner. While at least
        half of the requests are rejected the timeout grows instead, since shutting callers out is
        the cheapest rejection; afterwards the table becomes free gradually, not all at once.

        Args:
            connections: Open connections; None if they are not counted.
            callers: Number of callers.
        """
        longest = self.permissions.max_idle
        if connections is None or not longest:
            return
        if connections * CALLERS_PER_CONNECTION > callers:
            change = math.inf
        elif self.rejected_share < 0.5:
            change = 0.98
        else:
            change = 1.1
        shortest = longest / IDLE_TIMEOUT_RANGE
        self.idle_timeout = max(shortest, min(longest, self.idle_timeout * change))
        if not 0.9 < self.idle_timeout / self.sent_idle_timeout < 1.1:
            self.sent_idle_timeout = self.idle_timeout
            self.executor.set_idle_timeout(int(self.idle_timeout))

    def signal_speed(self, speed: float) -> None:
        """Send the server's speed as the load signal, if that is in use and the speed changed."""
        if self.permissions.load_signal != "weight":
            return
        if abs(speed - self.sent_speed) >= LOAD_SIGNAL_STEP:
            self.sent_speed = speed
            self.executor.set_load_signal(round(speed, 2))
