"""How many retries there may be: a share of the first attempts, with a small burst."""

from __future__ import annotations


class RetryBudget:
    """Each first attempt earns `retry_share` of a retry; at most `burst` are saved up.

    Bounds the load that retries add when all back ends fail: attempts never exceed
    `first attempts * (1 + retry_share) + burst`. It starts with one retry, so that a lone failure
    at the start need not fail its request.
    """

    def __init__(self, retry_share: float, burst: float = 10.0) -> None:
        self.retry_share = retry_share
        self.burst = burst
        self.balance = min(1.0, burst) if retry_share > 0 else 0.0

    def on_first_attempt(self) -> None:
        """Add what a first attempt earns."""
        self.balance = min(self.burst, self.balance + self.retry_share)

    def allows_retry(self) -> bool:
        """Whether one more retry may be made."""
        return self.balance >= 1

    def spend(self) -> None:
        """Take out the retry that is made."""
        self.balance -= 1
