"""The ledger of idempotency keys of one server start.

The ledger decides what must be on the disk before a request runs and before its answer is sent, and
what happens if the disk fails or is too slow:

    request_run --write--> RECORDING_START --durable--> RUNNING --end_run--> RECORDING_END
                                |                                                 |
                                |  (RUNNING_UNRECORDED: runs without a record,    | durable
                                |   where the operator's policy is RUN_ANYWAY)    v
                                +--failed, or not in time--> ABANDONED          ENDED (answered)

An abandoned request does not run, and its record is removed from the disk. A write that finishes
after its request was abandoned starts no run. gullyoke/model_checking/key_ledger.py explores every
order of these events.

The ledger does no I/O and reads no clock. Times are microseconds of the Unix clock.
"""

from __future__ import annotations

from gullyoke.durability.key_record import KeyRecord, RunPhase
from gullyoke.durability.ledger_commands import (
    ActionKind,
    LedgerAction,
    RecordWrite,
    UndurablePolicy,
)
from gullyoke.durability.pending_writes import PendingWrites
from gullyoke.durability.record_table import KeyStage, LedgerRow, RecordTable


class KeyLedger(RecordTable):
    """The table of requests with keys, and the writes of their records.

    A row is removed when no duplicate needs it any more (`expire`), or when its request was
    abandoned and the removal of its record is durable.

    Attributes:
        writes_in_flight: The keys of the writes in flight, by write number, oldest first.
        unrecorded_runs: How many runs had no record on the disk.
        unrecorded_ends: How many ends of runs were not durable in time.
        rejected: How many requests were rejected because their record could not be written.

    Args:
        incarnation: The number of this server start.
        policy: What to do with requests whose record the disk can't make durable in time.
        max_bytes: The most memory that records and results may take.
        max_unread_us: How long after its arrival a duplicate may be read.
    """

    def __init__(
        self,
        incarnation: int,
        policy: UndurablePolicy,
        max_bytes: int,
        max_unread_us: int = 0,
    ) -> None:
        super().__init__(incarnation, max_bytes, max_unread_us)
        self.policy = policy
        self.pending_writes = PendingWrites()
        self.writes_in_flight: dict[int, str] = {}
        self.last_write_number = 0
        self.unrecorded_runs = 0
        self.unrecorded_ends = 0
        self.rejected = 0

    def request_run(
        self,
        now_us: int,
        key: str,
        arrived_us: int,
        window_end_us: int,
        deadline_us: int,
        run_us: float,
        disk_accepts: bool,
        body_digest: bytes = b"",
    ) -> RecordWrite | LedgerAction:
        """Record a request that is about to run.

        Args:
            now_us: The current time.
            key: The key of the request.
            arrived_us: When the request arrived.
            window_end_us: The time until which a duplicate of it may arrive that must not run.
            deadline_us: The time by which the request must be answered.
            run_us: How long the request's run usually takes.
            disk_accepts: Whether the disk accepts writes that requests wait for.
            body_digest: A digest of the request's body.

        Returns:
            The write to wait for, or an action to take at once.
        """
        if self.find(arrived_us, key) is not None:
            return LedgerAction(ActionKind.REPORT_DUPLICATE, key)
        record = KeyRecord(
            RunPhase.STARTED,
            self.incarnation,
            arrived_us,
            window_end_us,
            body_digest=body_digest,
        )
        if (
            not disk_accepts
            or not self.fits(record.memory_bytes())
            or not self.pending_writes.meets_deadline(now_us, deadline_us, run_us)
        ):
            return self._decide_without_record(now_us, key, record, deadline_us)
        self._put_row(key, LedgerRow(KeyStage.RECORDING_START, record, now_us, deadline_us))
        return self._write(now_us, key, record)

    def write_rejected(self, now_us: int, write: RecordWrite) -> LedgerAction | None:
        """Handle a write that could not be queued."""
        row = self._finish_write(now_us, write, False)
        if row is None:
            return None
        if row.stage is KeyStage.RECORDING_START:
            self._drop(write.key)
            return self._decide_without_record(now_us, write.key, row.record, row.deadline_us)
        if row.stage is KeyStage.RECORDING_END:
            row.stage = KeyStage.RUNNING
            return self._report_without_record(row, write.key)
        if row.stage is KeyStage.ABANDONED:  # a record left on the disk is UNKNOWN after a restart
            self._drop(write.key)
        return None

    def write_finished(
        self, now_us: int, write: RecordWrite, persisted: bool
    ) -> LedgerAction | None:
        """Handle the outcome of a write; ignored unless the write is the last one of its row."""
        row = self._finish_write(now_us, write, persisted)
        if row is None:
            return None
        if row.stage is KeyStage.RECORDING_START:
            if persisted:
                row.stage = KeyStage.RUNNING
                return LedgerAction(ActionKind.RUN, write.key)
            row.stage = KeyStage.ABANDONED  # `abandon` removes a record that is on the disk
            return LedgerAction(ActionKind.REJECT, write.key)
        if row.stage is KeyStage.RECORDING_END:
            if not persisted:
                row.stage = KeyStage.RUNNING
                return self._report_without_record(row, write.key)
            return self._report_recorded_end(row, write.key)
        if row.stage is KeyStage.ABANDONED and write.record is None:
            self._drop(write.key)
        return None

    def abandon(self, now_us: int, key: str) -> RecordWrite | None:
        """Abandon a request that was not run; return the removal of its record, if one is due."""
        row = self.rows.get(key)
        if row is None or row.stage in (KeyStage.ENDED, KeyStage.RECORDING_END):
            return None
        if row.stage is KeyStage.RUNNING_UNRECORDED:
            self._drop(key)
            return None
        row.stage = KeyStage.ABANDONED
        return self._write(now_us, key, None)  # made after the record's write, if that is in flight

    def end_run(
        self,
        now_us: int,
        key: str,
        status: int,
        fields: tuple[tuple[str, str], ...],
        body: bytes,
        disk_accepts: bool,
    ) -> RecordWrite | LedgerAction | None:
        """Record the end of a run.

        Args:
            now_us: The current time.
            key: The key of the request.
            status: The status of the answer; 0 if it is not known or the run failed.
            fields: The header fields of the answer.
            body: The body of the answer.
            disk_accepts: Whether the disk accepts writes that requests wait for.

        Returns:
            The write to wait for, or an action to take at once; None if the end was already
            reported.
        """
        row = self.rows.get(key)
        if row is None:
            return LedgerAction(ActionKind.REPORT_END, key)
        record = row.record._replace(phase=RunPhase.ENDED, status=status, fields=fields, body=body)
        if not self.fits(record.memory_bytes() - row.record.memory_bytes()):
            record = record.without_result()
        if row.stage is KeyStage.RUNNING_UNRECORDED:  # its result is kept in memory only
            self._replace_record(row, record)
            row.stage = KeyStage.ENDED
            row.end_reported = True
            return LedgerAction(ActionKind.REPORT_END, key)
        if not disk_accepts:
            row.stage = KeyStage.RUNNING
            return self._report_without_record(row, key)
        self._replace_record(row, record)
        row.stage = KeyStage.RECORDING_END
        row.write_started_us = now_us
        return self._write(now_us, key, record)

    def time_out_writes(self, now_us: int) -> list[LedgerAction]:
        """Give up waiting for overdue writes; return the actions for their requests.

        The outcomes of these writes are still handled when they arrive.
        """
        actions = []
        for number, key in self.writes_in_flight.items():
            row = self.rows.get(key)
            if row is None or row.last_write != number:
                continue
            started_us = row.write_started_us
            if not self.pending_writes.is_overdue(now_us, started_us, row.deadline_us):
                continue
            if row.stage is KeyStage.RECORDING_START:
                row.stage = KeyStage.ABANDONED
                actions.append(LedgerAction(ActionKind.REJECT, key))
            elif row.stage is KeyStage.RECORDING_END:
                action = self._report_without_record(row, key)
                if action is not None:
                    actions.append(action)
        return actions

    def drop_results(self, now_us: int, needed_bytes: int) -> list[RecordWrite]:
        """Drop the oldest results until a number of bytes is freed; their records stay."""
        writes = []
        while needed_bytes > 0:
            before_bytes = self.size_bytes
            key = self.drop_oldest_result()
            if key is None:
                break
            needed_bytes -= max(1, before_bytes - self.size_bytes)
            writes.append(self._write(now_us, key, self.rows[key].record))
        return writes

    def _decide_without_record(
        self, now_us: int, key: str, record: KeyRecord, deadline_us: int
    ) -> LedgerAction:
        if self.policy is UndurablePolicy.REJECT:
            self.rejected += 1
            return LedgerAction(ActionKind.REJECT, key)
        self.unrecorded_runs += 1
        if self.fits(record.memory_bytes()):  # without a row, a duplicate may run
            row = LedgerRow(KeyStage.RUNNING_UNRECORDED, record, now_us, deadline_us)
            self._put_row(key, row)
        return LedgerAction(ActionKind.RUN, key)

    def _report_recorded_end(self, row: LedgerRow, key: str) -> LedgerAction | None:
        row.stage = KeyStage.ENDED
        self.result_keys.append(key)
        if row.end_reported:
            return None
        row.end_reported = True
        return LedgerAction(ActionKind.REPORT_END, key)

    def _report_without_record(self, row: LedgerRow, key: str) -> LedgerAction | None:
        """Report the end of a run whose end is not on the disk, unless it was reported before."""
        if row.end_reported:
            return None
        row.end_reported = True
        self.unrecorded_ends += 1
        if self.policy is UndurablePolicy.RUN_ANYWAY:
            return LedgerAction(ActionKind.REPORT_END, key)
        return LedgerAction(ActionKind.REPORT_UNKNOWN, key)

    def _write(self, now_us: int, key: str, record: KeyRecord | None) -> RecordWrite:
        self.last_write_number += 1
        self.rows[key].last_write = self.last_write_number
        self.writes_in_flight[self.last_write_number] = key
        self.pending_writes.write_started(now_us, self.last_write_number)
        return RecordWrite(key, record, self.last_write_number)

    def _finish_write(self, now_us: int, write: RecordWrite, persisted: bool) -> LedgerRow | None:
        """Remove a write from those in flight; return its row if the write is the row's last."""
        self.writes_in_flight.pop(write.number, None)
        self.pending_writes.write_finished(now_us, write.number, persisted)
        row = self.rows.get(write.key)
        return row if row is not None and row.last_write == write.number else None
