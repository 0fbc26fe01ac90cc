"""Leases: what only one process of a fleet does at a time.

A majority of voters grants a lease under an epoch that only grows; a fence at the resource rejects
acts of older epochs. The package has decisions and state alone: no I/O, no clock and no randomness
but what is handed in. It is safe by durable promises, majorities and a bound on how far the rates
of clocks differ; membership only speeds it up. docs/duty-design.md names the sources of each part.
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
