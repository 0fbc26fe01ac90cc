"""The encoding of the store's records, and a reader that copes with truncated or damaged data.

No I/O. The stored form of a record is:

    magic (4 bytes) | payload size (u32) | kind (u8) | CRC-32C (u32) | payload

Numbers are little-endian. The checksum covers size, kind and payload; the payload is the
MessagePack encoding of [sequence, key, value]. The magic lets a reader find the next record behind
damaged bytes.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from enum import IntEnum
from typing import Final, NamedTuple

import google_crc32c
import msgspec

from gullyoke.errors import GullyokeError

RECORD_MAGIC: Final = b"\xf5gly"
RECORD_HEAD: Final = struct.Struct("<4sIBI")  # magic, payload size, kind, checksum
CHECKSUMMED_HEAD: Final = struct.Struct("<IB")  # payload size, kind
SEGMENT_FORMAT: Final = 2  # segments begin with a header; in format 1 they had none
MAX_PAYLOAD_BYTES: Final = 2**24  # a reader treats a larger size as damaged


class RecordKind(IntEnum):
    """The meaning of a record for its key. The values are part of the stored format."""

    PUT = 1
    DELETED = 2
    HEADER = 3


KINDS: Final = {int(kind): kind for kind in RecordKind}

_encode_payload = msgspec.msgpack.Encoder().encode
_decode_payload = msgspec.msgpack.Decoder(tuple[int, str, bytes]).decode


class RecordTooLargeError(GullyokeError, ValueError):
    """The payload of a record is longer than MAX_PAYLOAD_BYTES."""


class Record(NamedTuple):
    """A key with its value, the deletion of a key, or the header of a segment.

    Attributes:
        sequence: The sequence number, which grows with every record of a store; in the header of a
            segment, the format.
        key: The key; empty in a header.
        value: The value; empty in a deletion and in a header.
        kind: Which of the three the record is.
    """

    sequence: int
    key: str
    value: bytes
    kind: RecordKind = RecordKind.PUT


class LocatedRecord(NamedTuple):
    """An intact record, with its offset and size in bytes."""

    record: Record
    offset: int
    size_bytes: int


class DamagedBytes(NamedTuple):
    """A number of consecutive bytes that contain no intact record."""

    size_bytes: int


def pack_record(record: Record) -> bytes:
    """Encode a record.

    Raises:
        RecordTooLargeError: The payload is longer than MAX_PAYLOAD_BYTES.
    """
    payload = _encode_payload((record.sequence, record.key, record.value))
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise RecordTooLargeError(
            f"record payload of {len(payload)} bytes; the limit is {MAX_PAYLOAD_BYTES}"
        )
    checksum = _checksum(len(payload), record.kind, payload)
    return RECORD_HEAD.pack(RECORD_MAGIC, len(payload), record.kind, checksum) + payload


def unpack_record(data: bytes, offset: int) -> LocatedRecord | None:
    """Decode the record that begins at an offset; None if there is no intact one."""
    if offset + RECORD_HEAD.size > len(data):
        return None
    magic, size, kind_number, checksum = RECORD_HEAD.unpack_from(data, offset)
    kind = KINDS.get(kind_number)
    end = offset + RECORD_HEAD.size + size
    if magic != RECORD_MAGIC or kind is None or size > MAX_PAYLOAD_BYTES or end > len(data):
        return None
    payload = data[offset + RECORD_HEAD.size : end]
    if _checksum(size, kind, payload) != checksum:
        return None
    try:
        sequence, key, value = _decode_payload(payload)
    except msgspec.MsgspecError:
        return None
    return LocatedRecord(Record(sequence, key, value, kind), offset, end - offset)


def _checksum(size: int, kind: RecordKind, payload: bytes) -> int:
    head = google_crc32c.value(CHECKSUMMED_HEAD.pack(size, kind))
    checksum: int = google_crc32c.extend(head, payload)
    return checksum


def segment_header() -> bytes:
    """Return the header of a segment, a record with the format as its sequence number."""
    return pack_record(Record(SEGMENT_FORMAT, "", b"", RecordKind.HEADER))


def scan_records(data: bytes) -> Iterator[LocatedRecord | DamagedBytes]:
    """Decode all intact records in order, and report the sizes of damaged parts between them."""
    offset = 0
    while offset < len(data):
        located = unpack_record(data, offset)
        if located is not None:
            yield located
            offset += located.size_bytes
            continue
        next_record = data.find(RECORD_MAGIC, offset + 1)
        while next_record >= 0 and unpack_record(data, next_record) is None:
            next_record = data.find(RECORD_MAGIC, next_record + 1)
        end = next_record if next_record >= 0 else len(data)
        yield DamagedBytes(end - offset)
        offset = end
