"""The queue for the cores, which request classes share by priority weight."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from typing import Final

from gullyoke.admission.dependency_limiter import DependencyLimiter
from gullyoke.admission.interface import Request, RequestClass
from gullyoke.admission.timing import first_run_time, full_value_deadline

SMALLEST_WEIGHT: Final = 1e-9
RUN_TIME_SMOOTHING: Final = 32
"""The weight of one run in the mean run time of its class is one divided by this."""
LONGEST_RUN_TIME_SHARE: Final = 0.75
"""Share of the latency objective at which the mean run time is capped in lateness checks."""
JUST_ARRIVED_DIVISOR: Final = 10
"""A request has just arrived while its age is under its timeout divided by this."""

WITHIN_QUOTA: Final = False
OVER_QUOTA: Final = True

ClassQueue = tuple[deque[Request], deque[Request]]
"""One class's queued requests: within their tenants' quotas, and over them."""


class FairQueue:
    """Start-time fair queueing (Goyal et al. 1996) over request classes.

    Requests within their tenants' quotas run before all requests over them. The tables have a row
    for each class; a request leaves its queue when it runs or is given up.

    Args:
        request_classes: All classes of the site.
        weighs_by_work: Whether the share of a class is counted in run time, not in runs.
        dependency: Estimates the wait for a dependency call.
    """

    def __init__(
        self,
        request_classes: Iterable[RequestClass],
        weighs_by_work: bool,
        dependency: DependencyLimiter,
    ) -> None:
        request_classes = list(request_classes)
        self.weighs_by_work = weighs_by_work
        self.dependency = dependency
        self.size = 0
        self.run_times = {each: first_run_time(each) for each in request_classes}
        """Mean run time in microseconds, by class."""
        self.queues: dict[RequestClass, ClassQueue] = {
            each: (deque(), deque()) for each in request_classes
        }
        self.virtual_time = 0.0
        self.start_tags = dict.fromkeys(request_classes, 0.0)

    def tag_increment(self, request_class: RequestClass) -> float:
        """Return by how much one run advances its class's start tag."""
        work = self.run_times[request_class] if self.weighs_by_work else 1.0
        return work / max(request_class.priority_weight, SMALLEST_WEIGHT)

    def run_finished(self, request_class: RequestClass, run_time: int) -> None:
        """Add a run that took `run_time` microseconds to the mean run time of its class."""
        mean = self.run_times[request_class]
        self.run_times[request_class] = mean + (run_time - mean) / RUN_TIME_SMOOTHING

    def run_time_ratio(self) -> float:
        """Return the mean, over all classes, of the run time divided by its first estimate."""
        ratios = [mean / first_run_time(each) for each, mean in self.run_times.items()]
        return sum(ratios) / max(1, len(ratios))

    def add(self, request: Request) -> None:
        """Queue a request."""
        request_class = request.request_class
        queue = self.queues[request_class]
        if not any(queue):
            self.start_tags[request_class] = max(self.start_tags[request_class], self.virtual_time)
        queue[request.over_quota].append(request)
        self.size += 1

    def remove(self, request: Request) -> None:
        """Remove a request that runs or is given up."""
        self.queues[request.request_class][request.over_quota].remove(request)
        self.size -= 1

    def contains(self, request: Request) -> bool:
        """Return whether the request is queued."""
        return request in self.queues[request.request_class][request.over_quota]

    def next_request(self) -> Request | None:
        """Return the request that runs next; it stays queued."""
        for over_quota in (WITHIN_QUOTA, OVER_QUOTA):
            waiting = [each for each, queue in self.queues.items() if queue[over_quota]]
            if waiting:
                first = min(waiting, key=self.start_tags.__getitem__)
                return self.queues[first][over_quota][0]
        return None

    def advance_virtual_time(self, request: Request) -> None:
        """Advance the virtual time, and the start tag of the class, by a request that now runs."""
        request_class = request.request_class
        self.virtual_time = self.start_tags[request_class]
        self.start_tags[request_class] += self.tag_increment(request_class)

    def choose_victim(self, now: int, newcomer: Request) -> Request:
        """Return the request to give up so that another one fits.

        The youngest request of a queue is given up if it has just arrived. Queues of requests over
        their tenants' quotas are tried before those within, and among either the queue with the
        greatest weighted length first. The newcomer counts as queued in its class. It is given up
        itself if it is over its tenant's quota, or once the queue of its class would be tried.
        """
        if newcomer.over_quota:
            return newcomer
        lengths = self._weighted_lengths(OVER_QUOTA)
        for request_class in sorted(lengths, key=lengths.__getitem__, reverse=True):
            youngest = self.queues[request_class][OVER_QUOTA][-1]
            if _has_just_arrived(youngest, now):
                return youngest
        lengths = self._weighted_lengths(WITHIN_QUOTA)
        own_class = newcomer.request_class
        lengths[own_class] = lengths.get(own_class, 0.0) + self.tag_increment(own_class)
        for request_class in sorted(lengths, key=lengths.__getitem__, reverse=True):
            if request_class is own_class:
                return newcomer
            youngest = self.queues[request_class][WITHIN_QUOTA][-1]
            if _has_just_arrived(youngest, now):
                return youngest
        return newcomer

    def _weighted_lengths(self, over_quota: bool) -> dict[RequestClass, float]:
        """Return the lengths of the queues that aren't empty, each times its tag increment."""
        return {
            request_class: len(queue[over_quota]) * self.tag_increment(request_class)
            for request_class, queue in self.queues.items()
            if queue[over_quota]
        }

    def requests_too_late(self, now: int) -> list[Request]:
        """Return the queued requests whose runs could no longer end in time."""
        return [
            request
            for queue in self.queues.values()
            for requests in queue
            for request in requests
            if self.is_too_late(request, now)
        ]

    def backlog(self, request_class: RequestClass | None = None) -> float:
        """Return how long one core would take for all queued requests, in microseconds.

        Args:
            request_class: If given, only the requests that run before a newcomer of this class
                count.
        """
        newcomer_tag = math.inf
        if request_class is not None:
            within_quota, over_quota = self.queues[request_class]
            newcomer_tag = (len(within_quota) + len(over_quota)) * self.tag_increment(request_class)
        return sum(
            self.run_times[each]
            * min(len(within_quota) + len(over_quota), newcomer_tag / self.tag_increment(each))
            for each, (within_quota, over_quota) in self.queues.items()
        )

    def is_too_late(self, request: Request, now: int) -> bool:
        """Return whether a run that starts at `now` would end too late to earn its full value.

        The mean run time is capped at a share of the objective: a server that was slow still runs
        some new requests, and so learns when it is fast again.
        """
        request_class = request.request_class
        run_time = min(
            self.run_times[request_class],
            LONGEST_RUN_TIME_SHARE * request_class.latency_objective,
        )
        call_wait = 0.0
        if request_class.calls_dependency and not request_class.degraded_value_share:
            call_wait = self.dependency.expected_wait(now)
        return now + run_time + call_wait > full_value_deadline(request)


def _has_just_arrived(request: Request, now: int) -> bool:
    return (now - request.arrived) * JUST_ARRIVED_DIVISOR < request.request_class.timeout
