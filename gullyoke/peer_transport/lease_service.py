"""Sends and receives lease messages in peers' datagrams, under one lock for all leases.

The link's thread ticks the service and passes on received messages; other threads call the methods
for holders.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import Any, Final, NamedTuple

from gullyoke.leases.announcements import Announcement, ForwardedCommand, Instruction, KnownHolders
from gullyoke.leases.candidate import Candidate
from gullyoke.leases.candidate_state import AddressedMessage, LeaseChange
from gullyoke.leases.fence import Fence
from gullyoke.leases.messages import (
    EpochQuery,
    EpochReply,
    HandoverAccept,
    HandoverOffer,
    LeaseRelease,
    LeaseRequest,
    PreVote,
    VoteReply,
)
from gullyoke.leases.replicated_record import (
    ReadRecord,
    RecordRead,
    RecordStore,
    RecordWritten,
    ReplicatedRecord,
    WriteRecord,
)
from gullyoke.leases.voter import Voter
from gullyoke.membership.member_record import MemberRecord
from gullyoke.peer_transport.lease_codec import pack, unpack
from gullyoke.peer_transport.lease_voter_requests import VoterRequests, WriteDurably
from gullyoke.peer_transport.link import AddressedBody
from gullyoke.runtime import clock
from gullyoke.runtime.metrics import Metrics

TOPIC: Final = 2
RECORD_RETRY_US: Final = 250_000  # between messages about an uncommitted record
ANNOUNCEMENTS_A_TICK: Final = 64
MAX_QUEUED_ANNOUNCEMENTS: Final = 4096

# Sent to a voter's configured address; all other messages go to the member's address in the view.
TO_VOTERS: Final = (
    PreVote,
    LeaseRequest,
    LeaseRelease,
    EpochQuery,
    EpochReply,
    WriteRecord,
    ReadRecord,
)


class HeldRecord(NamedTuple):
    """The record of a lease held by this process, and when to send its next message."""

    record: ReplicatedRecord
    next_us: int


class LeaseService:
    """All leases of one process; a `MessageHandler` of the link.

    Attributes:
        voter: This process's voter; None if the process is not a voter.
        records: The records that the voter stores.
        candidates: The candidates by the names of their leases.
        voters: The voters' configured addresses, by name.
        fence: The newest epochs in received announcements and instructions.
        known_holders: The last announcements.
        lock: Guards the attributes above; no code blocks while it holds the lock.
        send: Sends bodies from threads other than the link's; set by the owner.
        on_announcement: Called with the time and each new announcement.
        on_instruction: Called with the time and each instruction.
        on_forwarded_command: Called with the time and each command forwarded to this process.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        voter: Voter | None,
        records: RecordStore,
        candidates: Mapping[str, Candidate],
        voters: Mapping[str, str],
        address_of: Callable[[str], str | None],
        write_durably: WriteDurably,
        metrics: Metrics,
    ) -> None:
        """Connect voter and candidates to the transport.

        Args:
            name: This process's name.
            incarnation: The random id of this start of the process.
            voter: This process's voter, if it is one.
            records: The records that the voter stores.
            candidates: The candidates by the names of their leases.
            voters: The voters' configured addresses, by name.
            address_of: Returns a member's address in the membership view, by the member's name.
            write_durably: Writes to the voter's folder.
            metrics: Counts rejected messages and writes of promises.
        """
        self.name = name
        self.incarnation = incarnation
        self.voter = voter
        self.records = records
        self.candidates = dict(candidates)
        self.voters = dict(voters)
        self.address_of = address_of
        self.metrics = metrics
        self.fence = Fence()
        self.known_holders = KnownHolders()
        self.lock = threading.RLock()
        self.send: Callable[[list[AddressedBody]], None] = lambda bodies: None
        self.on_announcement: Callable[[int, Announcement], None] = lambda now, message: None
        self.on_instruction: Callable[[int, Instruction], None] = lambda now, message: None
        self.on_forwarded_command: Callable[[int, ForwardedCommand], None] = lambda now, message: (
            None
        )
        self._voter_requests = VoterRequests(
            self.lock, write_durably, lambda bodies: self.send(bodies), metrics
        )
        self._held_records: dict[str, HeldRecord] = {}
        self._announcements: list[AddressedBody] = []  # not sent yet
        for lease, candidate in self.candidates.items():
            candidate.listeners.append(partial(self._lease_changed, lease))

    # Called by the link.

    def tick(self, now: int) -> list[AddressedBody]:
        """Return the messages to send now."""
        with self.lock:
            out: list[AddressedBody] = []
            query = self.voter.next_epoch_query(now) if self.voter is not None else None
            if self.voter is not None and query is not None:
                others = sorted(self.voter.others)
                out += self._addressed(AddressedMessage(name, query) for name in others)
            for candidate in self.candidates.values():
                out += self._addressed(candidate.tick(now))
            out += self._record_messages(now)
            out += self._announcements[:ANNOUNCEMENTS_A_TICK]
            self._announcements = self._announcements[ANNOUNCEMENTS_A_TICK:]
            return out

    def handle(self, now: int, sender: MemberRecord, body: bytes) -> Iterable[AddressedBody]:
        """Handle a message; return the messages to send in response.

        Raises:
            MalformedDatagramError: For bytes that are not a lease message.
        """
        message = unpack(body)
        if isinstance(message, ForwardedCommand):
            self.on_forwarded_command(now, message)
            return ()
        if isinstance(message, Announcement | Instruction):
            self._handle_holders_message(now, message)
            return ()
        with self.lock:
            if not isinstance(message, TO_VOTERS):
                return self._addressed(self._handle_as_candidate(now, sender, message))
            if self.voter is None:
                return ()
            answer = self._voter_requests.handle(self.voter, self.records, now, sender, message)
            return [AddressedBody(sender.address, pack(answer))] if answer is not None else ()

    def _handle_as_candidate(
        self, now: int, sender: MemberRecord, message: tuple[Any, ...]
    ) -> list[AddressedMessage]:
        if isinstance(message, RecordWritten | RecordRead):
            self._handle_record_reply(message)
            return []
        if not isinstance(message, VoteReply | HandoverOffer | HandoverAccept):
            return []
        candidate = self.candidates.get(message.duty)
        if candidate is None:
            return []
        if isinstance(message, VoteReply):
            # A vote counts only if it comes from the voter's configured address.
            if self.voters.get(message.voter) != sender.address:
                return []
            return candidate.handle_reply(now, message)
        if isinstance(message, HandoverOffer):
            return candidate.accept_handover(now, sender.name, message)
        return candidate.handle_handover_accept(now, sender.name, message)

    def _handle_record_reply(self, message: RecordWritten | RecordRead) -> None:
        held = self._held_records.get(message.duty)
        if held is None:
            return
        if isinstance(message, RecordWritten):
            held.record.handle_written(message)
        else:
            held.record.handle_read(message)

    # Leases held by this process.

    def _lease_changed(self, lease: str, change: LeaseChange) -> None:
        if change.what == "held":
            epoch = self.candidates[lease].epoch
            record = ReplicatedRecord(lease, self.incarnation, epoch, self.voters)
            self._held_records[lease] = HeldRecord(record, 0)
        else:
            self._held_records.pop(lease, None)

    def _record_messages(self, now: int) -> list[AddressedBody]:
        out: list[AddressedBody] = []
        for lease, (record, next_us) in self._held_records.items():
            if record.committed or now < next_us:
                continue
            self._held_records[lease] = HeldRecord(record, now + RECORD_RETRY_US)
            for voter in sorted(self.voters):
                out.append(AddressedBody(self.voters[voter], pack(record.next_message())))
        return out

    def held_record(self, lease: str) -> ReplicatedRecord | None:
        """Return the record of a lease; None if this process does not hold the lease."""
        held = self._held_records.get(lease)
        return held.record if held else None

    def held_epoch(self, now: int, lease: str) -> int | None:
        """Return the epoch under which this process may act now; None if it must not act.

        Call it again after each wait, as the lease may have expired.
        """
        with self.lock:
            candidate = self.candidates.get(lease)
            return candidate.held_epoch(now) if candidate else None

    def leave(self, lease: str, why: str, to: str = "", failed: bool = False) -> None:
        """Release a lease; see `Candidate.release_lease` for the arguments."""
        with self.lock:
            messages = self.candidates[lease].release_lease(clock.now(), why, to, failed)
            bodies = self._addressed(messages)
        self.send(bodies)

    def hand_over(self, lease: str, to: str) -> bool:
        """Offer a lease to another member; return False if it is not held or `to` is unknown."""
        with self.lock:
            bodies = self._addressed(self.candidates[lease].offer_handover(clock.now(), to))
        self.send(bodies)
        return bool(bodies)

    # Announcements, instructions, forwarded commands.

    def announce(self, lease: str, epoch: int, body: bytes, addresses: Iterable[str]) -> None:
        """Queue an announcement to these addresses; each tick sends a limited number."""
        announcement = Announcement(lease, epoch, self.incarnation, self.name, body)
        data = pack(announcement)
        with self.lock:
            if len(self._announcements) < MAX_QUEUED_ANNOUNCEMENTS:
                self._announcements += [AddressedBody(address, data) for address in addresses]
            self.known_holders.take(clock.now(), announcement)

    def instruct(self, lease: str, epoch: int, to: str, what: str, body: bytes) -> None:
        """Send an instruction to a member; nothing is sent if its address is unknown."""
        address = self.address_of(to)
        if address:
            instruction = Instruction(lease, epoch, self.incarnation, what, body)
            self.send([AddressedBody(address, pack(instruction))])

    def forward_command(self, lease: str, what: str, to: str) -> None:
        """Send an operator's command to the holder; nothing is sent if its address is unknown."""
        address = self.address_of(to)
        if address:
            self.send([AddressedBody(address, pack(ForwardedCommand(lease, what)))])

    def _handle_holders_message(self, now: int, message: Announcement | Instruction) -> None:
        with self.lock:
            if not self.fence.admit(message.duty, message.epoch, message.incarnation):
                self.metrics.increment("duty.stale_refused")
                return
            is_new = isinstance(message, Instruction) or self.known_holders.take(now, message)
        if isinstance(message, Instruction):
            self.on_instruction(now, message)
        elif is_new:
            self.on_announcement(now, message)

    def _addressed(self, messages: Iterable[AddressedMessage]) -> list[AddressedBody]:
        """Return the encoded messages with their addresses, without those of unknown address."""
        out: list[AddressedBody] = []
        for to, message in messages:
            to_voter = isinstance(message, TO_VOTERS)
            address = self.voters.get(to) if to_voter else self.address_of(to)
            if address:
                out.append(AddressedBody(address, pack(message)))
        return out
