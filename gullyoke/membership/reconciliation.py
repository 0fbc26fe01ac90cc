"""Reconciliation of two views: an anti-entropy exchange of the buckets that differ.

One member sends the digests of its buckets, the other answers with the records of the buckets that
differ, and the first sends back the records that the other lacks.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Final

from gullyoke.membership.gossip_queue import wire_size
from gullyoke.membership.member_record import MemberRecord
from gullyoke.membership.messages import ViewRecords
from gullyoke.membership.view import BUCKETS, View

DATAGRAM_BUDGET_BYTES: Final = 950  # for the records in one datagram
PART_BYTES: Final = 8  # a bucket's index and digest in a datagram
MAX_DATAGRAMS: Final = 6  # in answer to one message
MIN_INTERVAL_US: Final = 1_000_000  # between two exchanges that this member begins
GRACE_US: Final = 700_000  # delay before an exchange, as gossip usually makes the views equal


class ReconciliationSchedule:
    """When to begin an exchange, and with which peer. All times are in microseconds.

    Attributes:
        differs_since: When a peer's view first differed from this member's; None if the last
            reported view was the same.
        last_at: When this member began the last exchange.
        peer: The id of the last peer whose view differed.
    """

    def __init__(self) -> None:
        self.differs_since: int | None = None
        self.last_at = 0
        self.peer = 0

    def peer_reported(self, now: int, peer: int, same_view: bool) -> None:
        """Record whether a peer's view is the same as this member's."""
        if same_view:
            self.differs_since = None
            return
        self.peer = peer
        if self.differs_since is None:
            self.differs_since = now

    def try_begin_exchange(self, now: int) -> bool:
        """Record the beginning of an exchange with `peer` if one is due; return whether it is."""
        if (
            self.differs_since is None
            or now - self.differs_since < GRACE_US
            or now - self.last_at < MIN_INTERVAL_US
        ):
            return False
        self.last_at = now
        return True


def differing_buckets(view: View, digests: Sequence[int]) -> list[int]:
    """Return the indexes of the buckets whose digests differ from the view's."""
    return [
        index for index, digest in enumerate(digests[:BUCKETS]) if digest != view.buckets[index]
    ]


def answer_digests(
    sender: MemberRecord, view: View, digests: Sequence[int], random: Random
) -> list[ViewRecords]:
    """Return the answer to a peer whose view has these digests.

    The answer starts at a random differing bucket, so that a member which asks several peers
    receives different buckets from each.
    """
    differing = differing_buckets(view, digests)
    if not differing:
        return [ViewRecords(sender, (), (), True, 0)]
    first = random.randrange(len(differing))
    return pack_buckets(sender, view, differing[first:] + differing[:first], is_reply=True)


def missing_records(
    sender: MemberRecord, view: View, parts: Sequence[tuple[int, int]]
) -> list[ViewRecords]:
    """Return the records of the buckets that still differ after a peer's records were merged.

    Args:
        sender: This member's record.
        view: This member's view, with the peer's records merged.
        parts: The index and the digest of each bucket that the peer sent completely.
    """
    differing = [
        index for index, digest in parts if 0 <= index < BUCKETS and view.buckets[index] != digest
    ]
    return pack_buckets(sender, view, differing, is_reply=False) if differing else []


def pack_buckets(
    sender: MemberRecord, view: View, buckets: Sequence[int], is_reply: bool
) -> list[ViewRecords]:
    """Return the records of these buckets in as few messages as possible.

    There are at most `MAX_DATAGRAMS`; records that do not fit wait for the next exchange. A bucket
    that takes several messages is listed in the `parts` of the last of them.
    """
    packer = _Packer(sender, is_reply, len(buckets))
    for index in buckets:
        for record in view.bucket(index):
            if not packer.add_record(record):
                return packer.messages
        packer.complete_bucket(index, view.buckets[index])
    return packer.finish()


class _Packer:
    """Fills messages with records, up to `DATAGRAM_BUDGET_BYTES` per message."""

    def __init__(self, sender: MemberRecord, is_reply: bool, differing: int) -> None:
        self.sender = sender
        self.is_reply = is_reply
        self.differing = differing
        self.messages: list[ViewRecords] = []
        self._start_message()

    def add_record(self, record: MemberRecord) -> bool:
        """Add a record; return False if it does not fit into `MAX_DATAGRAMS` messages."""
        size_bytes = wire_size(record)
        if size_bytes > self.left_bytes:
            self._end_message()
            if len(self.messages) >= MAX_DATAGRAMS:
                return False
            self._start_message()
        self.records.append(record)
        self.left_bytes -= size_bytes
        return True

    def complete_bucket(self, index: int, digest: int) -> None:
        """List a bucket as complete after all its records were added."""
        self.parts.append((index, digest))
        self.left_bytes -= PART_BYTES

    def finish(self) -> list[ViewRecords]:
        """Return all messages."""
        if self.parts or self.records:
            self._end_message()
        return self.messages

    def _start_message(self) -> None:
        self.parts: list[tuple[int, int]] = []
        self.records: list[MemberRecord] = []
        self.left_bytes = DATAGRAM_BUDGET_BYTES

    def _end_message(self) -> None:
        self.messages.append(
            ViewRecords(
                self.sender, tuple(self.parts), tuple(self.records), self.is_reply, self.differing
            )
        )
