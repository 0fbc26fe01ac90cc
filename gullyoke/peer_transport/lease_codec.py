"""Encodes lease messages, and the promises and records in a voter's folder.

A body is a MessagePack array of the kind's number and the message's fields. Decoding ignores fields
that a later release appends.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final

import msgspec

from gullyoke.leases.announcements import Announcement, ForwardedCommand, Instruction
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
from gullyoke.leases.promises import Promise
from gullyoke.leases.replicated_record import (
    ReadRecord,
    RecordRead,
    RecordWritten,
    StoredRecord,
    WriteRecord,
)
from gullyoke.peer_transport.field_readers import MessageKinds, malformed_on_error

PROMISE_KEY_PREFIX: Final = "promise "  # comes before the lease's name in keys of a voter's folder
RECORD_KEY_PREFIX: Final = "kept "

# The position of a message type is its number on the wire; append new types at the end.
KINDS: Final[MessageKinds[tuple[Any, ...]]] = MessageKinds(
    "lease message",
    (
        PreVote,
        LeaseRequest,
        VoteReply,
        LeaseRelease,
        HandoverOffer,
        HandoverAccept,
        EpochQuery,
        EpochReply,
        WriteRecord,
        RecordWritten,
        ReadRecord,
        RecordRead,
        Announcement,
        Instruction,
        ForwardedCommand,
    ),
)
encode = msgspec.msgpack.Encoder().encode
_decode_body = msgspec.msgpack.Decoder(tuple[int, list[Any]]).decode
_decode_promise = msgspec.msgpack.Decoder(tuple[int, int, str]).decode
_decode_record = msgspec.msgpack.Decoder(tuple[int, int, bytes]).decode


def pack(message: tuple[Any, ...]) -> bytes:
    """Return the body of a message."""
    return encode(KINDS.to_wire(message))


def unpack(body: bytes) -> tuple[Any, ...]:
    """Return the message in a body.

    Raises:
        MalformedDatagramError: For bytes that are not a lease message.
    """
    with malformed_on_error():
        number, fields = _decode_body(body)
    return KINDS.from_wire(number, fields)


def encode_promise(promise: Promise) -> bytes:
    """Return the stored form of a promise in a voter's folder."""
    return encode(tuple(promise))


def encode_record(record: StoredRecord) -> bytes:
    """Return the stored form of a record in a voter's folder."""
    return encode(tuple(record))


def decode_voter_entries(
    items: Iterable[tuple[str, bytes]],
) -> tuple[dict[str, Promise], dict[str, StoredRecord]]:
    """Return the promises and the records in a voter's folder, by the names of the leases.

    Entries with other keys are ignored.

    Raises:
        ValueError: For an entry that cannot be decoded.
    """
    promises: dict[str, Promise] = {}
    records: dict[str, StoredRecord] = {}
    for key, value in items:
        if key.startswith(PROMISE_KEY_PREFIX):
            promises[key.removeprefix(PROMISE_KEY_PREFIX)] = Promise(*_decode_promise(value))
        elif key.startswith(RECORD_KEY_PREFIX):
            records[key.removeprefix(RECORD_KEY_PREFIX)] = StoredRecord(*_decode_record(value))
    return promises, records
