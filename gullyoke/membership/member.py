"""One member: what it does at each turn and with each message.

Sends nothing itself: `take` hands out what is to be sent.

Called with the clock in whole microseconds: `tick` every TICK, `hear` for each message that
verified, `refused` where a machine says that nobody listens, `leave` and `left` at a drain's two
ends. No I/O, no clock, no chance but what is handed in.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from gullyoke.membership import reconciliation
from gullyoke.membership.gossip_queue import GossipQueue
from gullyoke.membership.join_state import JoinStage, JoinState
from gullyoke.membership.local_health import LocalHealth
from gullyoke.membership.member_record import (
    MemberRecord,
    Status,
    StatusUpdate,
    Suspicion,
    SuspicionReport,
    Update,
)
from gullyoke.membership.messages import (
    SIGNAL_BITS,
    Ack,
    Gossip,
    Hello,
    Message,
    OutgoingMessage,
    Ping,
    PingRequest,
    ViewDigests,
    ViewRecords,
)
from gullyoke.membership.monitor_edge import PERIOD, MonitorEdge
from gullyoke.membership.size_estimate import SizeEstimate, estimate_size
from gullyoke.membership.suspicion_tally import SuspicionTally, SuspicionTimer
from gullyoke.membership.view import Change, View
from gullyoke.membership.view_history import ViewHistory

TICK = 100_000  # microseconds between turns
K = 8  # observers of a member
HELPERS = 2  # who ask for one whose own asking goes unanswered
PUSHED = 3  # members who are told at once what can't wait
AGAIN, URGENT = 500_000, 4_000_000  # an accusation is told again to those it concerns, for so long
CONCERNED = 24  # and to so many at the most
GREET = 16  # hellos answered in one turn, so that many who join take turns
RELAYS = 128  # askings for others that are remembered
READING = 200_000  # between askings of one who reads the others' view


class Member:
    """Tables: `edges`, one a subject.

    `relays`, askings for others, the oldest goes when there are RELAYS; `askings`, whom each of
    one's own went to, bounded like the edges' own; `out`, handed over at once.
    """

    def __init__(
        self,
        now: int,
        record: MemberRecord,
        seeds: tuple[str, ...],
        chance: random.Random,
        k: int = K,
    ) -> None:
        self.id, self.view, self.suspicions = record.id, View(k), SuspicionTally()
        self.draw, self.sample = chance.randrange, chance.sample
        self.join_state = JoinState(now, record, seeds, chance.randrange, chance.sample)
        self.edges: dict[int, MonitorEdge] = {}
        self.local_health, self.gossip, self.holding = (
            LocalHealth(now),
            GossipQueue(),
            SuspicionTimer(),
        )
        self.reconciliation, self.history = reconciliation.ReconciliationTimer(), ViewHistory()
        self.relays: dict[int, tuple[MemberRecord, int, int]] = {}
        self.askings: dict[int, int] = {}
        self.outgoing: list[OutgoingMessage] = []
        self.listeners: list[Callable[[Change], None]] = []
        self.turns, self.signal = 0, None  # the word on how this one stands, if any
        self.on_signal: Callable[[int, int, int, int], None] = lambda now, sender, turn, word: None
        self.seq = self.matched = self.greeted = self.report_seq = 0
        self.fresh, self.asked_read, self.accused_at, self.told_at = False, 0, 0, 0
        self.report = SuspicionReport(self.id, record.version, 0, False, ())
        self.view.merge(now, record)
        if not [s for s in seeds if s != record.address]:
            self.join_state.welcomed(now, None)  # the first of its fleet: nobody else is named
            self._become(now, self.join_state.record)
            self._become(now, self.join_state.read(now, 0))

    @property
    def record(self) -> MemberRecord:
        """One's own, as `entry` has it."""
        return self.join_state.record

    def take_outgoing(self) -> list[OutgoingMessage]:
        out, self.outgoing = self.outgoing, []
        return out

    # Turns.

    def tick(self, now: int) -> None:
        if self.local_health.paused(now):
            self._woke(now)
        self.greeted = 0
        self.turns += 1
        self.view.forget(now)
        self._enter(now)
        self._match(now)
        self.local_health.weigh(now, self.edges.values())
        self._ask(now)
        if self.join_state.stage is JoinStage.IN:
            self._accuse(now)
            self._decide(now)
        self._push(now)
        self._compare(now)

    def _woke(self, now: int) -> None:
        """After a pause of its own it asks before it accuses.

        What went unanswered meanwhile says nothing.
        """
        self.holding.clear()
        for edge in self.edges.values():
            edge.anew(now)

    def _enter(self, now: int) -> None:
        entry = self.join_state
        if entry.stage is JoinStage.OUT:
            record = entry.back(now, self.local_health.failing, not self.local_health.deaf)
            if record is not None:
                self._anew(now, record)
        live = (
            {record.address for record in self.view.records.values()}
            if now >= entry.next
            else set()
        )
        for address in entry.asks(now, live):
            self._send(address, Hello(self.record))
        if entry.stage is JoinStage.JOINING:
            record = entry.read(now, reconciliation.BUCKETS)
            if record is not None:
                self._become(now, record)
            elif now - self.asked_read >= READING:
                self.asked_read = now
                for one in self._some(1):
                    self._send(
                        one.address, ViewDigests(self.record, tuple(self.view.buckets)), one.id
                    )

    def _match(self, now: int) -> None:
        """The subjects are those that the view gives."""
        if self.matched == self.view.rings.version or self.join_state.stage is not JoinStage.IN:
            return
        self.matched = self.view.rings.version
        subjects = self.view.rings.subjects(self.id)
        for gone in self.edges.keys() - subjects:
            del self.edges[gone]
        for new in sorted(subjects - self.edges.keys()):
            self.edges[new] = MonitorEdge(new, now + self.draw(PERIOD))

    def _ask(self, now: int) -> None:
        for edge in self.edges.values():
            doubt = edge.look(now)
            if not edge.due(now) or (record := self.view.records.get(edge.id)) is None:
                continue
            seq = self._asking(edge.id)
            edge.ask(now, seq)
            self._send(
                record.address, Ping(self.record, seq, *self._whole(), self._signal()), record.id
            )
            if doubt:
                for helper in self._some(HELPERS, record.id):
                    self._send(
                        helper.address,
                        PingRequest(self.record, seq, record, *self._whole()),
                        helper.id,
                    )

    def _asking(self, member: int) -> int:
        self.seq += 1
        self.askings[self.seq] = member
        if len(self.askings) > RELAYS:
            del self.askings[next(iter(self.askings))]
        return self.seq

    def _accuse(self, now: int) -> None:
        """What is held against the subjects, told where it changed.

        To all in time, at once to those that it concerns, the accused first.
        """
        unsure, entries = self.local_health.unsure(now), []
        for edge in self.edges.values():
            kind, record = edge.verdict(now), self.view.records.get(edge.id)
            if kind is not None and record is not None:
                entries.append(Suspicion(record.id, record.version, kind))
        said = self.report
        changed = (unsure, tuple(entries)) != (
            said.unsure,
            said.suspicions,
        ) or said.version != self.record.version
        concerned = {e.id for e in entries} | {e.id for e in said.suspicions}
        if changed and (entries or said.suspicions or unsure or said.unsure):
            self.report_seq += 1
            self.report = SuspicionReport(
                self.id, self.record.version, self.report_seq, unsure, tuple(entries)
            )
            self.suspicions.take(self.report)
            self.gossip.add(self.report)
            self.accused_at = now
        elif not entries or now - self.told_at < AGAIN or now - self.accused_at > URGENT:
            return
        self.told_at = now
        told = dict.fromkeys(sorted(concerned))
        for subject in sorted(concerned):
            told.update(dict.fromkeys(sorted(self.view.rings.observers(subject))))
        for member in list(told)[:CONCERNED]:
            self._tell(member, (self.report,))

    def _decide(self, now: int) -> None:
        """The one rule, for each subject that this one holds something against."""
        accused = (
            []
            if self.report.unsure
            else [e for e in self.report.suspicions if e.id in self.view.records]
        )
        self.holding.only(e.id for e in accused)
        for entry in accused:
            record = self.view.records[entry.id]
            count = self.suspicions.count(
                record.id, record.version, self.view.rings.observers(record.id)
            )
            if self.holding.passed(now, record.id, count, lambda: self._sees_most(now)):
                mark = StatusUpdate(
                    record.id, record.version, Status.DEAD, self.id, count.accusing, count.eligible
                )
                self._tell(record.id, (mark,))  # who hears and is not heard learns why nobody asks
                self._learn(now, mark)

    def _sees_most(self, now: int) -> bool:
        return self.local_health.sees_most(
            self.suspicions.several, self.view.removed_lately(now), len(self.view.rings)
        )

    def _push(self, now: int) -> None:
        if self.fresh:
            self.fresh = False
            for one in self._some(PUSHED):
                self._tell(one.id, ())

    def _compare(self, now: int) -> None:
        if self.join_state.stage is JoinStage.IN and self.reconciliation.due(now):
            peer = self.view.records.get(self.reconciliation.peer)
            if peer is not None:
                self._send(
                    peer.address, ViewDigests(self.record, tuple(self.view.buckets)), peer.id
                )

    # Messages.

    def receive(self, now: int, message: Message) -> None:
        sender = message.sender
        if sender.id == self.id:
            if sender.incarnation != self.record.incarnation:
                self._namesake(now, sender)
            return
        if isinstance(message, Hello):
            self._greet(now, sender)
            return
        there = self._meet(now, sender)
        if isinstance(message, ViewRecords):
            self._rows(now, message)
        elif isinstance(message, ViewDigests):
            for records in reconciliation.answer(
                self.record, self.view, message.buckets, self.draw
            ):
                self._send(sender.address, records, sender.id)
        else:
            if there and self.join_state.stage in (JoinStage.IN, JoinStage.JOINING):
                self.local_health.hear(
                    now, sender.id, message.lost, message.digest == self.view.digest
                )
                self.reconciliation.hear(now, sender.id, message.digest == self.view.digest)
                if message.signal:
                    self.on_signal(
                        now,
                        sender.id,
                        message.signal >> SIGNAL_BITS,
                        message.signal & (1 << SIGNAL_BITS) - 1,
                    )
                for item in message.updates:
                    self._learn(now, item)
            elif self.join_state.stage is JoinStage.OUT:
                self.local_health.hear(now, sender.id, message.lost, False)
            elif (
                self.join_state.stage is JoinStage.ALONE
                and sender.address not in self.join_state.lately
            ):
                self.join_state.lately = [
                    *self.join_state.lately[-self.join_state.KNOWN :],
                    sender.address,
                ]
                self.join_state.next = now
            self._reply(now, sender, message)

    def _reply(self, now: int, sender: MemberRecord, message: Message) -> None:
        if isinstance(message, Ping):
            self._ack(sender, message.seq, self.id)
        elif isinstance(message, PingRequest):
            self.relays[seq := self._asking(message.target.id)] = (
                sender,
                message.seq,
                message.target.id,
            )
            if len(self.relays) > RELAYS:
                del self.relays[next(iter(self.relays))]
            self._send(
                message.target.address,
                Ping(self.record, seq, *self._whole(), self._signal()),
                message.target.id,
            )
        elif isinstance(message, Ack):
            relayed = self.relays.pop(message.seq, None)
            if relayed is not None and relayed[2] == message.subject:
                self._ack(relayed[0], relayed[1], message.subject)
            asked = self.askings.get(message.seq)
            if asked == message.subject and asked in self.edges:
                self.edges[asked].answer(now, message.seq, message.subject == sender.id)
            elif (
                asked in self.edges
                and message.subject == sender.id
                and asked in self.view.records
                and self.view.records[asked].address == sender.address
            ):
                self.edges[asked].refuse(now)  # another lives at that address

    def _ack(self, to: MemberRecord, seq: int, of: int) -> None:
        """An answer; who is taken for gone learns it with that."""
        known = self.view.gone.get(to.id)
        first = ()
        if known is not None and known[0].rank() >= to.rank():
            first = (StatusUpdate(to.id, known[0].version, known[0].status, self.id),)
        self._send(
            to.address, Ack(self.record, seq, of, *self._whole(first), self._signal()), to.id
        )

    def connection_refused(self, now: int, member: int) -> None:
        """Its machine says that nobody is at its address."""
        if member in self.edges:
            self.edges[member].refuse(now)

    # Coming in.

    def _greet(self, now: int, sender: MemberRecord) -> None:
        """Who knocks is told what is known of its name, and whom to ask."""
        self.greeted += 1
        if self.greeted > GREET or self.join_state.stage in (JoinStage.OUT, JoinStage.DISPLACED):
            return
        if sender.status is Status.ALIVE:  # of a fleet that formed apart
            self._meet(now, sender)
        if (
            self.join_state.stage is JoinStage.ALONE
            and sender.address not in self.join_state.lately
        ):
            self.join_state.lately = [
                *self.join_state.lately[-self.join_state.KNOWN :],
                sender.address,
            ]
            self.join_state.next = min(self.join_state.next, now)
        known = self.view.known(sender.id)
        records = ([known] if known is not None else []) + [self.record] + self._some(6, sender.id)
        self._send(
            sender.address,
            ViewRecords(self.record, (), tuple(records), True, reconciliation.BUCKETS),
            sender.id,
        )

    def _rows(self, now: int, message: ViewRecords) -> None:
        stage = self.join_state.stage
        if stage is JoinStage.OUT:
            return
        if stage in (JoinStage.ALONE, JoinStage.DISPLACED) and message.is_reply:
            known = next((record for record in message.records if record.id == self.id), None)
            record = self.join_state.welcomed(now, known)
            if record is None:
                if known is not None:  # is the other holder of this name there?
                    self._send(known.address, Ping(self.record, 0, 0, 0), self.id)
                return
            self._become(now, record)
        for record in message.records:
            self._learn(now, record)
        if message.is_reply:
            for records in reconciliation.missing(self.record, self.view, message.parts):
                self._send(message.sender.address, records, message.sender.id)
            if self.join_state.stage is JoinStage.IN and message.differing:
                self.reconciliation.hear(now, message.sender.id, False)
            record = self.join_state.read(now, message.differing)
            if record is not None:
                self._become(now, record)

    def _namesake(self, now: int, other: MemberRecord) -> None:
        """Another process under this name, and it is there.

        Who is in keeps the name; of two who are, the one with the higher number.
        """
        inside = self.join_state.stage in (JoinStage.IN, JoinStage.JOINING)
        if inside and (other.status is Status.JOINING or self.record.rank() > other.rank()):
            self._send(other.address, Gossip(self.record, self.view.digest, 0, ()), self.id)
        elif self.join_state.stage is not JoinStage.OUT:
            self.join_state.holder_answered()

    def _about_me(self, now: int, record: MemberRecord) -> None:
        """A row of this name: an earlier start of one's own, or another process."""
        if record.incarnation == self.record.incarnation:
            if record.status is Status.DEAD and record.version >= self.record.version:
                self._removed(now, record.version)
        elif record.rank() < self.record.rank():
            self.gossip.add(self.record)
        elif (
            not record.is_live()
            or record.address == self.record.address
            or self.join_state.outlived(now, record)
        ):
            self._become(now, self.join_state.above(record.version))
        else:
            self._send(record.address, Ping(self.record, 0, 0, 0), self.id)

    def _removed(self, now: int, version: int) -> None:
        if self.join_state.stage in (JoinStage.IN, JoinStage.JOINING):
            self.join_state.removed(
                now, version, [record.address for record in self.view.records.values()]
            )

    def _anew(self, now: int, record: MemberRecord) -> None:
        """In again after a removal: the others' view is taken, one's own is void."""
        self.view.clear(self.id)
        self.suspicions, self.gossip = SuspicionTally(), GossipQueue()
        self.edges.clear()
        self.matched = -1
        self.report = SuspicionReport(self.id, record.version, self.report_seq, False, ())
        self.view.merge(now, record)

    def _become(self, now: int, record: MemberRecord) -> None:
        self.join_state.record = record
        change = self.view.merge(now, record)
        if change is not None:
            self._changed(now, change, record)

    # News.

    def _meet(self, now: int, sender: MemberRecord) -> bool:
        """The sender's own row is news like any other.

        Whether it was of the view before: what others say is heard from members only, so that one
        who was removed brings nobody back.
        """
        there = sender.id in self.view.records
        if self.join_state.stage in (JoinStage.IN, JoinStage.JOINING):
            known = self.view.known(sender.id)
            if known is None or sender.rank() > known.rank():
                self._learn(now, sender)
        return there and sender.id in self.view.records

    def _learn(self, now: int, item: Update) -> None:
        if isinstance(item, SuspicionReport):
            self._reported(now, item)
        elif item.id == self.id:
            if isinstance(item, MemberRecord):
                self._about_me(now, item)
            elif item.status is Status.DEAD and (
                item.version >= self.record.version or self.local_health.failing > 0.5
            ):
                # An older number was contradicted; whose askings fail was not heard with that.
                self._removed(now, item.version)
        elif isinstance(item, MemberRecord):
            change = self.view.merge(now, item)
            if change is not None:
                self._changed(now, change, item)
            elif (gone := self.view.gone.get(item.id)) is not None and gone[0].rank() > item.rank():
                record = gone[0]  # whoever told this does not know yet
                self.gossip.add(StatusUpdate(record.id, record.version, record.status, self.id))
        else:
            change = self.view.mark(now, item)
            if change is not None:
                self._changed(now, change, item)

    def _changed(self, now: int, change: Change, item: Update) -> None:
        if not change.record.is_live():
            self.suspicions.drop(change.record.id)
            self.gossip.discard(("report", change.record.id))
            self.edges.pop(change.record.id, None)
        self.gossip.add(item)
        self.fresh = True
        by = self.view.known(change.update.decided_by) if change.update else None
        self.history.add(now, change, by.name if by else "-")
        for listener in self.listeners:
            listener(change)

    def _reported(self, now: int, report: SuspicionReport) -> None:
        record = self.view.records.get(report.observer)
        if report.observer == self.id or record is None or report.version < record.version:
            return
        if not self.suspicions.take(report):
            return
        self.gossip.add(report)
        for entry in report.suspicions:
            if (
                entry.id == self.id
                and entry.version >= self.record.version
                and self.join_state.refutes(now)
            ):
                self._become(now, self.join_state.refuted())

    # Leaving.

    def leave(self, now: int) -> None:
        """The drain begins: it still answers, and all know that it goes."""
        if self.join_state.stage in (JoinStage.IN, JoinStage.JOINING):
            self._become(now, self.record.with_status(Status.LEAVING))

    def announce_left(self, now: int) -> None:
        """The last thing it says; may be said more than once."""
        if self.join_state.stage in (JoinStage.IN, JoinStage.JOINING):
            record = self.record.with_status(Status.LEFT)
            told = {one.id for one in self._some(2 * PUSHED)} | self.view.rings.observers(self.id)
            for member in sorted(told):
                self._tell(member, (record,))

    # What is known, for others of this program.

    def size(self, now: int) -> SizeEstimate:
        inside = self.join_state.stage is JoinStage.IN
        return estimate_size(
            len(self.view),
            self.local_health.lost,
            now - self.local_health.heard,
            self.local_health.equal(),
            inside,
        )

    def state(self, now: int, record: MemberRecord) -> str:
        """How a member of the view stands.

        Its own status, or `suspect` where the rule will remove it if this lasts, or `unreachable`,
        from here or where too little of the fleet is seen to tell.
        """
        if record.status is not Status.ALIVE or record.id == self.id:
            return record.status.name.lower()
        count = self.suspicions.count(
            record.id, record.version, self.view.rings.observers(record.id)
        )
        if count.accusing and (count.refused_enough() or (count.enough() and self._sees_most(now))):
            return "suspect"
        edge = self.edges.get(record.id)
        here = edge is not None and (edge.verdict(now) is not None or edge.apart(now))
        return "unreachable" if here or (count.accusing and not self._sees_most(now)) else "alive"

    # Sending.

    def _some(self, most: int, but: int = 0) -> list[MemberRecord]:
        """Members drawn by chance, without oneself and `but`."""
        ids = self.view.order
        if not ids:
            return []
        found: dict[int, MemberRecord] = {}
        for _ in range(3 * most):
            member = ids[self.draw(len(ids))]
            if member not in (self.id, but):
                found[member] = self.view.records[member]
                if len(found) == most:
                    break
        return list(found.values())

    def _signal(self) -> int:
        return 0 if self.signal is None else self.turns << SIGNAL_BITS | self.signal

    def _whole(self, first: tuple[Update, ...] = ()) -> tuple[int, int, tuple[Update, ...]]:
        """What a message bears of the whole.

        The view's digest, the share lost, and news, some of it first.
        """
        news = first + tuple(x for x in self.gossip.pick(len(self.view.records)) if x not in first)
        return self.view.digest, self.local_health.word(), news

    def _tell(self, member: int, first: tuple[Update, ...]) -> None:
        record = self.view.records.get(member)
        if record is not None and member != self.id:
            self._send(
                record.address, Gossip(self.record, *self._whole(first), self._signal()), member
            )

    def _send(self, address: str, message: Message, to: int = 0) -> None:
        self.outgoing.append(OutgoingMessage(address, message, to))
