"""Messages between the candidates and the voters of a lease.

Each message is sent as an array of its fields in the order of their definition, so fields may be
renamed but neither reordered nor removed; new ones are appended. `duty` is the name of the lease in
the operator's file. An `incarnation` is a random number drawn when a process starts; it
distinguishes the process from earlier ones of the same name. `round` is chosen by the sender of a
request and returned in the reply. `voter_set` is the number of the set of voters that the sender
uses; replies with another number are ignored.
"""

from __future__ import annotations

from typing import Final, NamedTuple

NOBODY: Final = 0  # incarnation in a reply or a promise without a holder


class PreVote(NamedTuple):
    """Asks a voter whether it would grant the lease now; the voter promises nothing."""

    duty: str
    incarnation: int
    name: str
    round: int
    voter_set: int


class LeaseRequest(NamedTuple):
    """Asks a voter to grant the lease under `epoch`, or to renew it if already granted."""

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
        recipient: Incarnation of the candidate that sent the request.
        round: Round of the request.
        voter: Name of the voter.
        granted: Whether the lease is granted durably; for a `PreVote`, whether it would be granted.
        to_request: True in the answer to a `LeaseRequest`, False in the answer to a `PreVote`.
        epoch: The highest epoch that this voter has promised.
        holder_incarnation: Incarnation of the holder; `NOBODY` if no lease is running.
        holder: Name of the holder; empty if no lease is running.
        remaining_us: Microseconds until the lease ends by the voter's clock.
        voter_set: Number of the set of voters that the voter uses.
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
    """States that the holder has given up the lease and does nothing more under this epoch.

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
    """Asks the successor chosen by the holder to request the lease after its release."""

    duty: str
    incarnation: int
    epoch: int


class HandoverAccept(NamedTuple):
    """The successor's answer to a `HandoverOffer`: it is ready to request the lease."""

    duty: str
    incarnation: int
    epoch: int


class EpochQuery(NamedTuple):
    """Asks another voter for its promises; sent by a voter that has none of its own."""

    voter: str
    incarnation: int
    round: int


class EpochReply(NamedTuple):
    """Answer to an `EpochQuery`.

    Attributes:
        voter: Name of the voter that answers.
        round: Round of the query.
        promises: For each lease its name, epoch, and the holder's incarnation and name.
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
