"""Load balancing over back ends: selection, concurrency limits, ejection, queueing and retries.

The package does no I/O. The caller passes the time and the random generator, so the same events
give the same actions. An executor calls `Router`; each other class makes one kind of decision.
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
