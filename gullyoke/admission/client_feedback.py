"""What clients and balancers are advised of: health, retry-after, load signal, idle timeout."""

from __future__ import annotations

import math
from typing import Final

from gullyoke.admission.interface import CommandExecutor, FleetFeedback, Permissions, Reject

SHORTEST_RETRY_AFTER_US: Final = 25_000
"""Microseconds of the advice where nothing is queued."""
BACKLOG_PER_RETRY_AFTER: Final = 3
"""The queue's wait is divided by this in the advice."""
OVERLOADED_REJECTED_SHARE: Final = 0.25
"""Share of rejected requests from which this server counts as full."""
DECISION_SMOOTHING: Final = 64
"""A decision moves the share of rejected requests by one part in so many."""
LOAD_SIGNAL_STEP: Final = 0.05
"""Smallest change of the speed that is signalled."""
IDLE_TIMEOUT_RANGE: Final = 10
"""The longest idle timeout over the shortest."""
CONNECTIONS_PER_CALLER: Final = 4
"""Idle timeouts are long where more than one caller in so many has a connection."""


class ClientFeedback:
    """Advises callers when to come back, and how long connections may be idle.

    Args:
        executor: What carries out the decisions.
        permissions: What the server may advise its callers of.
        fleet: What the other servers report.
    """

    def __init__(
        self, executor: CommandExecutor, permissions: Permissions, fleet: FleetFeedback
    ) -> None:
        self.executor = executor
        self.permissions = permissions
        self.fleet = fleet
        self.sent_speed = 1.0
        self.rejected_share = 0.0  # of the decisions of late
        self.idle_timeout = permissions.max_idle / IDLE_TIMEOUT_RANGE
        self.sent_idle_timeout: float = permissions.max_idle
        executor.set_health(True, True)  # checks are answered from memory, at little cost

    def reject(self, hopeless: bool, leaving: bool = False, backlog: float = 0.0) -> Reject:
        """Count a rejection and return its command.

        Args:
            hopeless: Whether no other server could answer in time either.
            leaving: Whether this server stops or accepts none of the class: stay away for long.
            backlog: Microseconds that the queue takes.
        """
        self.count_decision(True)
        # The advice is short: callers that all stay away for long move in herds, and overrun one
        # server after another.
        longest = self.permissions.max_retry_after if self.permissions.sends_retry_after else 0
        if leaving:
            retry_after = longest
        else:
            own_advice = SHORTEST_RETRY_AFTER_US + int(backlog) // BACKLOG_PER_RETRY_AFTER
            retry_after = min(longest, self.fleet.retry_after(own_advice))
        is_overloaded = self.rejected_share > OVERLOADED_REJECTED_SHARE
        return Reject(retry_after, hopeless or self.fleet.is_overloaded(is_overloaded))

    def count_decision(self, rejected: bool) -> None:
        """Count one decision on a request; the share rejected shows whether rejections persist."""
        self.rejected_share += (rejected - self.rejected_share) / DECISION_SMOOTHING

    def adjust_idle_timeout(self, connections: float | None, callers: int) -> None:
        """Adjust the idle timeout at a tick to how many callers have a connection.

        A table full of connections that hardly speak costs work and turns other callers away
        unheard, so where few of the callers can have one, idle ones are closed soon. While many
        requests are rejected they stay, since a full table is the cheapest rejection; then it
        opens little by little, not as a flood.

        Args:
            connections: Open connections; None where they aren't counted.
            callers: How many callers there are.
        """
        longest = self.permissions.max_idle
        if connections is None or not longest:
            return
        if connections * CONNECTIONS_PER_CALLER > callers:
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
        """Send the server's speed as the load signal, where that is used and it has changed."""
        if self.permissions.load_signal != "weight":
            return
        if abs(speed - self.sent_speed) >= LOAD_SIGNAL_STEP:
            self.sent_speed = speed
            self.executor.set_load_signal(round(speed, 2))
