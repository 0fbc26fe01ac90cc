"""Explores every order of events around one idempotency key, with all guards and without each.

The world is gullyoke/model_checking/key_ledger_world.py. A mutant removes one guard from the rules.
The exploration must then find a violation, which shows that it can detect the missing guard.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import Final, NamedTuple
from unittest import mock

from gullyoke.durability import record_table
from gullyoke.durability.key_ledger import KeyLedger
from gullyoke.durability.key_record import DuplicateVerdict, KeyRecord, RunPhase, judge_record
from gullyoke.durability.ledger_commands import (
    ActionKind,
    LedgerAction,
    RecordWrite,
    UndurablePolicy,
)
from gullyoke.durability.record_table import KeyStage, LedgerRow
from gullyoke.model_checking.explore import walked
from gullyoke.model_checking.key_ledger_world import KEY, KeyLedgerWorld

MAX_STATES: Final = 10**6

Mutant = Callable[[], contextlib.AbstractContextManager[object]]
Command = RecordWrite | LedgerAction | None


class Exploration(NamedTuple):
    """How many states were seen, and the first violation with the moves to it."""

    states: int
    violation: str | None


def _is_write_of(command: Command, phase: RunPhase) -> bool:
    return (
        isinstance(command, RecordWrite)
        and command.record is not None
        and command.record.phase is phase
    )


def _run_before_record() -> contextlib.AbstractContextManager[object]:
    take = KeyLedgerWorld.take

    def run_at_once(self: KeyLedgerWorld, command: Command) -> None:
        take(self, command)
        if isinstance(command, RecordWrite) and _is_write_of(command, RunPhase.STARTED):
            take(self, self.ledger.write_finished(self.now, command, True))

    return mock.patch.object(KeyLedgerWorld, "take", run_at_once)


def _report_before_recorded_end() -> contextlib.AbstractContextManager[object]:
    take = KeyLedgerWorld.take

    def report_at_once(self: KeyLedgerWorld, command: Command) -> None:
        take(self, command)
        if _is_write_of(command, RunPhase.ENDED):
            self.carry_out(LedgerAction(ActionKind.REPORT_END, KEY))

    return mock.patch.object(KeyLedgerWorld, "take", report_at_once)


def _unknown_may_run() -> contextlib.AbstractContextManager[object]:
    def judge(record: KeyRecord | None, now_us: int) -> DuplicateVerdict:
        verdict = judge_record(record, now_us)
        return DuplicateVerdict.MAY_RUN if verdict is DuplicateVerdict.UNKNOWN else verdict

    return mock.patch.object(record_table, "judge_record", judge)


def _late_write_runs() -> contextlib.AbstractContextManager[object]:
    finish_write = KeyLedger._finish_write

    def finish_abandoned(
        self: KeyLedger, now_us: int, write: RecordWrite, persisted: bool
    ) -> LedgerRow | None:
        row = finish_write(self, now_us, write, persisted) or self.rows.get(write.key)
        if row is not None and row.stage is KeyStage.ABANDONED and write.record is not None:
            row.stage = KeyStage.RECORDING_START
        return row

    return mock.patch.object(KeyLedger, "_finish_write", finish_abandoned)


def _writes_out_of_order() -> contextlib.AbstractContextManager[object]:
    def finish_newest(self: KeyLedgerWorld, persisted: bool) -> None:
        write = self.writes.pop()
        if persisted:
            self.disk = write.record
        self.take(self.ledger.write_finished(self.now, write, persisted))

    return mock.patch.object(KeyLedgerWorld, "finish_write", finish_newest)


def _record_dropped_with_result() -> contextlib.AbstractContextManager[object]:
    drop_results = KeyLedger.drop_results

    def drop_records(self: KeyLedger, now_us: int, needed_bytes: int) -> list[RecordWrite]:
        writes = drop_results(self, now_us, needed_bytes)
        for write in writes:
            self._drop(write.key)
        return [write._replace(record=None) for write in writes]

    return mock.patch.object(KeyLedger, "drop_results", drop_records)


# By the guard that each mutant removes.
MUTANTS: Final[dict[str, Mutant]] = {
    "a record is durable before its run": _run_before_record,
    "an end is durable before it is reported": _report_before_recorded_end,
    "a request that may have run does not run again": _unknown_may_run,
    "a late write starts no run": _late_write_runs,
    "writes finish in order": _writes_out_of_order,
    "a record stays when its result is dropped": _record_dropped_with_result,
}


def explore_ledger(
    mutant: str | None,
    depth: int,
    policy: UndurablePolicy = UndurablePolicy.REJECT,
    max_states: int = MAX_STATES,
) -> Exploration:
    """Explore the world to a depth, with one guard removed or none."""
    with MUTANTS[mutant]() if mutant else contextlib.nullcontext():
        exploration = walked(KeyLedgerWorld(policy=policy), depth, max_states)
    return Exploration(
        exploration.states,
        f"{exploration.found}\n{exploration.script()}" if exploration.found else None,
    )
