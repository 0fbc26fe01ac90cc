"""Spans on clocks that need not agree.

Only that no two run apart by more than one part in RATE is believed.
"""

from __future__ import annotations

DRIFT_DIVISOR = 1000


def longest_elsewhere(span: int) -> int:
    """So long on one clock that `span` has passed on any other."""
    return span + 2 * span // DRIFT_DIVISOR + 1
