"""The suspicion reports of all observers, and the only rule that removes a member.

A member is removed when at least 60% of its eligible observers, and at least two of them (one in a
fleet of two), have suspected it for `REMOVAL_DELAY_US` without interruption. One of these observers
applies the rule, and has to see 60% of the fleet at that time. If the suspicions are refusals,
`REFUSED_REMOVAL_DELAY_US` is enough and no share of the fleet is required. An observer is not
eligible if it reports that it is unsure, or if a third of its own observers suspect it.

Suspicion by several observers at once is from Rapid (Suresh et al. 2018); unlike in Rapid, members
do not have to agree on the next view.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from gullyoke.membership.member_record import Suspicion, SuspicionKind, SuspicionReport

ACCUSING_SHARE: Final = 0.6  # of the eligible observers, to remove a member
MIN_ACCUSERS: Final = 2
DOUBTED_DIVISOR: Final = 3  # one suspecting observer in this many makes a member ineligible
REMOVAL_DELAY_US: Final = 2_000_000
REFUSED_REMOVAL_DELAY_US: Final = 300_000


class SuspicionCount(NamedTuple):
    """The number of observers that suspect one subject, and the number that the rule requires.

    Attributes:
        accusing: The number of eligible observers that suspect the subject.
        refused: The number of those to which the subject's host refused datagrams.
        eligible: The number of eligible observers.
        required: The number of suspecting observers that the rule requires.
    """

    accusing: int
    refused: int
    eligible: int
    required: int

    def is_enough(self) -> bool:
        """Return whether enough observers suspect the subject."""
        return self.accusing >= self.required

    def is_enough_refused(self) -> bool:
        """Return whether enough observers suspect the subject because of refusals."""
        return self.refused >= self.required


class SuspicionTally:
    """The newest report of each observer, also indexed by subject.

    Attributes:
        reports: The newest report of each observer in the view, by the observer's id.
        against: The suspicions of each subject, by the subject's id and then the observer's id.
        multiply_suspected: The number of subjects that two or more observers suspect. Unsure
            observers count, as in a partition most observers are unsure.
    """

    def __init__(self) -> None:
        self.reports: dict[int, SuspicionReport] = {}
        self.against: dict[int, dict[int, Suspicion]] = {}
        self.multiply_suspected = 0

    def add(self, report: SuspicionReport) -> bool:
        """Add a report if it is newer than its observer's last one; return whether it is."""
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
        """Discard the suspicions by and of a member that left the view."""
        report = self.reports.pop(member, None)
        if report is not None:
            self._withdraw(member, report.suspicions)
        accusers = self.against.pop(member, None)
        if accusers is not None and len(accusers) >= 2:
            self.multiply_suspected -= 1

    def accusers(self, member: int, version: int) -> dict[int, SuspicionKind]:
        """Return the observers that are not unsure and suspect a member's version, with the reason.

        Suspicions of an earlier version do not count, as the member has refuted them.
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
        """Return whether a member reports that its own health is too poor to suspect others."""
        report = self.reports.get(member)
        return report is not None and report.unsure

    def count(self, member: int, version: int, observers: set[int]) -> SuspicionCount:
        """Return the count for one version of a member.

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
    """When the suspicions became enough, and when refusals alone did; 0 if they are not enough."""

    enough_at: int
    refused_enough_at: int


class RemovalTimer:
    """Measures for how long the count against each subject has been enough.

    Attributes:
        since: Start times in microseconds, for each subject whose count is enough at present.
    """

    def __init__(self) -> None:
        self.since: dict[int, SuspectedSince] = {}

    def update_and_check(
        self, now: int, member: int, count: SuspicionCount, sees_most: Callable[[], bool]
    ) -> bool:
        """Record the present count against a subject; return whether to remove it now.

        Args:
            now: The time in microseconds.
            member: The subject's id.
            count: The present count against the subject.
            sees_most: Returns whether this member sees enough of the fleet; called only if needed.
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
        """Restart all delays; after a pause of this process the counts may be out of date."""
        self.since.clear()

    def retain(self, members: Iterable[int]) -> None:
        """Forget all subjects but these."""
        for member in self.since.keys() - set(members):
            del self.since[member]
