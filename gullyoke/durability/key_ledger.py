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

from gullyoke.durability.key_record import (
    BARE,
    DuplicateVerdict,
    KeyRecord,
    RunPhase,
    judge_record,
    recovered_record,
)
from gullyoke.durability.pending_writes import PendingWrites


class UndurablePolicy(Enum):
    """What is done where the disk can't promise in time.

    `SHED`, the req is turned away unrun, or errored where it has run; `GO_ON`, it runs and is
    answered without the promise.
    """

    REJECT = "shed"
    RUN_ANYWAY = "go on"


class ActionKind(Enum):
    RUN = "run"  # give the run
    REJECT = "unrun"  # it was not and will not be run
    REPORT_DUPLICATE = "known"  # it may have run before: errored
    REPORT_END = "end"  # tell how the run ended, as it did
    REPORT_UNKNOWN = "unknown"  # tell that it errored: its end is not on the disk


class LedgerAction(NamedTuple):
    kind: ActionKind
    key: str


class RecordWrite(NamedTuple):
    """Make this durable (None: take it out), then tell `written` with its number."""

    key: str
    note: KeyRecord | None
    number: int


class KeyStage(Enum):
    RECORDING_START = "noting"
    RUNNING = "noted"
    RUNNING_UNRECORDED = "bare"
    RECORDING_END = "ending"
    ENDED = "ended"
    ABANDONED = "left"


class Row:
    """`number` is that of the last write that counts.

    `began`, when the one that is out was asked for; `told`, whether the end of the run was told;
    `due`, by when its answer must go out.
    """

    __slots__ = ("began", "due", "note", "number", "stage", "told")

    def __init__(self, stage: KeyStage, note: KeyRecord, number: int, began: int, due: int) -> None:
        self.stage, self.note, self.number, self.began, self.due = stage, note, number, began, due
        self.told = False


