"""The singleton tasks: work that only one server of a fleet does at a time, under a lease.

A task is called on the thread of `duties.py` with the epoch of its lease while this server holds
the lease. After every wait the task checks that the lease is still held.
"""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import threading
import time
from collections.abc import Callable

from gullyoke.admission.interface import DependencySlots
from gullyoke.coordination.max_min_fairness import split_limit
from gullyoke.durability.disk_quota import DataKind
from gullyoke.extensions.data_folders import DataFolder
from gullyoke.extensions.fleet import Fleet
from gullyoke.extensions.shares import Shares
from gullyoke.leases import rolling_restart as rolls
from gullyoke.leases.announcements import Announcement, Instruction
from gullyoke.leases.dependency_probe import DependencyProbe
from gullyoke.membership import Status
from gullyoke.membership.member_record import REFUTATIONS_PER_START
from gullyoke.operator_config.wanted import ApplicationLeaseSection
from gullyoke.peer_transport.lease_service import LeaseService
from gullyoke.peer_transport.quota_service import Substitutes
from gullyoke.runtime import clock
from gullyoke.runtime.logs import log, log_fields
from gullyoke.storage.append_file import AppendFile

ANNOUNCEMENT_VALID_US = 6_000_000  # microseconds for which an announcement is valid
MAX_RECORD_FILE_BYTES = 2**20  # largest size of the file with the fleet's record


class SingletonTask:
    """The base of the singleton tasks, with methods that do nothing.

    Attributes:
        name: the name of the lease.
    """

    name = ""

    def __init__(self, fleet: Fleet, duties: LeaseService) -> None:
        self.fleet, self.duties = fleet, duties

    def act(self, now: int, epoch: int) -> None:
        """Do the task; called ten times a second while this server holds the lease."""
        ...

    def stop(self, now: int) -> None:
        """Stop the task; called ten times a second while this server does not hold the lease."""
        ...

    def announcement_body(self) -> bytes:
        """Return what the holder announces to all members."""
        return b""

    def apply_announcement(self, now: int, announcement: Announcement) -> None:
        """Apply an announcement of the holder; not called while this server is the holder."""
        ...

    def execute_command(self, now: int, words: list[str]) -> dict:
        """Carry out an operator's command at the holder, and return the answer."""
        return {"fault": f"{self.name} takes no commands"}

    def status(self, now: int) -> dict:
        """Return the fields that the status answer has for this task."""
        return {}


class GatedDependencySlots:
    """Dependency slots that hold back calls to a dependency that is down.

    While the dependency counts as down, only the holder of the lease calls it, as a probe.
    """

    def __init__(
        self, slots: DependencySlots, probe: DependencyProbe, is_lease_held: Callable[[int], bool]
    ) -> None:
        self.slots, self.probe, self.is_lease_held = slots, probe, is_lease_held
        self.lock = threading.Lock()

    def update_mean_limit(
        self, now: int, stated: float | None, used_call_time: float
    ) -> float | None:
        """Report the used call time; return the limit on the mean of calls in flight, if any."""
        return self.slots.update_mean_limit(now, stated, used_call_time)

    def request_slot(self, now: int, waiting: int) -> bool:
        """Request a slot for one more call; return whether the call may start now.

        While the dependency is down only probes may start; during the slow start that follows,
        only a share of the calls.
        """
        if not self.slots.request_slot(now, waiting):
            return False
        if not self.probe.dead and self.probe.recovered_at_us is None:
            return True  # the usual case takes no lock
        held = self.is_lease_held(now) if self.probe.dead else False
        with self.lock:
            self.probe.set_is_holder(held)
            return self.probe.admit_call(now)

    def secured_until(self, now: int) -> float:
        """Return the time by which the next call has to end, including its linger time."""
        return self.slots.secured_until(now)

    def concurrency(self, now: int) -> float:
        """Return the number of calls that may be in flight at a time."""
        return self.slots.concurrency(now)

    def call_started(self) -> None:
        """Count a started call."""
        self.slots.call_started()

    def call_ended(self, now: int, lost: bool, succeeded: bool) -> None:
        """Count an ended call, and record its result as evidence of the dependency's health."""
        self.slots.call_ended(now, lost, succeeded)
        with self.lock:
            self.probe.record_call(now, succeeded)


