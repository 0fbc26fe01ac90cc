"""Leases of a fleet, and the singleton tasks that run under them.

This server votes if it is a voter, competes for a lease if it ranks high as a candidate, and runs
the tasks whose leases it holds.
"""

from __future__ import annotations

import os
import random
import threading
import time

from gullyoke.errors import ConfigurationError
from gullyoke.extensions.fleet import Fleet
from gullyoke.extensions.fleet_extension import FleetExtension
from gullyoke.extensions.singleton_tasks import (
    ANNOUNCEMENT_VALID_US,
    ApplicationLease,
    DependencyHealthCheck,
    FleetRecord,
    OrphanedQuotaLender,
    RollingRestart,
    SingletonTask,
)
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
from gullyoke.operator_config.wanted import DutiesSection, OperatorSettings
from gullyoke.peer_transport.lease_codec import decode_voter_entries
from gullyoke.peer_transport.lease_service import TOPIC, LeaseService
from gullyoke.runtime import clock
from gullyoke.runtime.logs import log, log_fields

TASK_INTERVAL_US = 100_000  # microseconds between runs of the tasks
ANNOUNCEMENT_INTERVAL_US = 2_000_000  # microseconds between announcements of each lease
FOLDER_NAME, QUOTA_BYTES, OWNER_KEY = "duties", 4 * 2**20, "voter"
CLOSE_TIMEOUT_S = 0.5  # seconds for which `close` waits for a disk that hangs
MAX_LEASE_CHANGES = 64  # lease changes that the status answer shows


def unpack_owner(mark: bytes) -> tuple[str, int]:
    """Return the voter and the voter set that a folder's mark names; "" and 0 if it is invalid."""
    words = mark.decode("utf-8", "replace").split()
    if len(words) != 2 or not words[1].isdigit():
        return "", 0
    return words[0], int(words[1])


