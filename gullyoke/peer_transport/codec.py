"""Encodes membership messages as MessagePack arrays that start with the format's version.

docs/members-wire.md has the layout. A later release may append elements to any array; decoding
ignores them, so that different releases can be in one fleet. Data of any other form raises
`MalformedDatagramError`, and nothing of it is used.
"""

from __future__ import annotations

from typing import Final

import msgspec

from gullyoke.membership.member_record import (
    REFUTATIONS_PER_START,
    MemberRecord,
    Status,
    StatusUpdate,
    Suspicion,
    SuspicionKind,
    SuspicionReport,
    Update,
)
from gullyoke.membership.messages import (
    LOST_SCALE,
    Ack,
    Gossip,
    Hello,
    Message,
    Ping,
    PingRequest,
    TopicMessage,
    ViewDigests,
    ViewRecords,
)
from gullyoke.peer_transport.field_readers import (
    U64_END,
    MalformedDatagramError,
    check_numbers,
    check_text,
    malformed_on_error,
)

VERSION: Final = 1
MAX_DATAGRAM_BYTES: Final = 1200  # including the seal
MAX_NAME_CHARS: Final = 64
MAX_ADDRESS_CHARS: Final = 64
MAX_ZONE_CHARS: Final = 32
RECORD_KIND, STATUS_KIND, REPORT_KIND = range(3)  # kinds of updates
STATUS_NUMBERS: Final = 6  # in a status update
REPORT_HEAD_NUMBERS: Final = 4  # in a suspicion report, before its suspicions
SUSPICION_NUMBERS: Final = 3


