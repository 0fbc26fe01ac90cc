"""Records as bytes, and the reading of bytes that may have been cut, lost or changed anywhere.

No I/O.

A record is a mark, the size of its payload, its kind, a CRC-32C over size, kind and payload, and
the payload: MessagePack of [sequence, key, value]. The mark lets a reader go on behind what is
spoilt.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import NamedTuple

import google_crc32c
import msgspec

MARK = b"\xf5gly"
HEAD = struct.Struct("<4sIBI")  # mark, size, kind, checksum
SUMMED = struct.Struct("<IB")
PUT, DELETED, HEADER = 1, 2, 3  # kinds
FORMAT = 2  # of a segment that begins with a header; 1 had none
LARGEST = 2**24  # bytes of a payload; more is taken for a spoilt size

_encode, _decode = (
    msgspec.msgpack.Encoder().encode,
    msgspec.msgpack.Decoder(tuple[int, str, bytes]).decode,
)


class Record(NamedTuple):
    """`seq` grows with every record of a store; `value` is empty where the key is gone."""

    seq: int
    key: str
    value: bytes
    kind: int = PUT


class LocatedRecord(NamedTuple):
    """A whole record and where it lies: its first byte and its length."""

    record: Record
    at: int
    size: int


def pack_record(record: Record) -> bytes:
    payload = _encode((record.seq, record.key, record.value))
    if len(payload) > LARGEST:
        raise ValueError(f"a record of {len(payload)} bytes; {LARGEST} at most")
    summed = google_crc32c.extend(
        google_crc32c.value(SUMMED.pack(len(payload), record.kind)), payload
    )
    return HEAD.pack(MARK, len(payload), record.kind, summed) + payload


def unpack_record(data: bytes, at: int) -> LocatedRecord | None:
    """The record that begins there, or None where none is whole."""
    if at + HEAD.size > len(data):
        return None
    mark, size, kind, summed = HEAD.unpack_from(data, at)
    end = at + HEAD.size + size
    if mark != MARK or kind not in (PUT, DELETED, HEADER) or size > LARGEST or end > len(data):
        return None
    payload = data[at + HEAD.size : end]
    if google_crc32c.extend(google_crc32c.value(SUMMED.pack(size, kind)), payload) != summed:
        return None
    try:
        seq, key, value = _decode(payload)
    except msgspec.MsgspecError:
        return None
    return LocatedRecord(Record(seq, key, value, kind), at, end - at)


def segment_header() -> bytes:
    """What a segment begins with.

    A record of a kind of its own that bears the format in its sequence.
    """
    return pack_record(Record(FORMAT, "", b"", HEADER))


def scan_records(data: bytes) -> Iterator[LocatedRecord | int]:
    """All that is whole, in its order; a number stands for so many bytes that are not."""
    at = 0
    while at < len(data):
        found = unpack_record(data, at)
        if found is not None:
            yield found
            at += found.size
            continue
        next_mark = data.find(MARK, at + 1)
        while next_mark >= 0 and unpack_record(data, next_mark) is None:
            next_mark = data.find(MARK, next_mark + 1)
        end = next_mark if next_mark >= 0 else len(data)
        yield end - at
        at = end
