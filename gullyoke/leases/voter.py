"""One voter: which life holds which duty under which epoch, by its word.

A promise is durable before it is told: an answer that rests on a new one goes out with a `Write`,
and only once that is on the disk. Renewing an epoch writes nothing. A voter that starts with its
promises waits out what it may have granted; one that starts without (a fresh folder, one of an
older copy) also learns, after that wait, the epochs of so many others that no majority can have
been without one of them, and writes them down, before its word counts again. One whose disk does
not take what it promises grants nothing new.

The lease itself is Gray's and Cheriton's (1989); epochs granted once by a majority, Paxos' (Lamport
1998); no word for another while a lease runs, and asking before one asks, Raft's stickiness and
pre-vote (Ongaro 2014); epochs that acts carry, Chubby's sequencers (Burrows 2006).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from gullyoke.leases.durations import LeaseDurations
from gullyoke.leases.messages import (
    NOBODY,
    EpochQuery,
    EpochReply,
    LeaseRelease,
    LeaseRequest,
    PreVote,
    VoteReply,
)

DUTIES = 64  # rows that are kept; there are a few
LEARN_AGAIN = 500_000  # between two askings of the others
# for so long a duty that was passed on is kept for whom it was passed to
FAVOUR = 1_000_000


class Promise(NamedTuple):
    """What is promised of a duty, as it lies on the disk."""

    epoch: int
    life: int
    name: str


NO_PROMISE = Promise(0, NOBODY, "")


class PromiseWrite(NamedTuple):
    """Make this row durable, then tell `written`."""

    duty: str
    row: Promise
    then: VoteReply | None


class PreferredSuccessor(NamedTuple):
    name: str
    until: int


class Voter:
    """`rows` is what the disk has; None where it has nothing of ours (a fresh folder).

    `others` are the other voters' names. Tables: `rows`, `until` and `favour`, one row a duty,
    DUTIES at the most, kept for good: they are what voting is; `pending`, writes that are on their
    way, one a duty.
    """

    def __init__(
        self,
        now: int,
        name: str,
        life: int,
        others: Iterable[str],
        spans: LeaseDurations,
        rows: Mapping[str, Promise] | None,
        voters: int = 1,
    ) -> None:
        self.name, self.life, self.others, self.spans = name, life, frozenset(others), spans
        self.rows: dict[str, Promise] = dict(rows or {})
        self.fresh = rows is None
        # what it may have granted before this start is over then
        self.mute = now + spans.surely(spans.lease)
        self.until: dict[str, int] = {}
        self.favour: dict[str, PreferredSuccessor] = {}
        self.pending: dict[str, PromiseWrite] = {}
        self.heard: dict[str, tuple[tuple[str, int, int, str], ...]] = {}
        self.new: set[str] = set()  # others that are fresh as well
        self.round, self.next, self.well, self.voters = 0, 0, True, voters
        self.tried = now  # when a disk that failed was last tried
        self.refused = 0  # how often the disk failed a promise

    def set_others(self, others: Iterable[str], voters: int) -> None:
        """Another set of voters, one more or fewer.

        What it has promised stays; one that is still learning asks the new others.
        """
        self.others, self.voters = frozenset(others), voters
        self.heard.clear()
        self.new.clear()

    # Who may speak.

    def speaks(self, now: int) -> bool:
        """Whether its word counts."""
        return now >= self.mute and not self.fresh

    def enough(self) -> int:
        """How many of the others cover every majority that this voter may have been in."""
        whole = len(self.others) + 1
        majority = whole // 2 + 1
        return len(self.others) - (majority - 1) + 1

    def learns(self, now: int) -> EpochQuery | None:
        """What a fresh voter asks all others, once the wait is over."""
        if not self.fresh or now < max(self.mute, self.next):
            return None
        self.round, self.next = self.round + 1, now + LEARN_AGAIN
        self.heard.clear()
        self.new.clear()
        return EpochQuery(self.name, self.life, self.round)

    def teach(self, now: int, learn: EpochQuery) -> EpochReply | None:
        """What this one has promised; one that is fresh as well says just that."""
        if learn.by not in self.others:
            return None
        rows = () if self.fresh else tuple((duty, *row) for duty, row in sorted(self.rows.items()))
        return EpochReply(self.name, learn.round, rows, self.fresh)

    def learned(self, now: int, said: EpochReply) -> list[PromiseWrite]:
        """What is to be written down, once enough of the others have said what they know.

        It is fresh until all of that is durable. Where all of the others have spoken and some are
        fresh, the fleet is new, or more is lost than can be told: they begin, and candidates take
        epochs above all that there can have been (Candidate.above).
        """
        if not self.fresh or said.round != self.round or said.by not in self.others:
            return []
        if said.fresh:
            self.new.add(said.by)
        else:
            self.heard[said.by] = said.epochs
        if len(self.heard) < self.enough() and self.heard.keys() | self.new != self.others:
            return []
        known: dict[str, Promise] = {}
        for epochs in self.heard.values():
            for duty, *promised in epochs[:DUTIES]:
                row, was = Promise(*promised), known.get(duty, NO_PROMISE)
                # Where all who know the newest epoch say the same, nobody else can have had it;
                # else nothing is

                # granted under it here again.
                if row.epoch > was.epoch or duty not in known:
                    known[duty] = row
                elif row.epoch == was.epoch and row.life != was.life:
                    known[duty] = Promise(row.epoch, NOBODY, "")
        self.heard.clear()
        self.round += 1  # one word more starts it anew, should a write fail
        if not known:
            self.fresh = False
        return [PromiseWrite(duty, row, None) for duty, row in known.items()]

    def taken(self, write: PromiseWrite, last: bool) -> None:
        """A row that was learned is durable; `last` of them: it votes from now on."""
        self.rows[write.duty] = write.row
        if last:
            self.fresh = False

    # Asked for a grant.

    def sound(self, now: int, sound: PreVote) -> VoteReply:
        would = self._would(now, sound.duty, sound.life, sound.name)
        return self._said(now, sound.duty, sound.life, sound.round, would, False)

    def ask(self, now: int, ask: LeaseRequest) -> VoteReply | PromiseWrite | None:
        """The answer, or what must be durable before it.

        None while a promise of that duty is on its way.
        """
        row = self.rows.get(ask.duty, NO_PROMISE)
        if ask.duty in self.pending:
            return None
        same = (row.epoch, row.life) == (ask.epoch, ask.life) and ask.voters == self.voters
        if same and not self.fresh:  # renewed, or asked twice: it is durable already
            self._grant(now, ask.duty)
            return self._said(now, ask.duty, ask.life, ask.round, True, True)
        yes = (
            ask.epoch > row.epoch
            and ask.voters == self.voters
            and self._would(now, ask.duty, ask.life, ask.name)
        )
        if not yes or (len(self.rows) >= DUTIES and ask.duty not in self.rows):
            return self._said(now, ask.duty, ask.life, ask.round, False, True)
        promised = Promise(ask.epoch, ask.life, ask.name)
        self.pending[ask.duty] = PromiseWrite(
            ask.duty,
            promised,
            VoteReply(
                ask.duty,
                ask.life,
                ask.round,
                self.name,
                True,
                True,
                ask.epoch,
                ask.life,
                ask.name,
                self.spans.lease,
                self.voters,
            ),
        )
        return self.pending[ask.duty]

    def written(self, now: int, write: PromiseWrite, durable: bool) -> VoteReply | None:
        """What to tell once the disk has spoken.

        Where it failed, what it holds now is not known: the epoch is taken for promised, to nobody,
        and the next try must be above it.
        """
        if self.pending.get(write.duty) is not write:
            return None
        del self.pending[write.duty]
        self.well = durable
        if not durable:
            self.refused += 1
            self.rows[write.duty] = Promise(write.row.epoch, NOBODY, "")
            return write.then and write.then._replace(yes=False, life=NOBODY, name="", left=0)
        self.rows[write.duty] = write.row
        self._grant(now, write.duty)
        return write.then

    def done(self, now: int, done: LeaseRelease) -> None:
        """The holder has let go."""
        row = self.rows.get(done.duty)
        if row is None or (row.epoch, row.life) != (done.epoch, done.life):
            return
        self.until[done.duty] = now
        if done.next:
            self.favour[done.duty] = PreferredSuccessor(done.next, now + FAVOUR)

    def _would(self, now: int, duty: str, life: int, name: str) -> bool:
        row = self.rows.get(duty, NO_PROMISE)
        if not self.speaks(now) or (not self.well and not self._again(now)):
            return False
        favoured = self.favour.get(duty)
        if name and favoured is not None and now < favoured.until and favoured.name != name:
            return False
        return now >= self.until.get(duty, 0) or row.life == life

    def _again(self, now: int) -> bool:
        """A disk that failed is tried again with the next promise, once a lease."""
        if now - self.tried < self.spans.lease:
            return False
        self.tried = now
        return True

    def _grant(self, now: int, duty: str) -> None:
        self.until[duty] = now + self.spans.surely(self.spans.lease)

    def _said(self, now: int, duty: str, to: int, round_: int, yes: bool, asked: bool) -> VoteReply:
        row = self.rows.get(duty, NO_PROMISE)
        left = max(0, self.until.get(duty, 0) - now)
        return VoteReply(
            duty,
            to,
            round_,
            self.name,
            yes,
            asked,
            row.epoch,
            row.life if left else NOBODY,
            row.name if left else "",
            left,
            self.voters,
        )
