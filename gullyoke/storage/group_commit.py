"""A thread that makes durable what others queue, many at once.

Who holds a lock waits for no disk.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable

from gullyoke.storage.store import Store, StoreFaultedError, StoreFullError

Told = Callable[[bool], None]


class GroupCommitter:
    """`put` only queues, `most` entries and `bytes` at once.

    `told` hears on the committer's thread whether it is durable. `weak` after a fault of the disk,
    until a batch goes well again; `refused` counts what found the queue full; `held`, the bytes
    that wait or are being written. `first` is put before all else.
    """

    def __init__(
        self,
        store: Store,
        max_entries: int = 4096,
        group: int = 256,
        bytes: int = 2**22,
        initial_batch: list[tuple[str, bytes | None]] | None = None,
    ) -> None:
        self.store, self.group, self.bytes, self.pending_bytes, self.initial_batch = (
            store,
            group,
            bytes,
            0,
            initial_batch,
        )
        self.queue: queue.Queue = queue.Queue(max_entries)
        self.pen, self.untidy = threading.Lock(), False
        self.degraded, self.rejected, self.committed_groups, self.committed_entries = False, 0, 0, 0
        self.thread = threading.Thread(target=self.run, name="store", daemon=True)
        self.thread.start()

    def put(self, key: str, value: bytes | None, told: Told = lambda durable: None) -> bool:
        """Queue it; False where the queue is full, and then nobody is told."""
        size = len(key) + len(value or b"")
        with self.pen:
            fits = self.pending_bytes + size <= self.bytes
            self.pending_bytes += size * fits
        try:
            if fits:
                self.queue.put_nowait((key, value, told))
                return True
        except queue.Full:
            with self.pen:
                self.pending_bytes -= size
        self.rejected += 1
        return False

    def request_compaction(self) -> None:
        """Compact away what is dead before the next batch, little as it may be."""
        self.untidy = True
        self.put("", None)

    def run(self) -> None:
        if self.initial_batch:
            self.commit(
                [(key, value, lambda durable: None) for key, value in self.initial_batch], False
            )
            self.initial_batch = None
        while (first := self.queue.get()) is not None:
            if self.untidy:
                self.untidy = False
                self.store.compact(16, eager=True)
            batch = [first]
            last = False
            while len(batch) < self.group and not last:
                try:
                    more = self.queue.get_nowait()
                except queue.Empty:
                    break
                if more is None:
                    last = True
                else:
                    batch.append(more)
            self.commit(batch)
            if last:
                return

    def commit(self, batch: list[tuple[str, bytes | None, Told]], counted: bool = True) -> None:
        try:
            self.store.put([(key, value) for key, value, _ in batch if key])
            self.degraded, durable = False, True
        except (StoreFullError, StoreFaultedError):
            self.degraded, durable = True, False
        self.committed_groups, self.committed_entries = (
            self.committed_groups + 1,
            self.committed_entries + len(batch),
        )
        with self.pen:
            self.pending_bytes -= counted * sum(
                len(key) + len(value or b"") for key, value, _ in batch
            )
        for _, _, told in batch:
            told(durable)

    def close(self, patience: float | None = None) -> bool:
        """All that is queued is made durable first, for so many seconds at the most.

        Whether it was.
        """
        try:
            self.queue.put(None, timeout=patience)
        except queue.Full:
            return False
        self.thread.join(patience)
        return not self.thread.is_alive()
