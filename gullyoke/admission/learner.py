"""UCRL-M: learns the number of requests in the server from which rejecting the next one is better.

After "Learning Optimal Admission Control in Partially Observable Queueing Networks" (cited as "the
paper"). The server is modeled as one queue whose state is the number of its requests; the paper's
sections on the aggregated MDP justify this model. Time is divided into steps with at most one
arrival or departure each. A state and an action form a pair; in pair `2 * state + action`, action 0
is to reject an arrival and action 1 is to admit it. "Own addition" marks what the paper does not
contain.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Final

from gullyoke.admission.value_iteration import PairModel, StateModel, sweep, uniformize

MODULES: Final = 3
"""Number of modules, the paper's tau_mix (section 4); step t is in module t modulo this number."""
WIDTH_SCALE: Final = 0.02
"""Factor on the confidence widths; with a factor of 1, learning takes longer than a server runs."""
PRIOR_VISITS: Final = 4.0
"""Visits that each pair and module starts with, as if a full server had been observed at load 1."""
STEPS_PER_COMPLETION: Final = 12
"""Time steps per request that a full server completes; own addition."""
MAX_SWEEPS: Final = 30
"""Largest number of sweeps of an extended value iteration; own addition."""
SPAN_TOLERANCE: Final = 1 / 8
"""Sweeps end when the gains differ by less than this share of one request's cost per time step."""


