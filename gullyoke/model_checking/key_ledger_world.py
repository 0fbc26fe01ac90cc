"""A small model of one request with an idempotency key.

The events include attempts of the request, the end of its run in the engine, writes that succeed,
time out, or fail with the record on the disk or without, and crashes in which any of the writes in
flight may have reached the disk.

A violation is a second run within a window, an attempt rejected after a run, a reported result that
is no longer known, or the report of a result without a successful run. The rules are those of
production (gullyoke/durability); the model replaces the disk, the engine and the callers.
"""

from __future__ import annotations

from typing import Final

from gullyoke.durability.key_ledger import KeyLedger
from gullyoke.durability.key_record import DuplicateVerdict, KeyRecord, judge_record
from gullyoke.durability.ledger_commands import (
    ActionKind,
    LedgerAction,
    RecordWrite,
    UndurablePolicy,
)
from gullyoke.durability.pending_writes import WRITE_TIMEOUT_US
from gullyoke.durability.record_table import LedgerRow
from gullyoke.model_checking.explore import Move
from gullyoke.model_checking.key_ledger_events import Event, FailedWrite, Report, RunEnd

KEY: Final = "k"
BODY: Final = b"made"
WINDOW_US: Final = 100 * WRITE_TIMEOUT_US
DEADLINE_US: Final = 10 * WRITE_TIMEOUT_US
RUN_US: Final = 1000
MAX_WRITES_IN_FLIGHT: Final = 3
MAX_LEDGER_BYTES: Final = 10**6


