"""Group commit: a thread that makes queued entries durable, many of them with one sync.

Callers never wait for the disk, so they may queue entries while they hold a lock.
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
WAKE_KEY: Final = ""  # the key of an entry that wakes the thread and is not written

OnCommitted = Callable[[bool], None]


def ignore_outcome(persisted: bool) -> None:
    """Ignore whether an entry was made durable."""


class Entry(NamedTuple):
    """A key to be written or deleted.

    Attributes:
        key: The key.
        value: Its value; None deletes the key.
        on_committed: Called with whether the entry is durable, on the committer's thread.
        size_bytes: Its size, counted against the limit on pending bytes.
    """

    key: str
    value: bytes | None
    on_committed: OnCommitted
    size_bytes: int


class BatchStore(Protocol):
    """A store that takes batches: `Store` or `SlotFile`."""

    def put(self, batch: Iterable[tuple[str, bytes | None]]) -> None:
        """Make a batch durable, or raise StoreFullError or StoreFaultedError."""


StoreT = TypeVar("StoreT", bound=BatchStore)


class GroupCommitter(Generic[StoreT]):
    """Queues entries and commits them in groups on a thread of its own.

    Once the committer exists, only its thread uses the store. The owner calls `close`.

    Attributes:
        degraded: Whether the last group could not be made durable.
        rejected: How many entries were rejected because the queue was full or too many bytes were
            pending.
        pending_bytes: The size of the keys and values that are queued or being written.
        committed_groups: How many groups were passed to the store, durable or not.
        committed_entries: How many entries these groups had.

    Args:
        store: The store that entries are put into.
        max_entries: How many entries may be queued.
        group_size: How many entries a group may have.
        max_bytes: How many bytes may be pending.
        initial_batch: Entries to put before all others.
    """

    def __init__(
        self,
        store: StoreT,
        max_entries: int = MAX_QUEUED_ENTRIES,
        group_size: int = MAX_GROUP_ENTRIES,
        max_bytes: int = MAX_PENDING_BYTES,
        initial_batch: Sequence[tuple[str, bytes | None]] = (),
    ) -> None:
        self.store = store
        self.group_size = group_size
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
            False if the queue is full or too many bytes are pending; `on_committed` is not called
            then.
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
        """Compact dead records away before the next group, even if there are few."""
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
            closing = self._fill_batch(batch)
            self._commit(batch)
            if closing:
                return

    def _compact(self) -> None:
        if isinstance(self.store, Store):  # a slot file is written in place
            self.store.compact(COMPACTED_SEGMENTS_AT_ONCE, eager=True)

    def _fill_batch(self, batch: list[Entry]) -> bool:
        """Add queued entries up to the size of a group; return whether `close` was called."""
        while len(batch) < self.group_size:
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
        """Write the queued entries, then end the thread.

        Args:
            timeout_s: How long to wait for space in the queue, and then again for the
                thread to end.

        Returns:
            Whether the thread has written all entries and ended in time.
        """
        try:
            self.queue.put(None, timeout=timeout_s)
        except queue.Full:
            return False
        self.thread.join(timeout_s)
        return not self.thread.is_alive()
