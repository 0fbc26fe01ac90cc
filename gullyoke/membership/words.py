"""What members say to each other.

Each message bears its sender's row, so that nobody is spoken to unknown, and what it thinks of the
whole: its view's digest, and the share of the fleet it takes for lost. `signal` is a word on how
the sender stands, with its turn above it (SIGNAL bits), 0 where it tells none; members only carry
it.
"""

from __future__ import annotations

from typing import NamedTuple

from gullyoke.membership.row import News, Row

WHOLE = 255  # `lost` is a share in 255ths
SIGNAL = 14  # bits of a signal below the turn in which it was told


class Ping(NamedTuple):
    """Are you there? `seq` comes back."""

    row: Row
    seq: int
    digest: int
    lost: int
    news: tuple[News, ...] = ()
    signal: int = 0


class Ack(NamedTuple):
    """`of` is there: the sender itself, or one whom it asked for another."""

    row: Row
    seq: int
    of: int
    digest: int
    lost: int
    news: tuple[News, ...] = ()
    signal: int = 0


class Ask(NamedTuple):
    """Ask `target` for me; its answer comes back under `seq`."""

    row: Row
    seq: int
    target: Row
    digest: int
    lost: int
    news: tuple[News, ...] = ()
    signal: int = 0


class Gossip(NamedTuple):
    """News that can't wait."""

    row: Row
    digest: int
    lost: int
    news: tuple[News, ...]
    signal: int = 0


class Hello(NamedTuple):
    """From one who wants to join, or who looks for others than it knows."""

    row: Row


class Compare(NamedTuple):
    """The digests of a view's parts: tell me where yours differs."""

    row: Row
    buckets: tuple[int, ...]


class Rows(NamedTuple):
    """Rows of one's view.

    `parts`, the number and the digest of each part that is told whole; `asked` is whether this
    answers; `differ`, in how many parts the views differ altogether.
    """

    row: Row
    parts: tuple[tuple[int, int], ...]
    rows: tuple[Row, ...]
    asked: bool
    differ: int = 0


class Letter(NamedTuple):
    """What is no affair of membership.

    `topic` says whose it is, `body` is in that one's own form.
    """

    row: Row
    topic: int
    body: bytes


Message = Ping | Ack | Ask | Gossip | Hello | Compare | Rows | Letter


class Send(NamedTuple):
    """One datagram to be sent, and to whom.

    An address, and who should be there if that is known.
    """

    address: str
    message: Message
    to: int = 0
