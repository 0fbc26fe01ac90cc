"""The table of requests with idempotency keys, by key, with bounds on its bytes and in time.

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

RECHECK_RUNNING_US: Final = 1_000_000  # until a row past its window that still runs is looked at


class KeyStage(Enum):
    """Where a request with a key stands."""

    RECORDING_START = "noting"
    RUNNING = "noted"
    RUNNING_UNRECORDED = "bare"
    RECORDING_END = "ending"
    ENDED = "ended"
    ABANDONED = "left"


class LedgerRow:
    """A request with a key.

    Attributes:
        stage: Where it stands.
        record: What is, or is to be, on the disk of it.
        last_write: The number of the last write of it, which alone counts.
        write_started_us: When the write in flight was asked for.
        deadline_us: By when its answer must go out.
        end_reported: Whether the end of its run was reported.
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
    """The requests with keys of this start, and what the disk has of earlier ones.

    Attributes:
        rows: One a key, whose records and results take at most `max_bytes`.
        window_ends: A heap of rows by the ends of their windows.
        results: Keys with a result, in the order of their ends.
        size_bytes: What the records take in memory.

    Args:
        incarnation: The number of this start.
        max_bytes: What records and results may take in memory.
    """

    def __init__(self, incarnation: int, max_bytes: int) -> None:
        self.incarnation = incarnation
        self.max_bytes = max_bytes
        self.rows: dict[str, LedgerRow] = {}
        self.window_ends: list[tuple[int, str]] = []
        self.results: deque[str] = deque()
        self.size_bytes = 0

    def recover(self, now_us: int, found: Iterable[tuple[str, KeyRecord]]) -> list[str]:
        """Take what the disk had at the start; give the keys to be removed, of closed windows."""
        expired = []
        for key, record in found:
            if judge_record(record, now_us) is DuplicateVerdict.MAY_RUN:
                expired.append(key)
                continue
            if not self.fits(record.memory_bytes()):
                record = record.without_result()
            ended = record.phase is RunPhase.ENDED
            stage = KeyStage.ENDED if ended else KeyStage.RUNNING
            self._put_row(key, LedgerRow(stage, recovered_record(record, now_us), now_us, now_us))
            if record.status:
                self.results.append(key)
        return expired

    def find(self, now_us: int, key: str) -> KeyRecord | None:
        """Give what is known of an earlier request of this key; None where it may run."""
        row = self.rows.get(key)
        if row is None or row.stage is KeyStage.ABANDONED:
            return None
        if judge_record(row.record, now_us) is DuplicateVerdict.MAY_RUN:
            return None
        return row.record

    def expire(self, now_us: int) -> list[str]:
        """Drop the rows whose window is over; give their keys, to be removed from the disk.

        One that is running stays until it has ended, and is looked at again a second later.
        """
        expired = []
        while self.window_ends and self.window_ends[0][0] < now_us:
            end_us, key = heapq.heappop(self.window_ends)
            row = self.rows.get(key)
            if row is None or (
                row.record.window_end_us > end_us and row.record.window_end_us >= now_us
            ):
                continue  # dropped, or recorded again since
            if self._is_over(row):
                self._drop(key)
                expired.append(key)
            else:
                heapq.heappush(self.window_ends, (now_us + RECHECK_RUNNING_US, key))
        while self.results and self.results[0] not in self.rows:
            self.results.popleft()
        return expired

    def _is_over(self, row: LedgerRow) -> bool:
        """Whether nothing of a row runs here: it ended, or an earlier start recorded it."""
        if row.stage is KeyStage.RUNNING:
            return row.end_reported or row.record.incarnation != self.incarnation
        return row.stage is KeyStage.ENDED

    def forget_other_starts(self) -> list[str]:
        """Believe what earlier starts recorded no more; give the keys to be removed."""
        forgotten = [
            key for key, row in self.rows.items() if row.record.incarnation != self.incarnation
        ]
        for key in forgotten:
            self._drop(key)
        return forgotten

    def record_bytes(self) -> int:
        """Give the bytes of the records without their results."""
        return len(self.rows) * RECORD_MEMORY_BYTES

    def result_bytes(self) -> int:
        """Give the bytes of the results."""
        return max(0, self.size_bytes - self.record_bytes())

    def fits(self, growth_bytes: int) -> bool:
        """Whether so many bytes more stay within the bound."""
        return self.size_bytes + growth_bytes <= self.max_bytes

    def drop_oldest_result(self) -> str | None:
        """Drop the oldest result but not its record; give its key, None where there is none."""
        while self.results:
            key = self.results.popleft()
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
        heapq.heappush(self.window_ends, (row.record.window_end_us, key))

    def _drop(self, key: str) -> None:
        row = self.rows.pop(key, None)
        if row is not None:
            self.size_bytes -= row.record.memory_bytes()