class GrowableArray(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """An array to which later releases may append elements."""


class WireRecord(GrowableArray, frozen=True):
    """A member record; see `MemberRecord`."""

    name: str
    version: int
    status: int
    address: str
    zone: str
    incarnation: int


class WireUpdate(GrowableArray, frozen=True):
    """An update of any kind.

    Attributes:
        kind: `RECORD_KIND`, `STATUS_KIND` or `REPORT_KIND`.
        record: The member record, for an update of that kind.
        numbers: For a status update its fields; for a suspicion report the observer, the observer's
            version, the sequence number, whether the observer is unsure, and three numbers for each
            suspicion.
    """

    kind: int
    record: WireRecord | None = None
    numbers: list[int] = []


class WireMessage(GrowableArray, frozen=True):
    """A message of any kind.

    Attributes:
        version: The version of the format.
        kind: The position of the message's type in `KINDS`.
        sender: The sender's record.
        seq: The sequence number of a `Ping`, an `Ack` or a `PingRequest`.
        digest: The digest of the sender's view.
        lost: The share of the fleet that the sender considers lost.
        subject_or_topic: The subject of an `Ack`, or the topic of a `TopicMessage`.
        target: The target of a `PingRequest`.
        member_updates: The piggybacked updates.
        numbers: The digests of `ViewDigests`; for `ViewRecords` whether it is a reply, the number
            of differing buckets, and the index and the digest of each complete bucket.
        member_records: The records of `ViewRecords`.
        signal: The sender's load signal.
        body: The body of a `TopicMessage`.
    """

    version: int
    kind: int
    sender: WireRecord
    seq: int = 0
    digest: int = 0
    lost: int = 0
    subject_or_topic: int = 0
    target: WireRecord | None = None
    member_updates: list[WireUpdate] = []
    numbers: list[int] = []
    member_records: list[WireRecord] = []
    signal: int = 0
    body: bytes = b""


KINDS = (Ping, Ack, PingRequest, Gossip, Hello, ViewDigests, ViewRecords, TopicMessage)
decode = msgspec.msgpack.Decoder(WireMessage).decode
encode = msgspec.msgpack.Encoder().encode


def encode_record(record: MemberRecord) -> WireRecord:
    """Return the wire form of a member record."""
    return WireRecord(
        record.name,
        record.version,
        int(record.status),
        record.address,
        record.zone,
        record.incarnation,
    )


def decode_record(wire: WireRecord) -> MemberRecord:
    """Return the member record of a wire form.

    Raises:
        MalformedDatagramError: For texts or numbers out of bounds.
    """
    check_text("member name", wire.name, MAX_NAME_CHARS, shortest=1)
    check_text("member address", wire.address, MAX_ADDRESS_CHARS, shortest=1)
    check_text("member zone", wire.zone, MAX_ZONE_CHARS)
    check_numbers((wire.version, wire.incarnation, wire.status))
    if wire.version >= U64_END - REFUTATIONS_PER_START or wire.status > Status.DEAD:
        raise MalformedDatagramError(
            f"member record has version {wire.version} and status {wire.status}"
        )
    return MemberRecord(
        wire.name, wire.version, Status(wire.status), wire.address, wire.zone, wire.incarnation
    )


def encode_update(update: Update) -> WireUpdate:
    """Return the wire form of an update."""
    if isinstance(update, MemberRecord):
        return WireUpdate(RECORD_KIND, encode_record(update))
    if isinstance(update, StatusUpdate):
        return WireUpdate(STATUS_KIND, None, [int(number) for number in update])
    numbers = [update.observer, update.version, update.seq, int(update.unsure)]
    for suspicion in update.suspicions:
        numbers += suspicion
    return WireUpdate(REPORT_KIND, None, numbers)


def decode_update(wire: WireUpdate) -> Update | None:
    """Return the update of a wire form; None for a kind that only later releases have.

    Raises:
        MalformedDatagramError: For a malformed update of a known kind.
    """
    numbers = wire.numbers
    check_numbers(numbers)
    if wire.kind == RECORD_KIND and wire.record is not None:
        return decode_record(wire.record)
    if wire.kind == STATUS_KIND and len(numbers) >= STATUS_NUMBERS and numbers[2] <= Status.DEAD:
        return StatusUpdate(numbers[0], numbers[1], Status(numbers[2]), *numbers[3:STATUS_NUMBERS])
    rest = len(numbers) - REPORT_HEAD_NUMBERS
    if wire.kind == REPORT_KIND and rest >= 0 and rest % SUSPICION_NUMBERS == 0:
        triples = zip(numbers[4::3], numbers[5::3], numbers[6::3], strict=True)
        suspicions = tuple(Suspicion(a, b, SuspicionKind(c)) for a, b, c in triples if c in (1, 2))
        return SuspicionReport(numbers[0], numbers[1], numbers[2], bool(numbers[3]), suspicions)
    if wire.kind > REPORT_KIND:
        return None
    raise MalformedDatagramError(f"update of kind {wire.kind} has {len(numbers)} numbers")


def pack(message: Message) -> bytes:
    """Return the bytes of a message, without the seal."""
    head = VERSION, KINDS.index(type(message)), encode_record(message.sender)
    if isinstance(message, Hello):
        return encode(WireMessage(*head))
    if isinstance(message, TopicMessage):
        return encode(WireMessage(*head, subject_or_topic=message.topic, body=message.body))
    if isinstance(message, ViewDigests):
        return encode(WireMessage(*head, numbers=list(message.buckets)))
    if isinstance(message, ViewRecords):
        numbers = [int(message.is_reply), message.differing]
        for part in message.parts:
            numbers += part
        return encode(
            WireMessage(
                *head,
                numbers=numbers,
                member_records=[encode_record(record) for record in message.records],
            )
        )
    member_updates = [encode_update(update) for update in message.updates]
    if isinstance(message, Gossip):
        return encode(
            WireMessage(
                *head,
                0,
                message.digest,
                message.lost,
                member_updates=member_updates,
                signal=message.signal,
            )
        )
    target = encode_record(message.target) if isinstance(message, PingRequest) else None
    subject_or_topic = message.subject if isinstance(message, Ack) else 0
    return encode(
        WireMessage(
            *head,
            message.seq,
            message.digest,
            message.lost,
            subject_or_topic,
            target,
            member_updates,
            signal=message.signal,
        )
    )


def unpack(data: bytes) -> Message:
    """Return the message of bytes without a seal.

    Raises:
        MalformedDatagramError: For bytes that are not a membership message.
    """
    wire = _decode_checked(data)
    kind = KINDS[wire.kind]
    sender = decode_record(wire.sender)
    if kind is Hello:
        return Hello(sender)
    if kind is TopicMessage:
        return TopicMessage(sender, wire.subject_or_topic, wire.body)
    if kind is ViewDigests:
        return ViewDigests(sender, tuple(wire.numbers))
    if kind is ViewRecords:
        return _decode_view_records(sender, wire)
    return _decode_update_carrier(kind, sender, wire)


def _decode_checked(data: bytes) -> WireMessage:
    """Return the wire form of a message, after a check of its kind and its numbers."""
    with malformed_on_error():
        wire = decode(data)
    if wire.version < 1 or not 0 <= wire.kind < len(KINDS):
        raise MalformedDatagramError(
            f"unknown message: format version {wire.version}, kind {wire.kind}"
        )
    check_numbers(
        (wire.seq, wire.digest, wire.subject_or_topic, wire.signal, wire.lost, *wire.numbers)
    )
    if wire.lost > LOST_SCALE:
        raise MalformedDatagramError(f"lost share {wire.lost} is out of bounds")
    return wire


def _decode_view_records(sender: MemberRecord, wire: WireMessage) -> ViewRecords:
    numbers = wire.numbers
    if len(numbers) < 2 or len(numbers) % 2:
        raise MalformedDatagramError(f"view records message has {len(numbers)} numbers")
    parts = tuple(zip(numbers[2::2], numbers[3::2], strict=True))
    records = tuple(decode_record(record) for record in wire.member_records)
    return ViewRecords(sender, parts, records, bool(numbers[0]), numbers[1])


def _decode_update_carrier(kind: type[Message], sender: MemberRecord, wire: WireMessage) -> Message:
    updates = tuple(
        update for update in map(decode_update, wire.member_updates) if update is not None
    )
    if kind is Gossip:
        return Gossip(sender, wire.digest, wire.lost, updates, wire.signal)
    if kind is Ack:
        return Ack(
            sender, wire.seq, wire.subject_or_topic, wire.digest, wire.lost, updates, wire.signal
        )
    if kind is Ping:
        return Ping(sender, wire.seq, wire.digest, wire.lost, updates, wire.signal)
    if wire.target is None:
        raise MalformedDatagramError("probe request has no target")
    target = decode_record(wire.target)
    return PingRequest(sender, wire.seq, target, wire.digest, wire.lost, updates, wire.signal)
