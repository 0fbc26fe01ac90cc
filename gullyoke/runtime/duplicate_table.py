"""The duplicate table, which finds duplicates of a request and keeps the result for them."""

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

MAX_RESULT_BYTES: Final = 16 * 2**20  # total size of all results that are kept


class KeyEntry:
    """A remembered request.

    Attributes:
        request: The request while it is in flight; None after its run has ended.
        expires_at: Time until which later requests are duplicates, in microseconds of the clock.
        body_digest: A hash of the request body; None if unknown.
        ended_at: When the run ended, in microseconds of the clock; 0 before that.
        result: The answer; None if the run did not complete or the kept results would exceed
            `MAX_RESULT_BYTES`.
        waiters: Duplicates that wait for the end of the run.
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
    """The result of a search for the original of a request.

    Args:
        entry: The entry of the original; None if the request is not a duplicate.
        duplicate_of: The original while it is in flight, `REMEMBERED_REQUEST` after its run has
            ended, None if the request is not a duplicate.
    """

    entry: KeyEntry | None
    duplicate_of: Request | RememberedRequest | None


NO_MATCH: Final = DuplicateMatch(None, None)


class DuplicateTable:
    """The entries of all remembered requests, by request class and key.

    An entry stays until it expires or the controller forgets the request. All methods are called
    under the dispatcher's lock.

    Args:
        read_cache_ttl: How many microseconds the result of an idempotent request may be reused.
    """

    def __init__(self, read_cache_ttl: int) -> None:
        self.read_cache_ttl = read_cache_ttl
        self.result_bytes = 0
        self.entries: dict[tuple[RequestClass, str], KeyEntry] = {}

    def live_entry(self, request: PendingRequest) -> KeyEntry | None:
        """Return the entry of the request's key; None if there is none that applies.

        An entry applies while its request is in flight, and after that to requests that arrived
        before it expired.
        """
        entry = self.entries.get((request.request_class, request.key)) if request.key else None
        if entry is None or (entry.request is None and request.arrived > entry.expires_at):
            return None
        return entry

    def conflicts(self, request: PendingRequest) -> bool:
        """Return whether a keyed request has another body than the first request with its key.

        Guards against an answer to the wrong client, if a client reuses a key or has seen the key
        of another client.
        """
        entry = self.live_entry(request)
        if entry is None or entry.body_digest is None:
            return False
        if request.request_class.idempotency is not Idempotency.KEYED:
            return False
        return entry.body_digest != request.body_digest

    def find(self, request: PendingRequest, now: int) -> DuplicateMatch:
        """Return the original of which the request is a duplicate, or `NO_MATCH`."""
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
        """Remember a request under its key; an earlier entry of the key is replaced."""
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

    def record_run_end(
        self, request: PendingRequest, result: Answer | None, now: int
    ) -> list[PendingRequest]:
        """Record the end of the request's run; remove and return the duplicates that wait for it.

        Args:
            request: The request.
            result: The answer; None if the run did not complete.
            now: The time in microseconds of the clock.
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

        An entry is kept for the client timeout of its class beyond its expiry, since duplicates
        that arrived before the expiry may not have been read yet.
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
