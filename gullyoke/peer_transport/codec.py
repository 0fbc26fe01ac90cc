"""Messages as bytes: MessagePack arrays with the version first. docs/members-wire.md has the
layout.

A later release may append to any array; what is appended is passed over, so that two releases live
in one fleet. Whatever does not have this form is a `MalformedDatagramError`, and nothing of it
is used.
"""

from __future__ import annotations

import msgspec

from gullyoke.membership.row import TURNS, Entry, Kind, Mark, News, Report, Row, Status
from gullyoke.membership.words import (
    WHOLE,
    Ack,
    Ask,
    Compare,
    Gossip,
    Hello,
    Letter,
    Message,
    Ping,
    Rows,
)
from gullyoke.peer_transport.field_readers import (
    U64_END,
    MalformedDatagramError,
    check_numbers,
    check_text,
    malformed_on_error,
)

VERSION = 1
MAX_DATAGRAM_BYTES = 1200  # bytes of a datagram, its seal included
NAME, ADDRESS, ZONE = 64, 64, 32  # characters at the most


class Array(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """An array whose length may grow in later versions."""


class RowWire(Array, frozen=True):
    name: str
    number: int
    status: int
    address: str
    zone: str
    life: int


class NewsWire(Array, frozen=True):
    """`kind` 0: a row; 1: a mark, as id, number, status, by, accusing, standing; 2.

    A report, as observer, number, seq, unsure, and its entries in threes.
    """

    kind: int
    row: RowWire | None = None
    figures: list[int] = []


class Wire(Array, frozen=True):
    """Every message: what its `kind` does not use is empty."""

    version: int
    kind: int
    sender: RowWire
    seq: int = 0
    digest: int = 0
    lost: int = 0
    about: int = 0
    target: RowWire | None = None
    news: list[NewsWire] = []
    figures: list[int] = []
    rows: list[RowWire] = []
    signal: int = 0
    body: bytes = b""


KINDS = (Ping, Ack, Ask, Gossip, Hello, Compare, Rows, Letter)
decode = msgspec.msgpack.Decoder(Wire).decode
encode = msgspec.msgpack.Encoder().encode


def row_out(row: Row) -> RowWire:
    return RowWire(row.name, row.number, int(row.status), row.address, row.zone, row.life)


def row_in(wire: RowWire) -> Row:
    check_text("a name", wire.name, NAME, shortest=1)
    check_text("an address", wire.address, ADDRESS, shortest=1)
    check_text("a zone", wire.zone, ZONE)
    check_numbers((wire.number, wire.life, wire.status))
    if wire.number >= U64_END - TURNS or wire.status > Status.DEAD:
        raise MalformedDatagramError(f"a row of number {wire.number}, status {wire.status}")
    return Row(wire.name, wire.number, Status(wire.status), wire.address, wire.zone, wire.life)


def news_out(item: News) -> NewsWire:
    if isinstance(item, Row):
        return NewsWire(0, row_out(item))
    if isinstance(item, Mark):
        return NewsWire(1, None, [int(figure) for figure in item])
    figures = [item.observer, item.number, item.seq, int(item.unsure)]
    for entry in item.entries:
        figures += entry
    return NewsWire(2, None, figures)


def news_in(wire: NewsWire) -> News | None:
    """None for a kind that a later release has."""
    figures = wire.figures
    check_numbers(figures)
    if wire.kind == 0 and wire.row is not None:
        return row_in(wire.row)
    if wire.kind == 1 and len(figures) >= 6 and figures[2] <= Status.DEAD:
        return Mark(figures[0], figures[1], Status(figures[2]), *figures[3:6])
    if wire.kind == 2 and len(figures) >= 4 and (len(figures) - 4) % 3 == 0:
        threes = zip(figures[4::3], figures[5::3], figures[6::3], strict=True)
        entries = tuple(Entry(a, b, Kind(c)) for a, b, c in threes if c in (1, 2))
        return Report(figures[0], figures[1], figures[2], bool(figures[3]), entries)
    if wire.kind > 2:
        return None
    raise MalformedDatagramError("news")


def pack(message: Message) -> bytes:
    """A message as bytes, without its seal."""
    head = VERSION, KINDS.index(type(message)), row_out(message.row)
    if isinstance(message, Hello):
        return encode(Wire(*head))
    if isinstance(message, Letter):
        return encode(Wire(*head, about=message.topic, body=message.body))
    if isinstance(message, Compare):
        return encode(Wire(*head, figures=list(message.buckets)))
    if isinstance(message, Rows):
        figures = [int(message.asked), message.differ]
        for part in message.parts:
            figures += part
        return encode(Wire(*head, figures=figures, rows=[row_out(row) for row in message.rows]))
    news = [news_out(item) for item in message.news]
    if isinstance(message, Gossip):
        return encode(
            Wire(*head, 0, message.digest, message.lost, news=news, signal=message.signal)
        )
    target = row_out(message.target) if isinstance(message, Ask) else None
    about = message.of if isinstance(message, Ack) else 0
    return encode(
        Wire(
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
    """The message that bytes hold. Raises `MalformedDatagramError`."""
    with malformed_on_error():
        wire = decode(data)
    if wire.version < 1 or not 0 <= wire.kind < len(KINDS):
        raise MalformedDatagramError(f"version {wire.version}, kind {wire.kind}")
    check_numbers((wire.seq, wire.digest, wire.about, wire.signal, wire.lost, *wire.figures))
    if wire.lost > WHOLE:
        raise MalformedDatagramError(f"a lost share of {wire.lost}")
    kind, sender = KINDS[wire.kind], row_in(wire.sender)
    if kind is Hello:
        return Hello(sender)
    if kind is Letter:
        return Letter(sender, wire.about, wire.body)
    if kind is Compare:
        return Compare(sender, tuple(wire.figures))
    if kind is Rows:
        if len(wire.figures) < 2 or len(wire.figures) % 2:
            raise MalformedDatagramError("rows")
        parts = tuple(zip(wire.figures[2::2], wire.figures[3::2], strict=True))
        return Rows(
            sender, parts, tuple(map(row_in, wire.rows)), bool(wire.figures[0]), wire.figures[1]
        )
    news = tuple(item for item in map(news_in, wire.news) if item is not None)
    if kind is Gossip:
        return Gossip(sender, wire.digest, wire.lost, news, wire.signal)
    if kind is Ack:
        return Ack(sender, wire.seq, wire.about, wire.digest, wire.lost, news, wire.signal)
    if kind is Ping:
        return Ping(sender, wire.seq, wire.digest, wire.lost, news, wire.signal)
    if wire.target is None:
        raise MalformedDatagramError("asked for nobody")
    return Ask(sender, wire.seq, row_in(wire.target), wire.digest, wire.lost, news, wire.signal)
