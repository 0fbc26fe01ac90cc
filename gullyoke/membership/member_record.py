"""What is known of one member: its record, the record's version, and updates of it.

A record's version never goes back. Its upper part is the start's: persisted on disk, or the clock's
seconds, or one above what the others know, whichever is most. The lower part counts the member's
own refutations; this is the incarnation number of SWIM (Das, Gupta and Motivala 2002). Of two
records of one name the higher in (version, status, incarnation) wins, for all members and in any
order of arrival.
"""

from __future__ import annotations

from enum import IntEnum
from functools import lru_cache
from hashlib import blake2b
from typing import Final, NamedTuple

REFUTATIONS_PER_START: Final = 1 << 20  # versions reserved for one start; the lower 20 bits
HASH_BYTES: Final = 8
CACHED_MEMBER_IDS: Final = 16384


class Status(IntEnum):
    """The statuses of a member, in the order in which one version goes through them.

    A later one can't be taken back under the same version.
    """

    JOINING = 0
    ALIVE = 1
    LEAVING = 2
    LEFT = 3
    DEAD = 4


LIVE_STATUSES: Final = frozenset((Status.JOINING, Status.ALIVE, Status.LEAVING))


class SuspicionKind(IntEnum):
    """Why an observer suspects a subject."""

    SILENT = 1  # it answers no probe, direct or indirect
    REFUSED = 2  # its host reports that nobody listens at its address


def stable_hash(text: str) -> int:
    """Return 64 bits of a text's hash, the same on every machine and in every release."""
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")


@lru_cache(maxsize=CACHED_MEMBER_IDS)
def member_id(name: str) -> int:
    """Return the 64-bit id by which messages refer to the member of this name."""
    return stable_hash(name)


def start_version(seconds: int, persisted: int = 0, known: int = 0) -> int:
    """Return the version with which a start begins.

    Above both former versions, whatever the clock says: guards against a clock that goes back.

    Args:
        seconds: The wall clock, in whole seconds.
        persisted: The version stored by the last start of this name; 0 where there is none.
        known: The version that the other members know of this name; 0 where they know none.
    """
    start = max(
        seconds,
        persisted // REFUTATIONS_PER_START + 1,
        known // REFUTATIONS_PER_START + 1,
    )
    return start * REFUTATIONS_PER_START


class MemberRecord:
    """A member as all see it; immutable, a change is another record.

    Attributes:
        id: The member's id, derived from its name.
        name: The member's unique name in the fleet.
        version: See the module's documentation.
        status: The member's status under this version.
        address: Where datagrams to it are sent, as `host:port`.
        zone: The failure domain that it runs in.
        incarnation: A random id of this start of the process, which tells apart two processes
            under one name.
        digest: 64 bits over all fields; views are compared by the XOR of these.
    """

    __slots__ = ("address", "digest", "id", "incarnation", "name", "status", "version", "zone")

    def __init__(
        self, name: str, version: int, status: Status, address: str, zone: str, incarnation: int
    ) -> None:
        self.name = name
        self.version = version
        self.status = Status(status)
        self.incarnation = incarnation
        self.address = address
        self.zone = zone
        self.id = member_id(name)
        self.digest = stable_hash(f"{name} {version} {int(status)} {incarnation} {address} {zone}")

    def rank(self) -> tuple[int, int, int]:
        """Return the key by which records of one name are ordered; the highest wins."""
        return self.version, self.status, self.incarnation

    def is_live(self) -> bool:
        """Return whether the member belongs to the view under this record."""
        return self.status in LIVE_STATUSES

    def with_status(self, status: Status, version: int | None = None) -> MemberRecord:
        """Return the same member under another status, and another version if one is given."""
        return MemberRecord(
            self.name,
            self.version if version is None else version,
            status,
            self.address,
            self.zone,
            self.incarnation,
        )

    def __eq__(self, other: object) -> bool:
        return isinstance(other, MemberRecord) and self.digest == other.digest

    def __hash__(self) -> int:
        return self.digest

    def __repr__(self) -> str:
        start, refutations = divmod(self.version, REFUTATIONS_PER_START)
        return f"{self.name}:{start}.{refutations}:{self.status.name.lower()}"


class StatusUpdate(NamedTuple):
    """A new status of a member whose record is known; shorter than the record.

    Attributes:
        id: The member's id.
        version: The version under which the status holds.
        status: The new status.
        decided_by: The id of the member that decided it.
        accusing: How many eligible observers suspected it; 0 where there was no vote.
        eligible: How many of its observers were eligible to suspect it.
    """

    id: int
    version: int
    status: Status
    decided_by: int
    accusing: int = 0
    eligible: int = 0


class Suspicion(NamedTuple):
    """One observer's suspicion of a subject, valid for this version of it and no later one.

    Attributes:
        id: The subject's id.
        version: The subject's version.
        kind: Why it is suspected.
    """

    id: int
    version: int
    kind: SuspicionKind


class SuspicionReport(NamedTuple):
    """All suspicions that one observer has at present.

    The newest report, by (`version`, `seq`), replaces the earlier ones of its observer, so that no
    suspicion is ever withdrawn one by one.

    Attributes:
        observer: The observer's id.
        version: The observer's own version.
        seq: The number of the report within that version's start.
        unsure: Whether the observer's local health is too poor for it to accuse anybody; the
            report is then for information alone.
        suspicions: One for each suspected subject.
    """

    observer: int
    version: int
    seq: int
    unsure: bool
    suspicions: tuple[Suspicion, ...]

    def is_newer_than(self, other: SuspicionReport | None) -> bool:
        """Return whether this report replaces `other`."""
        return other is None or (self.version, self.seq) > (other.version, other.seq)


Update = MemberRecord | StatusUpdate | SuspicionReport
