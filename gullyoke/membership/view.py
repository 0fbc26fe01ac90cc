"""A member's view of the fleet: the records that it knows.

Records merge to the same view in any order of arrival, even if some arrive more than once. A view
has a version, which counts its changes at this member and is never sent, and a digest, by which
members compare their views.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterator
from enum import StrEnum
from typing import Final, NamedTuple

from gullyoke.membership.member_record import LIVE_STATUSES, MemberRecord, Status, StatusUpdate
from gullyoke.membership.observer_rings import ObserverRings

BUCKETS: Final = 64  # parts of a view, each with its own digest
BUCKET_DIGEST_MASK: Final = 0xFFFFFFFF  # the 32 bits of a record's digest that a bucket uses
DEPARTED_KEPT_US: Final = 120_000_000  # a departed member is remembered for this time
MAX_DEPARTED: Final = 4096  # remembered departed members; the oldest is forgotten first
RECENT_REMOVAL_US: Final = 30_000_000  # removals count as recent for this time


class ChangeKind(StrEnum):
    """The kinds of change of a view; operators see the values."""

    JOINED = "joined"
    RESTARTED = "restarted"
    CHANGED = "changed"
    LEFT = "left"
    REMOVED = "removed"


class Change(NamedTuple):
    """One change of a view.

    Attributes:
        view_version: The view's version after the change.
        kind: The kind of change.
        record: The member's new record.
        previous: The member's live record before the change; None if there was none.
        update: The update that changed the status; None if a whole record was received.
    """

    view_version: int
    kind: ChangeKind
    record: MemberRecord
    previous: MemberRecord | None
    update: StatusUpdate | None = None


class DepartedMember(NamedTuple):
    """A departed member's record, and the time in microseconds when that record was merged."""

    record: MemberRecord
    at_us: int


class View:
    """The live members, and the recently departed ones.

    Attributes:
        records: The live members by id, in order of arrival.
        departed: The members that left or were removed, the oldest first; remembered so that an
            old record does not bring them back.
        rings: The observers of all members that are not joining.
        version: The number of changes of this view; never sent.
        digest: The XOR of the live records' digests.
        buckets: The XOR of the records' digests for each part of the view, 32 bits each.
        ids: The ids of the live members, for random selection.
        removal_times: When members were removed, in microseconds, the oldest first.
    """

    def __init__(self, ring_count: int) -> None:
        self.records: dict[int, MemberRecord] = {}
        self.departed: OrderedDict[int, DepartedMember] = OrderedDict()
        self.rings = ObserverRings(ring_count)
        self.version = 0
        self.digest = 0
        self.buckets = [0] * BUCKETS
        self.ids: list[int] = []
        self.removal_times: deque[int] = deque(maxlen=MAX_DEPARTED)
        self._index_of: dict[int, int] = {}  # each id's index in `ids`

    def __len__(self) -> int:
        return len(self.records)

    def copy_live(self) -> View:
        """Return an independent view with the same live members."""
        other = View(self.rings.ring_count)
        other.records = dict(self.records)
        other.rings = self.rings.copy()
        other.version = self.version
        other.digest = self.digest
        other.buckets = list(self.buckets)
        other.ids = list(self.ids)
        other._index_of = dict(self._index_of)
        return other

    def known(self, member: int) -> MemberRecord | None:
        """Return the newest record of a member, live or departed; None if there is none."""
        record = self.records.get(member)
        if record is None and member in self.departed:
            return self.departed[member].record
        return record

    def merge(
        self, now: int, record: MemberRecord, update: StatusUpdate | None = None
    ) -> Change | None:
        """Merge a record into the view if it ranks above the known record of its member.

        Args:
            now: The time in microseconds.
            record: The record.
            update: The update from which the record was made, if any.

        Returns:
            The change of the view; None if the record is old, or if the member was not live and
            still is not.
        """
        known = self.known(record.id)
        if known is not None and record.rank() <= known.rank():
            return None
        previous = self._discard(record.id)
        self.departed.pop(record.id, None)
        if record.is_live():
            self._insert(record, previous)
        else:
            self._add_departed(now, record)
        kind = change_kind(previous, record)
        if kind is ChangeKind.REMOVED:
            self.removal_times.append(now)
        if kind is None:
            return None
        self.version += 1
        return Change(self.version, kind, record, previous, update)

    def apply_update(self, now: int, update: StatusUpdate) -> Change | None:
        """Give a known member a new status.

        Returns:
            The change; None if the update is old, or its member is not known yet.
        """
        known = self.known(update.id)
        if known is None or (update.version, update.status) <= (known.version, known.status):
            return None
        return self.merge(now, known.with_status(update.status, update.version), update)

    def forget_departed(self, now: int) -> None:
        """Forget the members that departed more than `DEPARTED_KEPT_US` ago."""
        while self.departed:
            oldest = next(iter(self.departed.values()))
            if oldest.at_us >= now - DEPARTED_KEPT_US:
                return
            self.departed.popitem(last=False)

    def recent_removals(self, now: int) -> int:
        """Return the number of members removed within the last `RECENT_REMOVAL_US`."""
        while self.removal_times and self.removal_times[0] < now - RECENT_REMOVAL_US:
            self.removal_times.popleft()
        return len(self.removal_times)

    def clear_except(self, member_to_keep: int) -> None:
        """Drop all members but one; used when a removed member rejoins."""
        for member in [member for member in self.records if member != member_to_keep]:
            self._discard(member)
            self.rings.remove(member)
        self.departed.clear()
        self.version += 1

    def bucket(self, index: int) -> Iterator[MemberRecord]:
        """Return the live records in one part of the view."""
        return (record for record in self.records.values() if record.id % BUCKETS == index)

    def _insert(self, record: MemberRecord, previous: MemberRecord | None) -> None:
        self.records[record.id] = record
        self._index_of[record.id] = len(self.ids)
        self.ids.append(record.id)
        self._toggle_digest(record)
        if record.status is not Status.JOINING:
            self.rings.add(record.id)
        elif previous is not None:
            self.rings.remove(record.id)  # a later start that is still joining

    def _add_departed(self, now: int, record: MemberRecord) -> None:
        self.departed[record.id] = DepartedMember(record, now)
        self.rings.remove(record.id)
        while len(self.departed) > MAX_DEPARTED:
            self.departed.popitem(last=False)

    def _discard(self, member: int) -> MemberRecord | None:
        record = self.records.pop(member, None)
        if record is None:
            return None
        self._toggle_digest(record)
        index = self._index_of.pop(member)
        last = self.ids.pop()
        if last != member:  # moves the last id to the free index
            self.ids[index] = last
            self._index_of[last] = index
        return record

    def _toggle_digest(self, record: MemberRecord) -> None:
        """Add a record to the digests, or remove it from them."""
        self.digest ^= record.digest
        self.buckets[record.id % BUCKETS] ^= record.digest & BUCKET_DIGEST_MASK


def change_kind(previous: MemberRecord | None, record: MemberRecord) -> ChangeKind | None:
    """Return the kind of change between two records; None if the member is live in neither."""
    if record.status not in LIVE_STATUSES:
        if previous is None:
            return None
        return ChangeKind.REMOVED if record.status is Status.DEAD else ChangeKind.LEFT
    if previous is None:
        return ChangeKind.JOINED
    if previous.incarnation != record.incarnation:
        return ChangeKind.RESTARTED
    return ChangeKind.CHANGED