class DependencyHealthCheck(SingletonTask):
    """The dependency health check.

    The holder probes a dependency that is down; the others learn the dependency's health
    from the holder's announcements.
    """

    name = "ask"

    def __init__(self, fleet: Fleet, duties: LeaseService) -> None:
        super().__init__(fleet, duties)
        daemon_configuration = fleet.daemon.configuration
        self.probe = DependencyProbe(random.Random(daemon_configuration.seed ^ 0xA5C).random)
        dependency_facts = daemon_configuration.facts.dependency
        self.gated_slots = dependency_facts.slots = GatedDependencySlots(
            dependency_facts.slots,
            self.probe,
            lambda now: duties.held_epoch(now, self.name) is not None,
        )
        self._logged_dead = False

    def act(self, now: int, epoch: int) -> None:
        """Log and count each change of the dependency's health."""
        if self.probe.dead != self._logged_dead:
            self._logged_dead = self.probe.dead
            self.fleet.daemon.metrics.increment(
                "duty.dependency_dead" if self._logged_dead else "duty.dependency_well"
            )
            log.warning("dependency", extra=log_fields(dead=self._logged_dead, epoch=epoch))

    def announcement_body(self) -> bytes:
        """Return whether the dependency is down: `dead` or `well`."""
        return b"dead" if self.probe.dead else b"well"

    def apply_announcement(self, now: int, announcement: Announcement) -> None:
        """Record the dependency's health that the holder announced."""
        with self.gated_slots.lock:
            self.probe.record_announcement(now, announcement.epoch, announcement.body == b"dead")

    def status(self, now: int) -> dict:
        """Return whether the dependency is down, and the number of probes sent."""
        return {"dead": self.probe.dead, "tries": self.probe.probes_sent}


class OrphanedQuotaLender(SingletonTask):
    """Lends the orphaned quota: the tokens of lenders that are no longer members.

    A majority of the lenders decides who lends for a lender that is gone, so two servers can't lend
    the same tokens. The lease only keeps two servers from trying at the same time. Its holder
    announces to all members which server to borrow from.
    """

    name = "book"

    def __init__(self, fleet: Fleet, duties: LeaseService) -> None:
        super().__init__(fleet, duties)
        wanted = fleet.wanted.shares
        self.shares = next(part for part in fleet.fleet_extensions if isinstance(part, Shares))
        self.homes = wanted.homes
        _, self.tokens = split_limit(
            wanted.slots * self.shares.tokens_per_slot(),
            wanted.largest,
            wanted.homes,
            wanted.floor_share,
        )
        self.gone_lenders: tuple[str, ...] = ()

    def act(self, now: int, epoch: int) -> None:
        """Lend for all lenders that are no longer members; for none while the size is uncertain."""
        with self.fleet.link.lock:
            members = {row.name for row in self.fleet.member.view.records.values()}
            size_usable = self.fleet.member.size(now).usable()
        gone = (
            tuple(sorted(lender for lender in self.homes if lender not in members))
            if size_usable
            else ()
        )
        self.lend_for(gone)

    def lend_for(self, gone: tuple[str, ...]) -> None:
        """Lend in place of these lenders and of no others."""
        if gone != self.gone_lenders:
            log.warning(
                "lending of orphaned quota", extra=log_fields(lends_for=",".join(gone) or "-")
            )
        self.gone_lenders = gone
        shared = self.shares.shared
        with shared.lock:
            shared.own.participant.take_over({lender: self.tokens[lender] for lender in gone})

    def stop(self, now: int) -> None:
        """Stop lending for other lenders."""
        if self.gone_lenders:
            self.lend_for(())

    def announcement_body(self) -> bytes:
        """Return as JSON the address to borrow from, by the name of each lender that is gone."""
        address = self.fleet.wanted.advertise
        return json.dumps(dict.fromkeys(self.gone_lenders, address)).encode()

    def apply_announcement(self, now: int, announcement: Announcement) -> None:
        """Borrow from the substitutes in the announcement while it is valid."""
        try:
            addresses = {
                str(lender): str(address)
                for lender, address in json.loads(announcement.body or b"{}").items()
            }
        except (ValueError, AttributeError):
            return
        self.shares.shared.substitutes = Substitutes(addresses, now + ANNOUNCEMENT_VALID_US)

    def status(self, now: int) -> dict:
        """Return the names of the lenders that this server lends for."""
        return {"lends_for": list(self.gone_lenders)}


