"""How a member becomes part of the fleet, and what it does when it is not.

Joining by way of seeds, the version of its start, two processes under one name, refutation, and the
return after a removal. This is state alone; gullyoke/membership/joining.py acts on it.
"""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import Final, NamedTuple

from gullyoke.membership.member_record import MemberRecord, Status, start_version

CONTACT_PERIOD_US: Final = 400_000  # between hellos to seeds at first, half of it random
MAX_CONTACT_PERIOD_US: Final = 2_000_000  # it grows by half each time, up to this
SEEDS_PER_CONTACT: Final = 2
READ_VIEW_FOR_US: Final = 2_000_000  # the fleet's view is read for at most so long
MAX_DIFFERING_BUCKETS: Final = 2  # with so few the view counts as read
SETTLE_US: Final = 2_000_000  # probes have to succeed for so long after the first removal
MAX_SETTLE_US: Final = 60_000_000  # it doubles with each removal, up to this
MAX_SETTLE_DOUBLINGS: Final = 6
MAX_FAILING_SHARE: Final = 0.2  # of its probes while it settles
REFUTE_PERIOD_US: Final = 500_000  # between two refutations
MAX_REFUTE_PERIOD_US: Final = 8_000_000  # it doubles while accusations go on, up to this
NAME_HOLDER_TIMEOUT_US: Final = 2_500_000  # for the other holder of its name to answer
RETRY_PERIOD_US: Final = 10_000_000  # between hellos once joined, or while the name is taken
MAX_RECENT_ADDRESSES: Final = 32


class JoinStage(Enum):
    """The stages of a member; the values are what operators see."""

    ALONE = "alone"  # no other member has answered yet
    JOINING = "joining"  # the fleet's view is being read
    IN = "in"  # a member of the fleet
    OUT = "out"  # removed by the others, and not settled yet
    DISPLACED = "displaced"  # another process has its name


class NameChallenge(NamedTuple):
    """Another process that may have this member's name, and since when it is probed."""

    holder: MemberRecord
    since_us: int


class JoinState:
    """A member's stage, its own record, and the times that belong to them.

    All times are in microseconds of the caller's clock.

    Attributes:
        record: The member's own record.
        seeds: The configured seeds' addresses.
        stage: See `JoinStage`.
        recent_addresses: Addresses of members known lately, contacted like seeds.
        known_version: The newest version of its name that other members knew before this start.
        removals: How often it was removed.
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
        """Return whether the member takes part in gossip: it has joined, or reads the view."""
        return self.stage in (JoinStage.IN, JoinStage.JOINING)

    def contacts(self, now: int, live_addresses: set[str]) -> list[str]:
        """Return the addresses to send a hello to now.

        A member that has joined still contacts the seeds that it does not see, now and then: two
        fleets may have formed apart while no seed was up.

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

    def contacted_by(self, now: int, address: str) -> None:
        """Contact another member soon that this one, being alone, did not know."""
        if self.stage is not JoinStage.ALONE or address in self.recent_addresses:
            return
        self.recent_addresses = [*self.recent_addresses[-MAX_RECENT_ADDRESSES:], address]
        self.next_contact_at = min(self.next_contact_at, now)

    def seed_answered(self, now: int, known: MemberRecord | None) -> MemberRecord | None:
        """Begin to read the fleet's view, as a member has answered.

        Args:
            now: The time in microseconds.
            known: What is known there of this member's name.

        Returns:
            This member's record from now on; None where nothing changes, or where another process
            may have the name and is to be probed first.
        """
        if self.stage not in (JoinStage.ALONE, JoinStage.DISPLACED):
            return None
        if known is not None and known.incarnation != self.record.incarnation:
            self.known_version = max(self.known_version, known.version)
            if self._name_may_be_in_use(now, known):
                return None
            if known.version >= self.record.version:  # an earlier start, on a clock that was ahead
                self.raise_version_above(known.version)
        self.stage = JoinStage.JOINING
        self._reading_since = now
        self.next_contact_at = now
        self.record = self.record.with_status(Status.JOINING)
        return self.record

    def name_holder_timed_out(self, now: int, holder: MemberRecord) -> bool:
        """Return whether another holder of this name has had its time and never answered.

        The first call for a holder begins that time.
        """
        challenge = self._challenge
        if challenge is None or challenge.holder.incarnation != holder.incarnation:
            self._challenge = NameChallenge(holder, now)
            return False
        return now - challenge.since_us > NAME_HOLDER_TIMEOUT_US

    def raise_version_above(self, version: int) -> MemberRecord:
        """Give this start a version above that one; return the record."""
        raised = start_version(0, self.record.version, version)
        self.record = self.record.with_status(self.record.status, raised)
        return self.record

    def name_holder_answered(self) -> None:
        """Stay out of the fleet, as another process has the name."""
        self._challenge = None
        self.stage = JoinStage.DISPLACED

    def finish_reading(self, now: int, differing: int) -> MemberRecord | None:
        """Join the fleet if its view has been read, all but a few buckets or for long enough.

        Args:
            now: The time in microseconds.
            differing: In how many buckets this member's view differs from a peer's.

        Returns:
            This member's record from now on; None where it goes on reading, or is not reading.
        """
        if self.stage is not JoinStage.JOINING:
            return None
        if differing > MAX_DIFFERING_BUCKETS and now - self._reading_since <= READ_VIEW_FOR_US:
            return None
        return self.join(now)

    def join(self, now: int) -> MemberRecord:
        """Become a member of the fleet; return the record from now on."""
        self.stage = JoinStage.IN
        self.next_contact_at = now + RETRY_PERIOD_US
        self.record = self.record.with_status(Status.ALIVE)
        return self.record

    def should_refute(self, now: int) -> bool:
        """Return whether to refute an accusation now.

        The period doubles for a member that goes on being accused: its refutations carry no more
        weight then.
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
        """Return the record under the next version, which voids all suspicions of this one."""
        self.record = self.record.with_status(self.record.status, self.record.version + 1)
        return self.record

    def removed(self, version: int, addresses: list[str]) -> None:
        """Stay out for a while, as the others have removed this member.

        Args:
            version: The version under which it was removed.
            addresses: The addresses in its view, some of which are remembered.
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
        """Return for how long its probes have to succeed before it may come back.

        Longer after each removal, so that a member on a bad link does not come and go.
        """
        doublings = min(self.removals - 1, MAX_SETTLE_DOUBLINGS)
        return min(SETTLE_US << doublings, MAX_SETTLE_US)

    def rejoin_if_settled(self, now: int, failing: float, deaf: bool) -> MemberRecord | None:
        """Return to the fleet if this member was removed and has been well for long enough.

        Args:
            now: The time in microseconds.
            failing: The share of its probes that fail, from 0 to 1.
            deaf: Whether it receives nothing at all.

        Returns:
            The record with which it joins again; None where it does not.
        """
        if self.stage is not JoinStage.OUT:
            return None
        if failing > MAX_FAILING_SHARE or deaf:
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

    def _name_may_be_in_use(self, now: int, known: MemberRecord) -> bool:
        return (
            known.is_live()
            and known.address != self.record.address
            and not self.name_holder_timed_out(now, known)
        )
