"""What members say to each other.

Each message bears its sender's row, so that nobody is spoken to unknown, and what it thinks of the
whole: its view's digest, and the share of the fleet it takes for lost. `signal` is a word on how
the sender stands, with its turn above it (SIGNAL bits), 0 where it tells none; members only carry
it.
"""

from __future__ import annotations

from typing import NamedTuple

from gullyoke.membership.member_record import MemberRecord, Update

LOST_SCALE = 255  # `lost` is a share in 255ths
SIGNAL_BITS = 14  # bits of a signal below the turn in which it was told


class Ping(NamedTuple):
    """Are you there? `seq` comes back."""

    sender: MemberRecord
    seq: int
    digest: int
    lost: int
    updates: tuple[Update, ...] = ()
    signal: int = 0


class Ack(NamedTuple):
    """`of` is there: the sender itself, or one whom it asked for another."""

    sender: MemberRecord
    seq: int
    subject: int
    digest: int
    lost: int
    updates: tuple[Update, ...] = ()
    signal: int = 0


class PingRequest(NamedTuple):
    """Ask `target` for me; its answer comes back under `seq`."""

    sender: MemberRecord
    seq: int
    target: MemberRecord
    digest: int
    lost: int
    updates: tuple[Update, ...] = ()
    signal: int = 0


class Gossip(NamedTuple):
    """News that can't wait."""

    sender: MemberRecord
    digest: int
    lost: int
    updates: tuple[Update, ...]
    signal: int = 0


class Hello(NamedTuple):
    """From one who wants to join, or who looks for others than it knows."""

    sender: MemberRecord


class ViewDigests(NamedTuple):
    """The digests of a view's parts: tell me where yours differs."""

    sender: MemberRecord
    buckets: tuple[int, ...]


class ViewRecords(NamedTuple):
    """Rows of one's view.

    `parts`, the number and the digest of each part that is told whole; `asked` is whether this
    answers; `differ`, in how many parts the views differ altogether.
    """

    sender: MemberRecord
    parts: tuple[tuple[int, int], ...]
    records: tuple[MemberRecord, ...]
    is_reply: bool
    differing: int = 0


class TopicMessage(NamedTuple):
    """What is no affair of membership.

    `topic` says whose it is, `body` is in that one's own form.
    """

    sender: MemberRecord
    topic: int
    body: bytes


Message = Ping | Ack | PingRequest | Gossip | Hello | ViewDigests | ViewRecords | TopicMessage


class OutgoingMessage(NamedTuple):
    """One datagram to be sent, and to whom.

    An address, and who should be there if that is known.
    """

    address: str
    message: Message
    to: int = 0
