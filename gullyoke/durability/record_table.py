"""The table of requests with idempotency keys, bounded in bytes and in time.

No I/O and no clock. Times are microseconds of the Unix clock.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterable
from enum import Enum
from typing import Final

from gullyoke.durability.key_record import (
    RECORD_MEMORY_BYTES,
    DuplicateVerdict,
    KeyRecord,
    RunPhase,
    judge_record,
    recovered_record,
)

RECHECK_RUNNING_US: Final = 1_000_000  # between checks of a running row whose window is over


class KeyStage(Enum):
    """The stages of a request with a key; key_ledger.py has a diagram of them."""

    RECORDING_START = "noting"
    RUNNING = "noted"
    RUNNING_UNRECORDED = "bare"
    RECORDING_END = "ending"
    ENDED = "ended"
    ABANDONED = "left"


class LedgerRow:
    """A request with a key.

    Attributes:
        stage: Its stage.
        record: Its record, which is on the disk or being written.
        last_write: The number of its last write; outcomes of earlier writes are ignored.
        write_started_us: When the write in flight was queued.
        deadline_us: By when its answer must be sent.
        end_reported: Whether the end of its run has been reported.
    """

    __slots__ = (
        "deadline_us",
        "end_reported",
        "last_write",
        "record",
        "stage",
        "write_started_us",
    )

    def __init__(self, stage: KeyStage, record: KeyRecord, now_us: int, deadline_us: int) -> None:
        self.stage = stage
        self.record = record
        self.last_write = 0
        self.write_started_us = now_us
        self.deadline_us = deadline_us
        self.end_reported = False


class RecordTable:
    """The requests with keys that this server start received and that earlier ones recorded.

    A row stays beyond the end of its window for as long as a duplicate that arrived in time may
    still be read.

    Attributes:
        rows: A row for each key; their records and results take at most `max_bytes`.
        expiries: A heap of the times at which rows are no longer needed, with the keys.
        result_keys: The keys of rows with a result, in the order in which the runs ended.
        size_bytes: The size of the records and results in memory.

    Args:
        incarnation: The number of this server start.
        max_bytes: The most memory that records and results may take.
        max_unread_us: How long after its arrival a duplicate may be read.
    """

    def __init__(self, incarnation: int, max_bytes: int, max_unread_us: int = 0) -> None:
        self.incarnation = incarnation
        self.max_bytes = max_bytes
        self.rows: dict[str, LedgerRow] = {}
        self.max_unread_us = max_unread_us
        self.expiries: list[tuple[int, str]] = []
        self.result_keys: deque[str] = deque()
        self.size_bytes = 0

    def recover(self, now_us: int, found: Iterable[tuple[str, KeyRecord]]) -> list[str]:
        """Add the records found on the disk; return the keys of expired ones, to be removed."""
        expired = []
        for key, record in found:
            if now_us > self._expiry_us(record):
                expired.append(key)
                continue
            if not self.fits(record.memory_bytes()):
                record = record.without_result()
            ended = record.phase is RunPhase.ENDED
            stage = KeyStage.ENDED if ended else KeyStage.RUNNING
            self._put_row(key, LedgerRow(stage, recovered_record(record, now_us), now_us, now_us))
            if record.status:
                self.result_keys.append(key)
        return expired

    def find(self, arrived_us: int, key: str) -> KeyRecord | None:
        """Return the record of an earlier request with a key; None if the request may run.

        Args:
            arrived_us: When the request arrived.
            key: Its key.
        """
        row = self.rows.get(key)
        if row is None or row.stage is KeyStage.ABANDONED:
            return None
        if judge_record(row.record, arrived_us) is DuplicateVerdict.MAY_RUN:
            return None
        return row.record

    def expire(self, now_us: int) -> list[str]:
        """Drop the rows that no duplicate needs any more; return their keys.

        Their records are to be removed from the disk.

        A row whose request is running stays until the run has ended; it is checked again every
        RECHECK_RUNNING_US.
        """
        expired = []
        while self.expiries and self.expiries[0][0] < now_us:
            expiry_us, key = heapq.heappop(self.expiries)
            row = self.rows.get(key)
            if row is None or expiry_us < self._expiry_us(row.record) >= now_us:
                continue  # the row was dropped, or recorded again with a later window
            if self._is_over(row):
                self._drop(key)
                expired.append(key)
            else:
                heapq.heappush(self.expiries, (now_us + RECHECK_RUNNING_US, key))
        while self.result_keys and self.result_keys[0] not in self.rows:
            self.result_keys.popleft()
        return expired

    def _expiry_us(self, record: KeyRecord) -> int:
        """Return until when a duplicate that arrived within the record's window may be read."""
        return record.window_end_us + self.max_unread_us

    def _is_over(self, row: LedgerRow) -> bool:
        """Return whether the run of a row has ended, or an earlier start recorded the row."""
        if row.stage is KeyStage.RUNNING:
            return row.end_reported or row.record.incarnation != self.incarnation
        return row.stage is KeyStage.ENDED

    def forget_other_starts(self) -> list[str]:
        """Drop the rows that earlier starts recorded; return their keys, to be removed."""
        forgotten = [
            key for key, row in self.rows.items() if row.record.incarnation != self.incarnation
        ]
        for key in forgotten:
            self._drop(key)
        return forgotten

    def record_bytes(self) -> int:
        """Return the size of the records in memory, without their results."""
        return len(self.rows) * RECORD_MEMORY_BYTES

    def result_bytes(self) -> int:
        """Return the size of the results in memory."""
        return max(0, self.size_bytes - self.record_bytes())

    def fits(self, growth_bytes: int) -> bool:
        """Return whether the table stays within `max_bytes` if it grows by a number of bytes."""
        return self.size_bytes + growth_bytes <= self.max_bytes

    def drop_oldest_result(self) -> str | None:
        """Drop the oldest result and keep its record; return its key, None if there is none."""
        while self.result_keys:
            key = self.result_keys.popleft()
            row = self.rows.get(key)
            if row is not None and row.stage is KeyStage.ENDED and row.record.status:
                self._replace_record(row, row.record.without_result())
                return key
        return None

    def _replace_record(self, row: LedgerRow, record: KeyRecord) -> None:
        self.size_bytes += record.memory_bytes() - row.record.memory_bytes()
        row.record = record

    def _put_row(self, key: str, row: LedgerRow) -> None:
        self._drop(key)
        self.rows[key] = row
        self.size_bytes += row.record.memory_bytes()
        heapq.heappush(self.expiries, (self._expiry_us(row.record), key))

    def _drop(self, key: str) -> None:
        row = self.rows.pop(key, None)
        if row is not None:
            self.size_bytes -= row.record.memory_bytes()
