"""Extended value iteration on a birth-and-death model, one sweep at a time.

Each state leads to itself and its two neighbours alone, so a sweep takes time in proportion to the
number of states. The paper is cited as in `learner`.
"""

from __future__ import annotations

from typing import Final

UNIFORMIZATION_MARGIN: Final = 0.95
"""Largest probability that a state is left in one step of the uniformized model."""
SMALLEST_RATE: Final = 1e-9

PairModel = tuple[float, float, float, float, float]
"""The extremes that the confidence region of a pair allows, per time step.

In this order: the largest reward (the negated cost, 0 at most), the largest probability of a
departure, the smallest of an arrival together with it, the smallest probability of a departure, and
the largest of an arrival. The most optimistic model of a pair is emptying, with the second and
third, or filling, with the last two. A plain tuple, since sweeps unpack them often.
"""
StateModel = tuple[PairModel, PairModel]
"""The models of the pairs of one state: rejecting, admitting."""


def uniformize(models: list[PairModel]) -> tuple[list[StateModel], float]:
    """Scale the time step of a model to its own largest rate.

    The best policy and the bias stay as they are, and are found in fewer sweeps.

    Args:
        models: The extremes by pair: each state's rejecting pair, then its admitting one.

    Returns:
        The scaled extremes by state, and the scale.
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
        models: The extremes that the confidence region allows, by state.
        differences: The differences of the bias between state s + 1 and state s, by s.

    Returns:
        By state, the gain of the better action, and whether that is admitting. Admitting wins ties.
    """
    gains: list[float] = []
    policy: list[bool] = []
    to_emptier = 0.0  # the bias difference between this state and the emptier one
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
