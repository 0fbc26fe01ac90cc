"""Duties of one on a fleet's membership.

This server votes where it is a voter, tries for duties where it is well placed, and does what it
holds.
"""

from __future__ import annotations

import os
import random
import threading
import time

from gullyoke.errors import ConfigurationError
from gullyoke.extensions.charges import YOUNG, Ask, Book, Charge, Record, Roll, Told
from gullyoke.extensions.fleet import Fleet
from gullyoke.extensions.fleet_extension import FleetExtension
from gullyoke.leases.announcements import Announcement, ForwardedCommand, Instruction
from gullyoke.leases.candidate import Candidate
from gullyoke.leases.candidate_rank import CandidatePlacement, candidate_delay_us, rank_candidates
from gullyoke.leases.candidate_state import LeaseChange
from gullyoke.leases.durations import LeaseDurations
from gullyoke.leases.replicated_record import RecordStore
from gullyoke.leases.voter import Voter
from gullyoke.membership import MemberRecord, Status
from gullyoke.membership.join_state import JoinStage
from gullyoke.membership.member_record import REFUTATIONS_PER_START
from gullyoke.operator_config.wanted import Dutied, Wanted
from gullyoke.peer_transport.lease_codec import decode_voter_entries
from gullyoke.peer_transport.lease_service import TOPIC, LeaseService
from gullyoke.runtime import clock
from gullyoke.runtime.logs import log, log_fields

ACT = 100_000  # microseconds between looks at what is held
NOTICE = 2_000_000  # and between notices of each duty
FOLDER, QUOTA, OURS = "duties", 4 * 2**20, "voter"
CLOSE = 0.5  # seconds that the end waits for a disk that hangs
HISTORY = 64  # turns of duties that are shown


def ours(mark: bytes) -> tuple[str, int]:
    """Whose folder it is, by the mark in it: name and set; nobody's for what is no mark."""
    words = mark.decode("utf-8", "replace").split()
    if len(words) != 2 or not words[1].isdigit():
        return "", 0
    return words[0], int(words[1])


