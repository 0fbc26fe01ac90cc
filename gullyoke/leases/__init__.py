"""Leases for work that only one process of a fleet may do at a time.

A majority of voters grants a lease under an epoch that only grows; a fence at the resource rejects
operations of older epochs. The package holds decisions and state only. It does no I/O; times and
random numbers are passed in. Safety depends on durable promises, majorities and a bound on how far
the rates of clocks differ; membership only makes elections faster. docs/duty-design.md names the
sources of each part.
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
