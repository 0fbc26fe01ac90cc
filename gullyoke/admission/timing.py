"""The time between ticks, and what is expected of a request's times; all in microseconds."""

from __future__ import annotations

from typing import Final

from gullyoke.admission.interface import Request, RequestClass

TICK_US: Final = 100_000
"""Microseconds between ticks; one tick is scheduled at a time (not from the paper)."""
RUN_TIMES_PER_OBJECTIVE: Final = 6
"""A run is first taken to last the latency objective divided by this (not from the paper)."""


def first_run_time(request_class: RequestClass) -> float:
    """Return how long a run of the class is taken to last before any has ended."""
    return request_class.latency_objective / RUN_TIMES_PER_OBJECTIVE


def full_value_deadline(request: Request) -> int:
    """Return the time by which an answer earns its full value, as far as this server can know.

    The times of earlier attempts are unknown here. The deadline counts too, less a tick: a client
    that gives an attempt less time than the objective has left before that.
    """
    request_class = request.request_class
    return min(
        request.deadline - TICK_US,
        request.arrived
        + request_class.latency_objective
        + int(request_class.objective_stretch * request.cost_hint),
    )
