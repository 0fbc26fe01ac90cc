"""Coming in: joining by seeds, the start's number, one name held twice, and coming back after a
removal.

A member is at one of five stages. `ALONE`: nobody has answered yet. `JOINING`: the others' view is
being read. `IN`. `OUT`: it was removed; it stays out until its own askings have been answered for
`SETTLE`, longer after each removal, so that one with a bad link is removed once and does not come
and go. `DISPLACED`: another process holds its name.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from gullyoke.membership.member_record import MemberRecord, Status, start_version

ASK, ASK_LONGEST = (
    400_000,
    2_000_000,
)  # microseconds between askings of seeds, growing, half of it by chance
SEEDS = 2  # asked at once
READ = 2_000_000  # the others' view is read for so long at the most
SETTLE, SETTLE_LONGEST = 2_000_000, 60_000_000
WELL = 0.2  # of its askings may fail while it settles
REFUTE, REFUTE_LONGEST = 500_000, 8_000_000  # between two refutations
CHALLENGE = 2_500_000  # the other holder of its name has so long to answer
RETRY = 10_000_000  # between looks for a fleet elsewhere, or at a name that is held


class JoinStage(Enum):
    ALONE = "alone"
    JOINING = "joining"
    IN = "in"
    OUT = "out"
    DISPLACED = "displaced"


class JoinState:
    """Table: `seeds`, as stated, with a few addresses of members lately known; bounded by KNOWN."""

    KNOWN = 32

    def __init__(
        self,
        now: int,
        record: MemberRecord,
        seeds: tuple[str, ...],
        draw: Callable[[int], int],
        sample: Callable,
    ) -> None:
        self.record, self.seeds, self.stage = record, seeds, JoinStage.ALONE
        self.draw, self.sample = draw, sample
        self.next, self.pause, self.since, self.removals = now, ASK, now, 0
        self.settling: int | None = None
        self.refuted_at, self.refute = now - REFUTE, REFUTE
        self.lately: list[str] = []
        self.challenged: tuple[MemberRecord, int] | None = None
        self.known = 0  # the newest number of our name that others knew before this start

    def asks(self, now: int, live: set[str]) -> list[str]:
        """The addresses to say hello to now.

        One who is in goes on asking the seeds it does not see, now and then: guards against fleets
        that formed apart while no seed was up.
        """
        if now < self.next or self.stage is JoinStage.OUT:
            return []
        if self.stage in (JoinStage.IN, JoinStage.DISPLACED):
            self.next = now + RETRY
        else:
            self.next = now + self.pause // 2 + self.draw(self.pause // 2)
            self.pause = min(3 * self.pause // 2, ASK_LONGEST)
        from_where = [
            a
            for a in dict.fromkeys((*self.seeds, *self.lately))
            if a != self.record.address and (self.stage is not JoinStage.IN or a not in live)
        ]
        return self.sample(from_where, min(SEEDS, len(from_where)))

    def welcomed(self, now: int, known: MemberRecord | None) -> MemberRecord | None:
        """Somebody answered, and `known` is what is known of our name there.

        Our row from now on, or None where another holds the name and is asked first.
        """
        if self.stage not in (JoinStage.ALONE, JoinStage.DISPLACED):
            return None
        if known is not None and known.incarnation != self.record.incarnation:
            self.known = max(self.known, known.version)
            if (
                known.is_live()
                and known.address != self.record.address
                and not self.outlived(now, known)
            ):
                return None
            if (
                known.version >= self.record.version
            ):  # an earlier start of ours, on a clock that went ahead
                self.record = self.record.with_status(
                    Status.JOINING, start_version(0, self.record.version, known.version)
                )
        self.stage, self.since, self.next = JoinStage.JOINING, now, now
        self.record = self.record.with_status(Status.JOINING)
        return self.record

    def outlived(self, now: int, holder: MemberRecord) -> bool:
        """Whether another holder of our name may be passed over.

        Asked, it had its time and never answered.
        """
        if self.challenged is None or self.challenged[0].incarnation != holder.incarnation:
            self.challenged = holder, now
            return False
        return now - self.challenged[1] > CHALLENGE

    def above(self, version: int) -> MemberRecord:
        """This start's row under a number above that one."""
        self.record = self.record.with_status(
            self.record.status, start_version(0, self.record.version, version)
        )
        return self.record

    def holder_answered(self) -> None:
        """It holds the name: this one stays out."""
        self.challenged, self.stage = None, JoinStage.DISPLACED

    def read(self, now: int, differing: int) -> MemberRecord | None:
        """The view has been read, all but a few parts or long enough: in, from now on."""
        if self.stage is JoinStage.JOINING and (differing <= 2 or now - self.since > READ):
            self.stage, self.next = JoinStage.IN, now + RETRY
            self.record = self.record.with_status(Status.ALIVE)
            return self.record
        return None

    def refutes(self, now: int) -> bool:
        """Whether to contradict an accusation now.

        One that goes on being accused does so ever more seldom, what others hear of it speaks
        louder.
        """
        if self.stage is not JoinStage.IN or now - self.refuted_at < self.refute:
            return False
        often = now - self.refuted_at < 4 * self.refute
        self.refute = min(2 * self.refute, REFUTE_LONGEST) if often else REFUTE
        self.refuted_at = now
        return True

    def refuted(self) -> MemberRecord:
        """The same under a higher number."""
        self.record = self.record.with_status(self.record.status, self.record.version + 1)
        return self.record

    def removed(self, now: int, version: int, addresses: list[str]) -> None:
        """All others hold this one for dead. It stays out for a while."""
        if self.stage is not JoinStage.OUT:
            self.stage, self.settling = JoinStage.OUT, None
            self.removals += 1
            self.lately = self.sample(addresses, min(self.KNOWN, len(addresses)))
        self.record = self.record.with_status(Status.JOINING, max(self.record.version, version))

    def settle(self) -> int:
        return min(SETTLE << min(self.removals - 1, 6), SETTLE_LONGEST)

    def back(self, now: int, failing: float, heard: bool) -> MemberRecord | None:
        """Out: whether it has been well for long enough to come in again."""
        if self.stage is not JoinStage.OUT:
            return None
        if failing > WELL or not heard:
            self.settling = None
            return None
        if self.settling is None:
            self.settling = now
        if now - self.settling < self.settle():
            return None
        self.stage, self.next, self.pause = JoinStage.ALONE, now, ASK
        self.record = self.record.with_status(Status.JOINING, self.record.version + 1)
        return self.record
