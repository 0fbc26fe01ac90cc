"""A member's view of the fleet: the records that it knows.

Records merge to the same view in any order of arrival, some of them more than once. A view has a
version of its own, which only this member knows, and a digest, by which members compare theirs.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterator
from enum import StrEnum
from typing import Final, NamedTuple

from gullyoke.membership.member_record import LIVE_STATUSES, MemberRecord, Status, StatusUpdate
from gullyoke.membership.observer_rings import ObserverRings

BUCKETS: Final = 64  # parts of a view that have a digest each
BUCKET_DIGEST_MASK: Final = 0xFFFFFFFF  # 32 bits of each record's digest go into its bucket's
DEPARTED_KEPT_US: Final = 120_000_000  # a departed member is remembered for so long
MAX_DEPARTED: Final = 4096  # departed members remembered; the oldest is forgotten first
RECENT_REMOVAL_US: Final = 30_000_000  # removals of so long ago count as recent


class ChangeKind(StrEnum):
    """What happened to a member in a change of the view."""

    JOINED = "joined"
    RESTARTED = "restarted"
    CHANGED = "changed"
    LEFT = "left"
    REMOVED = "removed"


class Change(NamedTuple):
    """One change of a view.

    Attributes:
        view_version: The view's version with the change.
        kind: What happened.
        record: The member's record from now on.
        previous: Its live record before the change; None where it had none.
        update: The update that changed its status; None where a whole record came.
    """

    view_version: int
    kind: ChangeKind
    record: MemberRecord
    previous: MemberRecord | None
    update: StatusUpdate | None = None


class DepartedMember(NamedTuple):
    """A member that left or was removed, and when that was learnt, in microseconds."""

    record: MemberRecord
    at_us: int


class View:
    """The live members, and those that departed a short while ago.

    Attributes:
        records: The live members by id, in the order in which their records came.
        departed: The members that left or were removed, the oldest first; remembered so that an
            old record does not bring them back.
        rings: Who observes whom among the members that are not joining.
        version: Counts the changes of this view; never sent.
        digest: The XOR of the live records' digests.
        buckets: The same for each part of the view, 32 bits each.
        ids: The ids of the live members, to draw from at random.
        removal_times: When members were removed, the oldest first, in microseconds.
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
        """Return a view with the same live members, which changes apart from this one."""
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
        """Return the newest record of a member, live or departed; None where there is none."""
        record = self.records.get(member)
        if record is None and member in self.departed:
            return self.departed[member].record
        return record

    def merge(
        self, now: int, record: MemberRecord, update: StatusUpdate | None = None
    ) -> Change | None:
        """Take a record into the view if it ranks above what is known of its member.

        Args:
            now: The time in microseconds.
            record: The record.
            update: The update that the record was made from, if any.

        Returns:
            The change of the view, or None where the record is old, or changes only what is known
            of a departed member.
        """
        known = self.known(record.id)
        if known is not None and record.rank() <= known.rank():
            return None
        previous = self._discard(record.id)
        self.departed.pop(record.id, None)
        if record.is_live():
            self._insert(record, previous)
        else:
            self._bury(now, record)
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
            The change; None where the update is old, or its member is not known (its record will
            come).
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
        """Return how many members were removed within the last `RECENT_REMOVAL_US`."""
        while self.removal_times and self.removal_times[0] < now - RECENT_REMOVAL_US:
            self.removal_times.popleft()
        return len(self.removal_times)

    def clear_except(self, member_to_keep: int) -> None:
        """Drop all members but one, for a removed member that takes over the others' view."""
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
            self.rings.remove(record.id)  # a later start that is not ready yet

    def _bury(self, now: int, record: MemberRecord) -> None:
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
        if last != member:  # the last id moves to the index that became free
            self.ids[index] = last
            self._index_of[last] = index
        return record

    def _toggle_digest(self, record: MemberRecord) -> None:
        """Add a record to the digests, or take it out of them."""
        self.digest ^= record.digest
        self.buckets[record.id % BUCKETS] ^= record.digest & BUCKET_DIGEST_MASK


def change_kind(previous: MemberRecord | None, record: MemberRecord) -> ChangeKind | None:
    """Return what the step from one record to the next is; None where nothing visible changes."""
    if record.status not in LIVE_STATUSES:
        if previous is None:
            return None
        return ChangeKind.REMOVED if record.status is Status.DEAD else ChangeKind.LEFT
    if previous is None:
        return ChangeKind.JOINED
    if previous.incarnation != record.incarnation:
        return ChangeKind.RESTARTED
    return ChangeKind.CHANGED
