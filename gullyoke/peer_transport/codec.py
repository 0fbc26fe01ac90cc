"""Messages of membership as bytes: MessagePack arrays with the version first.

docs/members-wire.md has the layout. A later release may append to any array; what is appended is
passed over, so that two releases can be in one fleet. Whatever does not have this form is a
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
MAX_DATAGRAM_BYTES: Final = 1200  # the seal included
MAX_NAME_CHARS: Final = 64
MAX_ADDRESS_CHARS: Final = 64
MAX_ZONE_CHARS: Final = 32
ROW_KIND, MARK_KIND, REPORT_KIND = range(3)  # of news
MARK_NUMBERS: Final = 6
REPORT_HEAD_NUMBERS: Final = 4  # before the entries
ENTRY_NUMBERS: Final = 3


class GrowableArray(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """An array whose length may grow in later versions."""


class WireRow(GrowableArray, frozen=True):
    """A member's row; see `MemberRecord`."""

    name: str
    number: int
    status: int
    address: str
    zone: str
    life: int


class WireNews(GrowableArray, frozen=True):
    """One piece of news.

    Attributes:
        kind: `ROW_KIND`, `MARK_KIND` or `REPORT_KIND`.
        row: The row, for news of that kind.
        figures: For a mark its fields; for a report the observer, its number, the sequence, whether
            it is unsure, and its entries with three numbers each.
    """

    kind: int
    row: WireRow | None = None
    figures: list[int] = []


class WireMessage(GrowableArray, frozen=True):
    """Any message; `kind` is its position in KINDS, and what it does not use is empty."""

    version: int
    kind: int
    sender: WireRow
    seq: int = 0
    digest: int = 0
    lost: int = 0
    about: int = 0
    target: WireRow | None = None
    news: list[WireNews] = []
    figures: list[int] = []
    rows: list[WireRow] = []
    signal: int = 0
    body: bytes = b""


KINDS = (Ping, Ack, PingRequest, Gossip, Hello, ViewDigests, ViewRecords, TopicMessage)
decode = msgspec.msgpack.Decoder(WireMessage).decode
encode = msgspec.msgpack.Encoder().encode


def encode_row(row: MemberRecord) -> WireRow:
    """Return a row as it is sent."""
    return WireRow(row.name, row.version, int(row.status), row.address, row.zone, row.incarnation)


def decode_row(wire: WireRow) -> MemberRecord:
    """Return the row that was received.

    Raises:
        MalformedDatagramError: For texts or numbers out of bounds.
    """
    check_text("a name", wire.name, MAX_NAME_CHARS, shortest=1)
    check_text("an address", wire.address, MAX_ADDRESS_CHARS, shortest=1)
    check_text("a zone", wire.zone, MAX_ZONE_CHARS)
    check_numbers((wire.number, wire.life, wire.status))
    if wire.number >= U64_END - REFUTATIONS_PER_START or wire.status > Status.DEAD:
        raise MalformedDatagramError(f"a row of number {wire.number}, status {wire.status}")
    return MemberRecord(
        wire.name, wire.number, Status(wire.status), wire.address, wire.zone, wire.life
    )


def encode_news(item: Update) -> WireNews:
    """Return a piece of news as it is sent."""
    if isinstance(item, MemberRecord):
        return WireNews(ROW_KIND, encode_row(item))
    if isinstance(item, StatusUpdate):
        return WireNews(MARK_KIND, None, [int(figure) for figure in item])
    figures = [item.observer, item.version, item.seq, int(item.unsure)]
    for entry in item.suspicions:
        figures += entry
    return WireNews(REPORT_KIND, None, figures)


def decode_news(wire: WireNews) -> Update | None:
    """Return a piece of news that was received; None for a kind of a later release.

    Raises:
        MalformedDatagramError: For news of a known kind that can't be right.
    """
    figures = wire.figures
    check_numbers(figures)
    if wire.kind == ROW_KIND and wire.row is not None:
        return decode_row(wire.row)
    if wire.kind == MARK_KIND and len(figures) >= MARK_NUMBERS and figures[2] <= Status.DEAD:
        return StatusUpdate(figures[0], figures[1], Status(figures[2]), *figures[3:MARK_NUMBERS])
    entry_numbers = len(figures) - REPORT_HEAD_NUMBERS
    if wire.kind == REPORT_KIND and entry_numbers >= 0 and entry_numbers % ENTRY_NUMBERS == 0:
        threes = zip(figures[4::3], figures[5::3], figures[6::3], strict=True)
        entries = tuple(Suspicion(a, b, SuspicionKind(c)) for a, b, c in threes if c in (1, 2))
        return SuspicionReport(figures[0], figures[1], figures[2], bool(figures[3]), entries)
    if wire.kind > REPORT_KIND:
        return None
    raise MalformedDatagramError(f"news of kind {wire.kind} with {len(figures)} numbers")


