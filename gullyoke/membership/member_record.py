"""A member's record, the record's version, and the updates that change a record.

A record's version never decreases. Its upper bits identify the start of the process: the maximum of
the clock's seconds, one above the persisted value, and one above the value that other members know.
The lower bits count the member's own refutations, like the incarnation number of SWIM (Das, Gupta
and Motivala 2002). Of two records with one name the one with the higher (version, status,
incarnation) wins, for all members and in any order of arrival.
"""

from __future__ import annotations

from enum import IntEnum
from functools import lru_cache
from hashlib import blake2b
from typing import Final, NamedTuple

REFUTATIONS_PER_START: Final = 1 << 20  # versions reserved for one start: the lower 20 bits
HASH_BYTES: Final = 8
CACHED_MEMBER_IDS: Final = 16384


class Status(IntEnum):
    """The statuses of a member, in the order in which a member passes through them.

    Under one version a status is never followed by an earlier one.
    """

    JOINING = 0
    ALIVE = 1
    LEAVING = 2
    LEFT = 3
    DEAD = 4


LIVE_STATUSES: Final = frozenset((Status.JOINING, Status.ALIVE, Status.LEAVING))


class SuspicionKind(IntEnum):
    """Why an observer suspects a subject."""

    SILENT = 1  # the subject answers no probes, direct or indirect
    REFUSED = 2  # the subject's host reports a closed port at its address


def stable_hash(text: str) -> int:
    """Return a 64-bit hash of a text, the same on every machine and in every release."""
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")


@lru_cache(maxsize=CACHED_MEMBER_IDS)
def member_id(name: str) -> int:
    """Return the 64-bit id by which messages refer to the member with this name."""
    return stable_hash(name)


def start_version(seconds: int, persisted: int = 0, known: int = 0) -> int:
    """Return the first version of a start of the process.

    It is above both earlier versions even if the wall clock has gone back.

    Args:
        seconds: The wall clock, in whole seconds.
        persisted: The version stored by the last start of this name; 0 if there is none.
        known: The version that other members know for this name; 0 if they know none.
    """
    start = max(
        seconds,
        persisted // REFUTATIONS_PER_START + 1,
        known // REFUTATIONS_PER_START + 1,
    )
    return start * REFUTATIONS_PER_START


class MemberRecord:
    """The description of a member that all members share; immutable.

    Attributes:
        id: The member's id, derived from its name.
        name: The member's unique name in the fleet.
        version: See the module's documentation.
        status: The member's status under this version.
        address: The address for datagrams to the member, as `host:port`.
        zone: The failure domain in which the member runs.
        incarnation: A random id of this start of the process, which distinguishes processes with
            the same name.
        digest: A 64-bit hash of all fields; views are compared by the XOR of their records'
            digests.
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
        """Return the key that orders records of one name; the highest wins."""
        return self.version, self.status, self.incarnation

    def is_live(self) -> bool:
        """Return whether a member with this record belongs to the view."""
        return self.status in LIVE_STATUSES

    def with_status(self, status: Status, version: int | None = None) -> MemberRecord:
        """Return the record with another status, and with another version if one is given."""
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
    """A new status for a member whose record is known; smaller than the record.

    Attributes:
        id: The member's id.
        version: The member's version to which the status applies.
        status: The new status.
        decided_by: The id of the member that decided on the status.
        accusing: How many eligible observers suspected the member; 0 if none were counted.
        eligible: The number of observers whose suspicions counted; 0 if none were counted.
    """

    id: int
    version: int
    status: Status
    decided_by: int
    accusing: int = 0
    eligible: int = 0


class Suspicion(NamedTuple):
    """One observer's suspicion of a subject; later versions of the subject void it.

    Attributes:
        id: The subject's id.
        version: The subject's version.
        kind: Why the subject is suspected.
    """

    id: int
    version: int
    kind: SuspicionKind


class SuspicionReport(NamedTuple):
    """All current suspicions of one observer.

    The newest report, by (`version`, `seq`), replaces earlier ones from its observer, so no message
    has to withdraw a single suspicion.

    Attributes:
        observer: The observer's id.
        version: The observer's own version.
        seq: The sequence number of the report since the observer's start.
        unsure: Whether the observer's local health is so poor that its suspicions do not count;
            the report is then for information only.
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
