"""What all observers hold against one subject, and the one rule by which a member is removed.

**The rule.** A member is removed when, for `HOLD` without a break (`HOLD_REFUSED` where they are
refused), six in ten of its standing observers and two at the least (the one, in a fleet of two)
hold it silent or refused, one of them says so, and that one still sees six in ten of the fleet
(refusals need no such share). Observers who are themselves held silent by a third of theirs, and
those who are unsure of themselves, do not stand. Nothing else removes anybody.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from gullyoke.membership.member_record import Suspicion, SuspicionKind, SuspicionReport

SHARE, LEAST = 0.6, 2  # of the standing observers, and how many at the least
DOUBTED = 3  # held silent by one in so many of its observers it does not stand
HOLD = 2_000_000  # microseconds for which the accusations must stand
HOLD_REFUSED = 300_000  # the same where they are refusals


class Count(NamedTuple):
    """How a subject stands: accusing observers of those standing, refused ones among them, and how
    many it takes.
    """

    accusing: int
    refused: int
    eligible: int
    need: int

    def enough(self) -> bool:
        return self.accusing >= self.need

    def refused_enough(self) -> bool:
        return self.refused >= self.need


class SuspicionTally:
    """Tables: `reports`, one an observer in the view.

    `against`, by subject who accuses it, made of these. `several` is how many subjects two or more
    accuse, those who are unsure too: in a cut most of them are.
    """

    def __init__(self) -> None:
        self.reports: dict[int, SuspicionReport] = {}
        self.against: dict[int, dict[int, Suspicion]] = {}
        self.several = 0

    def take(self, report: SuspicionReport) -> bool:
        """Take a report in, if it is newer than what is known of its observer."""
        old = self.reports.get(report.observer)
        if not report.is_newer_than(old):
            return False
        self.reports[report.observer] = report
        self._out(report.observer, old.suspicions if old else ())
        for entry in report.suspicions:
            row = self.against.setdefault(entry.id, {})
            row[report.observer] = entry
            self.several += len(row) == 2
        return True

    def drop(self, member: int) -> None:
        """It has left the view: what it held against others is void, and what was held against
        it.
        """
        old = self.reports.pop(member, None)
        if old is not None:
            self._out(member, old.suspicions)
        row = self.against.pop(member, None)
        self.several -= row is not None and len(row) >= 2

    def _out(self, observer: int, entries: Iterable[Suspicion]) -> None:
        for entry in entries:
            row = self.against.get(entry.id)
            if row is not None and row.pop(observer, None) is not None:
                self.several -= len(row) == 1
                if not row:
                    del self.against[entry.id]

    def accusers(self, member: int, version: int) -> dict[int, SuspicionKind]:
        """Who accuses it under that number: a refutation voids what was said before."""
        return {
            who: entry.kind
            for who, entry in self.against.get(member, {}).items()
            if entry.version >= version and not self.unsure(who)
        }

    def doubted(self, member: int, observers: int) -> bool:
        """Whether a third of its observers hold something against it."""
        accusers = sum(not self.unsure(who) for who in self.against.get(member, ()))
        return accusers >= max(1, math.ceil(observers / DOUBTED))

    def unsure(self, member: int) -> bool:
        report = self.reports.get(member)
        return report is not None and report.unsure

    def count(self, member: int, version: int, observers: set[int]) -> Count:
        """How a subject stands among its observers."""
        accusers = self.accusers(member, version)
        standing = [
            o for o in observers if not self.unsure(o) and not self.doubted(o, len(observers))
        ]
        kinds = [accusers[o] for o in standing if o in accusers]
        need = max(min(LEAST, len(observers)), math.ceil(SHARE * len(standing)))
        return Count(
            len(kinds), sum(kind is SuspicionKind.REFUSED for kind in kinds), len(standing), need
        )


class SuspicionTimer:
    """Since when what is held against a subject has been enough.

    Table: one row a subject that is accused enough; it leaves with that.
    """

    def __init__(self) -> None:
        self.since: dict[int, tuple[int, int]] = {}

    def passed(self, now: int, member: int, count: Count, sees_most: Callable[[], bool]) -> bool:
        """Whether the rule is met now."""
        silent, refused = self.since.get(member, (0, 0))
        silent = (silent or now) if count.enough() else 0
        refused = (refused or now) if count.refused_enough() else 0
        if not silent:
            self.since.pop(member, None)
            return False
        self.since[member] = silent, refused
        if refused and now - refused >= HOLD_REFUSED:
            return True
        return now - silent >= HOLD and sees_most()

    def clear(self) -> None:
        """After a pause of one's own: whatever stood may long have been answered."""
        self.since.clear()

    def only(self, members: Iterable[int]) -> None:
        for gone in self.since.keys() - set(members):
            del self.since[gone]
