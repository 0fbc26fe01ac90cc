"""Applies received updates to a member's state, including updates about the member itself."""

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

ACCEPT_OLD_REMOVAL_FAILING_SHARE: Final = 0.5  # of this member's probes; see `_learn_own_status`
UNKNOWN_NAME: Final = "-"


class UpdateProcessor:
    """Applies updates to the state, and disseminates those that change it.

    Attributes:
        history: The recent changes of the view.
        listeners: Functions to call with each change of the view.
    """

    def __init__(self, state: MemberState, dissemination: Dissemination) -> None:
        self._state = state
        self._dissemination = dissemination
        self.history = ViewHistory()
        self.listeners: list[Callable[[Change], None]] = []

    def learn(self, now: int, update: Update) -> None:
        """Apply an update from another member or from this one."""
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
            Whether the sender is in the view and was there before its message. Only updates from
            such senders are accepted, so that a removed member cannot bring back others.
        """
        view = self._state.view
        was_member = sender.id in view.records
        if self._state.join_state.is_inside():
            known = view.known(sender.id)
            if known is None or sender.rank() > known.rank():
                self.learn(now, sender)
        return was_member and sender.id in view.records

    def adopt_own_record(self, now: int, record: MemberRecord) -> None:
        """Adopt a record as this member's own, and disseminate it."""
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
            # The sender of the record does not yet know that the member has departed.
            newest = departed.record
            state.gossip.add(StatusUpdate(newest.id, newest.version, newest.status, state.id))

    def _learn_own_record(self, now: int, record: MemberRecord) -> None:
        """Apply a record with this member's name, which may be of another start or process."""
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
            or join_state.challenge_name_holder(now, record)
        ):
            self.adopt_own_record(now, join_state.raise_version_above(record.version))
        else:
            self._dissemination.send_untracked_ping(record.address)

    def _learn_own_status(self, update: StatusUpdate) -> None:
        if update.status is not Status.DEAD:
            return
        # A removal of an older version has been refuted. But if this member's probes fail, the
        # refutation was probably not received.
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
            state.join_state.removal_received(version, addresses)

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
                and state.join_state.try_begin_refutation(now)
            ):
                self.adopt_own_record(now, state.join_state.refute())
