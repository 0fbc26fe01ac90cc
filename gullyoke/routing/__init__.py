"""Which back end a run goes to, how many each takes, who is set aside, and what is tried again.

Decisions and state alone: no I/O, no clock but the caller's, chance from the caller's generator.
The same events bring the same moves. `Dispatch` is what a carrier of runs calls; the others decide
one thing each.
"""

from gullyoke.routing.backend import Member, Stated
from gullyoke.routing.concurrency_limit import Limit
from gullyoke.routing.dispatch import Dispatch, Run, Send, Tell
from gullyoke.routing.outcomes import Fate, fate_of
from gullyoke.routing.outlier_detection import SET_ASIDE, Health, Standing
from gullyoke.routing.pool import Pool
from gullyoke.routing.retry_budget import Budget
from gullyoke.routing.wait_queue import Line

__all__ = [
    "SET_ASIDE",
    "Budget",
    "Dispatch",
    "Fate",
    "Health",
    "Limit",
    "Line",
    "Member",
    "Pool",
    "Run",
    "Send",
    "Standing",
    "Stated",
    "Tell",
    "fate_of",
]
