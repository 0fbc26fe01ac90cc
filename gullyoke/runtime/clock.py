"""The clock of the process, in whole microseconds that never run backwards, and Unix time."""

from __future__ import annotations

import time
from typing import Final

_START_UNIX_US: Final = time.time_ns() // 1000
_START_MONOTONIC_NS: Final = time.monotonic_ns()


def now() -> int:
    """Return the time in microseconds.

    It is the Unix time at the start of the process plus the monotonic time since then, so a change
    of the system clock does not affect it.
    """
    return _START_UNIX_US + (time.monotonic_ns() - _START_MONOTONIC_NS) // 1000


def age_of_unix_ms(stamp_ms: int) -> int:
    """Return how many microseconds ago the Unix time was `stamp_ms`.

    The result is never negative, even if the system clock was set back since then.
    """
    return max(0, time.time_ns() // 1000 - stamp_ms * 1000)


def unix_ms() -> int:
    """Return the Unix time in whole milliseconds, for timestamps that other machines read."""
    return time.time_ns() // 1_000_000
