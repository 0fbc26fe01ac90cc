"""Which back end a run is sent to, how many each takes, who is ejected, and what is retried.

Decisions and state alone: no I/O, no clock but the caller's, chance from the caller's generator.
The same events bring the same actions. `Router` is what an executor calls; each of the others
decides one thing.
"""

from gullyoke.routing.backend import Backend, BackendSettings
from gullyoke.routing.concurrency_limit import ConcurrencyLimit
from gullyoke.routing.outcomes import AttemptOutcome, outcome_of_close
from gullyoke.routing.outlier_detection import EJECTED_STATES, HealthState, OutlierDetector
from gullyoke.routing.pool import BackendPool
from gullyoke.routing.retry_budget import RetryBudget
from gullyoke.routing.routed_run import RoutedRun
from gullyoke.routing.router import Router, RouterAction, RunEnded, SendAttempt
from gullyoke.routing.wait_queue import WaitQueue

__all__ = [
    "EJECTED_STATES",
    "AttemptOutcome",
    "Backend",
    "BackendPool",
    "BackendSettings",
    "ConcurrencyLimit",
    "HealthState",
    "OutlierDetector",
    "RetryBudget",
    "RoutedRun",
    "Router",
    "RouterAction",
    "RunEnded",
    "SendAttempt",
    "WaitQueue",
    "outcome_of_close",
]
