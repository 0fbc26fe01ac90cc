"""How received updates change a member's state, those about the member itself included."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from gullyoke.membership.dissemination import Dissemination
from gullyoke.membership.gossip_queue import report_key
from gullyoke.membership.member_record import (
    MemberRecord,
    Status,
    StatusUpdate,
    SuspicionReport,
    Update,
)
from gullyoke.membership.member_state import MemberState
from gullyoke.membership.view import Change
from gullyoke.membership.view_history import ViewHistory

ACCEPT_OLD_REMOVAL_FAILING_SHARE: Final = 0.5  # of its own probes
UNKNOWN_NAME: Final = "-"


class UpdateProcessor:
    """Applies updates to the state, and hands on what is new.

    Attributes:
        history: The recent changes of the view.
        listeners: Called with each change of the view.
    """

    def __init__(self, state: MemberState, dissemination: Dissemination) -> None:
        self._state = state
        self._dissemination = dissemination
        self.history = ViewHistory()
        self.listeners: list[Callable[[Change], None]] = []

    def learn(self, now: int, update: Update) -> None:
        """Apply an update received from another member, or decided by this one."""
        if isinstance(update, SuspicionReport):
            self._learn_report(now, update)
        elif isinstance(update, MemberRecord):
            if update.id == self._state.id:
                self._learn_own_record(now, update)
            else:
                self._learn_record(now, update)
        elif update.id == self._state.id:
            self._learn_own_status(update)
        else:
            change = self._state.view.apply_update(now, update)
            if change is not None:
                self._view_changed(now, change, update)

    def learn_sender(self, now: int, sender: MemberRecord) -> bool:
        """Apply the record of a message's sender.

        Returns:
            Whether the sender is in the view, and was before its message. Updates are accepted from
            such senders only, so that a removed member brings nobody back.
        """
        view = self._state.view
        was_member = sender.id in view.records
        if self._state.join_state.is_inside():
            known = view.known(sender.id)
            if known is None or sender.rank() > known.rank():
                self.learn(now, sender)
        return was_member and sender.id in view.records

    def adopt_own_record(self, now: int, record: MemberRecord) -> None:
        """Make a record this member's own, and let the others know."""
        self._state.join_state.record = record
        change = self._state.view.merge(now, record)
        if change is not None:
            self._view_changed(now, change, record)

    def _view_changed(self, now: int, change: Change, update: Update) -> None:
        state = self._state
        if not change.record.is_live():
            state.suspicions.drop_member(change.record.id)
            state.gossip.discard(report_key(change.record.id))
            state.edges.pop(change.record.id, None)
        state.gossip.add(update)
        self._dissemination.push_pending = True
        by = state.view.known(change.update.decided_by) if change.update else None
        self.history.add(now, change, by.name if by else UNKNOWN_NAME)
        for listener in self.listeners:
            listener(change)

    def _learn_record(self, now: int, record: MemberRecord) -> None:
        state = self._state
        change = state.view.merge(now, record)
        if change is not None:
            self._view_changed(now, change, record)
            return
        departed = state.view.departed.get(record.id)
        if departed is not None and departed.record.rank() > record.rank():
            # Whoever sent the record does not know yet that the member has departed.
            newest = departed.record
            state.gossip.add(StatusUpdate(newest.id, newest.version, newest.status, state.id))

    def _learn_own_record(self, now: int, record: MemberRecord) -> None:
        """Apply a record of this member's name: an earlier start's, or another process's."""
        state = self._state
        join_state = state.join_state
        own = state.record
        if record.incarnation == own.incarnation:
            if record.status is Status.DEAD and record.version >= own.version:
                self._learn_own_removal(record.version)
        elif record.rank() < own.rank():
            state.gossip.add(own)
        elif (
            not record.is_live()
            or record.address == own.address
            or join_state.name_holder_timed_out(now, record)
        ):
            self.adopt_own_record(now, join_state.raise_version_above(record.version))
        else:
            self._dissemination.send_untracked_ping(record.address)

    def _learn_own_status(self, update: StatusUpdate) -> None:
        if update.status is not Status.DEAD:
            return
        # A removal under an older version has been refuted, unless this member's probes fail: its
        # refutation was not received then.
        failing = self._state.local_health.failing
        if (
            update.version >= self._state.record.version
            or failing > ACCEPT_OLD_REMOVAL_FAILING_SHARE
        ):
            self._learn_own_removal(update.version)

    def _learn_own_removal(self, version: int) -> None:
        state = self._state
        if state.join_state.is_inside():
            addresses = [record.address for record in state.view.records.values()]
            state.join_state.removed(version, addresses)

    def _learn_report(self, now: int, report: SuspicionReport) -> None:
        state = self._state
        observer = state.view.records.get(report.observer)
        if report.observer == state.id or observer is None or report.version < observer.version:
            return
        if not state.suspicions.add(report):
            return
        state.gossip.add(report)
        for suspicion in report.suspicions:
            if (
                suspicion.id == state.id
                and suspicion.version >= state.record.version
                and state.join_state.should_refute(now)
            ):
                self.adopt_own_record(now, state.join_state.refute())
