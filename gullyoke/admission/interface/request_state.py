"""Where a request stands within its server."""

from __future__ import annotations

from enum import Enum, auto
from typing import Final


class RequestState(Enum):
    """The state of a request that the decisions have accepted for now."""

    QUEUED = auto()
    """It waits for the cores, or for the answer that it duplicates."""
    RUNNING = auto()
    """It is on the cores."""
    CALLING_DEPENDENCY = auto()
    """Its run waits for a dependency call."""
    FINISHED = auto()
    """It is in none of the decisions' tables any more."""


# Read with every event; a look-up in an enumeration costs more than one of a module's name.
QUEUED: Final = RequestState.QUEUED
RUNNING: Final = RequestState.RUNNING
CALLING_DEPENDENCY: Final = RequestState.CALLING_DEPENDENCY
FINISHED: Final = RequestState.FINISHED
