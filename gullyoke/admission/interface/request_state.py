"""The states of a request within its server."""

from __future__ import annotations

from enum import Enum, auto
from typing import Final


class RequestState(Enum):
    """The state of a request that the controller has accepted."""

    QUEUED = auto()
    """The request waits for the cores, or for the result of the request that it duplicates."""
    RUNNING = auto()
    """The request runs on the cores."""
    CALLING_DEPENDENCY = auto()
    """The run of the request waits for a dependency call."""
    FINISHED = auto()
    """The request is in none of the controller's tables any more."""


# The states are read with every event; an enumeration lookup costs more than a module-level name.
QUEUED: Final = RequestState.QUEUED
RUNNING: Final = RequestState.RUNNING
CALLING_DEPENDENCY: Final = RequestState.CALLING_DEPENDENCY
FINISHED: Final = RequestState.FINISHED
