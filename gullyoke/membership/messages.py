"""The messages that members exchange.

Each message carries its sender's record, so that no member is addressed by one it does not know,
and most carry what the sender thinks of the fleet: its view's digest, and the share of the fleet
that it takes for lost. gullyoke/peer_transport/codec.py has their form in bytes.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from gullyoke.membership.member_record import MemberRecord, Update

LOST_SCALE: Final = 255  # `lost` is a share in 255ths
SIGNAL_BITS: Final = 14  # bits of the load signal; the tick in which it was sent is above them


class Ping(NamedTuple):
    """A probe: are you there?

    Attributes:
        sender: The sender's record.
        seq: The probe's sequence number, which the answer repeats; 0 where no answer is tracked.
        digest: The digest of the sender's view.
        lost: The share of the fleet that the sender takes for lost, in 255ths.
        updates: Piggybacked updates.
        signal: The sender's load signal with its tick above `SIGNAL_BITS`; 0 where it sends none.
            Membership only carries it.
    """

    sender: MemberRecord
    seq: int
    digest: int
    lost: int
    updates: tuple[Update, ...] = ()
    signal: int = 0


class Ack(NamedTuple):
    """The answer to a probe: `subject` is there.

    Attributes:
        sender: The sender's record.
        seq: The sequence number of the probe.
        subject: The id of the member that is there: the sender, or one that it probed for another.
        digest: As in `Ping`.
        lost: As in `Ping`.
        updates: As in `Ping`.
        signal: As in `Ping`.
    """

    sender: MemberRecord
    seq: int
    subject: int
    digest: int
    lost: int
    updates: tuple[Update, ...] = ()
    signal: int = 0


class PingRequest(NamedTuple):
    """A request to probe `target` for the sender (SWIM's ping-req).

    Attributes:
        sender: The sender's record.
        seq: The sequence number under which the answer comes back.
        target: The record of the member to probe.
        digest: As in `Ping`.
        lost: As in `Ping`.
        updates: As in `Ping`.
        signal: As in `Ping`.
    """

    sender: MemberRecord
    seq: int
    target: MemberRecord
    digest: int
    lost: int
    updates: tuple[Update, ...] = ()
    signal: int = 0


class Gossip(NamedTuple):
    """Updates that do not wait for the next probe; fields as in `Ping`."""

    sender: MemberRecord
    digest: int
    lost: int
    updates: tuple[Update, ...]
    signal: int = 0


class Hello(NamedTuple):
    """From a member that wants to join, or that looks for members it does not know."""

    sender: MemberRecord


class ViewDigests(NamedTuple):
    """The digests of the sender's view, one for each bucket: send me the buckets that differ."""

    sender: MemberRecord
    buckets: tuple[int, ...]


class ViewRecords(NamedTuple):
    """Records of the sender's view.

    Attributes:
        sender: The sender's record.
        parts: The index and the digest of each bucket whose records are complete with this message.
        records: The records.
        is_reply: Whether this answers a `ViewDigests` or a `Hello`.
        differing: In how many buckets the two views differ altogether.
    """

    sender: MemberRecord
    parts: tuple[tuple[int, int], ...]
    records: tuple[MemberRecord, ...]
    is_reply: bool
    differing: int = 0


class TopicMessage(NamedTuple):
    """A message of another service on the members' transport; membership never sees it.

    Attributes:
        sender: The sender's record.
        topic: The number of the service.
        body: The message, in that service's own form.
    """

    sender: MemberRecord
    topic: int
    body: bytes


UpdateCarrier = Ping | Ack | PingRequest | Gossip
MembershipMessage = UpdateCarrier | Hello | ViewDigests | ViewRecords
Message = MembershipMessage | TopicMessage


class OutgoingMessage(NamedTuple):
    """One datagram to be sent.

    Attributes:
        address: Where to, as `host:port`.
        message: The message.
        to: The id of the member that is expected there; 0 where it is not known.
    """

    address: str
    message: Message
    to: int = 0
