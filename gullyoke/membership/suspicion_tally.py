"""What all observers report of each subject, and the one rule by which a member is removed.

The rule: a member is removed when at least 60% of its eligible observers, and at least two of them
(one in a fleet of two), have suspected it for `REMOVAL_DELAY_US` without a break, one of these
applies the rule, and that one still sees 60% of the fleet. Where the suspicions are refusals,
`REFUSED_REMOVAL_DELAY_US` is enough and no share of the fleet has to be seen. An observer is not
eligible when it is unsure of itself, or when a third of its own observers suspect it. Nothing else
removes a member.

Suspicion by several observers at once is from Rapid (Suresh et al. 2018); unlike there, members
need not agree on the next view.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from gullyoke.membership.member_record import Suspicion, SuspicionKind, SuspicionReport

ACCUSING_SHARE: Final = 0.6  # of the eligible observers
MIN_ACCUSERS: Final = 2
DOUBTED_DIVISOR: Final = 3  # suspected by one in so many of its observers, it is not eligible
REMOVAL_DELAY_US: Final = 2_000_000
REFUSED_REMOVAL_DELAY_US: Final = 300_000


class SuspicionCount(NamedTuple):
    """The count for one subject.

    Attributes:
        accusing: Eligible observers that suspect it.
        refused: Those of them to which its host refused a datagram.
        eligible: All eligible observers.
        required: How many of them the rule requires.
    """

    accusing: int
    refused: int
    eligible: int
    required: int

    def is_enough(self) -> bool:
        """Return whether enough observers suspect the subject."""
        return self.accusing >= self.required

    def is_enough_refused(self) -> bool:
        """Return whether enough observers were refused."""
        return self.refused >= self.required


class SuspicionTally:
    """The newest report of each observer, and the same by subject.

    Attributes:
        reports: The newest report of each observer in the view, by the observer's id.
        against: The suspicions of each subject, by the subject's and then the observer's id.
        multiply_suspected: How many subjects two or more observers suspect, unsure observers
            included: in a partition most of them are unsure.
    """

    def __init__(self) -> None:
        self.reports: dict[int, SuspicionReport] = {}
        self.against: dict[int, dict[int, Suspicion]] = {}
        self.multiply_suspected = 0

    def add(self, report: SuspicionReport) -> bool:
        """Take a report in; return whether it is newer than the last one of its observer."""
        previous = self.reports.get(report.observer)
        if not report.is_newer_than(previous):
            return False
        self.reports[report.observer] = report
        self._withdraw(report.observer, previous.suspicions if previous else ())
        for suspicion in report.suspicions:
            accusers = self.against.setdefault(suspicion.id, {})
            accusers[report.observer] = suspicion
            if len(accusers) == 2:
                self.multiply_suspected += 1
        return True

    def drop_member(self, member: int) -> None:
        """Forget a member that left the view: its suspicions, and those against it."""
        report = self.reports.pop(member, None)
        if report is not None:
            self._withdraw(member, report.suspicions)
        accusers = self.against.pop(member, None)
        if accusers is not None and len(accusers) >= 2:
            self.multiply_suspected -= 1

    def accusers(self, member: int, version: int) -> dict[int, SuspicionKind]:
        """Return which eligible observers suspect a member under a version, and why.

        Suspicions of an earlier version do not count: the member has refuted them.
        """
        return {
            observer: suspicion.kind
            for observer, suspicion in self.against.get(member, {}).items()
            if suspicion.version >= version and not self.is_unsure(observer)
        }

    def is_doubted(self, member: int, observer_count: int) -> bool:
        """Return whether a third of a member's observers suspect it, under any version."""
        accusing = sum(not self.is_unsure(observer) for observer in self.against.get(member, ()))
        return accusing >= max(1, math.ceil(observer_count / DOUBTED_DIVISOR))

    def is_unsure(self, member: int) -> bool:
        """Return whether a member reports that its own health is too poor to accuse."""
        report = self.reports.get(member)
        return report is not None and report.unsure

    def count(self, member: int, version: int, observers: set[int]) -> SuspicionCount:
        """Return the count for a member under a version.

        Args:
            member: The subject's id.
            version: The subject's version.
            observers: The ids of its observers.
        """
        accusers = self.accusers(member, version)
        eligible = [
            observer
            for observer in observers
            if not self.is_unsure(observer) and not self.is_doubted(observer, len(observers))
        ]
        kinds = [accusers[observer] for observer in eligible if observer in accusers]
        refused = sum(kind is SuspicionKind.REFUSED for kind in kinds)
        required = max(min(MIN_ACCUSERS, len(observers)), math.ceil(ACCUSING_SHARE * len(eligible)))
        return SuspicionCount(len(kinds), refused, len(eligible), required)

    def _withdraw(self, observer: int, suspicions: Iterable[Suspicion]) -> None:
        for suspicion in suspicions:
            accusers = self.against.get(suspicion.id)
            if accusers is None or accusers.pop(observer, None) is None:
                continue
            if len(accusers) == 1:
                self.multiply_suspected -= 1
            elif not accusers:
                del self.against[suspicion.id]


class SuspectedSince(NamedTuple):
    """Since when the count has been enough, and enough by refusals alone; 0 where it is not."""

    enough_at: int
    refused_enough_at: int


class RemovalTimer:
    """Since when the count against each subject has been enough, in microseconds.

    Attributes:
        since: One entry for each subject against which the count is enough at present.
    """

    def __init__(self) -> None:
        self.since: dict[int, SuspectedSince] = {}

    def should_remove(
        self, now: int, member: int, count: SuspicionCount, sees_most: Callable[[], bool]
    ) -> bool:
        """Return whether the rule is met now for a subject.

        Args:
            now: The time in microseconds.
            member: The subject's id.
            count: The present count against it.
            sees_most: Tells whether this member sees most of the fleet; asked only if it matters.
        """
        before = self.since.get(member, SuspectedSince(0, 0))
        if not count.is_enough():
            self.since.pop(member, None)
            return False
        enough_at = before.enough_at or now
        refused_at = (before.refused_enough_at or now) if count.is_enough_refused() else 0
        self.since[member] = SuspectedSince(enough_at, refused_at)
        if refused_at and now - refused_at >= REFUSED_REMOVAL_DELAY_US:
            return True
        return now - enough_at >= REMOVAL_DELAY_US and sees_most()

    def clear(self) -> None:
        """Start over after a pause of this process: the subjects may have answered long ago."""
        self.since.clear()

    def retain(self, members: Iterable[int]) -> None:
        """Forget all subjects but these."""
        for member in self.since.keys() - set(members):
            del self.since[member]
