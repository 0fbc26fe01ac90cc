"""Reports of suspicions, and the removal of members by the rule in suspicion_tally.py."""

from __future__ import annotations

from enum import StrEnum
from typing import Final

from gullyoke.membership.dissemination import Dissemination
from gullyoke.membership.member_record import (
    MemberRecord,
    Status,
    StatusUpdate,
    Suspicion,
    SuspicionReport,
)
from gullyoke.membership.member_state import MemberState
from gullyoke.membership.suspicion_tally import RemovalTimer, SuspicionCount
from gullyoke.membership.update_processing import UpdateProcessor

REPEAT_PERIOD_US: Final = 500_000  # interval at which a report to the members concerned is repeated
REPEAT_FOR_US: Final = 4_000_000  # a report is repeated for this time after it changed
MAX_CONCERNED: Final = 24  # members to which a report is sent directly


class ObservedState(StrEnum):
    """The state of a member as this member observes it; operators see the values."""

    JOINING = "joining"
    ALIVE = "alive"
    SUSPECT = "suspect"  # will be removed if the suspicion lasts
    UNREACHABLE = "unreachable"  # this member can't reach it, or sees too few others to remove it
    LEAVING = "leaving"
    LEFT = "left"
    DEAD = "dead"


class Removal:
    """Reports this member's suspicions, and removes members that enough observers suspect.

    Attributes:
        report: This member's last report.
    """

    def __init__(
        self, state: MemberState, dissemination: Dissemination, updates: UpdateProcessor
    ) -> None:
        self._state = state
        self._dissemination = dissemination
        self._updates = updates
        self._timer = RemovalTimer()
        self._report_seq = 0
        self._changed_at = 0
        self._sent_at = 0
        self.report = self._empty_report(state.record)

    def process_resumed(self) -> None:
        """Restart all removal delays after a pause of this process."""
        self._timer.clear()

    def reset(self, record: MemberRecord) -> None:
        """Start over without suspicions, as this member rejoins under a new record."""
        self.report = self._empty_report(record)

    def report_suspicions(self, now: int) -> None:
        """Send the report of suspicions if it has changed, or repeat it.

        Gossip spreads the report to all members eventually. The suspects and their observers
        receive it directly, the suspects first.
        """
        before = self.report
        unsure = self._state.local_health.unsure(now)
        suspicions = self._current_suspicions(now)
        changed = (unsure, suspicions, self._state.record.version) != (
            before.unsure,
            before.suspicions,
            before.version,
        )
        if changed and (suspicions or before.suspicions or unsure or before.unsure):
            self._replace_report(now, unsure, suspicions)
        elif (
            not suspicions
            or now - self._sent_at < REPEAT_PERIOD_US
            or now - self._changed_at > REPEAT_FOR_US
        ):
            return
        self._sent_at = now
        suspects = {suspicion.id for suspicion in (*suspicions, *before.suspicions)}
        for member in self._concerned(suspects):
            self._dissemination.send_gossip(member, (self.report,))

    def remove_suspects(self, now: int) -> None:
        """Apply the removal rule to each subject that this member suspects."""
        state = self._state
        suspects = [
            suspicion.id
            for suspicion in self.report.suspicions
            if not self.report.unsure and suspicion.id in state.view.records
        ]
        self._timer.retain(suspects)
        for member in suspects:
            record = state.view.records[member]
            count = self._count(record)
            if self._timer.update_and_check(now, member, count, lambda: self._sees_most(now)):
                self._remove(now, record, count)

    def observed_state(self, now: int, record: MemberRecord) -> ObservedState:
        """Return the state of a member of the view as this member observes it."""
        if record.status is not Status.ALIVE or record.id == self._state.id:
            return ObservedState(record.status.name.lower())
        count = self._count(record)
        if count.accusing and (
            count.is_enough_refused() or (count.is_enough() and self._sees_most(now))
        ):
            return ObservedState.SUSPECT
        if self._is_unreachable_from_here(now, record.id):
            return ObservedState.UNREACHABLE
        if count.accusing and not self._sees_most(now):
            return ObservedState.UNREACHABLE
        return ObservedState.ALIVE

    def _empty_report(self, record: MemberRecord) -> SuspicionReport:
        return SuspicionReport(self._state.id, record.version, self._report_seq, False, ())

    def _current_suspicions(self, now: int) -> tuple[Suspicion, ...]:
        suspicions = []
        for edge in self._state.edges.values():
            kind = edge.verdict(now)
            record = self._state.view.records.get(edge.id)
            if kind is not None and record is not None:
                suspicions.append(Suspicion(record.id, record.version, kind))
        return tuple(suspicions)

    def _replace_report(self, now: int, unsure: bool, suspicions: tuple[Suspicion, ...]) -> None:
        state = self._state
        self._report_seq += 1
        self._changed_at = now
        self.report = SuspicionReport(
            state.id, state.record.version, self._report_seq, unsure, suspicions
        )
        state.suspicions.add(self.report)
        state.gossip.add(self.report)

    def _concerned(self, suspects: set[int]) -> list[int]:
        """Return the suspects and their observers, at most `MAX_CONCERNED`."""
        ranked = sorted(suspects)
        concerned = dict.fromkeys(ranked)
        for suspect in ranked:
            concerned.update(dict.fromkeys(sorted(self._state.view.rings.observers(suspect))))
        return list(concerned)[:MAX_CONCERNED]

    def _count(self, record: MemberRecord) -> SuspicionCount:
        state = self._state
        observers = state.view.rings.observers(record.id)
        return state.suspicions.count(record.id, record.version, observers)

    def _remove(self, now: int, record: MemberRecord, count: SuspicionCount) -> None:
        update = StatusUpdate(
            record.id,
            record.version,
            Status.DEAD,
            self._state.id,
            count.accusing,
            count.eligible,
        )
        # Informs the removed member, which may receive messages although its own do not arrive.
        self._dissemination.send_gossip(record.id, (update,))
        self._updates.learn(now, update)

    def _sees_most(self, now: int) -> bool:
        state = self._state
        return state.local_health.sees_most(
            state.suspicions.multiply_suspected,
            state.view.recent_removals(now),
            len(state.view.rings),
        )

    def _is_unreachable_from_here(self, now: int, member: int) -> bool:
        edge = self._state.edges.get(member)
        return edge is not None and (edge.verdict(now) is not None or edge.is_cut_off(now))
