"""The store's records as bytes, and a reader of bytes that may be cut, lost or changed anywhere.

No I/O. On the disk a record is:

    magic (4 bytes) | payload size (u32) | kind (u8) | CRC-32C (u32) | payload

all little-endian. The checksum is over size, kind and payload; the payload is MessagePack of
[sequence, key, value]. The magic lets a reader go on behind damaged bytes.
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
SEGMENT_FORMAT: Final = 2  # of a segment that begins with a header; format 1 had none
MAX_PAYLOAD_BYTES: Final = 2**24  # a larger size is taken for a damaged one


class RecordKind(IntEnum):
    """What a record says of its key. The values are part of the format."""

    PUT = 1
    DELETED = 2
    HEADER = 3


KINDS: Final = {int(kind): kind for kind in RecordKind}

_encode_payload = msgspec.msgpack.Encoder().encode
_decode_payload = msgspec.msgpack.Decoder(tuple[int, str, bytes]).decode


class RecordTooLargeError(GullyokeError, ValueError):
    """The payload of a record is longer than MAX_PAYLOAD_BYTES."""


class Record(NamedTuple):
    """A key and its value, or that the key was deleted.

    Attributes:
        sequence: Grows with every record of a store.
        key: The key; empty in a segment's header.
        value: The value; empty where the key was deleted.
        kind: Whether it is put or deleted, or a segment's header.
    """

    sequence: int
    key: str
    value: bytes
    kind: RecordKind = RecordKind.PUT


class LocatedRecord(NamedTuple):
    """A whole record and where it lies, in bytes."""

    record: Record
    offset: int
    size_bytes: int


class DamagedBytes(NamedTuple):
    """So many bytes in a row that are no whole record."""

    size_bytes: int


def pack_record(record: Record) -> bytes:
    """Give the bytes of a record.

    Raises:
        RecordTooLargeError: Its payload is longer than MAX_PAYLOAD_BYTES.
    """
    payload = _encode_payload((record.sequence, record.key, record.value))
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise RecordTooLargeError(f"a record of {len(payload)} bytes; {MAX_PAYLOAD_BYTES} at most")
    checksum = _checksum(len(payload), record.kind, payload)
    return RECORD_HEAD.pack(RECORD_MAGIC, len(payload), record.kind, checksum) + payload


def unpack_record(data: bytes, offset: int) -> LocatedRecord | None:
    """Read the record that begins at an offset; None where there is no whole one."""
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
    """Give the bytes that a segment begins with: a record that bears the format as its sequence."""
    return pack_record(Record(SEGMENT_FORMAT, "", b"", RecordKind.HEADER))


def scan_records(data: bytes) -> Iterator[LocatedRecord | DamagedBytes]:
    """Read all that is whole, in its order, and say how many bytes between are not."""
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
