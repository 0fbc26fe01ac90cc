"""Encodes messages of quota leases.

A body is a MessagePack array: the digest of the limit's configuration, the kind's number and the
message's fields. Decoding ignores fields that a later release appends. A message with another
digest is from a server with another configuration of the limit, so it concerns different tokens.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

import msgspec

from gullyoke.coordination.quota_messages import (
    LenderClaim,
    LenderVote,
    QuotaGrant,
    QuotaMessage,
    QuotaRequest,
    QuotaReturn,
)
from gullyoke.membership.member_record import stable_hash
from gullyoke.peer_transport.field_readers import MessageKinds, malformed_on_error

# The position of a message type is its number on the wire; append new types at the end.
KINDS: Final[MessageKinds[QuotaMessage]] = MessageKinds(
    "quota lease message",
    (LenderClaim, LenderVote, QuotaRequest, QuotaGrant, QuotaReturn),
)
encode = msgspec.msgpack.Encoder().encode
_decode_body = msgspec.msgpack.Decoder(tuple[int, int, list[Any]]).decode


def configuration_digest(
    lender_addresses: Mapping[str, str], limit: int, floor: int, *more: str
) -> int:
    """Return the digest of the settings that have to be equal on all servers of a fleet.

    Args:
        lender_addresses: The lenders' addresses by name, in any order.
        limit: The limit in tokens.
        floor: The number of tokens that each process has without a lease.
        more: For a tenant's quota, the tenant and the rate.
    """
    lenders = [f"{name}@{address}" for name, address in sorted(lender_addresses.items())]
    return stable_hash(" ".join([*lenders, str(limit), str(floor), *more]))


def pack(digest: int, message: QuotaMessage) -> bytes:
    """Return the body of a message."""
    return encode((digest, *KINDS.to_wire(message)))


def digest_of(body: bytes) -> int:
    """Return the configuration digest in a body.

    Raises:
        MalformedDatagramError: For bytes that are not a quota lease message.
    """
    with malformed_on_error():
        return _decode_body(body)[0]


def unpack(digest: int, body: bytes) -> QuotaMessage | None:
    """Return the message in a body; None if the body has another configuration digest.

    Raises:
        MalformedDatagramError: For bytes that are not a quota lease message.
    """
    with malformed_on_error():
        sent_under, number, fields = _decode_body(body)
    if sent_under != digest:
        return None
    return KINDS.from_wire(number, fields)
