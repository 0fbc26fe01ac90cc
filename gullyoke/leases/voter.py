"""One voter: which process it has granted which lease, and under which epoch.

A voter's promise is durable before it is sent: `Voter.answer_request` returns a `PromiseWrite` if a
new promise has to be written first, and `Voter.write_finished` then returns the reply. A renewal
under the same epoch writes nothing.

A voter that starts with its promises first waits until the leases that it may have granted have
ended. A voter that starts without them (with a new folder, or a folder from an older copy) waits as
well and then asks the other voters for their promises. It waits until the replies include a voter
of every majority to which it may have belonged, and stores the promises before it votes. A voter
whose disk fails grants nothing new.

Sources: leases are from Gray and Cheriton (1989); epochs granted once by a majority are from Paxos
(Lamport 1998); no grant to another candidate while a lease runs, and the pre-vote before a request,
are from Raft (Ongaro 2014); operations that carry epochs are Chubby's sequencers (Burrows 2006).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from gullyoke.leases.durations import LeaseDurations
from gullyoke.leases.messages import (
    NOBODY,
    EpochQuery,
    EpochReply,
    LeaseRelease,
    LeaseRequest,
    PreVote,
    VoteReply,
)
from gullyoke.leases.promises import (
    MAX_LEASES,
    NO_PROMISE,
    Promise,
    ReportedPromises,
    newest_promises,
    replies_needed,
)

LEARN_INTERVAL_US = 500_000  # interval between queries for the other voters' promises
SUCCESSOR_PREFERENCE_US = 1_000_000  # how long only the successor may get a handed-over lease


class PromiseWrite(NamedTuple):
    """A promise to be made durable; `reply`, if any, is sent afterwards."""

    duty: str
    promise: Promise
    reply: VoteReply | None


class PreferredSuccessor(NamedTuple):
    """The successor named in a release, and the time until which only it gets the lease."""

    name: str
    until_us: int


class Voter:
    """A voter for all leases of a fleet.

    All times are microseconds of this process's monotonic clock.

    Attributes:
        promises: Promises by the name of the lease; at most `MAX_LEASES`, never removed.
        pending_writes: Promises that are being written to disk, at most one per lease.
        fresh: Whether this voter has no promises of its own and still has to recover them.
        silent_until_us: End of the leases that this voter may have granted before this start; until
            then it grants no new ones.
        disk_ok: Whether the last write of a promise succeeded.
        failed_writes: How many writes of promises have failed.
    """

    def __init__(
        self,
        now: int,
        name: str,
        incarnation: int,
        others: Iterable[str],
        durations: LeaseDurations,
        promises: Mapping[str, Promise] | None,
        voter_set: int = 1,
    ) -> None:
        """Start a voter.

        Args:
            now: The time of the start.
            name: This voter's name.
            incarnation: The random number drawn at this process's start.
            others: Names of the other voters.
            durations: The durations that all voters and candidates use.
            promises: The promises on disk; None if the folder is not this voter's.
            voter_set: Number of the set of voters.
        """
        self.name = name
        self.incarnation = incarnation
        self.others = frozenset(others)
        self.durations = durations
        self.voter_set = voter_set
        self.promises: dict[str, Promise] = dict(promises or {})
        self.fresh = promises is None
        self.silent_until_us = now + durations.with_clock_drift_us(durations.lease_us)
        self.lease_ends_us: dict[str, int] = {}
        self.pending_writes: dict[str, PromiseWrite] = {}
        self.disk_ok = True
        self.failed_writes = 0
        self._last_disk_retry_us = now
        self._preferred_successors: dict[str, PreferredSuccessor] = {}
        self._round = 0
        self._next_query_us = 0
        self._learned: dict[str, ReportedPromises] = {}
        self._other_fresh_voters: set[str] = set()

    def set_others(self, others: Iterable[str], voter_set: int) -> None:
        """Switch to the next set of voters, which differs by one voter.

        All promises stay. A voter that is still recovering promises starts over with the new set.
        """
        self.others = frozenset(others)
        self.voter_set = voter_set
        self._learned.clear()
        self._other_fresh_voters.clear()

    def may_vote(self, now: int) -> bool:
        """Return whether this voter may grant new leases yet."""
        return now >= self.silent_until_us and not self.fresh

    # Recovery of lost promises.

    def next_epoch_query(self, now: int) -> EpochQuery | None:
        """Return the query that a fresh voter sends to all others, if a new round is due."""
        if not self.fresh or now < max(self.silent_until_us, self._next_query_us):
            return None
        self._round += 1
        self._next_query_us = now + LEARN_INTERVAL_US
        self._learned.clear()
        self._other_fresh_voters.clear()
        return EpochQuery(self.name, self.incarnation, self._round)

    def answer_epoch_query(self, now: int, query: EpochQuery) -> EpochReply | None:
        """Return this voter's promises; a fresh voter replies that it has none."""
        if query.voter not in self.others:
            return None
        known = {} if self.fresh else self.promises
        entries = tuple((duty, *promise) for duty, promise in sorted(known.items()))
        return EpochReply(self.name, query.round, entries, self.fresh)

    def learn_epochs(self, now: int, reply: EpochReply) -> list[PromiseWrite]:
        """Add another voter's promises; once there are enough, return the promises to store.

        This voter stays fresh until `promise_learned` has reported all these promises as durable.
        If all others have replied and some are fresh as well, either the fleet is new or promises
        are lost for good. The voters then start with the promises that are left, and candidates
        request epochs above any earlier one (`epoch_floor` in `gullyoke/leases/candidate.py`).
        """
        if not self.fresh or reply.round != self._round or reply.voter not in self.others:
            return []
        if reply.fresh:
            self._other_fresh_voters.add(reply.voter)
        else:
            self._learned[reply.voter] = reply.promises
        all_answered = self._learned.keys() | self._other_fresh_voters == self.others
        if len(self._learned) < replies_needed(len(self.others)) and not all_answered:
            return []
        newest = newest_promises(self._learned.values())
        self._learned.clear()
        self._round += 1  # later replies are ignored; after a failed write a new query follows
        if not newest:
            self.fresh = False
        return [PromiseWrite(duty, promise, None) for duty, promise in newest.items()]

    def promise_learned(self, write: PromiseWrite, last: bool) -> None:
        """Apply a recovered promise that is durable; after the `last` one this voter votes."""
        self.promises[write.duty] = write.promise
        if last:
            self.fresh = False

    # Requests for a lease.

    def answer_pre_vote(self, now: int, pre_vote: PreVote) -> VoteReply:
        """Return whether this voter would grant the lease; nothing is promised."""
        granted = self._decide_grant(now, pre_vote.duty, pre_vote.incarnation, pre_vote.name)
        return self._reply(now, pre_vote, granted, to_request=False)

    def answer_request(self, now: int, request: LeaseRequest) -> VoteReply | PromiseWrite | None:
        """Return the reply, or the promise that must be durable before the reply is sent.

        None while another promise for that lease is being written to disk.
        """
        duty = request.duty
        if duty in self.pending_writes:
            return None
        promise = self.promises.get(duty, NO_PROMISE)
        same_holder = (promise.epoch, promise.incarnation) == (request.epoch, request.incarnation)
        same_set = request.voter_set == self.voter_set
        if same_holder and same_set and not self.fresh:
            # A renewal or a duplicate: the promise is durable already.
            self._start_lease(now, duty)
            return self._reply(now, request, granted=True, to_request=True)
        granted = (
            request.epoch > promise.epoch
            and same_set
            and self._decide_grant(now, duty, request.incarnation, request.name)
        )
        if not granted or (len(self.promises) >= MAX_LEASES and duty not in self.promises):
            return self._reply(now, request, granted=False, to_request=True)
        write = PromiseWrite(
            duty,
            Promise(request.epoch, request.incarnation, request.name),
            self._grant_reply(request),
        )
        self.pending_writes[duty] = write
        return write

    def write_finished(self, now: int, write: PromiseWrite, written: bool) -> VoteReply | None:
        """Return the reply to send after the disk has stored a promise or failed to.

        After a failure it is unknown whether the promise is on disk. The epoch then counts as
        promised to nobody, and the next request must have a higher one.
        """
        if self.pending_writes.get(write.duty) is not write:
            return None
        del self.pending_writes[write.duty]
        self.disk_ok = written
        if written:
            self.promises[write.duty] = write.promise
            self._start_lease(now, write.duty)
            return write.reply
        self.failed_writes += 1
        self.promises[write.duty] = Promise(write.promise.epoch, NOBODY, "")
        return write.reply and write.reply._replace(
            granted=False, holder_incarnation=NOBODY, holder="", remaining_us=0
        )

    def release(self, now: int, release: LeaseRelease) -> None:
        """End a lease that its holder has released."""
        promise = self.promises.get(release.duty)
        if promise is None:
            return
        if (promise.epoch, promise.incarnation) != (release.epoch, release.incarnation):
            return
        self.lease_ends_us[release.duty] = now
        if release.successor:
            until_us = now + SUCCESSOR_PREFERENCE_US
            successor = PreferredSuccessor(release.successor, until_us)
            self._preferred_successors[release.duty] = successor

    def _decide_grant(self, now: int, duty: str, incarnation: int, name: str) -> bool:
        """Return whether to grant a lease; after a failed write, uses up the retry of the disk."""
        if not self.may_vote(now):
            return False
        if not self.disk_ok and not self._use_disk_retry(now):
            return False
        preferred = self._preferred_successors.get(duty)
        if preferred is not None and now < preferred.until_us and name not in ("", preferred.name):
            return False
        if now >= self.lease_ends_us.get(duty, 0):
            return True
        return self.promises.get(duty, NO_PROMISE).incarnation == incarnation

    def _use_disk_retry(self, now: int) -> bool:
        """Return whether a failed disk may be retried now; allowed once per lease duration.

        If so, starts the wait for the next retry.
        """
        if now - self._last_disk_retry_us < self.durations.lease_us:
            return False
        self._last_disk_retry_us = now
        return True

    def _start_lease(self, now: int, duty: str) -> None:
        lease_us = self.durations.with_clock_drift_us(self.durations.lease_us)
        self.lease_ends_us[duty] = now + lease_us

    def _reply(
        self, now: int, message: PreVote | LeaseRequest, granted: bool, to_request: bool
    ) -> VoteReply:
        """Return a reply that states who holds the lease now."""
        promise = self.promises.get(message.duty, NO_PROMISE)
        remaining_us = max(0, self.lease_ends_us.get(message.duty, 0) - now)
        return VoteReply(
            duty=message.duty,
            recipient=message.incarnation,
            round=message.round,
            voter=self.name,
            granted=granted,
            to_request=to_request,
            epoch=promise.epoch,
            holder_incarnation=promise.incarnation if remaining_us else NOBODY,
            holder=promise.holder if remaining_us else "",
            remaining_us=remaining_us,
            voter_set=self.voter_set,
        )

    def _grant_reply(self, request: LeaseRequest) -> VoteReply:
        """Return the reply that grants a request, to be sent once the promise is durable."""
        return VoteReply(
            duty=request.duty,
            recipient=request.incarnation,
            round=request.round,
            voter=self.name,
            granted=True,
            to_request=True,
            epoch=request.epoch,
            holder_incarnation=request.incarnation,
            holder=request.name,
            remaining_us=self.durations.lease_us,
            voter_set=self.voter_set,
        )
