"""Leases on the peers' datagrams: to whom each message goes, under one lock.

The link's thread ticks the service and hands it the messages that came; other threads call the
methods of a holder.
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
RECORD_RETRY_US: Final = 250_000  # between messages about a record that is not committed yet
ANNOUNCEMENTS_A_TICK: Final = 64
MAX_QUEUED_ANNOUNCEMENTS: Final = 4096

# Messages to a voter go to its configured address, all others to where the view has the member.
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
    """The record of a lease that is held here, and when to send its next message."""

    record: ReplicatedRecord
    next_us: int


class LeaseService:
    """All leases of one process; a `MessageHandler` of the link.

    Attributes:
        voter: This process' voter; None where it is none.
        records: The records that the voter keeps.
        candidates: Candidates by the name of their lease.
        voters: Configured addresses of the voters, by name.
        fence: The newest epochs that announcements and instructions came with.
        known_holders: The last announcements.
        lock: Guards all of these; nothing waits under it.
        send: Sends bodies from a thread that is not the link's; set by the owner.
        on_announcement: Called with the time and each announcement that is news.
        on_instruction: Called with the time and each instruction.
        on_forwarded_command: Called with the time and each command that was forwarded to here.
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
        """Take over the parts.

        Args:
            name: This process' name.
            incarnation: The random number drawn at its start.
            voter: Its voter, if it is one.
            records: The records that the voter keeps.
            candidates: Candidates by the name of their lease.
            voters: Configured addresses of the voters, by name.
            address_of: Returns the address of a member by its name, as the membership view has it.
            write_durably: Writes to the voter's folder.
            metrics: Counts what happens.
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
        self._announcements: list[AddressedBody] = []  # still to be sent
        for duty, candidate in self.candidates.items():
            candidate.listeners.append(partial(self._lease_changed, duty))

    # For the link.

    def tick(self, now: int) -> list[AddressedBody]:
        """Return what is to be sent now."""
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
        """Take a message; return what is to be sent because of it.

        Raises:
            MalformedDatagramError: For bytes that are no message of leases.
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
            # A vote counts only from the process at the voter's configured address.
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

    # Leases that are held here.

    def _lease_changed(self, duty: str, change: LeaseChange) -> None:
        if change.what == "held":
            epoch = self.candidates[duty].epoch
            record = ReplicatedRecord(duty, self.incarnation, epoch, self.voters)
            self._held_records[duty] = HeldRecord(record, 0)
        else:
            self._held_records.pop(duty, None)

    def _record_messages(self, now: int) -> list[AddressedBody]:
        out: list[AddressedBody] = []
        for duty, (record, next_us) in self._held_records.items():
            if record.committed or now < next_us:
                continue
            self._held_records[duty] = HeldRecord(record, now + RECORD_RETRY_US)
            for voter in sorted(self.voters):
                out.append(AddressedBody(self.voters[voter], pack(record.next_message())))
        return out

    def register(self, duty: str) -> ReplicatedRecord | None:
        """Return the record of a lease that is held here; None for others."""
        held = self._held_records.get(duty)
        return held.record if held else None

    def held_epoch(self, now: int, duty: str) -> int | None:
        """Return the epoch under which this process may act now; None where it may not.

        To be called again after every wait.
        """
        with self.lock:
            candidate = self.candidates.get(duty)
            return candidate.held_epoch(now) if candidate else None

    def leave(self, duty: str, why: str, to: str = "", failed: bool = False) -> None:
        """Release a lease; see `Candidate.release_lease` for the arguments."""
        with self.lock:
            messages = self.candidates[duty].release_lease(clock.now(), why, to, failed)
            bodies = self._addressed(messages)
        self.send(bodies)

    def hand_over(self, duty: str, to: str) -> bool:
        """Offer a lease to another member; False where it is not held here or `to` is unknown."""
        with self.lock:
            bodies = self._addressed(self.candidates[duty].offer_handover(clock.now(), to))
        self.send(bodies)
        return bool(bodies)

    # Announcements, instructions, forwarded commands.

    def announce(self, duty: str, epoch: int, body: bytes, members: Iterable[str]) -> None:
        """Send an announcement to the addresses of all other members, a few each tick."""
        announcement = Announcement(duty, epoch, self.incarnation, self.name, body)
        data = pack(announcement)
        with self.lock:
            if len(self._announcements) < MAX_QUEUED_ANNOUNCEMENTS:
                self._announcements += [AddressedBody(address, data) for address in members]
            self.known_holders.take(clock.now(), announcement)

    def instruct(self, duty: str, epoch: int, to: str, what: str, body: bytes) -> None:
        """Send an instruction to a member; nothing where its address is not known."""
        address = self.address_of(to)
        if address:
            instruction = Instruction(duty, epoch, self.incarnation, what, body)
            self.send([AddressedBody(address, pack(instruction))])

    def forward_command(self, duty: str, what: str, to: str) -> None:
        """Send an operator's command to the holder; nothing where its address is not known."""
        address = self.address_of(to)
        if address:
            self.send([AddressedBody(address, pack(ForwardedCommand(duty, what)))])

    def _handle_holders_message(self, now: int, message: Announcement | Instruction) -> None:
        with self.lock:
            if not self.fence.admit(message.duty, message.epoch, message.incarnation):
                self.metrics.increment("duty.stale_refused")
                return
            is_news = isinstance(message, Instruction) or self.known_holders.take(now, message)
        if isinstance(message, Instruction):
            self.on_instruction(now, message)
        elif is_news:
            self.on_announcement(now, message)

    def _addressed(self, messages: Iterable[AddressedMessage]) -> list[AddressedBody]:
        """Return the messages as bodies; without those whose address is not known."""
        out: list[AddressedBody] = []
        for to, message in messages:
            is_vote = isinstance(message, TO_VOTERS)
            address = self.voters.get(to) if is_vote else self.address_of(to)
            if address:
                out.append(AddressedBody(address, pack(message)))
        return out
