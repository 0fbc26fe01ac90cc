"""Group commit: a thread that makes durable what others queue, many entries with one sync.

Whoever holds a lock never waits for the disk.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable, Iterable, Sequence
from typing import Final, Generic, NamedTuple, Protocol, TypeVar

from gullyoke.storage.store import Store, StoreFaultedError, StoreFullError

MAX_QUEUED_ENTRIES: Final = 4096
MAX_GROUP_ENTRIES: Final = 256
MAX_PENDING_BYTES: Final = 2**22
COMPACTED_SEGMENTS_AT_ONCE: Final = 16
WAKE_KEY: Final = ""  # of an entry that only wakes the thread and is not written

OnCommitted = Callable[[bool], None]


def ignore_outcome(persisted: bool) -> None:
    """For entries whose writer need not know whether they are durable."""


class Entry(NamedTuple):
    """A key to be written, and who is called with whether it is durable.

    Attributes:
        key: The key.
        value: Its value; None deletes the key.
        on_committed: Called on the committer's thread.
        size_bytes: What it counts for against the bound on pending bytes.
    """

    key: str
    value: bytes | None
    on_committed: OnCommitted
    size_bytes: int


class BatchStore(Protocol):
    """A store that a batch can be put into: `Store` or `SlotFile`."""

    def put(self, batch: Iterable[tuple[str, bytes | None]]) -> None:
        """Make a batch durable. Raises StoreFullError or StoreFaultedError."""


StoreT = TypeVar("StoreT", bound=BatchStore)


class GroupCommitter(Generic[StoreT]):
    """Queues entries and commits them in groups on a thread of its own.

    The store belongs to that thread from here on. The owner calls `close`.

    Attributes:
        degraded: The last group could not be made durable.
        rejected: Entries that found the queue full.
        pending_bytes: Keys and values that are queued or being written.
        committed_groups: Groups that were given to the store, durable or not.
        committed_entries: The entries in them.

    Args:
        store: What entries are put into.
        max_entries: How many entries may be queued.
        group: How many entries a group may have.
        max_bytes: How many bytes may be pending.
        initial_batch: Put before all else.
    """

    def __init__(
        self,
        store: StoreT,
        max_entries: int = MAX_QUEUED_ENTRIES,
        group: int = MAX_GROUP_ENTRIES,
        max_bytes: int = MAX_PENDING_BYTES,
        initial_batch: Sequence[tuple[str, bytes | None]] = (),
    ) -> None:
        self.store = store
        self.group = group
        self.max_bytes = max_bytes
        self.initial_batch = initial_batch
        self.queue: queue.Queue[Entry | None] = queue.Queue(max_entries)
        self.bytes_lock = threading.Lock()
        self.pending_bytes = 0
        self.compaction_requested = False
        self.degraded = False
        self.rejected = 0
        self.committed_groups = 0
        self.committed_entries = 0
        self.thread = threading.Thread(target=self._run, name="store", daemon=True)
        self.thread.start()

    def put(
        self, key: str, value: bytes | None, on_committed: OnCommitted = ignore_outcome
    ) -> bool:
        """Queue an entry; never waits.

        Returns:
            False where the queue is full; `on_committed` is not called then.
        """
        size_bytes = len(key) + len(value or b"")
        with self.bytes_lock:
            fits = self.pending_bytes + size_bytes <= self.max_bytes
            if fits:
                self.pending_bytes += size_bytes
        if fits:
            try:
                self.queue.put_nowait(Entry(key, value, on_committed, size_bytes))
                return True
            except queue.Full:
                with self.bytes_lock:
                    self.pending_bytes -= size_bytes
        self.rejected += 1
        return False

    def request_compaction(self) -> None:
        """Compact away what is dead before the next group, little as it may be."""
        self.compaction_requested = True
        self.put(WAKE_KEY, None)

    def _run(self) -> None:
        if self.initial_batch:
            self._commit(
                [Entry(key, value, ignore_outcome, 0) for key, value in self.initial_batch]
            )
            self.initial_batch = ()
        while (first := self.queue.get()) is not None:
            if self.compaction_requested:
                self.compaction_requested = False
                self._compact()
            batch = [first]
            closing = self._fill(batch)
            self._commit(batch)
            if closing:
                return

    def _compact(self) -> None:
        if isinstance(self.store, Store):  # slots have nothing to compact
            self.store.compact(COMPACTED_SEGMENTS_AT_ONCE, eager=True)

    def _fill(self, batch: list[Entry]) -> bool:
        """Add what is queued, up to a group; whether the committer is being closed."""
        while len(batch) < self.group:
            try:
                entry = self.queue.get_nowait()
            except queue.Empty:
                return False
            if entry is None:
                return True
            batch.append(entry)
        return False

    def _commit(self, batch: list[Entry]) -> None:
        try:
            self.store.put([(entry.key, entry.value) for entry in batch if entry.key != WAKE_KEY])
            persisted = True
        except (StoreFullError, StoreFaultedError):
            persisted = False
        self.degraded = not persisted
        self.committed_groups += 1
        self.committed_entries += len(batch)
        with self.bytes_lock:
            self.pending_bytes -= sum(entry.size_bytes for entry in batch)
        for entry in batch:
            entry.on_committed(persisted)

    def close(self, timeout_s: float | None = None) -> bool:
        """Make durable what is queued, then end the thread.

        Args:
            timeout_s: How long to wait for space in the queue, and again for the thread.

        Returns:
            Whether all of it was written and the thread has ended.
        """
        try:
            self.queue.put(None, timeout=timeout_s)
        except queue.Full:
            return False
        self.thread.join(timeout_s)
        return not self.thread.is_alive()
