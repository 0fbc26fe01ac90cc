"""The states of a candidate, the changes that it reports and the messages that it sends."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from gullyoke.leases.messages import LeaseMessage


class AddressedMessage(NamedTuple):
    """A message and the name of the voter or member that it is sent to."""

    to: str
    message: LeaseMessage


class CandidateState(Enum):
    """The state of a candidate; `gullyoke fleet` shows the values."""

    IDLE = "idle"
    PRE_VOTING = "sounding"
    REQUESTING = "asking"
    HOLDING = "holding"


class LeaseChange(NamedTuple):
    """A change of this process's hold on the lease.

    The field names are keys of the answer to `gullyoke fleet duties`, so they stay.

    Attributes:
        at: Microseconds of the monotonic clock.
        what: `held`, `lost`, `left` or `passed`.
        epoch: The epoch that began or ended.
        why: The cause as text.
    """

    at: int
    what: str
    epoch: int
    why: str