class KeyLedgerWorld:
    """The state of the world.

    Attributes:
        disk: The key's record on the disk.
        writes: Writes in flight, in order.
        runs: How many runs began in this window.
        good_ends: How many runs ended well in this window.
        pending: Whether an attempt waits for its run to start or to end.
        running: Whether the engine runs the request.
        reports: The outcomes reported to callers in this window, without rejections.
        violation: A description of the last violation; empty if there was none.

    Args:
        attempts: How many attempts may be made.
        crashes: How many crashes may happen.
        faults: How many faults of the disk may happen.
        policy: What the ledger does if the disk can't make a record durable.
    """

    def __init__(
        self,
        attempts: int = 3,
        crashes: int = 2,
        faults: int = 1,
        policy: UndurablePolicy = UndurablePolicy.REJECT,
    ) -> None:
        self.now = 0
        self.incarnation = 1
        self.policy = policy
        self.disk: KeyRecord | None = None
        self.writes: list[RecordWrite] = []
        self.ledger = KeyLedger(self.incarnation, policy, MAX_LEDGER_BYTES)
        self.attempts = attempts
        self.crashes = crashes
        self.faults = faults
        self.result_drops = 1
        self.pending = False
        self.running = False
        self.runs = 0
        self.good_ends = 0
        self.reports: list[Report] = []
        self.violation = ""

    def moves(self) -> list[Move]:
        """List the moves that are possible in this state."""
        queue_has_space = len(self.writes) < MAX_WRITES_IN_FLIGHT
        moves: list[Move] = []
        if self.attempts and queue_has_space:
            moves.append((Event.ATTEMPT,))
            if self.faults:
                moves.append((Event.ATTEMPT_ON_BAD_DISK,))
        moves += self._write_moves()
        if self.running and queue_has_space:
            ends = RunEnd if self.faults else (RunEnd.WELL, RunEnd.ILL)
            moves += [(Event.RUN_ENDS, end) for end in ends]
        if self.writes:
            moves.append((Event.WRITES_OVERDUE,))
        if self.result_drops and self.ledger.rows and queue_has_space:
            moves.append((Event.RESULT_DROPPED,))
        if self.crashes:
            moves += [(Event.CRASH, mask) for mask in range(2 ** len(self.writes))]
        if not self.pending and not self.writes:
            moves.append((Event.WINDOW_OVER,))
        return moves

    def _write_moves(self) -> list[Move]:
        if not self.writes:
            return []
        outcomes = FailedWrite if self.faults else ()
        return [(Event.WRITE_PERSISTED,), *((Event.WRITE_FAILED, outcome) for outcome in outcomes)]

    def make(self, move: Move) -> None:
        """Make one move."""
        self.now += 1
        event = move[0]
        if event in (Event.ATTEMPT, Event.ATTEMPT_ON_BAD_DISK):
            self._attempt(disk_accepts=event is Event.ATTEMPT)
        elif event is Event.WRITE_PERSISTED:
            self.finish_write(persisted=True)
        elif event is Event.WRITE_FAILED:
            self._fail_write(move[1])
        elif event is Event.RUN_ENDS:
            self._end_run(move[1])
        elif event is Event.WRITES_OVERDUE:
            self._time_out_writes()
        elif event is Event.RESULT_DROPPED:
            self.result_drops -= 1
            self.writes += self.ledger.drop_results(self.now, 1)
        elif event is Event.CRASH:
            self._crash(move[1])
        elif event is Event.WINDOW_OVER:
            self._end_window()

    def take(self, command: RecordWrite | LedgerAction | None) -> None:
        """Start the write or carry out the action that the ledger returned, if any."""
        if isinstance(command, RecordWrite):
            self.writes.append(command)
        elif command is not None:
            self.carry_out(command)

    def carry_out(self, action: LedgerAction) -> None:
        """Carry out an action of the ledger, and check that it is allowed."""
        if action.kind is ActionKind.RUN:
            self.runs += 1
            self.running = True
            if self.runs > 1:
                self.violation = "the request ran a second time"
        elif action.kind is ActionKind.REJECT:
            self.pending = False
            if self.runs:
                self.violation = "the request was rejected after a run"
            self.take(self.ledger.abandon(self.now, KEY))
        elif action.kind in (ActionKind.REPORT_END, ActionKind.REPORT_UNKNOWN):
            self.pending = False
            ended_well = action.kind is ActionKind.REPORT_END and self.good_ends
            self._report(Report.RESULT if ended_well else Report.FAILED)

    def finish_write(self, persisted: bool) -> None:
        """Finish the oldest write and tell the ledger."""
        write = self.writes.pop(0)
        if persisted:
            self.disk = write.record
        self.take(self.ledger.write_finished(self.now, write, persisted))

    def key(self) -> tuple[object, ...]:
        """Return the key of this state."""
        rows = [self._row_key(row) for row in self.ledger.rows.values()]
        writes = [
            (self._record_key(write.record), write.number - self.ledger.last_write_number)
            for write in self.writes
        ]
        return (
            self._record_key(self.disk),
            writes,
            rows,
            len(self.ledger.writes_in_flight),
            len(self.ledger.result_keys),
            bool(self.ledger.unrecorded_runs),
            self.attempts,
            self.crashes,
            self.faults,
            self.result_drops,
            self.pending,
            self.running,
            self.runs,
            min(1, self.good_ends),
            Report.RESULT in self.reports,
        )

    def wrong(self) -> str | None:
        """Return a description of the violation, if any."""
        return self.violation or None

    def _attempt(self, disk_accepts: bool) -> None:
        """Make an attempt: it joins a pending one, gets the recorded outcome, or requests a run."""
        self.attempts -= 1
        self.faults -= not disk_accepts
        if self.pending:
            return  # gets the answer of the pending attempt
        record = self.ledger.find(self.now, KEY)
        if record is not None:
            has_result = judge_record(record, self.now) is DuplicateVerdict.RESULT
            self._report(Report.RESULT if has_result else Report.FAILED)
            return
        self.pending = True
        window_end = self.now + WINDOW_US
        deadline = self.now + DEADLINE_US
        self.take(
            self.ledger.request_run(
                self.now, KEY, self.now, window_end, deadline, RUN_US, disk_accepts
            )
        )

    def _fail_write(self, outcome: FailedWrite) -> None:
        self.faults -= 1
        if outcome is FailedWrite.THERE:
            self.disk = self.writes[0].record
        self.finish_write(persisted=False)

    def _time_out_writes(self) -> None:
        self.now += WRITE_TIMEOUT_US
        for action in self.ledger.time_out_writes(self.now):
            self.carry_out(action)

    def _end_run(self, end: RunEnd) -> None:
        self.running = False
        self.good_ends += end is not RunEnd.ILL
        self.faults -= end is RunEnd.ON_BAD_DISK
        status = 0 if end is RunEnd.ILL else 200
        disk_accepts = end is not RunEnd.ON_BAD_DISK
        self.take(self.ledger.end_run(self.now, KEY, status, (), BODY, disk_accepts))

    def _end_window(self) -> None:
        self.now += 2 * WINDOW_US
        if self.ledger.expire(self.now):
            self.disk = None
        self.runs = 0
        self.good_ends = 0
        self.reports = []

    def _report(self, report: Report) -> None:
        if report is Report.RESULT and not self.good_ends:
            self.violation = "a result was reported without a successful run"
        lost = report is Report.FAILED and Report.RESULT in self.reports
        if lost and self.policy is UndurablePolicy.REJECT:
            self.violation = "a reported result is no longer known"
        self.reports.append(report)

    def _crash(self, mask: int) -> None:
        """Crash and restart: the writes in `mask` reach the disk in order; all else is lost."""
        self.crashes -= 1
        if self.ledger.unrecorded_runs:  # a run without a record may be repeated after a crash
            self.runs = 0
            self.reports = []
        for i, write in enumerate(self.writes):
            if mask >> i & 1:
                self.disk = write.record
        self.writes = []
        self.pending = False
        self.running = False
        self.incarnation += 1
        self.ledger = KeyLedger(self.incarnation, self.policy, MAX_LEDGER_BYTES)
        self.ledger.recover(self.now, [(KEY, self.disk)] if self.disk is not None else [])

    def _record_key(self, record: KeyRecord | None) -> tuple[object, ...] | None:
        if record is None:
            return None
        own = record.incarnation == self.incarnation
        return record.phase, record.status, own, self.now > record.window_end_us

    def _row_key(self, row: LedgerRow) -> tuple[object, ...]:
        overdue = self.now - row.write_started_us >= WRITE_TIMEOUT_US
        number = row.last_write - self.ledger.last_write_number
        return row.stage, row.end_reported, self._record_key(row.record), number, overdue
