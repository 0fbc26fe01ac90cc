"""The time between ticks, and the expected times of requests; all in microseconds."""

from __future__ import annotations

from typing import Final

from gullyoke.admission.interface import Request, RequestClass

TICK_US: Final = 100_000
"""Microseconds between ticks; one tick is scheduled at a time."""
RUN_TIMES_PER_OBJECTIVE: Final = 6
"""The first estimate of a run time is the latency objective divided by this."""


def first_run_time(request_class: RequestClass) -> float:
    """Return the estimated run time of a class before any of its runs has ended."""
    return request_class.latency_objective / RUN_TIMES_PER_OBJECTIVE


def full_value_deadline(request: Request) -> int:
    """Return the time until which an answer earns its full value, as far as this server knows.

    The server does not know when earlier attempts began. The deadline minus one tick also limits
    the time, since a client may allow an attempt less time than the objective.
    """
    request_class = request.request_class
    return min(
        request.deadline - TICK_US,
        request.arrived
        + request_class.latency_objective
        + int(request_class.objective_stretch * request.cost_hint),
    )