class KeyLedger:
    """Tables: `rows`, one a key, `most` bytes of notes and results together.

    No req that needs another is run with a promise. A row leaves when its window is over
    (`expire`), or when its req was left unrun and that is on the disk. `ends`, a heap of rows by
    the ends of their windows, which they leave then; `results`, keys in the order of their ends,
    left when the result is given up or the window is over. `out`, writes on their way, by number,
    in the order of asking; each leaves with the disk's word. `bare` counts runs without a promise,
    `lost` ends that are not on the disk.
    """

    def __init__(self, life: int, without: UndurablePolicy, most: int) -> None:
        self.incarnation, self.policy, self.max_bytes, self.pending_writes = (
            life,
            without,
            most,
            PendingWrites(),
        )
        self.rows: dict[str, Row] = {}
        self.writes_in_flight: dict[int, str] = {}
        self.ends: list[tuple[int, str]] = []
        self.results: deque[str] = deque()
        self.size_bytes = self.count = 0
        self.unrecorded_runs = self.unrecorded_ends = self.rejected = 0

    def recover(self, now: int, found: Iterable[tuple[str, KeyRecord]]) -> list[str]:
        """What the disk had at the start; the keys whose window is over, to be taken out."""
        past = []
        for key, note in found:
            if judge_record(note, now) is DuplicateVerdict.MAY_RUN:
                past.append(key)
                continue
            stage = KeyStage.ENDED if note.phase is RunPhase.ENDED else KeyStage.RUNNING
            if self.size_bytes + note.size() > self.max_bytes:  # the result goes, the note stays
                note = note._replace(status=0, fields=(), body=b"")
            self._put_row(key, Row(stage, recovered_record(note, now), 0, now, now))
            if note.status:
                self.results.append(key)
        return past

    # A req's path.

    def find(self, now: int, key: str) -> KeyRecord | None:
        """What is known of an earlier req of this key that is no longer in hand.

        None where it may run.
        """
        row = self.rows.get(key)
        if (
            row is None
            or row.stage is KeyStage.ABANDONED
            or judge_record(row.note, now) is DuplicateVerdict.MAY_RUN
        ):
            return None
        return row.note

    def request_run(
        self, now: int, key: str, arrived: int, until: int, due: int, run: float, takes: bool
    ) -> RecordWrite | LedgerAction:
        """A req is to run: `run` is how long that usually takes, `takes` whether the disk is fit
        for a promise.
        """
        if self.find(now, key) is not None:
            return LedgerAction(ActionKind.REPORT_DUPLICATE, key)
        note = KeyRecord(RunPhase.STARTED, self.incarnation, arrived, until)
        if (
            not takes
            or self.size_bytes + note.size() > self.max_bytes
            or not self.pending_writes.in_time(now, due, run)
        ):
            return self._without(now, key, note, due)
        self._put_row(key, Row(KeyStage.RECORDING_START, note, 0, now, due))
        return self._write(now, key, note)

    def write_rejected(self, now: int, put: RecordWrite) -> LedgerAction | None:
        """A write could not even be queued."""
        row = self._back(now, put, False)
        if row is None:
            return None
        if row.stage is KeyStage.RECORDING_START:
            note, due = row.note, row.due
            self._drop(put.key)
            return self._without(now, put.key, note, due)
        if row.stage is KeyStage.RECORDING_END:
            row.stage = KeyStage.RUNNING
            return self._unended(row, put.key)
        if row.stage is KeyStage.ABANDONED:  # what lies there is taken for unknown after a restart
            self._drop(put.key)
        return None

    def write_finished(
        self, now: int, put: RecordWrite, durable: bool
    ) -> LedgerAction | RecordWrite | None:
        """The disk's word on a write. One that is not the row's last counts for nothing."""
        row = self._back(now, put, durable)
        if row is None:
            return None
        if row.stage is KeyStage.RECORDING_START:
            if durable:
                row.stage = KeyStage.RUNNING
                return LedgerAction(ActionKind.RUN, put.key)
            row.stage = KeyStage.ABANDONED
            return LedgerAction(ActionKind.REJECT, put.key)  # `left` takes out what may lie there
        if row.stage is KeyStage.RECORDING_END:
            if not durable:
                row.stage = KeyStage.RUNNING
                return self._unended(row, put.key)
            row.stage = KeyStage.ENDED
            self.results.append(put.key)
            told, row.told = row.told, True
            return None if told else LedgerAction(ActionKind.REPORT_END, put.key)
        if row.stage is KeyStage.ABANDONED and put.note is None:
            self._drop(put.key)
        return None

    def abandon(self, now: int, key: str) -> RecordWrite | None:
        """Its req ended without a run: what may lie on the disk is to go."""
        row = self.rows.get(key)
        if row is None or row.stage in (KeyStage.ENDED, KeyStage.RECORDING_END):
            return None
        if row.stage is KeyStage.RUNNING_UNRECORDED:
            self._drop(key)
            return None
        row.stage = KeyStage.ABANDONED  # behind its note, should that be on its way: in order
        return self._write(now, key, None)

    def end_run(
        self,
        now: int,
        key: str,
        status: int,
        fields: tuple[tuple[str, str], ...],
        body: bytes,
        takes: bool,
    ) -> RecordWrite | LedgerAction:
        """Its run is over; `status` 0 where that is not known or it failed."""
        row = self.rows.get(key)
        if row is None:
            return LedgerAction(ActionKind.REPORT_END, key)
        note = row.note._replace(phase=RunPhase.ENDED, status=status, fields=fields, body=body)
        if self.size_bytes + note.size() - row.note.size() > self.max_bytes:
            note = note._replace(status=0, fields=(), body=b"")
        if row.stage is KeyStage.RUNNING_UNRECORDED:  # known while this life lasts
            self.size_bytes += note.size() - row.note.size()
            row.stage, row.note, row.told = KeyStage.ENDED, note, True
            return LedgerAction(ActionKind.REPORT_END, key)
        if not takes:
            row.stage = KeyStage.RUNNING
            return self._unended(row, key)
        self.size_bytes += note.size() - row.note.size()
        row.stage, row.note, row.began = KeyStage.RECORDING_END, note, now
        return self._write(now, key, note)

    def time_out_writes(self, now: int) -> list[LedgerAction]:
        """Those whose write has taken too long: it is not waited for any more.

        What it comes to is still heard.
        """
        acts = []
        for number, key in self.writes_in_flight.items():
            row = self.rows.get(key)
            if (
                row is None
                or row.number != number
                or not self.pending_writes.is_overdue(now, row.began, row.due)
            ):
                continue
            if row.stage is KeyStage.RECORDING_START:
                row.stage = KeyStage.ABANDONED
                acts.append(LedgerAction(ActionKind.REJECT, key))
            elif row.stage is KeyStage.RECORDING_END and not row.told:
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
        other = (
            row.note.incarnation != self.incarnation
        )  # of an earlier start: it does not run here
        return row.stage is KeyStage.ENDED or (
            row.stage is KeyStage.RUNNING and (row.told or other)
        )

    def forget_other_starts(self) -> list[str]:
        """What earlier starts noted is believed no more; the keys, to be taken out."""
        past = [key for key, row in self.rows.items() if row.note.incarnation != self.incarnation]
        for key in past:
            self._drop(key)
        return past

    def sizes(self) -> tuple[int, int]:
        """Bytes of notes and of results."""
        notes = len(self.rows) * BARE
        return notes, max(0, self.size_bytes - notes)

    def drop_results(self, now: int, need: int) -> list[RecordWrite]:
        """Results given up for so many bytes of room, the oldest first; their notes stay."""
        puts = []
        while need > 0 and self.results:
            key = self.results.popleft()
            row = self.rows.get(key)
            if row is None or row.stage is not KeyStage.ENDED or not row.note.status:
                continue
            bare = row.note._replace(status=0, fields=(), body=b"")
            freed = row.note.size() - bare.size()
            need, self.size_bytes = need - max(1, freed), self.size_bytes - freed
            row.note = bare
            puts.append(self._write(now, key, bare))
        return puts

    # Inside.

    def _without(self, now: int, key: str, note: KeyRecord, due: int) -> LedgerAction:
        if self.policy is UndurablePolicy.REJECT:
            self.rejected += 1
            return LedgerAction(ActionKind.REJECT, key)
        self.unrecorded_runs += 1
        if (
            self.size_bytes + note.size() <= self.max_bytes
        ):  # else it runs and is not known afterwards
            self._put_row(key, Row(KeyStage.RUNNING_UNRECORDED, note, 0, now, due))
        return LedgerAction(ActionKind.RUN, key)

    def _unended(self, row: Row, key: str) -> LedgerAction | None:
        """Its end is not on the disk, or not yet: told once."""
        told, row.told = row.told, True
        if told:
            return None
        self.unrecorded_ends += 1
        return LedgerAction(
            ActionKind.REPORT_END
            if self.policy is UndurablePolicy.RUN_ANYWAY
            else ActionKind.REPORT_UNKNOWN,
            key,
        )

    def _write(self, now: int, key: str, note: KeyRecord | None) -> RecordWrite:
        self.count += 1
        self.rows[key].number, self.writes_in_flight[self.count] = self.count, key
        self.pending_writes.began(now, self.count)
        return RecordWrite(key, note, self.count)

    def _back(self, now: int, put: RecordWrite, durable: bool) -> Row | None:
        """The row that a write is the last one of."""
        self.writes_in_flight.pop(put.number, None)
        self.pending_writes.ended(now, put.number, durable)
        row = self.rows.get(put.key)
        return row if row is not None and row.number == put.number else None

    def _put_row(self, key: str, row: Row) -> None:
        self._drop(key)
        self.rows[key] = row
        self.size_bytes += row.note.size()
        heapq.heappush(self.ends, (row.note.until, key))

    def _drop(self, key: str) -> None:
        row = self.rows.pop(key, None)
        if row is not None:
            self.size_bytes -= row.note.size()
