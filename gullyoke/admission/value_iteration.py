"""Extended value iteration on a birth-and-death model, one sweep at a time.

Each state leads only to itself and its two neighbors, so the time of a sweep is proportional to the
number of states. `learner` cites the paper.
"""

from __future__ import annotations

from typing import Final

UNIFORMIZATION_MARGIN: Final = 0.95
"""Largest probability of leaving a state in one step of the uniformized model."""
SMALLEST_RATE: Final = 1e-9

PairModel = tuple[float, float, float, float, float]
"""The extremes that the confidence region of a pair of state and action allows, per time step.

They are, in order: the largest reward (the negated cost, at most 0); the largest probability of a
departure, with the smallest probability of an arrival; the smallest probability of a departure,
with the largest probability of an arrival. The most optimistic model of a pair either empties the
server (the first two probabilities) or fills it (the last two).
The type is a plain tuple because sweeps unpack it often.
"""
StateModel = tuple[PairModel, PairModel]
"""The models of the two pairs of one state: rejecting, then admitting."""


def uniformize(models: list[PairModel]) -> tuple[list[StateModel], float]:
    """Scale the time step of a model to the model's largest rate.

    The best policy and the bias stay the same, but take fewer sweeps to find.

    Args:
        models: The extremes of the pairs: for each state the rejecting pair, then the admitting.

    Returns:
        The scaled extremes of each state, and the scale.
    """
    largest_rate = SMALLEST_RATE
    for _, most_departures, fewest_arrivals, fewest_departures, most_arrivals in models:
        largest_rate = max(
            largest_rate,
            most_departures + fewest_arrivals,
            most_arrivals + fewest_departures,
        )
    scale = UNIFORMIZATION_MARGIN / largest_rate
    scaled = [
        (reward * scale, out * scale, few_in * scale, few_out * scale, many_in * scale)
        for reward, out, few_in, few_out, many_in in models
    ]
    return list(zip(scaled[::2], scaled[1::2], strict=True)), scale


def sweep(models: list[StateModel], differences: list[float]) -> tuple[list[float], list[bool]]:
    """Apply the optimality operator of the extended MDP once.

    Args:
        models: The extremes of the confidence region, by state.
        differences: For each state s, the bias of state s + 1 minus that of state s.

    Returns:
        For each state, the gain of the better action, and whether that action is to admit;
        admitting wins ties.
    """
    gains: list[float] = []
    policy: list[bool] = []
    to_emptier = 0.0  # the bias of this state minus that of the state with one request less
    for (
        (reject_reward, reject_out, reject_in, reject_few_out, reject_many_in),
        (admit_reward, admit_out, admit_in, admit_few_out, admit_many_in),
    ), to_fuller in zip(models, differences, strict=True):
        reject = reject_reward - reject_out * to_emptier + reject_in * to_fuller
        admit = admit_reward - admit_out * to_emptier + admit_in * to_fuller
        if to_fuller > 0:  # unexplored fuller states may look better
            reject_filling = (
                reject_reward - reject_few_out * to_emptier + reject_many_in * to_fuller
            )
            if reject_filling > reject:
                reject = reject_filling
            admit_filling = admit_reward - admit_few_out * to_emptier + admit_many_in * to_fuller
            if admit_filling > admit:
                admit = admit_filling
        admitted = admit >= reject
        policy.append(admitted)
        gains.append(admit if admitted else reject)
        to_emptier = to_fuller
    return gains, policy
