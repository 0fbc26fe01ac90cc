"""The table of kept reqs: by which a repeat is known, and from whose results it is answered."""

from __future__ import annotations

from gullyoke.admission.interface import PAST, Idempotency, RequestClass
from gullyoke.runtime.messages import Answer

RESULTS = 16 * 2**20  # bytes of results that are kept at most


class KeyEntry:
    """A kept request.

    `request` is the request while it is in hand; `body_digest` tells what it asked for from what
    others ask for, None where that is not known; `result` is None if it didn't end well.
    """

    __slots__ = ("body_digest", "ended_at", "expires_at", "request", "result", "waiters")

    def __init__(self, request, expires_at: int, body_digest: int | None = None) -> None:
        self.request, self.expires_at, self.body_digest, self.ended_at = (
            request,
            expires_at,
            body_digest,
            0,
        )
        self.result: Answer | None = None
        self.waiters: list = []  # repeats to be answered from it


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
        if entry is None or (entry.request is None and request.arrived > entry.expires_at):
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
            and entry.body_digest is not None
            and request.request_class.idempotency is Idempotency.KEYED
        )
        return known and entry.body_digest != request.body_digest

    def find(self, request, now: int):
        """The entry it repeats, if it came while that was alive, and what the decisions hear of
        it.
        """
        entry = self.alive(request)
        if entry is None:
            return None, None
        if entry.request is not None:
            return entry, entry.request
        stale = entry.result is None or now > entry.ended_at + self.fresh_for
        if stale and request.request_class.idempotency is Idempotency.IDEMPOTENT:
            return None, None
        return entry, PAST

    def remember(self, request, expires_at: int) -> None:
        """Also refreshes: a newer try takes the place of its entry's request."""
        if request.key:
            self.forget(request)
            old = self.entries.pop((request.request_class, request.key), None)
            if old is not None:
                self._drop(old)
            request.key_entry = self.entries[request.request_class, request.key] = KeyEntry(
                request, expires_at, request.body_digest
            )

    def forget(self, request) -> list:
        """Take its entry out; who waited for it is handed back."""
        entry, request.key_entry = request.key_entry, None
        if entry is None:
            return []
        if self.entries.get((request.request_class, request.key)) is entry:
            del self.entries[request.request_class, request.key]
        self._drop(entry)
        return entry.waiters

    def run_ended(self, request, result: Answer | None, now: int) -> list:
        """Its run is over: note how; who waits for it is handed back."""
        entry = request.key_entry
        if entry is None or entry.request is None:
            return []
        entry.request, entry.ended_at = None, now
        if result is not None and self.bytes + result.size() <= RESULTS:
            entry.result = result
            self.bytes += result.size()
        waiting, entry.waiters = entry.waiters, []
        return waiting

    def expire(self, now: int) -> None:
        """An entry outlives its time by that of a caller.

        Repeats that came within it may still be unread.
        """
        for key, entry in list(self.entries.items()):
            if entry.request is None and entry.expires_at + key[0].timeout < now:
                del self.entries[key]
                self._drop(entry)

    def _drop(self, entry: KeyEntry) -> None:
        if entry.result is not None:
            self.bytes -= entry.result.size()
            entry.result = None
