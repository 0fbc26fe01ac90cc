"""The process's clock, in whole microseconds that never run backwards, and Unix time."""

from __future__ import annotations

import time
from typing import Final

_START_UNIX_US: Final = time.time_ns() // 1000
_START_MONOTONIC_NS: Final = time.monotonic_ns()


def now() -> int:
    """Return the time in microseconds.

    It is the Unix clock at the start of the process, carried on by a clock that nobody can set.
    """
    return _START_UNIX_US + (time.monotonic_ns() - _START_MONOTONIC_NS) // 1000


def age_of_unix_ms(stamp_ms: int) -> int:
    """Return how many microseconds ago the Unix clock showed `stamp_ms`.

    Never negative, even where the Unix clock was set back since.
    """
    return max(0, time.time_ns() // 1000 - stamp_ms * 1000)


def unix_ms() -> int:
    """Return the Unix time in whole milliseconds, for timestamps that other machines read."""
    return time.time_ns() // 1_000_000
