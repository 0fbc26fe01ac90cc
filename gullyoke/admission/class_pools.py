"""Pools of core time by class, and a reserve for classes that are worth more.

The threshold decides how many requests a server takes; pools decide which classes they are of. What
is marked "not from the paper" was chosen by measurement, as were all constants of this module.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Mapping
from typing import Final

from gullyoke.admission.interface import RequestClass
from gullyoke.admission.timing import first_run_time

AVERAGING_US: Final = 1_000_000
"""Microseconds over which demand, cost and completed work are averaged."""
MINIMUM_SHARE: Final = 0.02
"""Share of the completed work that a class gets at least, if it asks for it."""
COST_SMOOTHING: Final = 16
"""A run moves its class's mean cost by one part in so many."""
RISING_DEMAND_FACTOR: Final = 3
"""Demand that rises is seen so much sooner than demand that falls."""
DISTRIBUTED_SHARE: Final = 1.1
"""Of the completed work, so much is distributed; the threshold takes what is too much."""
NEGLIGIBLE_SHARE: Final = 0.01
"""Demand under this share of the capacity counts as none."""
SAVED_RUNS: Final = 2
"""A pool can save the core time of so many runs at least."""
LARGEST_DEBT: Final = 3
"""A pool can owe so many times what it can save."""
LONGEST_WAIT_US: Final = 10 * AVERAGING_US
"""Microseconds that a class is expected to wait for its pool at most."""


class ClassPool:
    """The limit that one class's requests share; rates are core time by time.

    Args:
        value: What an answer is worth.
        cost: Mean core time of a run, in microseconds; a first guess.
    """

    def __init__(self, value: float, cost: float) -> None:
        self.value = value
        self.cost = cost
        self.value_per_cost = value / cost
        self.arrived_core_time = 0.0  # since the last tick
        self.demand = 0.0  # rate that is asked for
        self.limit = 0.0  # rate that is granted
        self.balance = 0.0  # core time that is left; negative where some is owed
        self.unlimited = True


class ClassPools:
    """Limits what each class may take in, by core time.

    Limits are set at each tick. What is completed while requests wait is distributed in the order
    of value for the work, to each class what it asked for of late; what one class leaves goes
    at once to the next, and none gets less than its minimum, if it asks. Limits bind only where the
    threshold does.

    The reserve is trunk reservation (Miller 1969): a request meets the threshold as if the classes
    worth more already had in the server what they usually bring in one run's time. The table has a
    pool for each class.

    Args:
        now: The time in microseconds.
        cores: Cores on which requests run.
        classes: The pool of each request class, by any key; classes with the same key share one.
        minimum_share: Share of the completed work that a class gets at least.
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
        self.capacity = float(cores)  # rate of the completed work
        self.completed_core_time = 0.0  # since the last tick
        self.virtual_core_time = 0.0  # what a request that ran from the start would have had
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
        """Count the core time that each of `running` requests had since the last call."""
        elapsed = now - self.advanced_at
        self.virtual_core_time += elapsed * min(1.0, self.cores / max(1, running))
        self.advanced_at = now

    def run_finished(self, request_class: RequestClass, core_time: float) -> None:
        """Count a run that took so much core time."""
        pool = self.by_class[request_class]
        pool.cost += (core_time - pool.cost) / COST_SMOOTHING
        self.completed_core_time += core_time

    def take(self, request_class: RequestClass) -> bool:
        """Count a request that arrived; return whether its pool has capacity, which is taken."""
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
            has_queue: Whether requests wait, so that what was completed is what can be.
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
        """Distribute the capacity in the order of value for the work."""
        remaining = DISTRIBUTED_SHARE * self.capacity
        minimums = {
            pool: min(pool.demand, self.minimum_share * self.capacity) for pool in self.pools
        }
        reserved_minimums = sum(minimums.values())
        demand_before = 0.0
        for pool in sorted(self.pools, key=lambda pool: -pool.value_per_cost):
            # Where none that is worth more asks, there is nothing to keep the capacity for, and the
            # threshold alone is the limit.
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
        """Return how many requests of classes worth more come within one run's time of this one."""
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
        """Return after how many microseconds the class's pool is likely to have capacity again."""
        pool = self.by_class[request_class]
        missing = max(0.0, pool.cost - pool.balance)
        return int(min(LONGEST_WAIT_US, missing / max(pool.limit, 1e-9)))


def _adjust_demand(pool: ClassPool, elapsed: int, weight: float) -> None:
    """Average the pool's demand; a rise is seen sooner than a fall."""
    pool.value_per_cost = pool.value / max(1.0, pool.cost)
    demand = pool.arrived_core_time / elapsed
    if demand >= pool.demand:
        weight = min(1.0, RISING_DEMAND_FACTOR * weight)
    pool.demand += (demand - pool.demand) * weight
    pool.arrived_core_time = 0.0
