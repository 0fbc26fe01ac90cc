"""Notes of reqs that must not run twice, kept over restarts.

What the rules of gullyoke/durability come to on a real folder.

A run is given once its note is on the disk, and its end told once that is; both wait on the
committer's thread, never under the desk's lock. The decisions hear of a req that could not be
promised as of one that there was nowhere to run (`UNRUN`), and of the disk's state by their
handlers' `open`.
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
from gullyoke.extensions.promised import NOTE, Promised, digest, encode, packed, unpacked
from gullyoke.membership.member_record import REFUTATIONS_PER_START
from gullyoke.operator_config.wanted import Kept, Wanted
from gullyoke.runtime import clock
from gullyoke.runtime.duplicate_table import DuplicateTable, KeyEntry
from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.messages import Answer
from gullyoke.runtime.pending_request import PendingRequest
from gullyoke.storage import GroupCommitter, Store, StoreVersionError

if TYPE_CHECKING:
    from gullyoke.extensions.fleet import Fleet

FOLDER, MARK = "keys", "mark"
SWEEP, LOOK = (
    50_000,
    1_000_000,
)  # microseconds between looks at what is overdue, and at all the rest
OPEN, CLOSE = 5.0, 0.5  # seconds that a start waits for the folder, and an end for the queue
RESULTS = 16 * 2**20  # bytes of notes and results in memory at the most

decode_mark = msgspec.msgpack.Decoder(tuple[int, str, int, int]).decode


class Remembered(DuplicateTable):
    """Repeats of this life, and behind them what earlier ones noted.

    `doubts` says whether further tries of what is not known are doubted now.
    """

    def __init__(
        self,
        fresh_for: int,
        past: Callable[[int, str], KeyRecord | None],
        doubts: Callable[[int], bool],
    ) -> None:
        super().__init__(fresh_for)
        self.past, self.doubts = past, doubts

    def find(self, request: PendingRequest, now: int):
        entry, prior = super().find(request, now)
        if (
            entry is not None
            or not request.key
            or request.request_class.idempotency is Idempotency.IDEMPOTENT
        ):
            return entry, prior
        note = self.past(now, digest(request.request_class.name, request.key))
        if note is not None:
            entry = KeyEntry(None, note.window_end_us)
            if note.phase is RunPhase.ENDED and note.status:
                entry.result = Answer(note.status, note.body, note.fields)
            return entry, REMEMBERED_REQUEST
        if request.is_retry and self.doubts(now):
            return KeyEntry(None, now), REMEMBERED_REQUEST
        return None, None


class Keys(BaseExtension):
    name = section = "kept"

    def __init__(self, kept: Kept, folders: DataFolders, fleet: Fleet | None = None) -> None:
        super().__init__(kept)
        self.kept, self.folders, self.fleet = kept, folders, fleet
        self.committer: GroupCommitter | None = None
        self.ready = threading.Event()
        self.trust: FolderTrust | None = None
        self.mark: FolderMark | None = None
        self.last = self.doubted = self.next = 0  # `last`: the number of the start before this one
        self.shut = self.lost = False  # `lost`: what the folder held is gone

    # Put together.

    def create_duplicate_table(self, configuration: DaemonConfiguration) -> Remembered:
        """A table that also finds what earlier starts of this server noted."""
        return Remembered(configuration.facts.fleet.read_cache_ttl, self.past, self.doubts)

    def wrap_executor(self, daemon: DaemonParts, executor: Executor) -> Executor:
        self.daemon = daemon
        self.ledger = KeyLedger(
            int(time.time()), UndurablePolicy(self.kept.without), min(RESULTS, self.kept.quota // 2)
        )
        self.folder = self.folders.open(self.kept.folder, self.kept.quota, daemon.metrics)
        self.window = max(
            [h.key_ttl for h in daemon.configuration.facts.request_classes], default=0
        )
        self.promised = Promised(
            executor, daemon.dispatcher, self.ledger, self.fit, self.put, daemon.metrics
        )
        return self.promised

    def attach(self, daemon: DaemonParts) -> None:
        """The folder is read on a thread of its own: a disk that hangs holds up no start."""
        threading.Thread(target=self.open, name="keys", daemon=True).start()
        if not self.ready.wait(OPEN):
            log.error("keys not read yet", extra=log_fields(folder=self.kept.folder))

    def start(self) -> None:
        self.folder.register(DataKind.KEY_RECORDS, self.ledger.record_bytes)
        self.folder.register(DataKind.RESULTS, self.ledger.result_bytes, self.give)
        self.folder.add_compaction(self.tidy)
        self.folder.start()
        self.folder.monitor.listeners.append(self.turned)
        self.daemon.timer.call_at(clock.now() + SWEEP, self.sweep)

    def opened(self) -> Store:
        self.files = self.folder.monitor.open_folder(os.path.join(self.kept.folder, FOLDER))
        return Store(
            self.files, segment_bytes=max(4096, self.kept.quota // 8), quota_bytes=self.kept.quota
        )

    def open(self) -> None:
        """Read what is there, say how far it is believed, and write down what is in force here and
        is not there: at the start nothing is, after the folder was gone all of it.
        """
        now, found, mark = clock.now(), [], None
        try:
            store = self.opened()
            for key, value in store.items():
                if key == MARK:
                    mark = FolderMark(*decode_mark(value))
                elif key.startswith(NOTE) and (note := unpacked(value)) is not None:
                    found.append((key, note))
        except (OSError, ValueError, msgspec.MsgspecError) as fault:
            self.daemon.metrics.increment("keys.unread")
            log.error("keys not read", extra=log_fields(folder=self.kept.folder, why=fault))
            if self.trust is None:
                self.trust, self.doubted = (
                    FolderTrust(False, False, True, str(fault)),
                    now + self.window,
                )
            self.lost = not isinstance(fault, StoreVersionError)  # read once it can be
            self.ready.set()
            return
        trust = assess_folder(mark, len(found), self.daemon.configuration.name, 0, now)
        with self.promised.pen:
            rows = [(key, packed(row.record)) for key, row in self.ledger.rows.items()]
            known = {key for key, _ in rows}
            found = [(key, note) for key, note in found if key not in known]
            past = self.ledger.recover(now, found if trust.believed else [])
            if self.mark is None:
                self.last = mark.number if mark is not None else 0
                self.mark = next_mark(mark, self.daemon.configuration.name, int(time.time()), now)
            if self.trust is None:
                self.trust, self.doubted = trust, now + self.window if trust.doubts_retries else 0
            gone = past if trust.believed else [key for key, _ in found]
            first = [(MARK, encode(tuple(self.mark))), *rows, *((key, None) for key in gone)]
            self.committer, self.lost = (
                GroupCommitter(store, initial_batch=first) if trust.writable else None,
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

    def compare(self, now: int) -> None:
        """Once in a fleet: a copy that is older than what the others know is believed no more, and
        the mark grows with this server's own start there.
        """
        if self.fleet is None or self.mark is None or self.committer is None:
            return
        member = self.fleet.member
        known, own = (
            member.join_state.known_version // REFUTATIONS_PER_START,
            member.record.version // REFUTATIONS_PER_START,
        )
        if self.trust.believed and is_older_copy(self.last, known):
            self.trust = FolderTrust(
                False, True, True, f"an older copy: start {self.last}, others know {known}"
            )
            self.doubted = now + self.window
            with self.promised.pen:
                for key in self.ledger.forget_other_starts():
                    self.put(key, None)
            self.daemon.metrics.increment("keys.older_copy")
            log.error("keys not believed", extra=log_fields(why=self.trust.reason))
        if own > self.mark.number:
            self.mark = self.mark._replace(number=own, written_us=now)
            self.put(MARK, encode(tuple(self.mark)))

    # For the decisions' side.

    def past(self, now: int, key: str) -> KeyRecord | None:
        with self.promised.pen:
            return self.ledger.find(now, key)

    def doubts(self, now: int) -> bool:
        return not self.ready.is_set() or now < self.doubted

    def fit(self) -> bool:
        """Whether the disk may be asked for a promise now."""
        return self.committer is not None and self.folder.monitor.admit_write()

    def put(
        self, key: str, value: bytes | None, told: Callable[[bool], None] = lambda durable: None
    ) -> bool:
        return self.committer is not None and self.committer.put(key, value, told)

    # From the timer.

    def sweep(self) -> None:
        now = clock.now()
        self.daemon.timer.call_at(now + SWEEP, self.sweep)
        self.promised.overdue(now)
        bad = self.folder.monitor.update_state() in BAD_STATES
        self.state(not bad and self.committer is not None)
        if now >= self.next:
            self.next = now + LOOK
            if not bad:
                with self.promised.pen:
                    for key in self.ledger.expire(now):
                        self.put(key, None)
            self.compare(now)

    def state(self, fit: bool) -> None:
        """What the decisions go by."""
        shut = not fit and self.ledger.policy is UndurablePolicy.REJECT
        if shut != self.shut:
            self.shut = shut
            for request_class in self.daemon.configuration.facts.request_classes:
                request_class.accepting = not (
                    shut and request_class.idempotency is Idempotency.KEYED
                )

    def give(self, size: int) -> None:
        """Results go, the oldest first."""
        with self.promised.pen:
            puts = self.ledger.drop_results(clock.now(), size)
            for put in puts:
                self.put(
                    put.key,
                    packed(put.record),
                    lambda durable, put=put: self.promised.told(put, durable),
                )
        self.daemon.metrics.increment("keys.results_dropped", len(puts))

    def tidy(self) -> None:
        if self.committer is not None:
            self.committer.request_compaction()

    def turned(self, change: DiskStateChange) -> None:
        """A folder that was gone and is back has nothing of what lay in it, or is another's.

        Called under the watch's lock.
        """
        self.lost |= change.current is DiskState.MISSING
        if self.lost and change.current not in BAD_STATES:
            threading.Thread(target=self.again, name="keys", daemon=True).start()

    def again(self) -> None:
        """What was open is let go, and the folder begun anew."""
        if self.committer is not None:
            self.committer.close(CLOSE)
            self.files.close()
        self.daemon.metrics.increment("keys.begun_anew")
        self.open()

    def ignored_changes(self, new: Wanted) -> list[str]:
        return []  # what the file says of it is the memory's part too

    def log_status(self) -> None:
        with self.promised.pen:
            one, waits, committer = self.ledger, self.ledger.pending_writes, self.committer
            row = {
                "notes": len(one.rows),
                "bytes": one.size_bytes,
                "bare": one.unrecorded_runs,
                "lost": one.unrecorded_ends,
                "refused": one.rejected,
                "out": len(one.writes_in_flight),
                "usual_ms": f"{waits.mean_us / 1000:.2f}",
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
        """Never held up for long by a disk that hangs."""
        self.folder.monitor.stop()
        if self.committer is not None and not self.committer.close(CLOSE):
            log.error("keys not all written", extra=log_fields(held=self.committer.pending_bytes))
