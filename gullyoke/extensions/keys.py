"""Records of requests that must not run twice, kept over restarts.

This module connects the rules of gullyoke/durability to a folder.

A run starts once its record is on the disk, and the end of a run is reported once that end is on
the disk. The committer's thread waits for the disk, never under the dispatcher's lock. A request
whose record can't be written is reported to the decisions as one that nothing has capacity to run
(`NO_CAPACITY`). While the disk can't be used, the request classes with keys accept no requests
(`accepting`).
"""

from __future__ import annotations

import os
import threading
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from gullyoke.admission.interface import REMEMBERED_REQUEST, Idempotency
from gullyoke.daemon.configuration import DaemonConfiguration
from gullyoke.daemon.extension import DaemonParts
from gullyoke.durability import (
    DiskState,
    FolderMark,
    FolderTrust,
    KeyLedger,
    KeyRecord,
    RunPhase,
    UndurablePolicy,
    assess_folder,
)
from gullyoke.durability.disk_health import BAD_STATES, DiskStateChange
from gullyoke.durability.disk_quota import DataKind
from gullyoke.durability.folder_trust import is_older_copy, next_mark
from gullyoke.executors import Executor
from gullyoke.extensions.base import BaseExtension
from gullyoke.extensions.data_folders import DataFolders
from gullyoke.extensions.durable_executor import (
    RECORD_KEY_PREFIX,
    DurableExecutor,
    body_digest,
    encode,
    needs_record,
    pack_key_record,
    record_key,
    unpack_key_record,
)
from gullyoke.membership.member_record import REFUTATIONS_PER_START
from gullyoke.operator_config.wanted import OperatorSettings, StoreSection
from gullyoke.runtime import clock
from gullyoke.runtime.duplicate_table import DuplicateTable, KeyEntry
from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.messages import Answer
from gullyoke.runtime.pending_request import PendingRequest
from gullyoke.storage import GroupCommitter, Store, StoreVersionError

if TYPE_CHECKING:
    from gullyoke.extensions.fleet import Fleet

FOLDER_NAME, MARK_KEY = "keys", "mark"
SWEEP_INTERVAL_US, CHECK_INTERVAL_US = (
    50_000,
    1_000_000,
)  # microseconds between checks for overdue writes, and between all other checks
OPEN_TIMEOUT_S, CLOSE_TIMEOUT_S = (
    5.0,
    0.5,
)  # seconds for which the start waits for the folder to be read, and `close` for the queue
MAX_MEMORY_BYTES = 16 * 2**20  # the most bytes of records and results in memory

decode_mark = msgspec.msgpack.Decoder(tuple[int, str, int, int]).decode


class PersistentDuplicateTable(DuplicateTable):
    """Finds duplicates of requests of this start and of earlier ones."""

    def __init__(
        self,
        fresh_for: int,
        find_record: Callable[[int, str], KeyRecord | None],
        doubts_retries: Callable[[int], bool],
    ) -> None:
        """Create the table.

        Args:
            fresh_for: for how long a result in memory is used, in microseconds.
            find_record: returns the record of an earlier request, given the arrival of the later
                one and the key.
            doubts_retries: returns whether retries of unknown requests that arrived at a time may
                be duplicates.
        """
        super().__init__(fresh_for)
        self.find_record, self.doubts_retries = find_record, doubts_retries

    def conflicts(self, request: PendingRequest) -> bool:
        """Return whether a keyed request has another body than the first one with its key."""
        if self.live_entry(request) is not None:
            return super().conflicts(request)
        if request.request_class.idempotency is not Idempotency.KEYED:
            return False
        record = self._stored_record(request)
        return (
            record is not None and bool(record.body_digest) and not _has_same_body(record, request)
        )

    def find(self, request: PendingRequest, now: int):
        """Find what a request is a duplicate of, in memory or among the records.

        A request gets the result of a record only if its body is known to be the same.
        """
        entry, prior = super().find(request, now)
        if entry is not None or not needs_record(request):
            return entry, prior
        record = self._stored_record(request)
        if record is not None:
            entry = KeyEntry(None, record.window_end_us)
            has_result = record.phase is RunPhase.ENDED and record.status
            if has_result and _has_same_body(record, request):
                entry.result = Answer(record.status, record.body, record.fields)
            return entry, REMEMBERED_REQUEST
        if request.is_retry and self.doubts_retries(request.arrived):
            return KeyEntry(None, now), REMEMBERED_REQUEST
        return None, None

    def _stored_record(self, request: PendingRequest) -> KeyRecord | None:
        key = record_key(request.request_class.name, request.key)
        return self.find_record(request.arrived, key)


