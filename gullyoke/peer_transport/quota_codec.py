"""Messages of quota leases as bytes.

A body is a MessagePack array: the digest of the limit's configuration, the kind's number and the
message's fields. What a later release appends to the fields is passed over. Messages under another
digest are of a fleet that is configured otherwise, whose tokens are others.
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

# The position of a message is its number on the wire; new ones go to the end.
KINDS: Final[MessageKinds[QuotaMessage]] = MessageKinds(
    "a message of quota leases",
    (LenderClaim, LenderVote, QuotaRequest, QuotaGrant, QuotaReturn),
)
encode = msgspec.msgpack.Encoder().encode
_decode_body = msgspec.msgpack.Decoder(tuple[int, int, list[Any]]).decode


def configuration_digest(homes: Mapping[str, str], limit: int, floor: int, *more: str) -> int:
    """Return the digest of what all servers of a fleet have to be configured alike with.

    Args:
        homes: Addresses of the lenders by name, in any order.
        limit: The limit in tokens.
        floor: Tokens that each process has without a loan.
        more: For a tenant's quota, the tenant and the rate.
    """
    lenders = [f"{name}@{address}" for name, address in sorted(homes.items())]
    return stable_hash(" ".join([*lenders, str(limit), str(floor), *more]))


def pack(digest: int, message: QuotaMessage) -> bytes:
    """Return the body of a message."""
    return encode((digest, *KINDS.to_wire(message)))


def digest_of(body: bytes) -> int:
    """Return the digest of the configuration that a body was sent under.

    Raises:
        MalformedDatagramError: For bytes that are no message of quota leases.
    """
    with malformed_on_error():
        return _decode_body(body)[0]


def unpack(digest: int, body: bytes) -> QuotaMessage | None:
    """Return the message of a body; None where it was sent under another digest.

    Raises:
        MalformedDatagramError: For bytes that are no message of quota leases.
    """
    with malformed_on_error():
        sent_under, number, fields = _decode_body(body)
    if sent_under != digest:
        return None
    return KINDS.from_wire(number, fields)