class RollingRestart(SingletonTask):
    """Conducts a rolling restart; each step is stored by a majority before it is carried out."""

    name = "roll"

    def __init__(self, fleet: Fleet, duties: LeaseService) -> None:
        super().__init__(fleet, duties)
        self.plan, self.next, self.epoch = rolls.RestartPlan(), 0, 0
        # By member name: the time since which the member has been alive without a break.
        self.alive_since_us: dict[str, int] = {}
        # By member name: when the member was last instructed.
        self.instructed_us: dict[str, int] = {}

    def act(self, now: int, epoch: int) -> None:
        """Continue the plan at most once in 300 ms, if a majority has stored it.

        Either stores the plan's next step, or instructs the members of the stored step.
        """
        register = self.duties.held_record(self.name)
        if register is None or register.body is None:
            return
        if self.epoch != epoch:  # the lease is new here: continue the last holder's plan
            try:
                self.plan = rolls.unpack_plan(register.body)
            except (ValueError, TypeError, KeyError):
                self.plan = rolls.RestartPlan()
                self.fleet.daemon.metrics.increment("duty.roll_unreadable")
            self.epoch = epoch
            self.instructed_us.clear()
        if not register.committed or now < self.next:
            return
        self.next = now + 300_000
        plan = rolls.step(
            self.plan, now, self.update_fleet_state(now), self.fleet.daemon.configuration.name
        )
        if plan != self.plan:
            self.store_plan(plan, "step")
            return  # members are instructed once the plan is stored by a majority
        self.send_instructions(now, epoch)

    def store_plan(self, plan: rolls.RestartPlan, why: str) -> None:
        """Replace the plan, and have it stored by a majority."""
        if plan.state != self.plan.state:
            log.warning(
                "roll", extra=log_fields(number=plan.number, state=plan.state, why=plan.why or why)
            )
        self.plan = plan
        register = self.duties.held_record(self.name)
        if register is not None:
            register.put(plan.pack())

    def send_instructions(self, now: int, epoch: int) -> None:
        """Instruct the members of this step to drain; repeat it each second until they restarted.

        A member that is draining ignores the repeats.
        """
        if self.plan.state != "going":
            return
        starts = {member.name: member.start for member in self.update_fleet_state(now).members}
        own_name = self.fleet.daemon.configuration.name
        for name, _, start in self.plan.doing:
            if starts.get(name) != start or now - self.instructed_us.get(name, 0) < 1_000_000:
                continue
            self.instructed_us[name] = now
            if self.duties.held_epoch(clock.now(), self.name) != epoch:
                return
            if name == own_name:
                self.drain(now, epoch)
            else:
                self.duties.instruct(self.name, epoch, name, "drain", str(start).encode())
        for name in [n for n in self.instructed_us if n not in {row[0] for row in self.plan.doing}]:
            del self.instructed_us[name]

    def drain(self, now: int, epoch: int) -> None:
        """Drain this server as SIGTERM does."""
        self.fleet.daemon.metrics.increment("duty.drained")
        log.warning("roll: draining this server", extra=log_fields(epoch=epoch))
        os.kill(os.getpid(), signal.SIGTERM)

    def apply_instruction(self, now: int, instruction: Instruction) -> None:
        """Drain, if the lease holder's instruction is for the present start of this server.

        The instruction names the start that it is for, so a delayed instruction does not drain the
        server again after its restart.
        """
        own_start = self.fleet.member.record.version // REFUTATIONS_PER_START
        applies = instruction.what == "drain" and instruction.body == str(own_start).encode()
        if applies and self.fleet.daemon.dispatcher.stop_at is None:
            self.drain(now, instruction.epoch)

    def update_fleet_state(self, now: int) -> rolls.FleetState:
        """Return the state of the members, and note since when each has been alive."""
        fleet = self.fleet
        with fleet.link.lock:
            own_member, signal_rows = (
                fleet.member,
                fleet.link.signals.rows if fleet.link.signals is not None else {},
            )
            rows = list(own_member.view.records.values())
            states = {row.id: own_member.state(now, row) for row in rows}
            readings = {member_id: reading for member_id, (_, _, reading) in signal_rows.items()}
        members, rejected_shares = [], []
        for row in rows:
            reading = readings.get(row.id)
            alive = states[row.id] == "alive"
            calm = reading is None or reading.rejected_share < 0.25
            if not alive:
                self.alive_since_us[row.name] = now
            self.alive_since_us.setdefault(row.name, now)
            if reading is not None:
                rejected_shares.append(reading.rejected_share)
            members.append(
                rolls.MemberState(
                    row.name,
                    row.zone,
                    row.version // REFUTATIONS_PER_START,
                    alive and row.status is Status.ALIVE,
                    self.alive_since_us[row.name],
                    calm,
                )
            )
        names = {row.name for row in rows}
        for name in [n for n in self.alive_since_us if n not in names]:
            del self.alive_since_us[name]
        rejected_shares.sort()
        return rolls.FleetState(
            tuple(members), rejected_shares[len(rejected_shares) // 2] if rejected_shares else 0.0
        )

    def execute_command(self, now: int, words: list[str]) -> dict:
        """Start, pause, resume or cancel the rolling restart, and return the new plan."""
        register = self.duties.held_record(self.name)
        if register is None or register.body is None:
            return {"fault": "this server does not conduct"}
        try:
            if words[0] == "start":
                at_once, a_zone = (float(share) for share in words[1:3])
                plan = rolls.start(self.plan, self.update_fleet_state(now), at_once, a_zone)
            elif words[0] == "pause":
                plan = rolls.pause(self.plan, "asked for")
            elif words[0] == "resume":
                plan = rolls.resume(self.plan, now, self.update_fleet_state(now))
            elif words[0] == "cancel":
                plan = rolls.cancel(self.plan, "asked for")
            else:
                return {"fault": "right would be start, pause, resume or cancel"}
        except (ValueError, IndexError) as error:
            return {"fault": str(error)}
        self.store_plan(plan, words[0])
        return {"plan": plan._asdict()}

    def announcement_body(self) -> bytes:
        """Return the plan as JSON."""
        return self.plan.pack()

    def apply_announcement(self, now: int, announcement: Announcement) -> None:
        """Take over the plan in the announcement; count an announcement that can't be read."""
        try:
            self.plan = rolls.unpack_plan(announcement.body)
        except (ValueError, TypeError, KeyError):
            self.fleet.daemon.metrics.increment("duty.roll_unreadable")

    def status(self, now: int) -> dict:
        """Return the plan, the members that are still to be restarted and the number of members."""
        fields = self.plan._asdict()
        fleet = self.update_fleet_state(now)
        return fields | {
            "left": [member.name for member in rolls.members_to_restart(self.plan, fleet)]
            if self.plan.state in ("going", "paused", "stopped")
            else [],
            "members": len(fleet.members),
        }


class FleetRecord(SingletonTask):
    """The fleet's record: a line for each change of the members and for each new holder.

    The lines are stored in the holder's folder. Each contains the epoch and a number; the next
    holder continues the numbering.
    """

    name = "record"

    def __init__(self, fleet: Fleet, duties: LeaseService, folder: DataFolder) -> None:
        super().__init__(fleet, duties)
        self.file = AppendFile(
            os.path.join(folder.path, "record.jsonl"),
            MAX_RECORD_FILE_BYTES,
            folder.monitor,
            lambda: folder.accepts(DataKind.FLEET_RECORD),
        )
        folder.register(
            DataKind.FLEET_RECORD, self.file.size_bytes, lambda size: self.file.drop_older()
        )
        self.last, self.epoch, self.count = None, 0, 0

    def act(self, now: int, epoch: int) -> None:
        """Write a line for a new holder and for each change of the members.

        Gives up the lease if this server's disk fails.
        """
        register = self.duties.held_record(self.name)
        if register is None or register.body is None or not register.committed:
            return
        if self.epoch != epoch:
            self.epoch = epoch
            self.count = int(register.body or b"0") if (register.body or b"0").isdigit() else 0
            self.write(now, {"what": "taken over"}, register)
        with self.fleet.link.lock:
            size, view = self.fleet.member.size(now), self.fleet.member.view
            state = size.members, f"{view.digest:016x}"
        if self.file.faults:  # this server's disk fails: another server should hold the lease
            self.fleet.daemon.metrics.increment("duty.record_faults")
            self.file.faults = 0
            self.duties.leave(self.name, f"its disk: {self.file.reason}", failed=True)
            return
        if state != self.last:
            self.last = state
            row = {"what": "view", "members": state[0], "seen": size.seen, "digest": state[1]}
            self.write(now, row, register)

    def write(self, now: int, row: dict, register) -> None:
        """Append one line of at most 256 bytes, and store its number for the next holder."""
        self.count += 1
        self.file.add(
            json.dumps(
                {
                    "n": self.count,
                    "epoch": self.epoch,
                    "by": self.fleet.daemon.configuration.name,
                    "at": int(time.time()),
                    **row,
                }
            )
        )
        register.put(str(self.count).encode())

    def status(self, now: int) -> dict:
        """Return the number of the last line that this server wrote; 0 before the first."""
        return {"count": self.count}


class ApplicationLease(SingletonTask):
    """A lease for the application's own use.

    While this server holds the lease, it notifies the application at each interval. The message
    contains the epoch as a fencing token, which the application compares with the newest epoch that
    it has seen.
    """

    def __init__(self, fleet: Fleet, duties: LeaseService, wanted: ApplicationLeaseSection) -> None:
        super().__init__(fleet, duties)
        self.name, self.wanted, self.next, self.faults, self.stale = wanted.name, wanted, 0, 0, 0
        self.message_lock = threading.Lock()  # held while a message to the application is under way

    def act(self, now: int, epoch: int) -> None:
        """Send the message on a thread of its own, unless one is still under way."""
        if now >= self.next and self.message_lock.acquire(blocking=False):
            self.next = now + self.wanted.every
            threading.Thread(
                target=self.notify_application, args=(epoch,), name="duty", daemon=True
            ).start()

    def notify_application(self, epoch: int) -> None:
        """Notify the application of the lease; give the lease up if the application can't act.

        It can't act if it has seen a newer epoch, or could not be reached three times in a row.
        """
        try:
            with socket.create_connection(self.wanted.address, 1) as conn:
                conn.settimeout(2)
                now = clock.now()  # connecting may have taken time: check the lease again
                if self.duties.held_epoch(now, self.name) != epoch:
                    return
                left = self.duties.candidates[self.name].remaining_us(now) // 1000
                conn.sendall(
                    f"HOLD {self.name} {epoch} {self.duties.incarnation} {left}\n".encode()
                )
                answer = conn.recv(64).split(b"\n")[0].strip()
            self.faults = 0
            if answer == b"STALE":
                self.stale += 1
                self.fleet.daemon.metrics.increment("duty.told_stale")
                self.duties.leave(self.name, "the application has seen a newer epoch")
        except OSError as error:
            self.faults += 1
            self.fleet.daemon.metrics.increment("duty.untold")
            if self.faults >= 3:  # another server should hold the lease
                self.faults = 0
                self.duties.leave(self.name, f"the application: {error}", failed=True)
        except Exception:
            self.fleet.daemon.metrics.record_internal_error("duty")
        finally:
            self.message_lock.release()
