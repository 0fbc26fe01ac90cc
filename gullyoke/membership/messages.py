"""The messages that members exchange.

Each message carries its sender's record, so that the receiver always knows the sender. Most also
carry the digest of the sender's view and the share of the fleet that the sender considers lost.
gullyoke/peer_transport/codec.py encodes them.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from gullyoke.membership.member_record import MemberRecord, Update

LOST_SCALE: Final = 255  # `lost` is a share in 255ths
SIGNAL_BITS: Final = 14  # bits of the load signal; the sender's tick is in the bits above


class Ping(NamedTuple):
    """A probe, to be answered with an `Ack`.

    Attributes:
        sender: The sender's record.
        seq: The probe's sequence number, which the answer repeats; 0 if no answer is tracked.
        digest: The digest of the sender's view.
        lost: The share of the fleet that the sender considers lost, in 255ths.
        updates: Piggybacked updates.
        signal: The sender's load signal, with its tick above `SIGNAL_BITS`; 0 if there is none.
            Membership passes it on without reading the signal itself.
    """

    sender: MemberRecord
    seq: int
    digest: int
    lost: int
    updates: tuple[Update, ...] = ()
    signal: int = 0


class Ack(NamedTuple):
    """The answer to a probe: `subject` is reachable.

    Attributes:
        sender: The sender's record.
        seq: The sequence number of the probe.
        subject: The id of the probed member: the sender, or a member that the sender probed.
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
        seq: The sequence number that the answer has to carry.
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
    """Updates sent without a probe; fields as in `Ping`."""

    sender: MemberRecord
    digest: int
    lost: int
    updates: tuple[Update, ...]
    signal: int = 0


class Hello(NamedTuple):
    """A request for records, from a member that wants to join or to find unknown members."""

    sender: MemberRecord


class ViewDigests(NamedTuple):
    """The digests of the sender's view by bucket; asks for the records of differing buckets."""

    sender: MemberRecord
    buckets: tuple[int, ...]


class ViewRecords(NamedTuple):
    """Records of the sender's view.

    Attributes:
        sender: The sender's record.
        parts: The index and the digest of each bucket whose records this message completes.
        records: The records.
        is_reply: Whether this answers a `ViewDigests` or a `Hello`.
        differing: The number of buckets in which the two views differ.
    """

    sender: MemberRecord
    parts: tuple[tuple[int, int], ...]
    records: tuple[MemberRecord, ...]
    is_reply: bool
    differing: int = 0


class TopicMessage(NamedTuple):
    """A message of another service on the same transport; membership never handles it.

    Attributes:
        sender: The sender's record.
        topic: The service's number.
        body: The message in that service's own encoding.
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
        address: The destination, as `host:port`.
        message: The message.
        to: The id of the member expected at the address; 0 if unknown.
    """

    address: str
    message: Message
    to: int = 0
