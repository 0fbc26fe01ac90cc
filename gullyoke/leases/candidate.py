"""One process that competes for one lease: how it acquires, renews and releases the lease.

A candidate sends two rounds of messages. It requests the lease under a new epoch only after a
majority has answered a pre-vote that it would grant the lease, so a process that is cut off uses up
no epochs. The duration of the lease is counted from before the request was sent, and the holder
stops by itself when the lease ends. In the second half of its lease a holder no longer renews:
otherwise a process that can send but not receive would keep the lease from all others.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from gullyoke.leases.candidate_state import AddressedMessage, CandidateState, LeaseChange
from gullyoke.leases.durations import LeaseDurations
from gullyoke.leases.messages import (
    HandoverAccept,
    HandoverOffer,
    LeaseMessage,
    LeaseRelease,
    LeaseRequest,
    PreVote,
    VoteReply,
)

REPLY_TIMEOUT_US = 300_000  # how long a request waits for a majority of replies
FIRST_PAUSE_US = 150_000  # pause after a failed round; doubled after each further one
LONGEST_PAUSE_US = 2_000_000
EAGER_US = 1_500_000  # how long a successor tries to take over
EAGER_INTERVAL_US = 50_000  # interval between the successor's rounds
FAILED_PAUSE_US = 30_000_000  # how long a process does not compete after its work failed


class Candidate:
    """A candidate for one lease, and its holder while `held_epoch` returns an epoch.

    All times are microseconds of this process's monotonic clock.

    Attributes:
        wants_lease: Whether the candidate competes for the lease; set by the owner.
        delay_us: How long the candidate leaves a free lease to others that rank higher; set by the
            owner.
        not_before_us: The time before which the owner should not let the candidate compete, since
            the work failed in this process.
        highest_epoch: The highest epoch that the candidate has seen.
        holder: Name of the last known holder; empty if unknown.
        granted_by: Voters that granted in the current round.
        rejected_by: Voters that rejected in the current round.
        listeners: Called with each `LeaseChange`.
    """

    def __init__(
        self,
        duty: str,
        name: str,
        incarnation: int,
        voters: Iterable[str],
        durations: LeaseDurations,
        draw: Callable[[], float],
        voter_set: int = 1,
        epoch_floor: Callable[[], int] = int,
    ) -> None:
        """Start an idle candidate.

        Args:
            duty: Name of the lease.
            name: Name of this process.
            incarnation: The random number drawn when this process started.
            voters: Names of all voters.
            durations: The durations that all voters and candidates use.
            draw: Returns a random number from 0 to 1.
            voter_set: Number of the set of voters.
            epoch_floor: Returns the lowest epoch to request. With a number that only grows, such as
                the wall clock's second, epochs grow even after all voters lost their promises.
        """
        self.duty = duty
        self.name = name
        self.incarnation = incarnation
        self.voters = frozenset(voters)
        self.durations = durations
        self.draw = draw
        self.voter_set = voter_set
        self.epoch_floor = epoch_floor
        self.state = CandidateState.IDLE
        self.epoch = 0
        self.lease_end_us = 0
        self.requested_at_us = 0
        self.round = 0
        self.next_round_us = 0
        self.pause_us = FIRST_PAUSE_US
        self.granted_by: set[str] = set()
        self.rejected_by: set[str] = set()
        self.highest_epoch = 0
        self.holder = ""
        self.free_since_us: int | None = None
        self.expected_end_us = 0
        self.wants_lease = False
        self.delay_us = 0
        self.eager_until_us = 0
        self.not_before_us = 0
        self.successor = ""
        self.listeners: list[Callable[[LeaseChange], None]] = []

    def held_epoch(self, now: int) -> int | None:
        """Return the epoch under which this process may act now; None if it may not act.

        Call this again after every wait.
        """
        safe_until_us = self.lease_end_us - self.durations.margin_us
        if self.state is CandidateState.HOLDING and now < safe_until_us:
            return self.epoch
        return None

    def remaining_us(self, now: int) -> int:
        """Return how long this process may still act without a renewal; 0 if it may not act."""
        if self.state is not CandidateState.HOLDING:
            return 0
        return max(0, self.lease_end_us - self.durations.margin_us - now)

    def set_voters(self, now: int, voters: Iterable[str], voter_set: int) -> None:
        """Switch to the next set of voters.

        A lease that the previous set granted runs to its end and is renewed by the new set.
        """
        self.voters = frozenset(voters)
        self.voter_set = voter_set
        self.round += 1
        self.granted_by = set()
        self.rejected_by = set()
        self.next_round_us = now

    # Rounds.

    def tick(self, now: int) -> list[AddressedMessage]:
        """Return the messages to send now; to be called several times per `FIRST_PAUSE_US`."""
        if self.state is CandidateState.HOLDING and now >= self.lease_end_us:
            self._report(now, "lost", "the lease expired")
            self.state = CandidateState.IDLE
            self.next_round_us = now + int(FIRST_PAUSE_US * (1 + self.draw()))
        if self.state is CandidateState.HOLDING:
            first_half = self.lease_end_us - now > self.durations.lease_us // 2
            return self._renew(now) if now >= self.next_round_us and first_half else []
        if now < self.next_round_us:
            return []
        if self.state is CandidateState.REQUESTING:
            return self._give_up(now)
        if not self.wants_lease and now >= self.eager_until_us:
            return []
        return self._start_pre_vote(now)

    def _start_pre_vote(self, now: int) -> list[AddressedMessage]:
        self._start_round(CandidateState.PRE_VOTING)
        if now < self.eager_until_us:
            self.next_round_us = now + EAGER_INTERVAL_US
        else:
            self.next_round_us = now + int(self.pause_us * (1 + self.draw()))
        self.pause_us = min(LONGEST_PAUSE_US, 2 * self.pause_us)
        return self._to_all_voters(
            PreVote(self.duty, self.incarnation, self.name, self.round, self.voter_set)
        )

    def _start_request(self, now: int) -> list[AddressedMessage]:
        self._start_round(CandidateState.REQUESTING)
        self.epoch = max(self.highest_epoch + 1, self.epoch_floor())
        self.highest_epoch = self.epoch
        self.requested_at_us = now
        self.next_round_us = now + REPLY_TIMEOUT_US
        return self._to_all_voters(self._request())

    def _renew(self, now: int) -> list[AddressedMessage]:
        self._start_round(CandidateState.HOLDING)
        self.requested_at_us = now
        self.next_round_us = now + self.durations.renew_interval_us()
        return self._to_all_voters(self._request())

    def _request(self) -> LeaseRequest:
        return LeaseRequest(
            self.duty, self.incarnation, self.name, self.epoch, self.round, self.voter_set
        )

    def _start_round(self, state: CandidateState) -> None:
        self.state = state
        self.round += 1
        self.granted_by = set()
        self.rejected_by = set()

    def _to_all_voters(self, message: LeaseMessage) -> list[AddressedMessage]:
        return [AddressedMessage(voter, message) for voter in sorted(self.voters)]

    def _give_up(self, now: int) -> list[AddressedMessage]:
        """End a request that got no majority; release any grants that it did get."""
        release = LeaseRelease(self.duty, self.incarnation, self.epoch, "", False)
        self.state = CandidateState.IDLE
        self.next_round_us = now + int(self.pause_us * (1 + self.draw()))
        self.pause_us = min(LONGEST_PAUSE_US, 2 * self.pause_us)
        return self._to_all_voters(release)

    # Replies.

    def handle_reply(self, now: int, reply: VoteReply) -> list[AddressedMessage]:
        """Handle a voter's reply; return the messages to send in response."""
        if (reply.duty, reply.recipient) != (self.duty, self.incarnation):
            return []
        if reply.voter not in self.voters:
            return []
        self.highest_epoch = max(self.highest_epoch, reply.epoch)
        if reply.holder_incarnation != self.incarnation:
            self._record_holder(now, reply)
        if reply.round != self.round or reply.voter_set != self.voter_set:
            return []
        # Sets of names: a voter counts once, however often its reply comes.
        counted = self.granted_by if reply.granted else self.rejected_by
        counted.add(reply.voter)
        if reply.to_request:
            return self._count_request_reply(now, reply)
        if self.state is CandidateState.PRE_VOTING:
            return self._count_pre_votes(now)
        return []

    def _record_holder(self, now: int, reply: VoteReply) -> None:
        """Record who holds the lease according to one voter."""
        if reply.remaining_us:
            self.holder = reply.holder
            self.free_since_us = None
            self.expected_end_us = now + reply.remaining_us
        elif self.free_since_us is None:
            self.free_since_us = now

    def _count_pre_votes(self, now: int) -> list[AddressedMessage]:
        if 2 * len(self.granted_by) > len(self.voters):
            self.pause_us = FIRST_PAUSE_US
            earliest_us = self._earliest_request_us(now)
            if now >= earliest_us:
                return self._start_request(now)
            self.next_round_us = min(self.next_round_us, earliest_us)
        elif self.expected_end_us > now and now >= self.eager_until_us:
            # Another process holds the lease: retry when that lease would end, or after the
            # duration of a lease if that is sooner.
            self.pause_us = FIRST_PAUSE_US
            end_us = min(now + self.durations.lease_us, self.expected_end_us)
            self.next_round_us = end_us + int(FIRST_PAUSE_US * self.draw())
        return []

    def _earliest_request_us(self, now: int) -> int:
        """Return when the delay in favour of higher-ranked candidates has passed."""
        if now < self.eager_until_us:
            return now
        if self.free_since_us is None:
            self.free_since_us = now
        return self.free_since_us + self.delay_us

    def _count_request_reply(self, now: int, reply: VoteReply) -> list[AddressedMessage]:
        if reply.granted and reply.epoch == self.epoch:
            self._count_grants(now)
            return []
        rejections = 2 * len(self.rejected_by)
        if self.state is CandidateState.REQUESTING and rejections >= len(self.voters):
            return self._give_up(now)
        if self.state is CandidateState.HOLDING and rejections > len(self.voters):
            # A majority rejects the renewal, so retries would fail too. The lease runs to its end.
            self.next_round_us = self.lease_end_us
        return []

    def _count_grants(self, now: int) -> None:
        """Start or extend the lease once a majority has granted this round."""
        if 2 * len(self.granted_by) <= len(self.voters):
            return
        end_us = self.requested_at_us + self.durations.lease_us  # counted from before the request
        if now >= end_us:
            return
        if self.state is CandidateState.HOLDING:
            self.lease_end_us = max(self.lease_end_us, end_us)
        elif self.state is CandidateState.REQUESTING:
            self._start_lease(now, end_us)

    def _start_lease(self, now: int, end_us: int) -> None:
        self.state = CandidateState.HOLDING
        self.lease_end_us = end_us
        self.next_round_us = now + self.durations.renew_interval_us()
        self.pause_us = FIRST_PAUSE_US
        self.eager_until_us = 0
        self.free_since_us = None
        self.holder = self.name
        self._report(now, "held", f"granted by {', '.join(sorted(self.granted_by))}")

    # Release and handover.

    def release_lease(
        self, now: int, why: str, to: str = "", failed: bool = False
    ) -> list[AddressedMessage]:
        """Release the lease at once; this process does nothing more under its epoch.

        Args:
            now: The time.
            why: The reason, for the log.
            to: Name of the process that should get the lease next; empty for any.
            failed: Whether the work failed here; this process should then not compete for a while.
        """
        if self.state is not CandidateState.HOLDING:
            return []
        release = LeaseRelease(self.duty, self.incarnation, self.epoch, to, failed)
        self.state = CandidateState.IDLE
        self.lease_end_us = now
        self.successor = ""
        self.holder = to
        self.next_round_us = now + (self.durations.lease_us if to or failed else FIRST_PAUSE_US)
        if failed:
            self.not_before_us = now + FAILED_PAUSE_US
        self._report(now, "passed" if to else "left", why)
        return self._to_all_voters(release)

    def offer_handover(self, now: int, name: str) -> list[AddressedMessage]:
        """Offer the lease to another process; this one keeps it until the offer is accepted."""
        if self.held_epoch(now) is None:
            return []
        self.successor = name
        return [AddressedMessage(name, HandoverOffer(self.duty, self.incarnation, self.epoch))]

    def accept_handover(
        self, now: int, sender: str, offer: HandoverOffer
    ) -> list[AddressedMessage]:
        """Accept the holder's offer; compete for the lease without delays for a while."""
        self.eager_until_us = now + EAGER_US
        self.next_round_us = now
        self.highest_epoch = max(self.highest_epoch, offer.epoch)
        accept = HandoverAccept(self.duty, self.incarnation, offer.epoch)
        return [AddressedMessage(sender, accept)]

    def handle_handover_accept(
        self, now: int, sender: str, accept: HandoverAccept
    ) -> list[AddressedMessage]:
        """Release the lease in favour of the process that accepted the offer."""
        if accept.epoch != self.epoch or sender != self.successor:
            return []
        if self.held_epoch(now) is None:
            return []
        return self.release_lease(now, f"handed over to {sender}", sender)

    def _report(self, now: int, what: str, why: str) -> None:
        for listener in self.listeners:
            listener(LeaseChange(now, what, self.epoch, why))
