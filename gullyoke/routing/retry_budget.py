"""A retry budget: a share of the first attempts, with a small burst."""

from __future__ import annotations


class RetryBudget:
    """Adds `retry_share` of a retry for each first attempt, up to a balance of `burst` retries.

    This bounds the load from retries when all back ends fail: attempts never exceed
    `first attempts * (1 + retry_share) + burst`. The balance starts at one retry, so that a single
    failure just after the start can be retried.
    """

    def __init__(self, retry_share: float, burst: float = 10.0) -> None:
        self.retry_share = retry_share
        self.burst = burst
        self.balance = min(1.0, burst) if retry_share > 0 else 0.0

    def on_first_attempt(self) -> None:
        """Add `retry_share` to the balance."""
        self.balance = min(self.burst, self.balance + self.retry_share)

    def allows_retry(self) -> bool:
        """Return whether the balance covers a retry."""
        return self.balance >= 1

    def spend(self) -> None:
        """Deduct one retry from the balance."""
        self.balance -= 1
