"""The table by which duplicates of a request are known and answered with its result."""

from __future__ import annotations

from typing import Final, NamedTuple

from gullyoke.admission.interface import (
    REMEMBERED_REQUEST,
    Idempotency,
    RememberedRequest,
    Request,
    RequestClass,
)
from gullyoke.runtime.messages import Answer
from gullyoke.runtime.pending_request import PendingRequest

MAX_RESULT_BYTES: Final = 16 * 2**20  # of all results together


class KeyEntry:
    """A remembered request.

    Attributes:
        request: The request while it is in flight; None once its run has ended.
        expires_at: Until when (microseconds of the clock) later requests count as duplicates of it.
        body_digest: A hash of what it asked for; None where that is not known.
        ended_at: When its run ended; 0 before that.
        result: Its answer; None where the run did not complete or too many results are kept.
        waiters: Duplicates that wait for its run.
    """

    __slots__ = ("body_digest", "ended_at", "expires_at", "request", "result", "waiters")

    def __init__(
        self, request: PendingRequest | None, expires_at: int, body_digest: int | None = None
    ) -> None:
        self.request = request
        self.expires_at = expires_at
        self.body_digest = body_digest
        self.ended_at = 0
        self.result: Answer | None = None
        self.waiters: list[PendingRequest] = []


class DuplicateMatch(NamedTuple):
    """What a request is a duplicate of.

    Args:
        entry: The entry of the request that it duplicates; None for none.
        duplicate_of: That request while it is in flight, `REMEMBERED_REQUEST` once it has ended,
            None for none.
    """

    entry: KeyEntry | None
    duplicate_of: Request | RememberedRequest | None


NO_MATCH: Final = DuplicateMatch(None, None)


class DuplicateTable:
    """One entry for each key that the controller remembers, until it expires or is forgotten.

    All methods are called under the dispatcher's lock.

    Args:
        read_cache_ttl: For how many microseconds the result of an idempotent request is fresh.
    """

    def __init__(self, read_cache_ttl: int) -> None:
        self.read_cache_ttl = read_cache_ttl
        self.result_bytes = 0
        self.entries: dict[tuple[RequestClass, str], KeyEntry] = {}

    def live_entry(self, request: PendingRequest) -> KeyEntry | None:
        """Return the entry under the request's key that it arrived in time for, if any.

        That is while the first request is in flight, and until the entry expires.
        """
        entry = self.entries.get((request.request_class, request.key)) if request.key else None
        if entry is None or (entry.request is None and request.arrived > entry.expires_at):
            return None
        return entry

    def conflicts(self, request: PendingRequest) -> bool:
        """Return whether a keyed request asks for something else than the first under its key.

        Guards against an answer that belongs to another client, where one reuses a key or has
        seen one.
        """
        entry = self.live_entry(request)
        if entry is None or entry.body_digest is None:
            return False
        if request.request_class.idempotency is not Idempotency.KEYED:
            return False
        return entry.body_digest != request.body_digest

    def find(self, request: PendingRequest, now: int) -> DuplicateMatch:
        """Return what the request is a duplicate of."""
        entry = self.live_entry(request)
        if entry is None:
            return NO_MATCH
        if entry.request is not None:
            return DuplicateMatch(entry, entry.request)
        stale = entry.result is None or now > entry.ended_at + self.read_cache_ttl
        if stale and request.request_class.idempotency is Idempotency.IDEMPOTENT:
            return NO_MATCH
        return DuplicateMatch(entry, REMEMBERED_REQUEST)

    def remember(self, request: PendingRequest, expires_at: int) -> None:
        """Remember a request under its key, in the place of whatever was remembered there."""
        if not request.key:
            return
        self.forget(request)
        key = request.request_class, request.key
        previous = self.entries.pop(key, None)
        if previous is not None:
            self._drop_result(previous)
        entry = KeyEntry(request, expires_at, request.body_digest)
        self.entries[key] = entry
        request.key_entry = entry

    def forget(self, request: PendingRequest) -> list[PendingRequest]:
        """Remove the request's entry; return the duplicates that waited for it."""
        entry = request.key_entry
        request.key_entry = None
        if entry is None:
            return []
        assert request.key is not None  # only a request with a key has an entry
        key = request.request_class, request.key
        if self.entries.get(key) is entry:
            del self.entries[key]
        self._drop_result(entry)
        return entry.waiters

    def run_ended(
        self, request: PendingRequest, result: Answer | None, now: int
    ) -> list[PendingRequest]:
        """Note that the request's run has ended; return the duplicates that waited for it.

        Args:
            request: The request.
            result: Its answer; None where the run did not complete.
            now: Microseconds of the clock.
        """
        entry = request.key_entry
        if entry is None or entry.request is None:
            return []
        entry.request = None
        entry.ended_at = now
        if result is not None and self.result_bytes + result.size() <= MAX_RESULT_BYTES:
            entry.result = result
            self.result_bytes += result.size()
        waiters = entry.waiters
        entry.waiters = []
        return waiters

    def expire(self, now: int) -> None:
        """Remove expired entries.

        An entry outlives its expiry by its class's client timeout: duplicates that arrived before
        may still be unread.
        """
        for key, entry in list(self.entries.items()):
            request_class, _ = key
            if entry.request is None and entry.expires_at + request_class.timeout < now:
                del self.entries[key]
                self._drop_result(entry)

    def _drop_result(self, entry: KeyEntry) -> None:
        if entry.result is not None:
            self.result_bytes -= entry.result.size()
            entry.result = None
