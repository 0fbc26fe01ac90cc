"""The notes of one uniqued req in small.

Tries of it, a disk that fails or keeps what it said it did not, an engine that runs, and crashes in
which any of what was on its way to the disk may have come there.

What is looked for: a run begun a second time within its window, a try turned away after a run, an
end that was told and is not known any more, one told that never was. The rules are those that run
(gullyoke/durability); the disk, the engine and the callers are the world's.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from unittest import mock

from gullyoke.durability import key_ledger as ledgers
from gullyoke.durability.key_ledger import (
    ActionKind,
    KeyLedger,
    KeyStage,
    LedgerAction,
    RecordWrite,
    UndurablePolicy,
)
from gullyoke.durability.key_record import DuplicateVerdict, KeyRecord, RunPhase, judge_record
from gullyoke.durability.pending_writes import WRITE_TIMEOUT_US
from gullyoke.model_checking.explore import Move, walked

KEY, WINDOW, DUE, RUN = "k", 100 * WRITE_TIMEOUT_US, 10 * WRITE_TIMEOUT_US, 1000
QUEUE = 3  # writes on their way at the most


class Notes:
    """`disk`: what it has of the key; `queue`, what is on its way, in order.

    `runs`: runs begun in this window. `going`: the try whose run is promised or goes on; `told`,
    what callers heard, without sheds.
    """

    def __init__(
        self,
        tries: int = 3,
        crashes: int = 2,
        faults: int = 1,
        without: UndurablePolicy = UndurablePolicy.REJECT,
    ) -> None:
        self.now, self.life, self.without = 0, 1, without
        self.disk: KeyRecord | None = None
        self.queue: list[RecordWrite] = []
        self.ledger = KeyLedger(1, without, 10**6)
        self.tries, self.crashes, self.faults, self.shrinks = tries, crashes, faults, 1
        self.going, self.running = False, False
        self.runs = self.ended_well = 0
        self.told: list[str] = []
        self.fault = ""

    def moves(self) -> list[Move]:
        out: list[Move] = []
        if self.tries and len(self.queue) < QUEUE:
            out.append(("try",))
            if self.faults:
                out.append(("try-unfit",))
        if self.queue:
            out.append(("written",))
            if self.faults:
                out += [("failed", "there"), ("failed", "not-there")]
        if self.running and len(self.queue) < QUEUE:
            out += [("ends", "well"), ("ends", "ill")]
            if self.faults:
                out.append(("ends", "unfit"))
        if self.queue:
            out.append(("overdue",))
        if self.shrinks and self.ledger.rows and len(self.queue) < QUEUE:
            out.append(("shrink",))
        if self.crashes:
            out += [("crash", came) for came in range(2 ** len(self.queue))]
        if not self.going and not self.queue:
            out.append(("window",))
        return out

    def make(self, move: Move) -> None:
        what = move[0]
        self.now += 1
        if what in ("try", "try-unfit"):
            self.tries -= 1
            self.faults -= what == "try-unfit"
            self.asked(what == "try")
        elif what == "written":
            self.word(True)
        elif what == "failed":
            self.faults -= 1
            if move[1] == "there":
                self.disk = self.queue[0].note
            self.word(False)
        elif what == "ends":
            self.running = False
            self.ended_well += move[1] != "ill"
            self.faults -= move[1] == "unfit"
            status = 0 if move[1] == "ill" else 200
            self.take(self.ledger.end_run(self.now, KEY, status, (), b"made", move[1] != "unfit"))
        elif what == "overdue":
            self.now += WRITE_TIMEOUT_US
            for act in self.ledger.time_out_writes(self.now):
                self.carry(act)
        elif what == "shrink":
            self.shrinks -= 1
            self.queue += self.ledger.drop_results(self.now, 1)
        elif what == "crash":
            self.crash(int(move[1]))
        elif what == "window":
            self.now += 2 * WINDOW
            for _ in self.ledger.expire(self.now):
                self.disk = None
            self.runs, self.ended_well, self.told = 0, 0, []

    def asked(self, fit: bool) -> None:
        """A try comes: it waits for one that is under way, is answered from what is known, or
        asks.
        """
        if self.going:
            return  # answered with that one; what it hears is the same
        note = self.ledger.find(self.now, KEY)
        if note is None:
            self.going = True
            self.take(
                self.ledger.request_run(
                    self.now, KEY, self.now, self.now + WINDOW, self.now + DUE, RUN, fit
                )
            )
        else:
            self.tell(
                "made" if judge_record(note, self.now) is DuplicateVerdict.RESULT else "errored"
            )

    def word(self, durable: bool) -> None:
        put = self.queue.pop(0)
        if durable:
            self.disk = put.note
        self.take(self.ledger.write_finished(self.now, put, durable))

    def take(self, said: RecordWrite | LedgerAction | None) -> None:
        if isinstance(said, RecordWrite):
            self.queue.append(said)
        elif said is not None:
            self.carry(said)

    def carry(self, act: LedgerAction) -> None:
        if act.kind is ActionKind.RUN:
            self.runs += 1
            self.running = True
            if self.runs > 1:
                self.fault = "run a second time"
        elif act.kind is ActionKind.REJECT:
            self.going = False
            if self.runs:
                self.fault = "turned away after a run"
            self.take(self.ledger.abandon(self.now, KEY))
        elif act.kind in (ActionKind.REPORT_END, ActionKind.REPORT_UNKNOWN):
            self.going = False
            self.tell(
                "made" if act.kind is ActionKind.REPORT_END and self.ended_well else "errored"
            )

    def tell(self, what: str) -> None:
        if what == "made" and not self.ended_well:
            self.fault = "an end was told that never was"
        if what == "errored" and "made" in self.told and self.without is UndurablePolicy.REJECT:
            self.fault = "an end that was told is not known any more"
        self.told.append(what)

    def crash(self, came: int) -> None:
        """Of what was on its way some came there, in order; all else is forgotten."""
        self.crashes -= 1
        if self.ledger.unrecorded_runs:  # runs without a promise: what goes on costs
            self.runs, self.told = 0, []
        for i, put in enumerate(self.queue):
            if came >> i & 1:
                self.disk = put.note
        self.queue, self.going, self.running = [], False, False
        self.life += 1
        self.ledger = KeyLedger(self.life, self.without, 10**6)
        self.ledger.recover(self.now, [(KEY, self.disk)] if self.disk is not None else [])

    def key(self) -> tuple:
        def seen(note: KeyRecord | None) -> tuple | None:
            return note and (
                note.phase,
                note.status,
                note.incarnation == self.life,
                self.now > note.until,
            )

        rows = [
            (
                row.stage,
                row.told,
                seen(row.note),
                row.number - self.ledger.count,
                self.now - row.began >= WRITE_TIMEOUT_US,
            )
            for row in self.ledger.rows.values()
        ]
        queue = [(seen(put.note), put.number - self.ledger.count) for put in self.queue]
        return (
            seen(self.disk),
            queue,
            rows,
            len(self.ledger.writes_in_flight),
            len(self.ledger.results),
            bool(self.ledger.unrecorded_runs),
            self.tries,
            self.crashes,
            self.faults,
            self.shrinks,
            self.going,
            self.running,
            self.runs,
            min(1, self.ended_well),
            "made" in self.told,
        )

    def wrong(self) -> str | None:
        return self.fault or None


# Guards taken out, one each.


def _runs_before_its_note() -> contextlib.AbstractContextManager:
    take = Notes.take

    def at_once(self, said):
        take(self, said)
        if (
            isinstance(said, RecordWrite)
            and said.note is not None
            and said.note.phase is RunPhase.STARTED
        ):
            self.carry(self.ledger.write_finished(self.now, said, True))

    return mock.patch.object(Notes, "take", at_once)


def _told_before_its_end() -> contextlib.AbstractContextManager:
    take = Notes.take

    def at_once(self, said):
        take(self, said)
        if (
            isinstance(said, RecordWrite)
            and said.note is not None
            and said.note.phase is RunPhase.ENDED
        ):
            self.carry(LedgerAction(ActionKind.REPORT_END, KEY))

    return mock.patch.object(Notes, "take", at_once)


def _unknown_runs() -> contextlib.AbstractContextManager:
    def runs(note, now):
        found = judge_record(note, now)
        return DuplicateVerdict.MAY_RUN if found is DuplicateVerdict.UNKNOWN else found

    return mock.patch.object(ledgers, "judge_record", runs)


def _late_word_runs() -> contextlib.AbstractContextManager:
    back = KeyLedger._back

    def late(self, now, put, durable):
        row = back(self, now, put, durable)
        row = row or self.rows.get(put.key)
        if row is not None and row.stage is KeyStage.ABANDONED and put.note is not None:
            row.stage = KeyStage.RECORDING_START
        return row

    return mock.patch.object(KeyLedger, "_back", late)


def _out_of_order() -> contextlib.AbstractContextManager:
    def last_first(self, durable):
        put = self.queue.pop()
        if durable:
            self.disk = put.note
        self.take(self.ledger.write_finished(self.now, put, durable))

    return mock.patch.object(Notes, "word", last_first)


def _note_goes_with_result() -> contextlib.AbstractContextManager:
    shrink = KeyLedger.drop_results

    def whole(self, now, need):
        puts = shrink(self, now, need)
        for put in puts:
            self._drop(put.key)
        return [put._replace(note=None) for put in puts]

    return mock.patch.object(KeyLedger, "drop_results", whole)


MUTANTS: dict[str, Callable[[], contextlib.AbstractContextManager]] = {
    "a note comes before its run": _runs_before_its_note,
    "an end comes before its answer": _told_before_its_end,
    "what may have run does not run": _unknown_runs,
    "a late word starts nothing": _late_word_runs,
    "writes stay in order": _out_of_order,
    "a note stays when its result goes": _note_goes_with_result,
}


def found(
    mutant: str | None,
    depth: int,
    without: UndurablePolicy = UndurablePolicy.REJECT,
    most: int = 10**6,
) -> tuple[int, str | None]:
    """States walked, with one guard taken out or none, and what was found with its way."""
    with MUTANTS[mutant]() if mutant else contextlib.nullcontext():
        walk = walked(Notes(without=without), depth, most)
    return walk.states, f"{walk.found}\n{walk.script()}" if walk.found else None