def pack(message: Message) -> bytes:
    """Return a message as bytes, without its seal."""
    head = VERSION, KINDS.index(type(message)), encode_row(message.sender)
    if isinstance(message, Hello):
        return encode(WireMessage(*head))
    if isinstance(message, TopicMessage):
        return encode(WireMessage(*head, about=message.topic, body=message.body))
    if isinstance(message, ViewDigests):
        return encode(WireMessage(*head, figures=list(message.buckets)))
    if isinstance(message, ViewRecords):
        figures = [int(message.is_reply), message.differing]
        for part in message.parts:
            figures += part
        return encode(
            WireMessage(*head, figures=figures, rows=[encode_row(row) for row in message.records])
        )
    news = [encode_news(item) for item in message.updates]
    if isinstance(message, Gossip):
        return encode(
            WireMessage(*head, 0, message.digest, message.lost, news=news, signal=message.signal)
        )
    target = encode_row(message.target) if isinstance(message, PingRequest) else None
    about = message.subject if isinstance(message, Ack) else 0
    return encode(
        WireMessage(
            *head,
            message.seq,
            message.digest,
            message.lost,
            about,
            target,
            news,
            signal=message.signal,
        )
    )


def unpack(data: bytes) -> Message:
    """Return the message of bytes without their seal.

    Raises:
        MalformedDatagramError: For bytes that are no message of membership.
    """
    wire = _decode_checked(data)
    kind = KINDS[wire.kind]
    sender = decode_row(wire.sender)
    if kind is Hello:
        return Hello(sender)
    if kind is TopicMessage:
        return TopicMessage(sender, wire.about, wire.body)
    if kind is ViewDigests:
        return ViewDigests(sender, tuple(wire.figures))
    if kind is ViewRecords:
        return _rows_message(sender, wire)
    return _message_with_news(kind, sender, wire)


def _decode_checked(data: bytes) -> WireMessage:
    """Return what was received, its kind known and its numbers within bounds."""
    with malformed_on_error():
        wire = decode(data)
    if wire.version < 1 or not 0 <= wire.kind < len(KINDS):
        raise MalformedDatagramError(f"version {wire.version}, kind {wire.kind}")
    check_numbers((wire.seq, wire.digest, wire.about, wire.signal, wire.lost, *wire.figures))
    if wire.lost > LOST_SCALE:
        raise MalformedDatagramError(f"a lost share of {wire.lost}")
    return wire


def _rows_message(sender: MemberRecord, wire: WireMessage) -> ViewRecords:
    figures = wire.figures
    if len(figures) < 2 or len(figures) % 2:
        raise MalformedDatagramError(f"rows with {len(figures)} numbers")
    parts = tuple(zip(figures[2::2], figures[3::2], strict=True))
    rows = tuple(decode_row(row) for row in wire.rows)
    return ViewRecords(sender, parts, rows, bool(figures[0]), figures[1])


def _message_with_news(kind: type[Message], sender: MemberRecord, wire: WireMessage) -> Message:
    news = tuple(item for item in map(decode_news, wire.news) if item is not None)
    if kind is Gossip:
        return Gossip(sender, wire.digest, wire.lost, news, wire.signal)
    if kind is Ack:
        return Ack(sender, wire.seq, wire.about, wire.digest, wire.lost, news, wire.signal)
    if kind is Ping:
        return Ping(sender, wire.seq, wire.digest, wire.lost, news, wire.signal)
    if wire.target is None:
        raise MalformedDatagramError("a probe request without a target")
    target = decode_row(wire.target)
    return PingRequest(sender, wire.seq, target, wire.digest, wire.lost, news, wire.signal)