class FleetLeases(FleetExtension):
    """Takes part in the leases of the operator's file.

    Attributes:
        wanted: the section of the file, with the voter set in force.
        duties: the voter, the candidates and the links to the other members.
        tasks: the tasks, by the name of their lease.
        lease_changes: the last `MAX_LEASE_CHANGES` lease changes at this server.
        announced_us: when each lease was last announced.
        placements: what the members were last ranked by.
    """

    def __init__(self, wanted: DutiesSection) -> None:
        self.wanted, self.fleet, self.duties = wanted, None, None
        self.tasks: dict[str, SingletonTask] = {}
        self.lease_changes: list[LeaseChange] = []
        self.announced_us: dict[str, int] = {}
        self.committer = self.files = None
        self.ended, self.placements = False, []

    def attach(self, fleet: Fleet) -> None:
        """Check that this server has a folder if it is a voter.

        Raises:
            ConfigurationError: this server is a voter, and the file names no folder.
        """
        name = fleet.daemon.configuration.name
        address = self.wanted.voters.get(name)
        if address == fleet.wanted.advertise and not self.wanted.folder:
            raise ConfigurationError(
                f"{fleet.path}: duties.folder: {name} is a voter; right would be the path of a "
                "folder on a disk that lasts"
            )

    def start(self, fleet: Fleet) -> None:
        """Start the voter, the candidates and the thread that runs the tasks."""
        wanted, site = self.wanted, fleet.daemon.configuration
        self.fleet, row = fleet, fleet.member.record
        self.durations = durations = LeaseDurations(
            wanted.lease, wanted.drift, min(200_000, wanted.lease // 10)
        )
        voter, records = None, RecordStore()
        if wanted.folder:
            self.folder = fleet.folders.open(wanted.folder, QUOTA_BYTES, fleet.daemon.metrics)
            self.folder.start()
        if wanted.voters.get(site.name) == fleet.wanted.advertise:
            voter, records = self.create_voter(site.name, row, durations)
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
        rng = random.Random(site.seed ^ 0xD07)
        candidates = {
            name: Candidate(
                name,
                site.name,
                row.incarnation,
                wanted.voters,
                durations,
                rng.random,
                wanted.set,
                lambda: int(time.time()),
            )
            for name in names
        }
        self.duties = LeaseService(
            site.name,
            row.incarnation,
            voter,
            records,
            candidates,
            wanted.voters,
            fleet.address_of,
            self.queue_write,
            fleet.daemon.metrics,
        )
        for name, candidate in candidates.items():
            candidate.listeners.append(lambda change, name=name: self.on_lease_change(name, change))
        self.tasks = {name: self.create_task(name) for name in names}
        link, duties = fleet.link, self.duties
        duties.send = lambda datagrams: link.run_locked(
            lambda: link.outgoing_messages(TOPIC, datagrams)
        )
        duties.on_announcement, duties.on_instruction, duties.on_forwarded_command = (
            self.apply_announcement,
            self.apply_instruction,
            self.accept_forwarded_command,
        )
        link.topics[TOPIC] = duties
        link.status_sections["duties"] = lambda now: {
            name: self.known_holder(now, name)[0] for name in self.tasks
        }
        link.commands |= {
            "duties": self.answer_duties,
            "hand-over": self.answer_hand_over,
            "roll": self.answer_roll,
        }
        # A thread of its own, since a task may wait for a disk or a peer.
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

    def create_task(self, name: str) -> SingletonTask:
        """Create the task that runs under a lease."""
        made = {"ask": DependencyHealthCheck, "book": OrphanedQuotaLender, "roll": RollingRestart}
        if name in made:
            return made[name](self.fleet, self.duties)
        if name == "record":
            return FleetRecord(self.fleet, self.duties, self.folder)
        return ApplicationLease(
            self.fleet, self.duties, next(own for own in self.wanted.own if own.name == name)
        )

    # The voter and its folder.

    def create_voter(
        self, name: str, row: MemberRecord, durations: LeaseDurations
    ) -> tuple[Voter, RecordStore]:
        """Create the voter, and its copies of the holders' records, from what its folder holds.

        If the folder is new, is another voter's or can't be used, the voter starts as a fresh one.
        """
        from gullyoke.storage import GroupCommitter, SlotFile

        rows, record_rows, number = None, {}, self.wanted.set
        try:
            self.files = self.folder.monitor.open_folder(
                os.path.join(self.wanted.folder, FOLDER_NAME)
            )
            # The file has its full size from now on, so promises can be written to a full disk.
            store = SlotFile(self.files)
            stored = dict(store.items())
            owner, stored_set = unpack_owner(stored.pop(OWNER_KEY, b""))
            if owner == name and stored_set <= number <= stored_set + 1:
                rows, record_rows = decode_voter_entries(stored.items())
            elif owner:
                log.warning(
                    "promises of another voter ignored",
                    extra=log_fields(whose=owner, set=stored_set, here=number),
                )
            self.committer = GroupCommitter(store)
            self.committer.put(OWNER_KEY, f"{name} {number}".encode())
        except (OSError, ValueError) as failure:
            self.fleet.daemon.metrics.increment("duty.unkept")
            log.error(
                "voter folder can't be used",
                extra=log_fields(folder=self.wanted.folder, why=failure),
            )
        others = [other for other in self.wanted.voters if other != name]
        voter = Voter(clock.now(), name, row.incarnation, others, durations, rows, number)
        return voter, RecordStore(record_rows)

    def queue_write(self, key: str, data: bytes, on_written) -> bool:
        """Queue a write to the voter's folder, and return whether that was possible.

        Args:
            key: the key.
            data: the value.
            on_written: called with whether the write is durable.
        """
        return self.committer is not None and self.committer.put(key, data, on_written)

    # Another voter set, while the server runs.

    def apply_reload(self, new: OperatorSettings) -> dict[str, object]:
        """Use a voter set that has one voter more or fewer and the next number.

        Leases that were granted under the old set last to their end. A server that becomes a voter
        starts as a fresh one, unless its folder has its own promises of the previous set.
        """
        if new.duties is None or not self.is_next_voter_set(new.duties):
            return {}
        wanted, name = new.duties, self.fleet.daemon.configuration.name
        self.wanted = self.wanted._replace(voters=wanted.voters, set=wanted.set)
        votes, duties, now = (
            wanted.voters.get(name) == self.fleet.wanted.advertise,
            self.duties,
            clock.now(),
        )
        if votes and duties.voter is None:
            voter, stored_records = self.create_voter(
                name, self.fleet.member.record, self.durations
            )
        with duties.lock:
            duties.voters = dict(wanted.voters)
            if votes and duties.voter is None:
                duties.voter, duties.records = voter, stored_records
            elif votes:
                duties.voter.set_others(wanted.voters.keys() - {name}, wanted.set)
                self.queue_write(OWNER_KEY, f"{name} {wanted.set}".encode(), lambda durable: None)
            else:
                duties.voter = None
            for candidate in duties.candidates.values():
                candidate.set_voters(now, wanted.voters, wanted.set)
        log.warning(
            "voters",
            extra=log_fields(set=wanted.set, voters=",".join(sorted(wanted.voters)), votes=votes),
        )
        return {"set": wanted.set}

    def is_next_voter_set(self, new: DutiesSection) -> bool:
        """Return whether a section has the next voter set: one voter more or fewer, others kept.

        Majorities of two sets that differ by more need not have a voter in common.
        """
        old = self.wanted
        changed = set(old.voters.items()) ^ set(new.voters.items())
        folder_ok = new.voters.get(self.fleet.daemon.configuration.name) is None or bool(old.folder)
        return (
            new.set == old.set + 1
            and len({name for name, _ in changed}) <= 1
            and len(changed) <= 1
            and folder_ok
        )

    def ignored_changes(self, new: OperatorSettings) -> list[str]:
        """Return the settings that differ and need a restart."""
        if new.duties is None:
            return ["duties"]
        return [
            f"duties.{name}"
            for name in DutiesSection._fields
            if getattr(self.wanted, name) != getattr(new.duties, name)
            and not (name in ("voters", "set") and self.is_next_voter_set(new.duties))
        ]

    # Which leases this server competes for.

    def update(self, now: int) -> None:
        """Set, for each lease, whether this server competes for it and after which delay."""
        fleet, own_name = self.fleet, self.fleet.daemon.configuration.name
        with fleet.link.lock:
            own_member = fleet.member
            inside, leaving = (
                own_member.join_state.stage is JoinStage.IN,
                own_member.record.status is not Status.ALIVE,
            )
            unsure = own_member.local_health.unsure(now)
            rows = [(row, own_member.state(now, row)) for row in own_member.view.records.values()]
            signal_rows = fleet.link.signals.rows if fleet.link.signals is not None else {}
            free_capacities = {
                member_id: reading.free_capacity
                for member_id, (_, _, reading) in signal_rows.items()
            }
        placements = [
            CandidatePlacement(
                row.name,
                True,
                state in ("alive", "joining"),
                row.status is Status.LEAVING,
                free_capacities.get(row.id, 1.0),
            )
            for row, state in rows
            if row.status is not Status.JOINING
        ]
        self.placements = placements
        with self.duties.lock:
            for name, candidate in self.duties.candidates.items():
                rank_delay_us = candidate_delay_us(name, own_name, placements)
                ready = inside and not leaving and not unsure and candidate.not_before_us <= now
                candidate.wants_lease = ready and rank_delay_us is not None
                candidate.delay_us = rank_delay_us or 0

    def on_lease_change(self, name: str, change: LeaseChange) -> None:
        """Note, count and log a lease change; called under the lock of the lease service."""
        self.lease_changes = [*self.lease_changes[-MAX_LEASE_CHANGES + 1 :], change]
        self.fleet.daemon.metrics.increment(f"duty.{change.what}")
        log.warning(
            "lease change",
            extra=log_fields(duty=name, what=change.what, epoch=change.epoch, why=change.why),
        )

    # The tasks.

    def run(self) -> None:
        """Run the tasks until the end; the body of the thread."""
        while not self.ended:
            time.sleep(TASK_INTERVAL_US / 1e6)
            try:
                self.act()
            except Exception:  # an internal error ends this run of the tasks, not the thread
                self.fleet.daemon.metrics.record_internal_error("duties")

    def act(self) -> None:
        """Run each task once, and announce the leases whose announcements are due."""
        now = clock.now()
        for name, task in self.tasks.items():
            epoch = self.duties.held_epoch(clock.now(), name)
            if epoch is None:
                task.stop(now)
                continue
            task.act(clock.now(), epoch)
            register = self.duties.held_record(name)
            if (
                now - self.announced_us.get(name, 0) >= ANNOUNCEMENT_INTERVAL_US
                and register is not None
                and register.committed
                and self.duties.held_epoch(clock.now(), name) == epoch
            ):
                self.announced_us[name] = now
                with self.fleet.link.lock:
                    own = self.fleet.member
                    others = [row.address for row in own.view.records.values() if row.id != own.id]
                self.duties.announce(name, epoch, task.announcement_body(), others)

    def apply_announcement(self, now: int, announcement: Announcement) -> None:
        """Apply an announcement, unless this server holds the lease itself."""
        task = self.tasks.get(announcement.duty)
        if task is not None and self.duties.held_epoch(now, announcement.duty) is None:
            task.apply_announcement(now, announcement)

    def apply_instruction(self, now: int, instruction: Instruction) -> None:
        """Carry out an instruction; only rolling restarts send any."""
        task = self.tasks.get(instruction.duty)
        if isinstance(task, RollingRestart):
            task.apply_instruction(now, instruction)

    def accept_forwarded_command(self, now: int, command: ForwardedCommand) -> None:
        """Carry out an operator's command that another server has forwarded to the holder.

        A thread of its own does so: the command takes locks that the link's thread must not take.
        """
        words = command.what.split()[:8]
        if words and command.duty in self.tasks:
            threading.Thread(
                target=self.execute_command, args=(command.duty, words), daemon=True
            ).start()

    def execute_command(self, duty: str, words: list[str]) -> dict:
        """Carry out an operator's command here, and return the answer."""
        if words[0] == "hand-over":
            return self.hand_over(duty, words[1] if len(words) > 1 else "")
        if self.duties.held_epoch(clock.now(), duty) is None:
            return {"fault": "not held here"}
        return self.tasks[duty].execute_command(clock.now(), words)

    # Giving leases up.

    def best_other_candidate(self, duty: str) -> str:
        """Return the name of the best candidate other than this server; "" where there is none."""
        own_name = self.fleet.daemon.configuration.name
        ranked = rank_candidates(
            duty, [candidate for candidate in self.placements if candidate.name != own_name]
        )
        return ranked[0] if ranked else ""

    def hand_over(self, duty: str, to: str = "") -> dict:
        """Hand a lease over to a member, or to the best candidate; return the answer."""
        to = to or self.best_other_candidate(duty)
        if not to or not self.duties.hand_over(duty, to):
            return {"fault": f"{duty} is not held here, or there is nobody else"}
        return {"duty": duty, "to": to}

    def begin_drain(self) -> None:
        """Hand each lease over to its best candidate."""
        for name in self.tasks:
            if self.duties.held_epoch(clock.now(), name) is not None:
                self.hand_over(name)

    def close(self) -> None:
        """Give up all leases and close the voter's folder."""
        self.ended = True
        for name in self.tasks:
            self.duties.leave(name, "the server ends")
        if self.committer is not None:
            self.committer.close(CLOSE_TIMEOUT_S)
            self.files.close()

    # Commands of the status server.

    def known_holder(self, now: int, name: str) -> tuple[str, int]:
        """Return the holder of a lease, as far as this server knows, and the newest epoch."""
        candidate, known = self.duties.candidates[name], self.duties.known_holders.by_duty.get(name)
        epoch = self.duties.held_epoch(now, name)
        if epoch is not None:
            return self.fleet.daemon.configuration.name, epoch
        if known is None:
            return "", candidate.highest_epoch
        return (
            known.announcement.name if now - known.received_at_us < ANNOUNCEMENT_VALID_US else "",
            known.announcement.epoch,
        )

    def lease_status(self, now: int, name: str) -> dict:
        """Return the state of a lease and of its task."""
        candidate, (holder, epoch) = self.duties.candidates[name], self.known_holder(now, name)
        return {
            "holder": holder,
            "epoch": epoch,
            "left_ms": candidate.remaining_us(now) // 1000,
            "state": candidate.state.value,
            **self.tasks[name].status(now),
        }

    def answer_duties(self, words: list[str]) -> dict:
        """Answer the command `duties`: the leases, this server's vote and the last changes."""
        now, voter = clock.now(), self.duties.voter
        leases = {name: self.lease_status(now, name) for name in self.tasks}
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
            turns = [
                {"ago_ms": (now - change.at) // 1000, **change._asdict()}
                for change in self.lease_changes
            ]
        return {
            "name": self.fleet.daemon.configuration.name,
            "duties": leases,
            "votes": vote,
            "turns": turns,
            "stale_refused": self.duties.fence.rejected,
            "started": self.fleet.member.record.version // REFUTATIONS_PER_START,
        }

    def answer_hand_over(self, words: list[str]) -> dict:
        """Answer the command `hand-over`."""
        if not words or words[0] not in self.tasks:
            return {"fault": f"right would be one of {', '.join(self.tasks)}"}
        return self.execute_or_forward(words[0], ["hand-over", *words[1:2]])

    def answer_roll(self, words: list[str]) -> dict:
        """Answer the command `roll`, which starts, shows and stops rolling restarts."""
        if "roll" not in self.tasks:
            return {"fault": "duties.roll is off in the operator's file"}
        if words[:1] == ["status"]:
            return self.lease_status(clock.now(), "roll")
        return self.execute_or_forward("roll", words)

    def execute_or_forward(self, duty: str, words: list[str]) -> dict:
        """Carry a command out if this server holds the lease, else forward it to the holder."""
        now = clock.now()
        if self.duties.held_epoch(now, duty) is not None:
            return self.execute_command(duty, words)
        holder = self.lease_status(now, duty)["holder"]
        if not holder:
            return {"fault": f"nobody is known to hold {duty}"}
        self.duties.forward_command(duty, " ".join(words), holder)
        return {"sent_to": holder}

    def log_status(self) -> None:
        """Log a line for each lease."""
        now = clock.now()
        for name in self.tasks:
            log.info(
                "lease status",
                extra=log_fields(
                    duty=name,
                    **{
                        key: value
                        for key, value in self.lease_status(now, name).items()
                        if key in ("holder", "epoch", "left_ms", "state")
                    },
                ),
            )
