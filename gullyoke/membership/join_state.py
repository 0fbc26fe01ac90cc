"""The state of a member's own membership: joining, refutation, removal and rejoining.

Covers joining through seeds, the version of this start, two processes under one name, and the wait
before rejoining after a removal. gullyoke/membership/joining.py sends the messages.
"""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import Final, NamedTuple

from gullyoke.membership.member_record import MemberRecord, Status, start_version

CONTACT_PERIOD_US: Final = 400_000  # first period between hellos to seeds; half of it is random
MAX_CONTACT_PERIOD_US: Final = 2_000_000  # the period grows by half each time, up to this
SEEDS_PER_CONTACT: Final = 2
READ_VIEW_FOR_US: Final = 2_000_000  # time limit for reading the fleet's view
MAX_DIFFERING_BUCKETS: Final = 2  # the view counts as read if at most this many buckets differ
SETTLE_US: Final = 2_000_000  # probes have to succeed this long after the first removal
MAX_SETTLE_US: Final = 60_000_000  # the settle time doubles with each removal, up to this
MAX_SETTLE_DOUBLINGS: Final = 6
MAX_FAILING_SHARE: Final = 0.2  # share of probes that may fail while a removed member settles
REFUTE_PERIOD_US: Final = 500_000  # minimum between two refutations
MAX_REFUTE_PERIOD_US: Final = 8_000_000  # the period doubles while accusations continue, up to this
NAME_HOLDER_TIMEOUT_US: Final = 2_500_000  # for a process with the same name to answer a probe
RETRY_PERIOD_US: Final = 10_000_000  # between hellos once joined, or while the name is taken
MAX_RECENT_ADDRESSES: Final = 32


class JoinStage(Enum):
    """The stages of a member; operators see the values."""

    ALONE = "alone"  # no other member has answered yet
    JOINING = "joining"  # the fleet's view is being read
    IN = "in"  # a member of the fleet
    OUT = "out"  # removed by the others, and waiting to rejoin
    DISPLACED = "displaced"  # another process has its name


class NameChallenge(NamedTuple):
    """Another process that may have this member's name, and when probing it began."""

    holder: MemberRecord
    since_us: int


