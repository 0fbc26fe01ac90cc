"""When an answer earns its full value, and the time between ticks."""

from __future__ import annotations

TICK = 100_000  # between wake-ups (ours); one wake-up is out at a time


def aim(request) -> int:
    """By when an answer earns its full value, as far as this server can know.

    Earlier tries are not told.

    Guards against runs for callers whose patience with a try is shorter than the target.
    """
    h = request.request_class
    return min(
        request.deadline - TICK,
        request.arrived + h.latency_objective + int(h.objective_stretch * request.cost_hint),
    )