class Learner:
    """Counts the events in each pair, and computes a new policy once a count has doubled.

    The tables have a row for each module and a column for each pair. Their size is fixed at the
    start, and they do not survive a restart.

    Args:
        now: The time in microseconds.
        max_requests: The largest state; a binding policy always rejects in it.
        cores: Cores on which requests run.
        run_time: First estimate of the run time, in microseconds.
        holding_cost: Cost of a request per microsecond in the server; a rejection costs 1.
        modules: Number of modules.
        width_scale: Factor on the confidence widths.
        prior_visits: Visits that each pair and module starts with.
    """

    def __init__(
        self,
        now: int,
        max_requests: int,
        cores: int,
        run_time: float,
        holding_cost: float,
        modules: int = MODULES,
        width_scale: float = WIDTH_SCALE,
        prior_visits: float = PRIOR_VISITS,
    ) -> None:
        self.max_requests = max_requests
        self.cores = cores
        self.modules = modules
        self.width_scale = width_scale
        self.step_us = max(1, int(run_time / cores / STEPS_PER_COMPLETION))
        self.started_at = now
        self.steps = 0
        self.requests = 0
        self.cores_busy = False
        self.run_capacity = math.inf  # runs that back ends can take at once; inf without back ends
        self.step_cost = holding_cost * self.step_us  # cost of a request per time step

        self._count_prior(cores * self.step_us / run_time, prior_visits)
        self.visits_before_episode = [row[:] for row in self.visits]
        # For each state s, the bias of state s + 1 minus that of state s.
        self.bias_differences = [0.0] * (max_requests + 1)
        self.policy = [True] * (max_requests + 1)  # for each state, whether an arrival is admitted
        self.episodes = 0
        self.rejected = 0
        self.needs_episode = True
        self.ramping_steps = modules

    def _count_prior(self, completion_rate: float, prior_visits: float) -> None:
        """Fill the tables as if a full server at load 1 had been seen for `prior_visits`.

        Args:
            completion_rate: Completions of a full server per time step.
            prior_visits: Visits of each pair and module.
        """
        pairs = 2 * (self.max_requests + 1)
        departures = [
            completion_rate * min(pair // 2, self.cores) / self.cores for pair in range(pairs)
        ]
        arrivals = [
            completion_rate if pair % 2 and pair // 2 < self.max_requests else 0.0
            for pair in range(pairs)
        ]
        rejections = [0.0 if pair % 2 else completion_rate for pair in range(pairs)]

        def table(rates: list[float]) -> list[list[float]]:
            return [[prior_visits * rate for rate in rates] for _ in range(self.modules)]

        self.visits = [[prior_visits] * pairs for _ in range(self.modules)]
        self.arrivals = table(arrivals)
        self.departures = table(departures)
        self.rejections = table(rejections)

    def decide_arrival(self, reserved: int = 0) -> bool:
        """Decide whether to admit an arrival, and count a rejection.

        Args:
            reserved: Number of requests that the state counts in addition to those in the server.

        Returns:
            Whether the arrival is admitted.
        """
        state = self.requests + reserved
        admitted = not self.is_binding() or (state < self.max_requests and self.policy[state])
        self.rejected += not admitted
        return admitted

    def is_binding(self) -> bool:
        """Return whether the policy is applied, which is the case only while the cores are busy.

        The gauge of busy cores covers the last half second, so the number of requests must also
        reach the number of cores, or of runs that back ends can take at once if that is smaller.
        With fewer requests, a core is free now. This condition is an own addition.
        """
        return self.cores_busy and self.requests >= min(self.cores, self.run_capacity)

    def count(self, now: int, change: int = 0, rejections: int = 0) -> None:
        """Count one step with at most one arrival or departure.

        The steps without events since the last call are counted first, in bulk.

        Args:
            now: The time in microseconds.
            change: Change of the number of requests: 1, 0 or -1.
            rejections: 1 for a request that was rejected or given up, or else 0.
        """
        steps_by_now = (now - self.started_at) // self.step_us
        if steps_by_now > self.steps:
            self._count_steps(steps_by_now - self.steps, 0, 0)
        if change or rejections:
            self._count_steps(1, change, rejections)
            self.requests += change

    def _count_steps(self, steps: int, change: int, rejections: int) -> None:
        """Count `steps` equal steps in the current state, and request a new episode if one is due.

        The steps of the ramping phase (algorithm 1) are discarded. An episode ends once some module
        has visited a pair as often during the episode as before it (18).
        """
        state = min(self.requests, self.max_requests)
        if rejections and not change:  # a rejected arrival; a request given up is a departure
            pair = 2 * state
        else:
            pair = 2 * state + (self.policy[state] if self.is_binding() else 1)
        first = self.steps
        self.steps += steps
        ramping = min(steps, self.ramping_steps)
        self.ramping_steps -= ramping
        first += ramping
        steps -= ramping
        for offset in range(min(steps, self.modules)):
            module = (first + offset) % self.modules
            visits = self.visits[module]
            visits[pair] += (steps - offset - 1) // self.modules + 1
            self.arrivals[module][pair] += change > 0
            self.departures[module][pair] += change < 0
            self.rejections[module][pair] += rejections
            if visits[pair] >= 2 * max(0.5, self.visits_before_episode[module][pair]):
                self.needs_episode = True

    def start_episode(self) -> Iterator[None]:
        """Start an episode; the last policy stays in use until the returned work is done.

        Returns:
            The extended value iteration, one sweep per item; requests are handled between sweeps.
        """
        self.needs_episode = False
        self.ramping_steps = self.modules
        self.episodes += 1
        self.visits_before_episode = [row[:] for row in self.visits]
        return self._extended_value_iteration()

    def _extended_value_iteration(self) -> Iterator[None]:
        """Find the best policy of the most optimistic model in the confidence region.

        This is extended value iteration (appendix 10, for (12)). It works on bias differences,
        since each state leads only to its two neighbors. It starts from the differences of the last
        episode, and ends once the gains of all states are nearly equal.
        """
        models, scale = self._optimistic_models()
        differences = self.bias_differences
        policy: list[bool] = []
        for _ in range(MAX_SWEEPS):
            gains, policy = sweep(models, differences)
            for state in range(self.max_requests):
                differences[state] += gains[state + 1] - gains[state]
            if max(gains) - min(gains) < self.step_cost * scale * SPAN_TOLERANCE:
                break
            yield
        self.policy = policy

    def _optimistic_models(self) -> tuple[list[StateModel], float]:
        """Return the extremes of the confidence region (17) of each state, and their time scale."""
        log_steps = math.log(4 * (self.steps + 2))
        models = [self._pair_model(pair, log_steps) for pair in range(2 * (self.max_requests + 1))]
        return uniformize(models)

    def _pair_model(self, pair: int, log_steps: float) -> PairModel:
        """Return the extremes of the confidence region of one pair.

        The estimates (14, 15) are those of the module that visited the pair most often (13). The
        widths have the form of UCRL2 (Jaksch et al. 2010) with the constants of the birth-and-death
        case (Anselmi et al. 2022); their factor `width_scale` is an own addition. The reward is
        (1) of the paper without its constant: the negated cost of the requests in the server and of
        rejections.
        """
        state = pair // 2
        visits_by_module = [row[pair] for row in self.visits]
        visits = max(visits_by_module)
        module = visits_by_module.index(visits)
        visits = max(1.0, visits)

        cost = self.step_cost * state + self.rejections[module][pair] / visits
        worst_cost = 1 + self.step_cost * self.max_requests
        reward_width = self.width_scale * worst_cost * math.sqrt(2 * log_steps / visits)
        rate_width = self.width_scale * math.sqrt(8 * log_steps / visits) / 2

        arrivals = self.arrivals[module][pair] / visits
        departures = self.departures[module][pair] / visits
        most_departures = min(1.0, departures + rate_width) if state else 0.0
        most_arrivals = min(1.0, arrivals + rate_width) if state < self.max_requests else 0.0
        fewest_arrivals = min(max(0.0, arrivals - rate_width), 1 - most_departures)
        fewest_departures = min(max(0.0, departures - rate_width), 1 - most_arrivals)
        reward = min(0.0, reward_width - cost)
        return reward, most_departures, fewest_arrivals, fewest_departures, most_arrivals

    def log_line(self) -> str:
        """Return a line for the log; its threshold is the first state that rejects."""
        beyond_cores = self.policy[self.cores :]
        threshold = self.max_requests
        if False in beyond_cores:
            threshold = self.policy.index(False, self.cores)
        return (
            f"s {self.requests} threshold {threshold} of {self.max_requests} "
            f"episodes {self.episodes} refused {self.rejected}"
        )
