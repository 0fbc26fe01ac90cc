"""Pools of core time by class, and a reserve for classes that are worth more.

The learner's threshold limits how many requests a server admits; the pools divide them among the
classes.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Mapping
from typing import Final

from gullyoke.admission.interface import RequestClass
from gullyoke.admission.timing import first_run_time

AVERAGING_US: Final = 1_000_000
"""Microseconds over which demand and completed work are averaged."""
MINIMUM_SHARE: Final = 0.02
"""Share of the completed work that a class gets at least, if its demand is that high."""
COST_SMOOTHING: Final = 16
"""The weight of one run in the mean cost of its class is one divided by this."""
RISING_DEMAND_FACTOR: Final = 3
"""The averaged demand follows a rise this many times as fast as a fall."""
DISTRIBUTED_SHARE: Final = 1.1
"""Work distributed to the pools, divided by the completed work; the threshold sheds the excess."""
NEGLIGIBLE_SHARE: Final = 0.01
"""Demand below this share of the capacity counts as none."""
SAVED_RUNS: Final = 2
"""A pool can always save the core time of this many runs."""
LARGEST_DEBT: Final = 3
"""The largest debt of a pool, divided by the most that it can save."""
LONGEST_WAIT_US: Final = 10 * AVERAGING_US
"""Upper bound, in microseconds, of the wait that is expected for a pool."""


class ClassPool:
    """The limit that the requests of one pool share; rates are core time per time.

    Args:
        value: The value of an answer.
        cost: First estimate of the mean core time of a run, in microseconds.
    """

    def __init__(self, value: float, cost: float) -> None:
        self.value = value
        self.cost = cost
        self.value_per_cost = value / cost
        self.arrived_core_time = 0.0  # since the last tick
        self.demand = 0.0  # averaged rate of the arriving work
        self.limit = 0.0  # granted rate
        self.balance = 0.0  # core time left; negative for a debt
        self.unlimited = True


class ClassPools:
    """Limits the core time that the admitted requests of each class may take.

    Limits are set at each tick. The capacity is the rate at which work is completed while requests
    are queued. It is distributed to the pools in descending order of value per core time, to each
    up to its recent demand; capacity that a pool leaves goes to the next one at once. No pool gets
    less than its minimum, if its demand is that high. Limits bind only while the learner's
    threshold does.

    The reserve is trunk reservation (Miller 1969): the threshold is applied to a request as if the
    requests of classes worth more that usually arrive during one of its runs were already in the
    server. The table has at most one pool for each class.

    Args:
        now: The time in microseconds.
        cores: Cores on which requests run.
        classes: The key of each request class; classes with equal keys share one pool.
        minimum_share: Share of the completed work that a pool gets at least.
        uses_limits: Whether limits bind.
        uses_reserve: Whether there is a reserve.
    """

    def __init__(
        self,
        now: int,
        cores: int,
        classes: Mapping[RequestClass, Hashable],
        minimum_share: float = MINIMUM_SHARE,
        uses_limits: bool = True,
        uses_reserve: bool = True,
    ) -> None:
        self.cores = cores
        self.minimum_share = minimum_share
        self.uses_limits = uses_limits
        self.uses_reserve = uses_reserve
        self.capacity = float(cores)  # averaged rate of the completed work
        self.completed_core_time = 0.0  # since the last tick
        # Core time that a request would have had if it had run since the start.
        self.virtual_core_time = 0.0
        self.advanced_at = now
        pools: dict[Hashable, ClassPool] = {}
        self.by_class = {
            request_class: pools.setdefault(
                key, ClassPool(request_class.priority_weight, first_run_time(request_class))
            )
            for request_class, key in classes.items()
        }
        self.pools = list(pools.values())

    def advance(self, now: int, running: int) -> None:
        """Count the core time that each of `running` requests has had since the last call."""
        elapsed = now - self.advanced_at
        self.virtual_core_time += elapsed * min(1.0, self.cores / max(1, running))
        self.advanced_at = now

    def run_finished(self, request_class: RequestClass, core_time: float) -> None:
        """Count a run that ended after `core_time` microseconds on the cores."""
        pool = self.by_class[request_class]
        pool.cost += (core_time - pool.cost) / COST_SMOOTHING
        self.completed_core_time += core_time

    def take(self, request_class: RequestClass) -> bool:
        """Count an arrival, and return whether its pool allows it.

        If so, the cost of a run is taken from the pool.
        """
        pool = self.by_class[request_class]
        pool.arrived_core_time += pool.cost
        if pool.unlimited or pool.balance >= pool.cost or pool.limit >= pool.demand:
            pool.balance -= pool.cost
            return True
        return False

    def adjust(self, elapsed: int, has_queue: bool) -> None:
        """Set the limits at a tick.

        Args:
            elapsed: Microseconds since the last tick.
            has_queue: Whether requests are queued, so that the completed work shows the capacity.
        """
        weight = min(1.0, elapsed / AVERAGING_US)
        self._adjust_capacity(elapsed, weight, has_queue)
        for pool in self.pools:
            _adjust_demand(pool, elapsed, weight)
        self._distribute(elapsed)

    def _adjust_capacity(self, elapsed: int, weight: float, has_queue: bool) -> None:
        if has_queue:
            completed = self.completed_core_time / elapsed
        else:
            completed = max(self.capacity, self.cores)
        self.capacity += (completed - self.capacity) * weight
        self.completed_core_time = 0.0

    def _distribute(self, elapsed: int) -> None:
        """Distribute the capacity in descending order of value per core time."""
        remaining = DISTRIBUTED_SHARE * self.capacity
        minimums = {
            pool: min(pool.demand, self.minimum_share * self.capacity) for pool in self.pools
        }
        reserved_minimums = sum(minimums.values())
        demand_before = 0.0
        for pool in sorted(self.pools, key=lambda pool: -pool.value_per_cost):
            # Without demand from pools worth more, no capacity is kept for them, and only the
            # threshold limits this pool.
            pool.unlimited = (
                not self.uses_limits or demand_before < NEGLIGIBLE_SHARE * self.capacity
            )
            demand_before += pool.demand
            reserved_minimums -= minimums[pool]
            pool.limit = max(minimums[pool], min(pool.demand, remaining - reserved_minimums))
            remaining -= pool.limit
            most_saved = max(SAVED_RUNS * pool.cost, pool.limit * AVERAGING_US)
            balance = min(most_saved, pool.balance + pool.limit * elapsed)
            pool.balance = max(-LARGEST_DEBT * most_saved, balance)

    def reserved_requests(self, request_class: RequestClass) -> int:
        """Return how many requests worth more usually arrive during one run of this class.

        At most half of the cores are reserved.
        """
        own = self.by_class[request_class]
        if not self.uses_reserve:
            return 0
        arrival_rate = sum(
            pool.demand / pool.cost
            for pool in self.pools
            if pool.value_per_cost > own.value_per_cost
        )
        return math.ceil(min(arrival_rate * own.cost, self.cores / 2))

    def capacity_wait(self, request_class: RequestClass) -> int:
        """Return the expected microseconds until the pool of the class has capacity again."""
        pool = self.by_class[request_class]
        missing = max(0.0, pool.cost - pool.balance)
        return int(min(LONGEST_WAIT_US, missing / max(pool.limit, 1e-9)))


def _adjust_demand(pool: ClassPool, elapsed: int, weight: float) -> None:
    """Average the pool's demand; the average follows a rise faster than a fall."""
    pool.value_per_cost = pool.value / max(1.0, pool.cost)
    demand = pool.arrived_core_time / elapsed
    if demand >= pool.demand:
        weight = min(1.0, RISING_DEMAND_FACTOR * weight)
    pool.demand += (demand - pool.demand) * weight
    pool.arrived_core_time = 0.0
