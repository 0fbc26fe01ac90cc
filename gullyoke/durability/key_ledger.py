"""The notes of one life of a server.

What must be on the disk before a req runs and before its answer goes out, and what is done where it
does not come to be.

    asked --note--> NOTING --durable--> NOTED (runs) --end--> ENDING --durable--> ENDED (answered)
                      |                   (BARE: runs without a note, where the operator says go on)
                      +--failed, or not in time--> LEFT: it does not run, and what may lie there is to go

A word of the disk that comes after a req was given up starts nothing. Which words can cross which
is walked through in gullyoke/model_checking/key_ledger.py.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from gullyoke.durability.key_record import BARE, Note, Phase, Verdict, judged, recovered
from gullyoke.durability.pending_writes import Waits


class Without(Enum):
    """What is done where the disk can't promise in time.

    `SHED`, the req is turned away unrun, or errored where it has run; `GO_ON`, it runs and is
    answered without the promise.
    """

    SHED = "shed"
    GO_ON = "go on"


class Do(Enum):
    RUN = "run"  # give the run
    UNRUN = "unrun"  # it was not and will not be run
    KNOWN = "known"  # it may have run before: errored
    END = "end"  # tell how the run ended, as it did
    UNKNOWN = "unknown"  # tell that it errored: its end is not on the disk


class Act(NamedTuple):
    do: Do
    key: str


class Put(NamedTuple):
    """Make this durable (None: take it out), then tell `written` with its number."""

    key: str
    note: Note | None
    number: int


class Stage(Enum):
    NOTING = "noting"
    NOTED = "noted"
    BARE = "bare"
    ENDING = "ending"
    ENDED = "ended"
    LEFT = "left"


class Row:
    """`number` is that of the last write that counts.

    `began`, when the one that is out was asked for; `told`, whether the end of the run was told;
    `due`, by when its answer must go out.
    """

    __slots__ = ("began", "due", "note", "number", "stage", "told")

    def __init__(self, stage: Stage, note: Note, number: int, began: int, due: int) -> None:
        self.stage, self.note, self.number, self.began, self.due = stage, note, number, began, due
        self.told = False


class Ledger:
    """Tables: `rows`, one a key, `most` bytes of notes and results together.

    No req that needs another is run with a promise. A row leaves when its window is over
    (`expire`), or when its req was left unrun and that is on the disk. `ends`, a heap of rows by
    the ends of their windows, which they leave then; `results`, keys in the order of their ends,
    left when the result is given up or the window is over. `out`, writes on their way, by number,
    in the order of asking; each leaves with the disk's word. `bare` counts runs without a promise,
    `lost` ends that are not on the disk.
    """

    def __init__(self, life: int, without: Without, most: int) -> None:
        self.life, self.without, self.most, self.waits = life, without, most, Waits()
        self.rows: dict[str, Row] = {}
        self.out: dict[int, str] = {}
        self.ends: list[tuple[int, str]] = []
        self.results: deque[str] = deque()
        self.bytes = self.count = 0
        self.bare = self.lost = self.refused = 0

    def recover(self, now: int, found: Iterable[tuple[str, Note]]) -> list[str]:
        """What the disk had at the start; the keys whose window is over, to be taken out."""
        past = []
        for key, note in found:
            if judged(note, now) is Verdict.RUNS:
                past.append(key)
                continue
            stage = Stage.ENDED if note.phase is Phase.ENDED else Stage.NOTED
            if self.bytes + note.size() > self.most:  # the result goes, the note stays
                note = note._replace(status=0, fields=(), body=b"")
            self._put_row(key, Row(stage, recovered(note, now), 0, now, now))
            if note.status:
                self.results.append(key)
        return past

    # A req's path.

    def past(self, now: int, key: str) -> Note | None:
        """What is known of an earlier req of this key that is no longer in hand.

        None where it may run.
        """
        row = self.rows.get(key)
        if row is None or row.stage is Stage.LEFT or judged(row.note, now) is Verdict.RUNS:
            return None
        return row.note

    def asked(
        self, now: int, key: str, arrived: int, until: int, due: int, run: float, takes: bool
    ) -> Put | Act:
        """A req is to run: `run` is how long that usually takes, `takes` whether the disk is fit
        for a promise.
        """
        if self.past(now, key) is not None:
            return Act(Do.KNOWN, key)
        note = Note(Phase.NOTED, self.life, arrived, until)
        if (
            not takes
            or self.bytes + note.size() > self.most
            or not self.waits.in_time(now, due, run)
        ):
            return self._without(now, key, note, due)
        self._put_row(key, Row(Stage.NOTING, note, 0, now, due))
        return self._write(now, key, note)

    def unqueued(self, now: int, put: Put) -> Act | None:
        """A write could not even be queued."""
        row = self._back(now, put, False)
        if row is None:
            return None
        if row.stage is Stage.NOTING:
            note, due = row.note, row.due
            self._drop(put.key)
            return self._without(now, put.key, note, due)
        if row.stage is Stage.ENDING:
            row.stage = Stage.NOTED
            return self._unended(row, put.key)
        if row.stage is Stage.LEFT:  # what lies there is taken for unknown after a restart
            self._drop(put.key)
        return None

    def written(self, now: int, put: Put, durable: bool) -> Act | Put | None:
        """The disk's word on a write. One that is not the row's last counts for nothing."""
        row = self._back(now, put, durable)
        if row is None:
            return None
        if row.stage is Stage.NOTING:
            if durable:
                row.stage = Stage.NOTED
                return Act(Do.RUN, put.key)
            row.stage = Stage.LEFT
            return Act(Do.UNRUN, put.key)  # `left` takes out what may lie there
        if row.stage is Stage.ENDING:
            if not durable:
                row.stage = Stage.NOTED
                return self._unended(row, put.key)
            row.stage = Stage.ENDED
            self.results.append(put.key)
            told, row.told = row.told, True
            return None if told else Act(Do.END, put.key)
        if row.stage is Stage.LEFT and put.note is None:
            self._drop(put.key)
        return None

    def left(self, now: int, key: str) -> Put | None:
        """Its req ended without a run: what may lie on the disk is to go."""
        row = self.rows.get(key)
        if row is None or row.stage in (Stage.ENDED, Stage.ENDING):
            return None
        if row.stage is Stage.BARE:
            self._drop(key)
            return None
        row.stage = Stage.LEFT  # behind its note, should that be on its way: in order
        return self._write(now, key, None)

    def ended(
        self,
        now: int,
        key: str,
        status: int,
        fields: tuple[tuple[str, str], ...],
        body: bytes,
        takes: bool,
    ) -> Put | Act:
        """Its run is over; `status` 0 where that is not known or it failed."""
        row = self.rows.get(key)
        if row is None:
            return Act(Do.END, key)
        note = row.note._replace(phase=Phase.ENDED, status=status, fields=fields, body=body)
        if self.bytes + note.size() - row.note.size() > self.most:
            note = note._replace(status=0, fields=(), body=b"")
        if row.stage is Stage.BARE:  # known while this life lasts
            self.bytes += note.size() - row.note.size()
            row.stage, row.note, row.told = Stage.ENDED, note, True
            return Act(Do.END, key)
        if not takes:
            row.stage = Stage.NOTED
            return self._unended(row, key)
        self.bytes += note.size() - row.note.size()
        row.stage, row.note, row.began = Stage.ENDING, note, now
        return self._write(now, key, note)

    def overdue(self, now: int) -> list[Act]:
        """Those whose write has taken too long: it is not waited for any more.

        What it comes to is still heard.
        """
        acts = []
        for number, key in self.out.items():
            row = self.rows.get(key)
            if (
                row is None
                or row.number != number
                or not self.waits.overdue(now, row.began, row.due)
            ):
                continue
            if row.stage is Stage.NOTING:
                row.stage = Stage.LEFT
                acts.append(Act(Do.UNRUN, key))
            elif row.stage is Stage.ENDING and not row.told:
                acts.append(self._unended(row, key))
        return acts

    def expire(self, now: int) -> list[str]:
        """The keys whose window is over; with them go their records.

        One that is running stays until it has ended, and is looked at again a second later.
        """
        past = []
        while self.ends and self.ends[0][0] < now:
            until, key = heapq.heappop(self.ends)
            row = self.rows.get(key)
            if row is None or (row.note.until > until and row.note.until >= now):
                continue  # gone, or noted anew since
            if self._over(row):
                self._drop(key)
                past.append(key)
            else:
                heapq.heappush(self.ends, (now + 1_000_000, key))
        while self.results and self.results[0] not in self.rows:
            self.results.popleft()
        return past

    def _over(self, row: Row) -> bool:
        other = row.note.life != self.life  # of an earlier start: it does not run here
        return row.stage is Stage.ENDED or (row.stage is Stage.NOTED and (row.told or other))

    def forget_others(self) -> list[str]:
        """What earlier starts noted is believed no more; the keys, to be taken out."""
        past = [key for key, row in self.rows.items() if row.note.life != self.life]
        for key in past:
            self._drop(key)
        return past

    def sizes(self) -> tuple[int, int]:
        """Bytes of notes and of results."""
        notes = len(self.rows) * BARE
        return notes, max(0, self.bytes - notes)

    def shrink(self, now: int, need: int) -> list[Put]:
        """Results given up for so many bytes of room, the oldest first; their notes stay."""
        puts = []
        while need > 0 and self.results:
            key = self.results.popleft()
            row = self.rows.get(key)
            if row is None or row.stage is not Stage.ENDED or not row.note.status:
                continue
            bare = row.note._replace(status=0, fields=(), body=b"")
            freed = row.note.size() - bare.size()
            need, self.bytes = need - max(1, freed), self.bytes - freed
            row.note = bare
            puts.append(self._write(now, key, bare))
        return puts

    # Inside.

    def _without(self, now: int, key: str, note: Note, due: int) -> Act:
        if self.without is Without.SHED:
            self.refused += 1
            return Act(Do.UNRUN, key)
        self.bare += 1
        if self.bytes + note.size() <= self.most:  # else it runs and is not known afterwards
            self._put_row(key, Row(Stage.BARE, note, 0, now, due))
        return Act(Do.RUN, key)

    def _unended(self, row: Row, key: str) -> Act | None:
        """Its end is not on the disk, or not yet: told once."""
        told, row.told = row.told, True
        if told:
            return None
        self.lost += 1
        return Act(Do.END if self.without is Without.GO_ON else Do.UNKNOWN, key)

    def _write(self, now: int, key: str, note: Note | None) -> Put:
        self.count += 1
        self.rows[key].number, self.out[self.count] = self.count, key
        self.waits.began(now, self.count)
        return Put(key, note, self.count)

    def _back(self, now: int, put: Put, durable: bool) -> Row | None:
        """The row that a write is the last one of."""
        self.out.pop(put.number, None)
        self.waits.ended(now, put.number, durable)
        row = self.rows.get(put.key)
        return row if row is not None and row.number == put.number else None

    def _put_row(self, key: str, row: Row) -> None:
        self._drop(key)
        self.rows[key] = row
        self.bytes += row.note.size()
        heapq.heappush(self.ends, (row.note.until, key))

    def _drop(self, key: str) -> None:
        row = self.rows.pop(key, None)
        if row is not None:
            self.bytes -= row.note.size()
