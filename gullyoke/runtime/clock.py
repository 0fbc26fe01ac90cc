"""Time in whole microseconds that never runs backwards, and stamps of the Unix clock turned into
it.
"""

from __future__ import annotations

import time


def now() -> int:
    """The Unix clock at the start of the process, carried on by a clock that can't be set."""
    return START + (time.monotonic_ns() - BEGUN) // 1000


def age_of_unix_ms(stamp_ms: int) -> int:
    """How long ago the Unix clock showed `stamp_ms`.

    Never less than nothing, also if it was set back.
    """
    return max(0, time.time_ns() // 1000 - stamp_ms * 1000)


def unix_ms() -> int:
    """What the Unix clock shows, in whole ms, for stamps that others read."""
    return time.time_ns() // 1_000_000


START, BEGUN = time.time_ns() // 1000, time.monotonic_ns()
