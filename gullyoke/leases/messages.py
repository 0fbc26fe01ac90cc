"""Messages between the candidates and the voters of a lease.

Each message travels as an array of its fields in the order in which they stand here, so fields may
be renamed but neither reordered nor taken out; new ones go to the end. `duty` is the name of the
lease in the operator's file. An `incarnation` is a random number drawn when a process starts and
tells it apart from earlier processes of the same name. `round` is chosen by the sender of a request
and comes back in the reply. `voter_set` is the number of the set of voters that the sender goes by;
a reply under another number counts for nothing.
"""

from __future__ import annotations

from typing import Final, NamedTuple

NOBODY: Final = 0  # the incarnation in a reply or a promise that names no holder


class PreVote(NamedTuple):
    """Asks a voter whether it would grant the lease now. The voter promises nothing."""

    duty: str
    incarnation: int
    name: str
    round: int
    voter_set: int


class LeaseRequest(NamedTuple):
    """Asks a voter to grant the lease under `epoch`, or to renew it where it is granted already."""

    duty: str
    incarnation: int
    name: str
    epoch: int
    round: int
    voter_set: int


class VoteReply(NamedTuple):
    """A voter's answer to a `PreVote` or a `LeaseRequest`.

    Attributes:
        duty: Name of the lease.
        recipient: Incarnation of the candidate that asked.
        round: Round of the request.
        voter: Name of the voter.
        granted: Whether the lease is granted durably, or would be for a `PreVote`.
        to_request: Whether a `LeaseRequest` is answered, not a `PreVote`.
        epoch: The highest epoch that this voter has promised.
        holder_incarnation: To whom it is promised; `NOBODY` where no lease runs.
        holder: Name of that process; empty where no lease runs.
        remaining_us: Microseconds that the lease still runs by the voter's clock.
        voter_set: Number of the set of voters that the voter goes by.
    """

    duty: str
    recipient: int
    round: int
    voter: str
    granted: bool
    to_request: bool
    epoch: int
    holder_incarnation: int
    holder: str
    remaining_us: int
    voter_set: int


class LeaseRelease(NamedTuple):
    """The holder's word that it no longer has the lease and does nothing more under this epoch.

    Attributes:
        duty: Name of the lease.
        incarnation: The holder's incarnation.
        epoch: The epoch that ends.
        successor: Name of the process that should have the lease next; empty for any.
        failed: Whether the work under the lease failed at the holder.
    """

    duty: str
    incarnation: int
    epoch: int
    successor: str
    failed: bool


class HandoverOffer(NamedTuple):
    """From the holder to its chosen successor: request the lease as soon as it is released."""

    duty: str
    incarnation: int
    epoch: int


class HandoverAccept(NamedTuple):
    """The successor's answer to a `HandoverOffer`: it is ready to request the lease."""

    duty: str
    incarnation: int
    epoch: int


class EpochQuery(NamedTuple):
    """From a voter that lost its promises: asks another voter for all that it has promised."""

    voter: str
    incarnation: int
    round: int


class EpochReply(NamedTuple):
    """Answer to an `EpochQuery`.

    Attributes:
        voter: Name of the voter that answers.
        round: Round of the query.
        promises: One entry a lease: its name, and epoch, incarnation and name of its holder.
        fresh: Whether this voter has no promises of its own either.
    """

    voter: str
    round: int
    promises: tuple[tuple[str, int, int, str], ...]
    fresh: bool = False


LeaseMessage = (
    PreVote
    | LeaseRequest
    | VoteReply
    | LeaseRelease
    | HandoverOffer
    | HandoverAccept
    | EpochQuery
    | EpochReply
)