class Duty(FleetExtension):
    """Table: `turns`, the last HISTORY changes of what is held here."""

    def __init__(self, wanted: Dutied) -> None:
        self.wanted, self.fleet, self.duties = wanted, None, None
        self.charges: dict[str, Charge] = {}
        self.turns: list[LeaseChange] = []
        self.noticed: dict[str, int] = {}
        self.committer = self.files = None
        self.ended, self.placed = False, []

    def attach(self, fleet: Fleet) -> None:
        """Raises `Misstated` where this server is a voter and has no folder that it can use."""
        name = fleet.daemon.configuration.name
        at = self.wanted.voters.get(name)
        if at == fleet.wanted.advertise and not self.wanted.folder:
            raise ConfigurationError(
                f"{fleet.path}: duties.folder: {name} is a voter; right would be the path of a "
                "folder on a disk that lasts"
            )

    def start(self, fleet: Fleet) -> None:
        wanted, told = self.wanted, fleet.daemon.configuration
        self.fleet, row = fleet, fleet.member.record
        self.spans = spans = LeaseDurations(
            wanted.lease, wanted.drift, min(200_000, wanted.lease // 10)
        )
        voter, shelf = None, RecordStore()
        if wanted.folder:
            self.folder = fleet.folders.open(wanted.folder, QUOTA, fleet.daemon.metrics)
            self.folder.start()
        if wanted.voters.get(told.name) == fleet.wanted.advertise:
            voter, shelf = self.voter(told.name, row, spans)
        names = [
            name
            for name, on in (
                ("ask", wanted.ask),
                ("book", wanted.book),
                ("roll", wanted.roll),
                ("record", wanted.record),
            )
            if on
        ] + [own.name for own in wanted.own]
        chance = random.Random(told.seed ^ 0xD07)
        candidates = {
            name: Candidate(
                name,
                told.name,
                row.incarnation,
                wanted.voters,
                spans,
                chance.random,
                wanted.set,
                lambda: int(time.time()),
            )
            for name in names
        }
        self.duties = LeaseService(
            told.name,
            row.incarnation,
            voter,
            shelf,
            candidates,
            wanted.voters,
            fleet.taken,
            self.disk,
            fleet.daemon.metrics,
        )
        for name, one in candidates.items():
            one.listeners.append(lambda turn, name=name: self.turned(name, turn))
        self.charges = {name: self.charge(name) for name in names}
        link, duties = fleet.link, self.duties
        duties.send = lambda posts: link.run_locked(lambda: link.outgoing_messages(TOPIC, posts))
        duties.on_announcement, duties.on_instruction, duties.on_forwarded_command = (
            self.heard,
            self.obey,
            self.pleaded,
        )
        link.topics[TOPIC] = duties
        link.status_sections["duties"] = lambda now: {
            name: self.known(now, name)[0] for name in self.charges
        }
        link.commands |= {
            "duties": self.asked_duties,
            "hand-over": self.asked_hand_over,
            "roll": self.asked_roll,
        }
        # A thread of its own: what is done under a duty may wait for a disk or a peer.
        threading.Thread(target=self.run, name="duties", daemon=True).start()
        log.info(
            "duties",
            extra=log_fields(
                names=",".join(names) or "-",
                voters=len(wanted.voters),
                set=wanted.set,
                votes=voter is not None,
                fresh=voter is not None and voter.fresh,
            ),
        )

    def charge(self, name: str) -> Charge:
        made = {"ask": Ask, "book": Book, "roll": Roll}
        if name in made:
            return made[name](self.fleet, self.duties)
        if name == "record":
            return Record(self.fleet, self.duties, self.folder)
        return Told(
            self.fleet, self.duties, next(own for own in self.wanted.own if own.name == name)
        )

    # The voter and its disk.

    def voter(
        self, name: str, row: MemberRecord, spans: LeaseDurations
    ) -> tuple[Voter, RecordStore]:
        """With what its folder has.

        A folder that is new, another's or can't be used makes it begin anew.
        """
        from gullyoke.storage import GroupCommitter, SlotFile

        rows, kept, number = None, {}, self.wanted.set
        try:
            self.files = self.folder.monitor.open_folder(os.path.join(self.wanted.folder, FOLDER))
            store = SlotFile(self.files)  # their room is taken now: a promise fits a full disk
            found = dict(store.items())
            whose, then = ours(found.pop(OURS, b""))
            if whose == name and then <= number <= then + 1:
                rows, kept = decode_voter_entries(found.items())
            elif whose:
                log.warning(
                    "promises of another not used",
                    extra=log_fields(whose=whose, set=then, here=number),
                )
            self.committer = GroupCommitter(store)
            self.committer.put(OURS, f"{name} {number}".encode())
        except (OSError, ValueError) as fault:
            self.fleet.daemon.metrics.increment("duty.unkept")
            log.error(
                "promises can't be kept", extra=log_fields(folder=self.wanted.folder, why=fault)
            )
        others = [other for other in self.wanted.voters if other != name]
        voter = Voter(clock.now(), name, row.incarnation, others, spans, rows, number)
        return voter, RecordStore(kept)

    def disk(self, key: str, data: bytes, told) -> bool:
        return self.committer is not None and self.committer.put(key, data, told)

    # Another set of voters, while the server runs.

    def apply_reload(self, new: Wanted) -> dict[str, object]:
        """One voter more or fewer, under the next number.

        What was granted under the old set runs to its end. A process that comes to vote begins as a
        fresh voter does, unless its folder has its own promises of the set before.
        """
        if new.duties is None or not self.fits(new.duties):
            return {}
        wanted, name = new.duties, self.fleet.daemon.configuration.name
        self.wanted = self.wanted._replace(voters=wanted.voters, set=wanted.set)
        votes, duties, now = (
            wanted.voters.get(name) == self.fleet.wanted.advertise,
            self.duties,
            clock.now(),
        )
        if votes and duties.voter is None:
            voter, shelf = self.voter(name, self.fleet.member.record, self.spans)
        with duties.lock:
            duties.voters = dict(wanted.voters)
            if votes and duties.voter is None:
                duties.voter, duties.records = voter, shelf
            elif votes:
                duties.voter.set_others(wanted.voters.keys() - {name}, wanted.set)
                self.disk(OURS, f"{name} {wanted.set}".encode(), lambda durable: None)
            else:
                duties.voter = None
            for one in duties.candidates.values():
                one.set_voters(now, wanted.voters, wanted.set)
        log.warning(
            "voters",
            extra=log_fields(set=wanted.set, voters=",".join(sorted(wanted.voters)), votes=votes),
        )
        return {"set": wanted.set}

    def fits(self, new: Dutied) -> bool:
        """Whether it is the next set: one voter more or fewer, the rest as they were.

        Guards against two sets whose majorities need not meet.
        """
        old = self.wanted
        moved = set(old.voters.items()) ^ set(new.voters.items())
        folder = new.voters.get(self.fleet.daemon.configuration.name) is None or bool(old.folder)
        return (
            new.set == old.set + 1
            and len({name for name, _ in moved}) <= 1
            and len(moved) <= 1
            and folder
        )

    def ignored_changes(self, new: Wanted) -> list[str]:
        if new.duties is None:
            return ["duties"]
        return [
            f"duties.{name}"
            for name in Dutied._fields
            if getattr(self.wanted, name) != getattr(new.duties, name)
            and not (name in ("voters", "set") and self.fits(new.duties))
        ]

    # Who tries.

    def update(self, now: int) -> None:
        fleet, me = self.fleet, self.fleet.daemon.configuration.name
        with fleet.link.lock:
            one = fleet.member
            inside, leaving = (
                one.join_state.stage is JoinStage.IN,
                one.record.status is not Status.ALIVE,
            )
            unsure = one.local_health.unsure(now)
            rows = [(row, one.state(now, row)) for row in one.view.records.values()]
            told = fleet.link.signals.rows if fleet.link.signals is not None else {}
            rooms = {who: reading.free_capacity for who, (_, _, reading) in told.items()}
        placed = [
            CandidatePlacement(
                row.name,
                True,
                state in ("alive", "joining"),
                row.status is Status.LEAVING,
                rooms.get(row.id, 1.0),
            )
            for row, state in rows
            if row.status is not Status.JOINING
        ]
        self.placed = placed
        with self.duties.lock:
            for name, candidate in self.duties.candidates.items():
                wait = candidate_delay_us(name, me, placed)
                ready = inside and not leaving and not unsure and candidate.not_before_us <= now
                candidate.wants_lease = ready and wait is not None
                candidate.delay_us = wait or 0

    def turned(self, name: str, turn: LeaseChange) -> None:
        """Called under the duties' lock."""
        self.turns = [*self.turns[-HISTORY + 1 :], turn]
        self.fleet.daemon.metrics.increment(f"duty.{turn.what}")
        log.warning(
            "duty", extra=log_fields(duty=name, what=turn.what, epoch=turn.epoch, why=turn.why)
        )

    # What is held.

    def run(self) -> None:
        while not self.ended:
            time.sleep(ACT / 1e6)
            try:
                self.act()
            except Exception:  # an error of our own ends one look, not the thread
                self.fleet.daemon.metrics.record_internal_error("duties")

    def act(self) -> None:
        now = clock.now()
        for name, charge in self.charges.items():
            epoch = self.duties.held_epoch(clock.now(), name)
            if epoch is None:
                charge.idle(now)
                continue
            charge.act(clock.now(), epoch)
            register = self.duties.held_record(name)
            if (
                now - self.noticed.get(name, 0) >= NOTICE
                and register is not None
                and register.committed
                and self.duties.held_epoch(clock.now(), name) == epoch
            ):
                self.noticed[name] = now
                with self.fleet.link.lock:
                    one = self.fleet.member
                    others = [row.address for row in one.view.records.values() if row.id != one.id]
                self.duties.announce(name, epoch, charge.notice(), others)

    def heard(self, now: int, notice: Announcement) -> None:
        charge = self.charges.get(notice.duty)
        if charge is not None and self.duties.held_epoch(now, notice.duty) is None:
            charge.heard(now, notice)

    def obey(self, now: int, order: Instruction) -> None:
        charge = self.charges.get(order.duty)
        if isinstance(charge, Roll):
            charge.obey(now, order)

    def pleaded(self, now: int, plea: ForwardedCommand) -> None:
        """What an operator asked of another server, for the holder.

        Not on the link's thread: it takes locks.
        """
        words = plea.what.split()[:8]
        if words and plea.duty in self.charges:
            threading.Thread(target=self.command, args=(plea.duty, words), daemon=True).start()

    def command(self, duty: str, words: list[str]) -> dict:
        if words[0] == "hand-over":
            return self.hand_over(duty, words[1] if len(words) > 1 else "")
        if self.duties.held_epoch(clock.now(), duty) is None:
            return {"fault": "not held here"}
        return self.charges[duty].asked(clock.now(), words)

    # Letting go.

    def next(self, duty: str) -> str:
        """Who is best placed but this one."""
        me = self.fleet.daemon.configuration.name
        ranked = rank_candidates(duty, [one for one in self.placed if one.name != me])
        return ranked[0] if ranked else ""

    def hand_over(self, duty: str, to: str = "") -> dict:
        to = to or self.next(duty)
        if not to or not self.duties.hand_over(duty, to):
            return {"fault": f"{duty} is not held here, or there is nobody else"}
        return {"duty": duty, "to": to}

    def begin_drain(self) -> None:
        """Before a drain each duty goes to whom it is best placed at."""
        for name in self.charges:
            if self.duties.held_epoch(clock.now(), name) is not None:
                self.hand_over(name)

    def close(self) -> None:
        self.ended = True
        for name in self.charges:
            self.duties.leave(name, "the server ends")
        if self.committer is not None:
            self.committer.close(CLOSE)
            self.files.close()

    # What an operator asks.

    def known(self, now: int, name: str) -> tuple[str, int]:
        """Who holds a duty as far as is known here, and the newest epoch."""
        one, known = self.duties.candidates[name], self.duties.known_holders.by_duty.get(name)
        epoch = self.duties.held_epoch(now, name)
        if epoch is not None:
            return self.fleet.daemon.configuration.name, epoch
        if known is None:
            return "", one.highest_epoch
        return (
            known.announcement.name if now - known.received_at_us < YOUNG else "",
            known.announcement.epoch,
        )

    def holder(self, now: int, name: str) -> dict:
        one, (holder, epoch) = self.duties.candidates[name], self.known(now, name)
        return {
            "holder": holder,
            "epoch": epoch,
            "left_ms": one.remaining_us(now) // 1000,
            "state": one.state.value,
            **self.charges[name].told(now),
        }

    def asked_duties(self, words: list[str]) -> dict:
        now, voter = clock.now(), self.duties.voter
        found = {name: self.holder(now, name) for name in self.charges}
        with self.duties.lock:
            vote = (
                None
                if voter is None
                else {
                    "speaks": voter.may_vote(now),
                    "fresh": voter.fresh,
                    "disk_well": voter.disk_ok,
                    "refused": voter.failed_writes,
                    "set": voter.voter_set,
                    "promised": {
                        duty: [row.epoch, row.holder]
                        for duty, row in sorted(voter.promises.items())
                    },
                }
            )
            turns = [{"ago_ms": (now - t.at) // 1000, **t._asdict()} for t in self.turns]
        return {
            "name": self.fleet.daemon.configuration.name,
            "duties": found,
            "votes": vote,
            "turns": turns,
            "stale_refused": self.duties.fence.rejected,
            "started": self.fleet.member.record.version // REFUTATIONS_PER_START,
        }

    def asked_hand_over(self, words: list[str]) -> dict:
        if not words or words[0] not in self.charges:
            return {"fault": f"right would be one of {', '.join(self.charges)}"}
        return self.passed_on(words[0], ["hand-over", *words[1:2]])

    def asked_roll(self, words: list[str]) -> dict:
        if "roll" not in self.charges:
            return {"fault": "duties.roll is off in the operator's file"}
        if words[:1] == ["status"]:
            return self.holder(clock.now(), "roll")
        return self.passed_on("roll", words)

    def passed_on(self, duty: str, words: list[str]) -> dict:
        """Done here, or sent to whoever holds it."""
        now = clock.now()
        if self.duties.held_epoch(now, duty) is not None:
            return self.command(duty, words)
        holder = self.holder(now, duty)["holder"]
        if not holder:
            return {"fault": f"nobody is known to hold {duty}"}
        self.duties.forward_command(duty, " ".join(words), holder)
        return {"sent_to": holder}

    def log_status(self) -> None:
        now = clock.now()
        for name in self.charges:
            log.info(
                "duty stands",
                extra=log_fields(
                    duty=name,
                    **{
                        key: value
                        for key, value in self.holder(now, name).items()
                        if key in ("holder", "epoch", "left_ms", "state")
                    },
                ),
            )
