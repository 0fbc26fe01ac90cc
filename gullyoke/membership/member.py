"""One member: what it does at each turn and with each message.

Sends nothing itself: `take` hands out what is to be sent.

Called with the clock in whole microseconds: `tick` every TICK, `hear` for each message that
verified, `refused` where a machine says that nobody listens, `leave` and `left` at a drain's two
ends. No I/O, no clock, no chance but what is handed in.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from gullyoke.membership import compare
from gullyoke.membership.edge import PERIOD, Edge
from gullyoke.membership.entry import Entry, Stage
from gullyoke.membership.history import History
from gullyoke.membership.news import Queue
from gullyoke.membership.row import Entry as Accusation
from gullyoke.membership.row import Mark, News, Report, Row, Status
from gullyoke.membership.size import Size, sized
from gullyoke.membership.tally import Holding, Tally
from gullyoke.membership.trust import Trust
from gullyoke.membership.view import Change, View
from gullyoke.membership.words import (
    SIGNAL,
    Ack,
    Ask,
    Compare,
    Gossip,
    Hello,
    Message,
    Ping,
    Rows,
    Send,
)

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
        self, now: int, row: Row, seeds: tuple[str, ...], chance: random.Random, k: int = K
    ) -> None:
        self.id, self.view, self.tally = row.id, View(k), Tally()
        self.draw, self.sample = chance.randrange, chance.sample
        self.entry = Entry(now, row, seeds, chance.randrange, chance.sample)
        self.edges: dict[int, Edge] = {}
        self.trust, self.news, self.holding = Trust(now), Queue(), Holding()
        self.comparing, self.history = compare.Comparing(), History()
        self.relays: dict[int, tuple[Row, int, int]] = {}
        self.askings: dict[int, int] = {}
        self.out: list[Send] = []
        self.heed: list[Callable[[Change], None]] = []
        self.turns, self.signal = 0, None  # the word on how this one stands, if any
        self.signalled: Callable[[int, int, int, int], None] = lambda now, sender, turn, word: None
        self.seq = self.matched = self.greeted = self.report_seq = 0
        self.fresh, self.asked_read, self.accused_at, self.told_at = False, 0, 0, 0
        self.report = Report(self.id, row.number, 0, False, ())
        self.view.merge(now, row)
        if not [s for s in seeds if s != row.address]:
            self.entry.welcomed(now, None)  # the first of its fleet: nobody else is named
            self._become(now, self.entry.row)
            self._become(now, self.entry.read(now, 0))

    @property
    def row(self) -> Row:
        """One's own, as `entry` has it."""
        return self.entry.row

    def take(self) -> list[Send]:
        out, self.out = self.out, []
        return out

    # Turns.

    def tick(self, now: int) -> None:
        if self.trust.paused(now):
            self._woke(now)
        self.greeted = 0
        self.turns += 1
        self.view.forget(now)
        self._enter(now)
        self._match(now)
        self.trust.weigh(now, self.edges.values())
        self._ask(now)
        if self.entry.stage is Stage.IN:
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
        entry = self.entry
        if entry.stage is Stage.OUT:
            row = entry.back(now, self.trust.failing, not self.trust.deaf)
            if row is not None:
                self._anew(now, row)
        live = {row.address for row in self.view.rows.values()} if now >= entry.next else set()
        for address in entry.asks(now, live):
            self._send(address, Hello(self.row))
        if entry.stage is Stage.JOINING:
            row = entry.read(now, compare.BUCKETS)
            if row is not None:
                self._become(now, row)
            elif now - self.asked_read >= READING:
                self.asked_read = now
                for one in self._some(1):
                    self._send(one.address, Compare(self.row, tuple(self.view.buckets)), one.id)

    def _match(self, now: int) -> None:
        """The subjects are those that the view gives."""
        if self.matched == self.view.rings.version or self.entry.stage is not Stage.IN:
            return
        self.matched = self.view.rings.version
        subjects = self.view.rings.subjects(self.id)
        for gone in self.edges.keys() - subjects:
            del self.edges[gone]
        for new in sorted(subjects - self.edges.keys()):
            self.edges[new] = Edge(new, now + self.draw(PERIOD))

    def _ask(self, now: int) -> None:
        for edge in self.edges.values():
            doubt = edge.look(now)
            if not edge.due(now) or (row := self.view.rows.get(edge.id)) is None:
                continue
            seq = self._asking(edge.id)
            edge.ask(now, seq)
            self._send(row.address, Ping(self.row, seq, *self._whole(), self._signal()), row.id)
            if doubt:
                for helper in self._some(HELPERS, row.id):
                    self._send(helper.address, Ask(self.row, seq, row, *self._whole()), helper.id)

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
        unsure, entries = self.trust.unsure(now), []
        for edge in self.edges.values():
            kind, row = edge.verdict(now), self.view.rows.get(edge.id)
            if kind is not None and row is not None:
                entries.append(Accusation(row.id, row.number, kind))
        said = self.report
        changed = (unsure, tuple(entries)) != (
            said.unsure,
            said.entries,
        ) or said.number != self.row.number
        concerned = {e.id for e in entries} | {e.id for e in said.entries}
        if changed and (entries or said.entries or unsure or said.unsure):
            self.report_seq += 1
            self.report = Report(self.id, self.row.number, self.report_seq, unsure, tuple(entries))
            self.tally.take(self.report)
            self.news.add(self.report)
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
            [] if self.report.unsure else [e for e in self.report.entries if e.id in self.view.rows]
        )
        self.holding.only(e.id for e in accused)
        for entry in accused:
            row = self.view.rows[entry.id]
            count = self.tally.count(row.id, row.number, self.view.rings.observers(row.id))
            if self.holding.passed(now, row.id, count, lambda: self._sees_most(now)):
                mark = Mark(
                    row.id, row.number, Status.DEAD, self.id, count.accusing, count.standing
                )
                self._tell(row.id, (mark,))  # who hears and is not heard learns why nobody asks
                self._learn(now, mark)

    def _sees_most(self, now: int) -> bool:
        return self.trust.sees_most(
            self.tally.several, self.view.removed_lately(now), len(self.view.rings)
        )

    def _push(self, now: int) -> None:
        if self.fresh:
            self.fresh = False
            for one in self._some(PUSHED):
                self._tell(one.id, ())

    def _compare(self, now: int) -> None:
        if self.entry.stage is Stage.IN and self.comparing.due(now):
            peer = self.view.rows.get(self.comparing.peer)
            if peer is not None:
                self._send(peer.address, Compare(self.row, tuple(self.view.buckets)), peer.id)

    # Messages.

    def hear(self, now: int, message: Message) -> None:
        sender = message.row
        if sender.id == self.id:
            if sender.life != self.row.life:
                self._namesake(now, sender)
            return
        if isinstance(message, Hello):
            self._greet(now, sender)
            return
        there = self._meet(now, sender)
        if isinstance(message, Rows):
            self._rows(now, message)
        elif isinstance(message, Compare):
            for rows in compare.answer(self.row, self.view, message.buckets, self.draw):
                self._send(sender.address, rows, sender.id)
        else:
            if there and self.entry.stage in (Stage.IN, Stage.JOINING):
                self.trust.hear(now, sender.id, message.lost, message.digest == self.view.digest)
                self.comparing.hear(now, sender.id, message.digest == self.view.digest)
                if message.signal:
                    self.signalled(
                        now, sender.id, message.signal >> SIGNAL, message.signal & (1 << SIGNAL) - 1
                    )
                for item in message.news:
                    self._learn(now, item)
            elif self.entry.stage is Stage.OUT:
                self.trust.hear(now, sender.id, message.lost, False)
            elif self.entry.stage is Stage.ALONE and sender.address not in self.entry.lately:
                self.entry.lately = [*self.entry.lately[-self.entry.KNOWN :], sender.address]
                self.entry.next = now
            self._reply(now, sender, message)

    def _reply(self, now: int, sender: Row, message: Message) -> None:
        if isinstance(message, Ping):
            self._ack(sender, message.seq, self.id)
        elif isinstance(message, Ask):
            self.relays[seq := self._asking(message.target.id)] = (
                sender,
                message.seq,
                message.target.id,
            )
            if len(self.relays) > RELAYS:
                del self.relays[next(iter(self.relays))]
            self._send(
                message.target.address,
                Ping(self.row, seq, *self._whole(), self._signal()),
                message.target.id,
            )
        elif isinstance(message, Ack):
            relayed = self.relays.pop(message.seq, None)
            if relayed is not None and relayed[2] == message.of:
                self._ack(relayed[0], relayed[1], message.of)
            asked = self.askings.get(message.seq)
            if asked == message.of and asked in self.edges:
                self.edges[asked].answer(now, message.seq, message.of == sender.id)
            elif (
                asked in self.edges
                and message.of == sender.id
                and asked in self.view.rows
                and self.view.rows[asked].address == sender.address
            ):
                self.edges[asked].refuse(now)  # another lives at that address

    def _ack(self, to: Row, seq: int, of: int) -> None:
        """An answer; who is taken for gone learns it with that."""
        known = self.view.gone.get(to.id)
        first = ()
        if known is not None and known[0].rank() >= to.rank():
            first = (Mark(to.id, known[0].number, known[0].status, self.id),)
        self._send(to.address, Ack(self.row, seq, of, *self._whole(first), self._signal()), to.id)

    def refused(self, now: int, member: int) -> None:
        """Its machine says that nobody is at its address."""
        if member in self.edges:
            self.edges[member].refuse(now)

    # Coming in.

    def _greet(self, now: int, sender: Row) -> None:
        """Who knocks is told what is known of its name, and whom to ask."""
        self.greeted += 1
        if self.greeted > GREET or self.entry.stage in (Stage.OUT, Stage.DISPLACED):
            return
        if sender.status is Status.ALIVE:  # of a fleet that formed apart
            self._meet(now, sender)
        if self.entry.stage is Stage.ALONE and sender.address not in self.entry.lately:
            self.entry.lately = [*self.entry.lately[-self.entry.KNOWN :], sender.address]
            self.entry.next = min(self.entry.next, now)
        known = self.view.known(sender.id)
        rows = ([known] if known is not None else []) + [self.row] + self._some(6, sender.id)
        self._send(
            sender.address, Rows(self.row, (), tuple(rows), True, compare.BUCKETS), sender.id
        )

    def _rows(self, now: int, message: Rows) -> None:
        stage = self.entry.stage
        if stage is Stage.OUT:
            return
        if stage in (Stage.ALONE, Stage.DISPLACED) and message.asked:
            known = next((row for row in message.rows if row.id == self.id), None)
            row = self.entry.welcomed(now, known)
            if row is None:
                if known is not None:  # is the other holder of this name there?
                    self._send(known.address, Ping(self.row, 0, 0, 0), self.id)
                return
            self._become(now, row)
        for row in message.rows:
            self._learn(now, row)
        if message.asked:
            for rows in compare.missing(self.row, self.view, message.parts):
                self._send(message.row.address, rows, message.row.id)
            if self.entry.stage is Stage.IN and message.differ:
                self.comparing.hear(now, message.row.id, False)
            row = self.entry.read(now, message.differ)
            if row is not None:
                self._become(now, row)

    def _namesake(self, now: int, other: Row) -> None:
        """Another process under this name, and it is there.

        Who is in keeps the name; of two who are, the one with the higher number.
        """
        inside = self.entry.stage in (Stage.IN, Stage.JOINING)
        if inside and (other.status is Status.JOINING or self.row.rank() > other.rank()):
            self._send(other.address, Gossip(self.row, self.view.digest, 0, ()), self.id)
        elif self.entry.stage is not Stage.OUT:
            self.entry.holder_answered()

    def _about_me(self, now: int, row: Row) -> None:
        """A row of this name: an earlier start of one's own, or another process."""
        if row.life == self.row.life:
            if row.status is Status.DEAD and row.number >= self.row.number:
                self._removed(now, row.number)
        elif row.rank() < self.row.rank():
            self.news.add(self.row)
        elif not row.live() or row.address == self.row.address or self.entry.outlived(now, row):
            self._become(now, self.entry.above(row.number))
        else:
            self._send(row.address, Ping(self.row, 0, 0, 0), self.id)

    def _removed(self, now: int, number: int) -> None:
        if self.entry.stage in (Stage.IN, Stage.JOINING):
            self.entry.removed(now, number, [row.address for row in self.view.rows.values()])

    def _anew(self, now: int, row: Row) -> None:
        """In again after a removal: the others' view is taken, one's own is void."""
        self.view.clear(self.id)
        self.tally, self.news = Tally(), Queue()
        self.edges.clear()
        self.matched = -1
        self.report = Report(self.id, row.number, self.report_seq, False, ())
        self.view.merge(now, row)

    def _become(self, now: int, row: Row) -> None:
        self.entry.row = row
        change = self.view.merge(now, row)
        if change is not None:
            self._changed(now, change, row)

    # News.

    def _meet(self, now: int, sender: Row) -> bool:
        """The sender's own row is news like any other.

        Whether it was of the view before: what others say is heard from members only, so that one
        who was removed brings nobody back.
        """
        there = sender.id in self.view.rows
        if self.entry.stage in (Stage.IN, Stage.JOINING):
            known = self.view.known(sender.id)
            if known is None or sender.rank() > known.rank():
                self._learn(now, sender)
        return there and sender.id in self.view.rows

    def _learn(self, now: int, item: News) -> None:
        if isinstance(item, Report):
            self._reported(now, item)
        elif item.id == self.id:
            if isinstance(item, Row):
                self._about_me(now, item)
            elif item.status is Status.DEAD and (
                item.number >= self.row.number or self.trust.failing > 0.5
            ):
                # An older number was contradicted; whose askings fail was not heard with that.
                self._removed(now, item.number)
        elif isinstance(item, Row):
            change = self.view.merge(now, item)
            if change is not None:
                self._changed(now, change, item)
            elif (gone := self.view.gone.get(item.id)) is not None and gone[0].rank() > item.rank():
                row = gone[0]  # whoever told this does not know yet
                self.news.add(Mark(row.id, row.number, row.status, self.id))
        else:
            change = self.view.mark(now, item)
            if change is not None:
                self._changed(now, change, item)

    def _changed(self, now: int, change: Change, item: News) -> None:
        if not change.row.live():
            self.tally.drop(change.row.id)
            self.news.discard(("report", change.row.id))
            self.edges.pop(change.row.id, None)
        self.news.add(item)
        self.fresh = True
        by = self.view.known(change.mark.by) if change.mark else None
        self.history.add(now, change, by.name if by else "-")
        for heed in self.heed:
            heed(change)

    def _reported(self, now: int, report: Report) -> None:
        row = self.view.rows.get(report.observer)
        if report.observer == self.id or row is None or report.number < row.number:
            return
        if not self.tally.take(report):
            return
        self.news.add(report)
        for entry in report.entries:
            if entry.id == self.id and entry.number >= self.row.number and self.entry.refutes(now):
                self._become(now, self.entry.refuted())

    # Leaving.

    def leave(self, now: int) -> None:
        """The drain begins: it still answers, and all know that it goes."""
        if self.entry.stage in (Stage.IN, Stage.JOINING):
            self._become(now, self.row.now(Status.LEAVING))

    def left(self, now: int) -> None:
        """The last thing it says; may be said more than once."""
        if self.entry.stage in (Stage.IN, Stage.JOINING):
            row = self.row.now(Status.LEFT)
            told = {one.id for one in self._some(2 * PUSHED)} | self.view.rings.observers(self.id)
            for member in sorted(told):
                self._tell(member, (row,))

    # What is known, for others of this program.

    def size(self, now: int) -> Size:
        inside = self.entry.stage is Stage.IN
        return sized(
            len(self.view), self.trust.lost, now - self.trust.heard, self.trust.equal(), inside
        )

    def state(self, now: int, row: Row) -> str:
        """How a member of the view stands.

        Its own status, or `suspect` where the rule will remove it if this lasts, or `unreachable`,
        from here or where too little of the fleet is seen to tell.
        """
        if row.status is not Status.ALIVE or row.id == self.id:
            return row.status.name.lower()
        count = self.tally.count(row.id, row.number, self.view.rings.observers(row.id))
        if count.accusing and (count.refused_enough() or (count.enough() and self._sees_most(now))):
            return "suspect"
        edge = self.edges.get(row.id)
        here = edge is not None and (edge.verdict(now) is not None or edge.apart(now))
        return "unreachable" if here or (count.accusing and not self._sees_most(now)) else "alive"

    # Sending.

    def _some(self, most: int, but: int = 0) -> list[Row]:
        """Members drawn by chance, without oneself and `but`."""
        ids = self.view.order
        if not ids:
            return []
        found: dict[int, Row] = {}
        for _ in range(3 * most):
            member = ids[self.draw(len(ids))]
            if member not in (self.id, but):
                found[member] = self.view.rows[member]
                if len(found) == most:
                    break
        return list(found.values())

    def _signal(self) -> int:
        return 0 if self.signal is None else self.turns << SIGNAL | self.signal

    def _whole(self, first: tuple[News, ...] = ()) -> tuple[int, int, tuple[News, ...]]:
        """What a message bears of the whole.

        The view's digest, the share lost, and news, some of it first.
        """
        news = first + tuple(x for x in self.news.pick(len(self.view.rows)) if x not in first)
        return self.view.digest, self.trust.word(), news

    def _tell(self, member: int, first: tuple[News, ...]) -> None:
        row = self.view.rows.get(member)
        if row is not None and member != self.id:
            self._send(row.address, Gossip(self.row, *self._whole(first), self._signal()), member)

    def _send(self, address: str, message: Message, to: int = 0) -> None:
        self.out.append(Send(address, message, to))