def _has_same_body(record: KeyRecord, request: PendingRequest) -> bool:
    """Return whether a request is known to have the body of the recorded one."""
    return record.body_digest == body_digest(request.key, request.message.body)


class Keys(BaseExtension):
    """Keeps the records of keys in the folder of the operator's file.

    Attributes:
        committer: writes the records; None while the folder can't be used.
        ready: set once the folder has been read, or could not be.
        trust: how far the folder is trusted; None before `ready`.
        mark: what identifies the folder, as it is stored; None before the folder could be read.
        previous_start: the number of the start before this one.
        doubted_until_us: until when retries of unknown requests may be duplicates.
        next_check_us: when the checks other than that for overdue writes are due.
        rejecting: whether the request classes with keys accept no requests.
        must_reopen: whether the folder has to be read again once the disk can be used.
    """

    name = section = "kept"

    def __init__(
        self, kept: StoreSection, folders: DataFolders, fleet: Fleet | None = None
    ) -> None:
        super().__init__(kept)
        self.kept, self.folders, self.fleet = kept, folders, fleet
        self.committer: GroupCommitter | None = None
        self.ready = threading.Event()
        self.trust: FolderTrust | None = None
        self.mark: FolderMark | None = None
        self.previous_start = self.doubted_until_us = self.next_check_us = 0
        self.rejecting = self.must_reopen = False

    # The parts of the daemon.

    def create_duplicate_table(
        self, configuration: DaemonConfiguration
    ) -> PersistentDuplicateTable:
        """Create a table that also finds the records of earlier starts of this server."""
        return PersistentDuplicateTable(
            configuration.facts.fleet.read_cache_ttl, self.find_record, self.doubts_retries
        )

    def wrap_executor(self, daemon: DaemonParts, executor: Executor) -> Executor:
        """Put the executor behind one that makes records durable."""
        self.daemon = daemon
        self.ledger = KeyLedger(
            int(time.time()),
            UndurablePolicy(self.kept.without),
            min(MAX_MEMORY_BYTES, self.kept.quota // 2),
            max(
                [
                    request_class.timeout
                    for request_class in daemon.configuration.facts.request_classes
                    if request_class.idempotency is not Idempotency.IDEMPOTENT
                ],
                default=0,
            ),
        )
        self.folder = self.folders.open(self.kept.folder, self.kept.quota, daemon.metrics)
        self.window = max(
            [request_class.key_ttl for request_class in daemon.configuration.facts.request_classes],
            default=0,
        )
        self.durable_executor = DurableExecutor(
            executor,
            daemon.dispatcher,
            self.ledger,
            self.disk_accepts,
            self.queue_write,
            daemon.metrics,
        )
        return self.durable_executor

    def attach(self, daemon: DaemonParts) -> None:
        """Read the folder on a thread of its own, so that a hanging disk can't block the start."""
        threading.Thread(target=self.read_folder, name="keys", daemon=True).start()
        if not self.ready.wait(OPEN_TIMEOUT_S):
            log.error("key records not read yet", extra=log_fields(folder=self.kept.folder))

    def start(self) -> None:
        """Start the checks, and register the records with the folder's quota."""
        self.folder.register(DataKind.KEY_RECORDS, self.ledger.record_bytes)
        self.folder.register(DataKind.RESULTS, self.ledger.result_bytes, self.delete_results)
        self.folder.add_compaction(self.compact)
        self.folder.start()
        self.folder.monitor.listeners.append(self.on_disk_change)
        self.daemon.timer.call_at(clock.now() + SWEEP_INTERVAL_US, self.sweep)

    def open_store(self) -> Store:
        """Open the folder and return its store."""
        self.files = self.folder.monitor.open_folder(os.path.join(self.kept.folder, FOLDER_NAME))
        return Store(
            self.files, segment_bytes=max(4096, self.kept.quota // 8), quota_bytes=self.kept.quota
        )

    def read_folder(self) -> None:
        """Read the folder, judge how far it is trusted, and write the present records to it.

        At the start there are no present records; after the folder was lost there may be many.
        """
        now, stored, mark, skipped = clock.now(), [], None, 0
        try:
            store = self.open_store()
            for key, value in store.items():
                if key == MARK_KEY:
                    mark = FolderMark(*decode_mark(value))
                elif key.startswith(RECORD_KEY_PREFIX):
                    key_record = unpack_key_record(value)
                    if key_record is None:
                        skipped += 1
                    else:
                        stored.append((key, key_record))
        except (OSError, ValueError, msgspec.MsgspecError) as failure:
            self.daemon.metrics.increment("keys.unread")
            log.error(
                "key records can't be read", extra=log_fields(folder=self.kept.folder, why=failure)
            )
            if self.trust is None:
                self.trust, self.doubted_until_us = (
                    FolderTrust(False, False, True, str(failure)),
                    now + self.window,
                )
            # Read it again once the disk can be used; a store of another version stays unreadable.
            self.must_reopen = not isinstance(failure, StoreVersionError)
            self.ready.set()
            return
        if skipped:
            self.daemon.metrics.increment("keys.skipped", skipped)
            log.error(
                "key records skipped",
                extra=log_fields(
                    folder=self.kept.folder,
                    records=skipped,
                    why="damaged, or of a later release",
                ),
            )
        trust = assess_folder(mark, len(stored), self.daemon.configuration.name, 0, now)
        with self.durable_executor.lock:
            rows = [(key, pack_key_record(row.record)) for key, row in self.ledger.rows.items()]
            known = {key for key, _ in rows}
            stored = [(key, key_record) for key, key_record in stored if key not in known]
            past = self.ledger.recover(now, stored if trust.believed else [])
            if self.mark is None:
                self.previous_start = mark.number if mark is not None else 0
                self.mark = next_mark(mark, self.daemon.configuration.name, int(time.time()), now)
            if self.trust is None:
                self.trust, self.doubted_until_us = (
                    trust,
                    now + self.window if trust.doubts_retries else 0,
                )
            unused = past if trust.believed else [key for key, _ in stored]
            first_batch = [
                (MARK_KEY, encode(tuple(self.mark))),
                *rows,
                *((key, None) for key in unused),
            ]
            self.committer, self.must_reopen = (
                GroupCommitter(store, initial_batch=first_batch) if trust.writable else None,
                False,
            )
        self.ready.set()
        log.info(
            "keys",
            extra=log_fields(
                folder=self.kept.folder,
                notes=len(self.ledger.rows),
                past=len(past),
                start=self.mark.number,
                why=trust.reason,
                dropped=store.dropped_bytes,
            ),
        )

    def check_start_number(self, now: int) -> None:
        """Compare the folder's start number with the one that the other members know.

        A folder with a lower number is an older copy, and is no longer trusted. The number in the
        mark follows this server's own start number in the fleet.
        """
        if self.fleet is None or self.mark is None or self.committer is None:
            return
        member = self.fleet.member
        known, own = (
            member.join_state.known_version // REFUTATIONS_PER_START,
            member.record.version // REFUTATIONS_PER_START,
        )
        if self.trust.believed and is_older_copy(self.previous_start, known):
            self.trust = FolderTrust(
                False,
                True,
                True,
                f"an older copy: start {self.previous_start}, others know {known}",
            )
            self.doubted_until_us = now + self.window
            with self.durable_executor.lock:
                for key in self.ledger.forget_other_starts():
                    self.queue_write(key, None)
            self.daemon.metrics.increment("keys.older_copy")
            log.error("keys not believed", extra=log_fields(why=self.trust.reason))
        if own > self.mark.number:
            self.mark = self.mark._replace(number=own, written_us=now)
            self.queue_write(MARK_KEY, encode(tuple(self.mark)))

    # Called by the duplicate table and the executor.

    def find_record(self, arrived: int, key: str) -> KeyRecord | None:
        """Return the record of a key for a request that arrived at a time; None for none."""
        with self.durable_executor.lock:
            return self.ledger.find(arrived, key)

    def doubts_retries(self, arrived: int) -> bool:
        """Return whether retries of unknown requests that arrived at a time may be duplicates."""
        return not self.ready.is_set() or arrived < self.doubted_until_us

    def disk_accepts(self) -> bool:
        """Return whether the disk accepts a write that a request waits for."""
        return self.committer is not None and self.folder.monitor.admit_write()

    def queue_write(
        self,
        key: str,
        value: bytes | None,
        on_written: Callable[[bool], None] = lambda durable: None,
    ) -> bool:
        """Queue a write, and return whether that was possible.

        Args:
            key: the key.
            value: the value; None removes the key.
            on_written: called with whether the write is durable.
        """
        return self.committer is not None and self.committer.put(key, value, on_written)

    # Called on the timer's thread.

    def sweep(self) -> None:
        """Act on overdue writes and on the state of the disk; at longer intervals, expire keys."""
        now = clock.now()
        self.daemon.timer.call_at(now + SWEEP_INTERVAL_US, self.sweep)
        self.durable_executor.apply_timeouts(now)
        bad = self.folder.monitor.update_state() in BAD_STATES
        self.update_accepting(not bad and self.committer is not None)
        if now >= self.next_check_us:
            self.next_check_us = now + CHECK_INTERVAL_US
            if not bad:
                with self.durable_executor.lock:
                    for key in self.ledger.expire(now):
                        self.queue_write(key, None)
            self.check_start_number(now)

    def update_accepting(self, writable: bool) -> None:
        """Set whether the request classes with keys accept requests.

        Args:
            writable: whether records can be written.
        """
        rejects = not writable and self.ledger.policy is UndurablePolicy.REJECT
        if rejects != self.rejecting:
            self.rejecting = rejects
            for request_class in self.daemon.configuration.facts.request_classes:
                request_class.accepting = not (
                    rejects and request_class.idempotency is Idempotency.KEYED
                )

    def delete_results(self, size: int) -> None:
        """Drop results, the oldest first."""
        with self.durable_executor.lock:
            writes = self.ledger.drop_results(clock.now(), size)
            for write in writes:
                self.queue_write(
                    write.key,
                    pack_key_record(write.record),
                    lambda durable, write=write: self.durable_executor.on_write_finished(
                        write, durable
                    ),
                )
        self.daemon.metrics.increment("keys.results_dropped", len(writes))

    def compact(self) -> None:
        """Have the store compacted."""
        if self.committer is not None:
            self.committer.request_compaction()

    def on_disk_change(self, change: DiskStateChange) -> None:
        """Read the folder again once the disk can be used, if it was missing or unreadable.

        The records of a folder that was missing may be lost, or be those of another server. Called
        under the monitor's lock.
        """
        self.must_reopen |= change.current is DiskState.MISSING
        if self.must_reopen and change.current not in BAD_STATES:
            threading.Thread(target=self.reopen, name="keys", daemon=True).start()

    def reopen(self) -> None:
        """Close the folder and read it again."""
        if self.committer is not None:
            self.committer.close(CLOSE_TIMEOUT_S)
            self.files.close()
        self.daemon.metrics.increment("keys.begun_anew")
        self.read_folder()

    def ignored_changes(self, new: OperatorSettings) -> list[str]:
        """Return nothing: `Memory` has the same section and reports its changes."""
        return []

    def log_status(self) -> None:
        """Log the figures of the ledger."""
        with self.durable_executor.lock:
            key_ledger, pending, committer = self.ledger, self.ledger.pending_writes, self.committer
            row = {
                "notes": len(key_ledger.rows),
                "bytes": key_ledger.size_bytes,
                "bare": key_ledger.unrecorded_runs,
                "lost": key_ledger.unrecorded_ends,
                "refused": key_ledger.rejected,
                "out": len(key_ledger.writes_in_flight),
                "usual_ms": f"{pending.mean_us / 1000:.2f}",
            }
        groups = committer.committed_groups if committer else 0
        log.info(
            "keys",
            extra=log_fields(
                **row,
                state=self.folder.monitor.update_state().value,
                group=f"{committer.committed_entries / groups:.1f}" if groups else "-",
            ),
        )

    def close(self) -> None:
        """Write what is queued; a disk that hangs delays this only for a short time."""
        self.folder.monitor.stop()
        if self.committer is not None and not self.committer.close(CLOSE_TIMEOUT_S):
            log.error(
                "key records not all written", extra=log_fields(held=self.committer.pending_bytes)
            )
