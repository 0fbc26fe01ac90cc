"""What candidates and voters say to each other.

A process is told apart by its `life`, drawn at its start; `round` is the asker's own number for its
asking and comes back. `voters` is the number of the set of voters that the sender goes by: an
answer under another one counts for nothing.
"""

from __future__ import annotations

from typing import NamedTuple

NOBODY = 0  # the life of nobody


class PreVote(NamedTuple):
    """Would you grant me this duty now? Nothing is promised for it."""

    duty: str
    life: int
    name: str
    round: int
    voters: int


class LeaseRequest(NamedTuple):
    """Grant me this duty under this epoch; a renewal where it is granted already."""

    duty: str
    life: int
    name: str
    epoch: int
    round: int
    voters: int


class VoteReply(NamedTuple):
    """A voter's word on a Sound or an Ask.

    `yes`: it would, or it does, durably. `epoch` is the highest that it has promised, `life` and
    `name` to whom, `left` for how long yet, in microseconds on its clock.
    """

    duty: str
    to: int
    round: int
    by: str
    yes: bool
    asked: bool  # whether an Ask was answered
    epoch: int
    life: int
    name: str
    left: int
    voters: int


class LeaseRelease(NamedTuple):
    """I no longer hold this duty, and do nothing more under this epoch.

    `next`: who should have it now; empty for anybody. `ill`: because it failed here, so not this
    one soon.
    """

    duty: str
    life: int
    epoch: int
    next: str
    ill: bool


class HandoverOffer(NamedTuple):
    """From a holder to whom it would hand its duty: take it as soon as I let go."""

    duty: str
    life: int
    epoch: int


class HandoverAccept(NamedTuple):
    """The answer: I will."""

    duty: str
    life: int
    epoch: int


class EpochQuery(NamedTuple):
    """From a voter that has lost its promises: what are the epochs that you have promised?"""

    by: str
    life: int
    round: int


class EpochReply(NamedTuple):
    """By duty: epoch, life and name of what was promised.

    `fresh`: this one has nothing of its own either.
    """

    by: str
    round: int
    epochs: tuple[tuple[str, int, int, str], ...]
    fresh: bool = False


Message = (
    PreVote
    | LeaseRequest
    | VoteReply
    | LeaseRelease
    | HandoverOffer
    | HandoverAccept
    | EpochQuery
    | EpochReply
)
