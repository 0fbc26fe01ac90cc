"""Duties on the members' datagrams: letters as bytes, promises through the disk, and one lock.

A body is a MessagePack array of a kind and its fields; what another release appends is passed over.
An answer that rests on a promise goes out once the disk has it, told by the thread that wrote it.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping

from gullyoke.leases.announcements import Announcement, ForwardedCommand, Instruction, KnownHolders
from gullyoke.leases.candidate import AddressedMessage as Said_to
from gullyoke.leases.candidate import Candidate
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
    StoredRecord,
    WriteRecord,
)
from gullyoke.leases.voter import PromiseWrite, Voter
from gullyoke.membership.row import Row as Member
from gullyoke.peer_transport.lease_codec import (
    PROMISE_KEY_PREFIX,
    RECORD_KEY_PREFIX,
    encode_promise,
    encode_record,
    pack,
    unpack,
)
from gullyoke.peer_transport.link import AddressedBody
from gullyoke.runtime import clock
from gullyoke.runtime.metrics import Metrics

TOPIC = 2
TO_VOTERS = (PreVote, LeaseRequest, LeaseRelease, EpochQuery, EpochReply, WriteRecord, ReadRecord)
AGAIN = 250_000  # microseconds between askings of a register that was not answered
FAN = 64  # notices in one turn
Disk = Callable[[str, bytes, Callable[[bool], None]], bool]


class LeaseService:
    """A `Topic`.

    `voters`: stated addresses by name; `taken`: the address of whom the view takes for a name;
    `members`: all addresses of the view but one's own; `disk` makes a record durable and tells;
    `send` sends from a thread that is not the link's. Tables: `registers`, one a duty that is held
    here; `fan`, addresses that are still to hear a notice, filled anew each time.
    """

    def __init__(
        self,
        name: str,
        life: int,
        voter: Voter | None,
        records: RecordStore,
        candidates: Mapping[str, Candidate],
        voters: Mapping[str, str],
        taken: Callable[[str], str | None],
        disk: Disk,
        metrics: Metrics,
    ) -> None:
        self.name, self.life, self.voter, self.records = name, life, voter, records
        self.candidates, self.voters, self.taken = dict(candidates), dict(voters), taken
        self.disk, self.metrics, self.fence, self.known_holders = (
            disk,
            metrics,
            Fence(),
            KnownHolders(),
        )
        self.lock = threading.RLock()
        self.send: Callable[[list[AddressedBody]], None] = lambda posts: None
        self.registers: dict[str, tuple[ReplicatedRecord, int]] = {}
        self.fan: list[tuple[str, bytes]] = []
        self.on_announcement: Callable[[int, Announcement], None] = lambda now, notice: None
        self.on_instruction: Callable[[int, Instruction], None] = lambda now, order: None
        self.on_forwarded_command: Callable[[int, ForwardedCommand], None] = lambda now, plea: None
        for duty, one in self.candidates.items():
            one.listeners.append(lambda turn, duty=duty: self._turned(duty, turn.what))

    # For the link.

    def tick(self, now: int) -> list[AddressedBody]:
        with self.lock:
            posts: list[AddressedBody] = []
            if self.voter is not None and (learn := self.voter.epoch_query(now)) is not None:
                posts += self._posted(Said_to(name, learn) for name in sorted(self.voter.others))
            for one in self.candidates.values():
                posts += self._posted(one.tick(now))
            posts += self._registers(now)
            out, self.fan = self.fan[:FAN], self.fan[FAN:]
            return posts + out

    def handle(self, now: int, sender: Member, body: bytes) -> Iterable[AddressedBody]:
        message = unpack(body)
        if isinstance(message, Announcement | Instruction | ForwardedCommand):
            return self._told(now, message)
        with self.lock:
            if isinstance(message, TO_VOTERS):
                answer = self._vote(now, sender, message) if self.voter is not None else None
                return [(sender.address, pack(answer))] if answer is not None else ()
            return self._posted(self._answered(now, sender, message))

    def _vote(self, now: int, sender: Member, message: tuple) -> tuple | None:
        voter = self.voter
        if isinstance(message, PreVote):
            return voter.answer_pre_vote(now, message)
        if isinstance(message, LeaseRequest):
            answer = voter.answer_request(now, message)
            if isinstance(answer, PromiseWrite):
                self._write(answer, sender.address)
                return None
            return answer
        if isinstance(message, LeaseRelease):
            voter.release(now, message)
        elif isinstance(message, EpochQuery):
            return voter.answer_epoch_query(now, message)
        elif isinstance(message, EpochReply):
            self._learn(now, message)
        elif isinstance(message, ReadRecord):
            return self.records.read(message, self.voter.name) if not voter.fresh else None
        elif isinstance(message, WriteRecord):
            return self._keep(message, sender.address)
        return None

    def _answered(self, now: int, sender: Member, message: tuple) -> list[Said_to]:
        if isinstance(message, RecordWritten | RecordRead):
            register = self.registers.get(message.duty)
            if register is not None:
                (
                    register[0].handle_written
                    if isinstance(message, RecordWritten)
                    else register[0].handle_read
                )(message)
            return []
        one = self.candidates.get(message.duty)
        if one is None:
            return []
        if isinstance(message, VoteReply):  # a vote counts from the voter's stated address alone
            return (
                one.handle_reply(now, message)
                if self.voters.get(message.voter) == sender.address
                else []
            )
        if isinstance(message, HandoverOffer):
            return one.accept_handover(now, sender.name, message)
        return (
            one.handover_accepted(now, sender.name, message)
            if isinstance(message, HandoverAccept)
            else []
        )

    # Through the disk.

    def _write(self, write: PromiseWrite, asker: str) -> None:
        def told(durable: bool) -> None:
            with self.lock:
                said = self.voter.write_finished(clock.now(), write, durable)
            self.metrics.increment("duty.promised" if durable else "duty.unpromised")
            if said is not None:
                self.send([(asker, pack(said))])

        if not self.disk(PROMISE_KEY_PREFIX + write.duty, encode_promise(write.promise), told):
            self.voter.write_finished(clock.now(), write, False)

    def _learn(self, now: int, message: EpochReply) -> None:
        writes = self.voter.learn_epochs(now, message)
        left = len(writes)

        def told(durable: bool, write: PromiseWrite) -> None:
            nonlocal left
            with self.lock:
                left -= durable
                if durable:
                    self.voter.promise_learned(write, left == 0)

        for write in writes:
            self.disk(
                PROMISE_KEY_PREFIX + write.duty,
                encode_promise(write.promise),
                lambda durable, write=write: told(durable, write),
            )

    def _keep(self, keep: WriteRecord, asker: str) -> RecordWritten | None:
        row = self.voter.promises.get(keep.duty)
        if self.voter.fresh or not self.records.accepts(keep, row.epoch if row else 0):
            return self.records.acknowledge(keep, self.voter.name) if not self.voter.fresh else None
        kept = StoredRecord(keep.epoch, keep.write_number, keep.body)

        def told(durable: bool) -> None:
            with self.lock:
                if durable:
                    self.records.store(keep.duty, kept)
                said = self.records.acknowledge(keep, self.voter.name)
            self.send([(asker, pack(said))])

        self.disk(RECORD_KEY_PREFIX + keep.duty, encode_record(kept), told)
        return None

    # What is held here.

    def _turned(self, duty: str, what: str) -> None:
        one = self.candidates[duty]
        if what == "held":
            self.registers[duty] = ReplicatedRecord(duty, self.life, one.epoch, self.voters), 0
        else:
            self.registers.pop(duty, None)

    def _registers(self, now: int) -> list[AddressedBody]:
        posts: list[AddressedBody] = []
        for duty, (register, next_) in self.registers.items():
            if not register.committed and now >= next_:
                self.registers[duty] = register, now + AGAIN
                posts += self._posted(
                    Said_to(voter, register.next_message()) for voter in sorted(self.voters)
                )
        return posts

    def register(self, duty: str) -> ReplicatedRecord | None:
        found = self.registers.get(duty)
        return found[0] if found else None

    def held_epoch(self, now: int, duty: str) -> int | None:
        """The epoch under which this process may act now. Asked after every wait."""
        with self.lock:
            one = self.candidates.get(duty)
            return one.held_epoch(now) if one else None

    def leave(self, duty: str, why: str, to: str = "", failed: bool = False) -> None:
        with self.lock:
            posts = self._posted(self.candidates[duty].leave(clock.now(), why, to, failed))
        self.send(posts)

    def hand_over(self, duty: str, to: str) -> bool:
        """Whether it is held here, and another is asked to take it."""
        with self.lock:
            posts = self._posted(self.candidates[duty].offer_handover(clock.now(), to))
        self.send(posts)
        return bool(posts)

    # Notices, orders, pleas.

    def announce(self, duty: str, epoch: int, body: bytes, members: Iterable[str]) -> None:
        """To all, a few each turn."""
        data = pack(Announcement(duty, epoch, self.life, self.name, body))
        with self.lock:
            if len(self.fan) < 4096:
                self.fan += [(address, data) for address in members]
            self.known_holders.take(
                clock.now(), Announcement(duty, epoch, self.life, self.name, body)
            )

    def instruct(self, duty: str, epoch: int, to: str, what: str, body: bytes) -> None:
        address = self.taken(to)
        if address:
            self.send([(address, pack(Instruction(duty, epoch, self.life, what, body)))])

    def forward_command(self, duty: str, what: str, to: str) -> None:
        address = self.taken(to)
        if address:
            self.send([(address, pack(ForwardedCommand(duty, what)))])

    def _told(self, now: int, message: Announcement | Instruction | ForwardedCommand) -> tuple:
        if isinstance(message, ForwardedCommand):
            self.on_forwarded_command(now, message)
            return ()
        with self.lock:
            if not self.fence.admits(message.duty, message.epoch, message.incarnation):
                self.metrics.increment("duty.stale_refused")
                return ()
            news = not isinstance(message, Announcement) or self.known_holders.take(now, message)
        if isinstance(message, Instruction):
            self.on_instruction(now, message)
        elif news:
            self.on_announcement(now, message)
        return ()

    def _posted(self, posts: Iterable[Said_to]) -> list[AddressedBody]:
        """A voter is at its stated address; whoever else, where the view has it."""
        out: list[AddressedBody] = []
        for to, message in posts:
            address = self.voters.get(to) if isinstance(message, TO_VOTERS) else self.taken(to)
            if address:
                out.append((address, pack(message)))
        return out