class JoinState:
    """A member's stage, its own record, and the timers of joining and refuting.

    All times are in microseconds of the caller's clock.

    Attributes:
        record: The member's own record.
        seeds: The configured seeds' addresses.
        stage: See `JoinStage`.
        recent_addresses: Addresses of recently known members, contacted like seeds.
        known_version: The newest version that others knew under this name before this start.
        removals: The number of times this member was removed.
        next_contact_at: When the next hellos are due.
    """

    def __init__(
        self, now: int, record: MemberRecord, seeds: tuple[str, ...], random: Random
    ) -> None:
        self.record = record
        self.seeds = seeds
        self.random = random
        self.stage = JoinStage.ALONE
        self.recent_addresses: list[str] = []
        self.known_version = 0
        self.removals = 0
        self.next_contact_at = now
        self._contact_period_us = CONTACT_PERIOD_US
        self._reading_since = now
        self._settling_since: int | None = None
        self._refuted_at = now - REFUTE_PERIOD_US
        self._refute_period_us = REFUTE_PERIOD_US
        self._challenge: NameChallenge | None = None

    def has_joined(self) -> bool:
        """Return whether the member is part of the fleet."""
        return self.stage is JoinStage.IN

    def is_inside(self) -> bool:
        """Return whether the member takes part in gossip: it has joined or is reading the view."""
        return self.stage in (JoinStage.IN, JoinStage.JOINING)

    def take_next_contacts(self, now: int, live_addresses: set[str]) -> list[str]:
        """Return the addresses to send a hello to now, and schedule the next contact.

        A member that has joined still contacts seeds that are not in its view: two separate fleets
        may have formed while no seed was up.

        Args:
            now: The time in microseconds.
            live_addresses: The addresses of the members in the view.
        """
        if now < self.next_contact_at or self.stage is JoinStage.OUT:
            return []
        self._schedule_contact(now)
        addresses = [
            address
            for address in dict.fromkeys((*self.seeds, *self.recent_addresses))
            if address != self.record.address
            and (not self.has_joined() or address not in live_addresses)
        ]
        return self.random.sample(addresses, min(SEEDS_PER_CONTACT, len(addresses)))

    def contact_received(self, now: int, address: str) -> None:
        """Contact the sender of a message soon if it is unknown and this member is alone."""
        if self.stage is not JoinStage.ALONE or address in self.recent_addresses:
            return
        self.recent_addresses = [*self.recent_addresses[-MAX_RECENT_ADDRESSES:], address]
        self.next_contact_at = min(self.next_contact_at, now)

    def seed_answered(self, now: int, known: MemberRecord | None) -> MemberRecord | None:
        """Begin to read the fleet's view after a member has answered a hello.

        Args:
            now: The time in microseconds.
            known: The record that the other member has under this member's name, if any.

        Returns:
            This member's new record; None if nothing changes, or if another process may have the
            name and has to be probed first.
        """
        if self.stage not in (JoinStage.ALONE, JoinStage.DISPLACED):
            return None
        if known is not None and known.incarnation != self.record.incarnation:
            self.known_version = max(self.known_version, known.version)
            if self._challenge_known_holder(now, known):
                return None
            if known.version >= self.record.version:  # an earlier start, on a clock that was ahead
                self.raise_version_above(known.version)
        self.stage = JoinStage.JOINING
        self._reading_since = now
        self.next_contact_at = now
        self.record = self.record.with_status(Status.JOINING)
        return self.record

    def challenge_name_holder(self, now: int, holder: MemberRecord) -> bool:
        """Start the answer timeout for another holder of this name, unless it is running.

        Returns:
            Whether the timeout for this holder has passed without an answer.
        """
        challenge = self._challenge
        if challenge is None or challenge.holder.incarnation != holder.incarnation:
            self._challenge = NameChallenge(holder, now)
            return False
        return now - challenge.since_us > NAME_HOLDER_TIMEOUT_US

    def raise_version_above(self, version: int) -> MemberRecord:
        """Raise this start's version above `version`; return the new record."""
        raised = start_version(0, self.record.version, version)
        self.record = self.record.with_status(self.record.status, raised)
        return self.record

    def name_holder_answered(self) -> None:
        """Stay out of the fleet because another process has the name."""
        self._challenge = None
        self.stage = JoinStage.DISPLACED

    def finish_reading(self, now: int, differing: int) -> MemberRecord | None:
        """Join the fleet if at most a few buckets of its view differ, or reading has timed out.

        Args:
            now: The time in microseconds.
            differing: The number of buckets in which this member's view differs from a peer's.

        Returns:
            This member's new record; None if it continues to read, or was not reading.
        """
        if self.stage is not JoinStage.JOINING:
            return None
        if differing > MAX_DIFFERING_BUCKETS and now - self._reading_since <= READ_VIEW_FOR_US:
            return None
        return self.join(now)

    def join(self, now: int) -> MemberRecord:
        """Become a member of the fleet; return the new record."""
        self.stage = JoinStage.IN
        self.next_contact_at = now + RETRY_PERIOD_US
        self.record = self.record.with_status(Status.ALIVE)
        return self.record

    def try_begin_refutation(self, now: int) -> bool:
        """Begin a refutation if the member has joined and none was begun within the period.

        The period doubles while accusations continue, as more refutations would not stop them.

        Returns:
            Whether a refutation was begun; the caller then calls `refute`.
        """
        elapsed = now - self._refuted_at
        if not self.has_joined() or elapsed < self._refute_period_us:
            return False
        if elapsed < 4 * self._refute_period_us:
            self._refute_period_us = min(2 * self._refute_period_us, MAX_REFUTE_PERIOD_US)
        else:
            self._refute_period_us = REFUTE_PERIOD_US
        self._refuted_at = now
        return True

    def refute(self) -> MemberRecord:
        """Raise the version by one, which voids all suspicions; return the new record."""
        self.record = self.record.with_status(self.record.status, self.record.version + 1)
        return self.record

    def removal_received(self, version: int, addresses: list[str]) -> None:
        """Leave the fleet until this member has settled, as the others have removed it.

        Args:
            version: The version under which it was removed.
            addresses: The addresses in this member's view; a random sample is kept for rejoining.
        """
        if self.stage is not JoinStage.OUT:
            self.stage = JoinStage.OUT
            self._settling_since = None
            self.removals += 1
            self.recent_addresses = self.random.sample(
                addresses, min(MAX_RECENT_ADDRESSES, len(addresses))
            )
        self.record = self.record.with_status(Status.JOINING, max(self.record.version, version))

    def settle_time_us(self) -> int:
        """Return how long this member's probes have to succeed before it may rejoin.

        The time grows with each removal, so that a member on a bad link does not keep rejoining.
        """
        doublings = min(self.removals - 1, MAX_SETTLE_DOUBLINGS)
        return min(SETTLE_US << doublings, MAX_SETTLE_US)

    def rejoin_if_settled(
        self, now: int, failing: float, receives_nothing: bool
    ) -> MemberRecord | None:
        """Rejoin if this member was removed and its probes have succeeded for the settle time.

        Args:
            now: The time in microseconds.
            failing: The share of its probes that fail, from 0 to 1.
            receives_nothing: Whether all its probes fail and it receives no messages.

        Returns:
            The record with which it rejoins; None if it does not.
        """
        if self.stage is not JoinStage.OUT:
            return None
        if failing > MAX_FAILING_SHARE or receives_nothing:
            self._settling_since = None
            return None
        if self._settling_since is None:
            self._settling_since = now
        if now - self._settling_since < self.settle_time_us():
            return None
        self.stage = JoinStage.ALONE
        self.next_contact_at = now
        self._contact_period_us = CONTACT_PERIOD_US
        self.record = self.record.with_status(Status.JOINING, self.record.version + 1)
        return self.record

    def _schedule_contact(self, now: int) -> None:
        if self.stage in (JoinStage.IN, JoinStage.DISPLACED):
            self.next_contact_at = now + RETRY_PERIOD_US
            return
        half = self._contact_period_us // 2
        self.next_contact_at = now + half + self.random.randrange(half)
        self._contact_period_us = min(3 * self._contact_period_us // 2, MAX_CONTACT_PERIOD_US)

    def _challenge_known_holder(self, now: int, known: MemberRecord) -> bool:
        """Challenge the live process that `known` describes; return whether to wait for it."""
        return (
            known.is_live()
            and known.address != self.record.address
            and not self.challenge_name_holder(now, known)
        )
