"""Passes requests to this process's voter, and delays replies until the folder is written.

A reply that depends on a promise or a record is sent after the write to disk has succeeded or
failed, by the thread that wrote.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager
from functools import partial
from typing import Any, Protocol

from gullyoke.leases.messages import (
    EpochQuery,
    EpochReply,
    LeaseRelease,
    LeaseRequest,
    PreVote,
)
from gullyoke.leases.replicated_record import (
    ReadRecord,
    RecordStore,
    RecordWritten,
    StoredRecord,
    WriteRecord,
)
from gullyoke.leases.voter import PromiseWrite, Voter
from gullyoke.membership.member_record import MemberRecord
from gullyoke.peer_transport.lease_codec import (
    PROMISE_KEY_PREFIX,
    RECORD_KEY_PREFIX,
    encode_promise,
    encode_record,
    pack,
)
from gullyoke.peer_transport.link import AddressedBody
from gullyoke.runtime import clock
from gullyoke.runtime.metrics import Metrics


class WriteDurably(Protocol):
    """Writes a value under a key to the voter's folder."""

    def __call__(self, key: str, data: bytes, on_written: Callable[[bool], None], /) -> bool:
        """Queue the write; return False if it cannot be queued.

        `on_written` is called with True if the write succeeded, otherwise with False.
        """


class VoterRequests:
    """Passes messages to the voter and its folder, and sends the delayed replies."""

    def __init__(
        self,
        lock: AbstractContextManager[Any],
        write_durably: WriteDurably,
        send: Callable[[list[AddressedBody]], None],
        metrics: Metrics,
    ) -> None:
        """Connect the voter's requests to the folder and the transport.

        Args:
            lock: Guards the voter and its records; held by the caller of `handle`.
            write_durably: Writes to the voter's folder.
            send: Sends bodies from the writing thread.
            metrics: Counts successful and failed writes of promises.
        """
        self._lock = lock
        self._write_durably = write_durably
        self._send = send
        self._metrics = metrics

    def handle(
        self,
        voter: Voter,
        records: RecordStore,
        now: int,
        sender: MemberRecord,
        message: tuple[Any, ...],
    ) -> tuple[Any, ...] | None:
        """Return the voter's answer; None if no answer exists or the answer waits for the disk."""
        match message:
            case PreVote():
                return voter.answer_pre_vote(now, message)
            case LeaseRequest():
                answer = voter.answer_request(now, message)
                if isinstance(answer, PromiseWrite):
                    self._write_promise(voter, answer, sender.address)
                    return None
                return answer
            case LeaseRelease():
                voter.release(now, message)
            case EpochQuery():
                return voter.answer_epoch_query(now, message)
            case EpochReply():
                self._learn(voter, now, message)
            case ReadRecord():
                return None if voter.fresh else records.read(message, voter.name)
            case WriteRecord():
                return self._write_record(voter, records, message, sender.address)
        return None

    def _write_promise(self, voter: Voter, write: PromiseWrite, requester: str) -> None:
        def on_written(written: bool) -> None:
            with self._lock:
                reply = voter.write_finished(clock.now(), write, written)
            self._metrics.increment("duty.promised" if written else "duty.unpromised")
            if reply is not None:
                self._send([AddressedBody(requester, pack(reply))])

        key = PROMISE_KEY_PREFIX + write.duty
        if not self._write_durably(key, encode_promise(write.promise), on_written):
            voter.write_finished(clock.now(), write, False)

    def _learn(self, voter: Voter, now: int, message: EpochReply) -> None:
        writes = voter.learn_epochs(now, message)
        remaining = len(writes)

        def on_written(write: PromiseWrite, written: bool) -> None:
            nonlocal remaining
            with self._lock:
                remaining -= written
                if written:
                    voter.promise_learned(write, remaining == 0)

        for write in writes:
            self._write_durably(
                PROMISE_KEY_PREFIX + write.duty,
                encode_promise(write.promise),
                partial(on_written, write),
            )

    def _write_record(
        self, voter: Voter, records: RecordStore, request: WriteRecord, requester: str
    ) -> RecordWritten | None:
        """Return the answer to a rejected write; an accepted one is answered after it ends."""
        if voter.fresh:
            return None
        promise = voter.promises.get(request.duty)
        if not records.accepts(request, promise.epoch if promise else 0):
            return records.acknowledge(request, voter.name)
        record = StoredRecord(request.epoch, request.write_number, request.body)

        def on_written(written: bool) -> None:
            with self._lock:
                if written:
                    records.store(request.duty, record)
                answer = records.acknowledge(request, voter.name)
            self._send([AddressedBody(requester, pack(answer))])

        self._write_durably(RECORD_KEY_PREFIX + request.duty, encode_record(record), on_written)
        return None
