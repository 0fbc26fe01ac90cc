"""Duties of one: leases by a majority of stated voters, each with an epoch that only grows, fences
that hold whatever leases come to, and what is done under them.

Decisions and state alone; no I/O, no clock and no chance but what is handed in. Safety rests on
durable promises, majorities and clocks whose rates differ by a stated bound; membership only speeds
things up. docs/duty-design.md says what was taken from where.
"""

from gullyoke.leases.candidate import Candidate
from gullyoke.leases.fence import Fence
from gullyoke.leases.messages import (
    EpochQuery,
    EpochReply,
    HandoverAccept,
    HandoverOffer,
    LeaseRelease,
    LeaseRequest,
    PreVote,
    VoteReply,
)
from gullyoke.leases.voter import PromiseWrite, Voter

__all__ = [
    "Candidate",
    "EpochQuery",
    "EpochReply",
    "Fence",
    "HandoverAccept",
    "HandoverOffer",
    "LeaseRelease",
    "LeaseRequest",
    "PreVote",
    "PromiseWrite",
    "VoteReply",
    "Voter",
]
