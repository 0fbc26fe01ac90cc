"""The table of kept reqs: by which a repeat is known, and from whose results it is answered."""

from __future__ import annotations

from gullyoke.admission.interface import PAST, Idempotency, RequestClass
from gullyoke.runtime.messages import Answer

RESULTS = 16 * 2**20  # bytes of results that are kept at most


class KeyEntry:
    """A kept request.

    `holder` is the request while it is in hand; `content` tells what it asked for from what others
    ask for, None where that is not known; `result` is None if it didn't end well.
    """

    __slots__ = ("content", "ended", "holder", "result", "until", "waiting")

    def __init__(self, holder, until: int, content: int | None = None) -> None:
        self.holder, self.until, self.content, self.ended = holder, until, content, 0
        self.result: Answer | None = None
        self.waiting: list = []  # repeats to be answered from it


class DuplicateTable:
    """Table: one entry for each key that the decisions keep.

    Gone after its time or when forgotten.
    """

    def __init__(self, fresh_for: int) -> None:
        self.fresh_for, self.bytes = fresh_for, 0
        self.entries: dict[tuple[RequestClass, str], KeyEntry] = {}

    def alive(self, request) -> KeyEntry | None:
        """The entry under its key, if it came within that one's time or while that one is in
        hand.
        """
        entry = self.entries.get((request.request_class, request.key)) if request.key else None
        if entry is None or (entry.holder is None and request.arrived > entry.until):
            return None
        return entry

    def conflicts(self, request) -> bool:
        """Whether a keyed request asks for something else than the one that came under its key.

        Guards against an answer that belongs to another, for a client that reuses a key or has seen
        one.
        """
        entry = self.alive(request)
        known = (
            entry is not None
            and entry.content is not None
            and request.request_class.idempotency is Idempotency.KEYED
        )
        return known and entry.content != request.body_digest

    def find(self, request, now: int):
        """The entry it repeats, if it came while that was alive, and what the decisions hear of
        it.
        """
        entry = self.alive(request)
        if entry is None:
            return None, None
        if entry.holder is not None:
            return entry, entry.holder
        stale = entry.result is None or now > entry.ended + self.fresh_for
        if stale and request.request_class.idempotency is Idempotency.IDEMPOTENT:
            return None, None
        return entry, PAST

    def remember(self, request, until: int) -> None:
        """Also refreshes: a newer try takes the place of its entry's holder."""
        if request.key:
            self.forget(request)
            old = self.entries.pop((request.request_class, request.key), None)
            if old is not None:
                self._drop(old)
            request.key_entry = self.entries[request.request_class, request.key] = KeyEntry(
                request, until, request.body_digest
            )

    def forget(self, request) -> list:
        """Take its entry out; who waited for it is handed back."""
        entry, request.key_entry = request.key_entry, None
        if entry is None:
            return []
        if self.entries.get((request.request_class, request.key)) is entry:
            del self.entries[request.request_class, request.key]
        self._drop(entry)
        return entry.waiting

    def run_ended(self, request, result: Answer | None, now: int) -> list:
        """Its run is over: note how; who waits for it is handed back."""
        entry = request.key_entry
        if entry is None or entry.holder is None:
            return []
        entry.holder, entry.ended = None, now
        if result is not None and self.bytes + result.size() <= RESULTS:
            entry.result = result
            self.bytes += result.size()
        waiting, entry.waiting = entry.waiting, []
        return waiting

    def expire(self, now: int) -> None:
        """An entry outlives its time by that of a caller.

        Repeats that came within it may still be unread.
        """
        for key, entry in list(self.entries.items()):
            if entry.holder is None and entry.until + key[0].timeout < now:
                del self.entries[key]
                self._drop(entry)

    def _drop(self, entry: KeyEntry) -> None:
        if entry.result is not None:
            self.bytes -= entry.result.size()
            entry.result = None
