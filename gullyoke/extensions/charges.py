"""The singleton tasks: work that only one server of a fleet does at a time, under a lease.

A task is called on the thread of `duties.py` with the epoch of its lease while this server holds
the lease. After every wait it checks that the lease is still held.
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
from gullyoke.operator_config.wanted import OwnDuty
from gullyoke.peer_transport.lease_service import LeaseService
from gullyoke.peer_transport.quota_service import Substitutes
from gullyoke.runtime import clock
from gullyoke.runtime.logs import log, log_fields
from gullyoke.storage.append_file import AppendFile

YOUNG = 6_000_000  # microseconds for which an announcement is valid
LONGEST = 2**20  # bytes of the file of the fleet's record


class Charge:
    """The base of the singleton tasks; it does nothing.

    Attributes:
        name: the name of the lease.
    """

    name = ""

    def __init__(self, fleet: Fleet, duties: LeaseService) -> None:
        self.fleet, self.duties = fleet, duties

    def act(self, now: int, epoch: int) -> None:
        """Do the task; called ten times a second while this server holds the lease."""
        ...

    def idle(self, now: int) -> None:
        """Stop the task; called ten times a second while this server does not hold the lease."""
        ...

    def notice(self) -> bytes:
        """Return what the holder announces to all members."""
        return b""

    def heard(self, now: int, notice: Announcement) -> None:
        """Apply an announcement of the holder; not called while this server is the holder."""
        ...

    def asked(self, now: int, words: list[str]) -> dict:
        """Carry out an operator's command at the holder, and return the answer."""
        return {"fault": f"{self.name} takes no commands"}

    def told(self, now: int) -> dict:
        """Return what the status answer shows of the task."""
        return {}


class Gated:
    """Dependency slots that hold back the calls of a dependency that is down.

    While the dependency counts as down, only the holder of the lease calls it, as a probe.
    """

    def __init__(
        self, slots: DependencySlots, probe: DependencyProbe, holding: Callable[[int], bool]
    ) -> None:
        self.slots, self.probe, self.holding = slots, probe, holding
        self.lock = threading.Lock()

    def update_mean_limit(
        self, now: int, stated: float | None, used_call_time: float
    ) -> float | None:
        return self.slots.update_mean_limit(now, stated, used_call_time)

    def request_slot(self, now: int, waiting: int) -> bool:
        if not self.slots.request_slot(now, waiting):
            return False
        if not self.probe.dead and self.probe.opened is None:
            return True  # the usual case takes no lock
        held = self.holding(now) if self.probe.dead else False
        with self.lock:
            self.probe.set_lease_held(held)
            return self.probe.allows_call(now)

    def secured_until(self, now: int) -> float:
        return self.slots.secured_until(now)

    def concurrency(self, now: int) -> float:
        return self.slots.concurrency(now)

    def call_started(self) -> None:
        self.slots.call_started()

    def call_ended(self, now: int, lost: bool, succeeded: bool) -> None:
        self.slots.call_ended(now, lost, succeeded)
        with self.lock:
            self.probe.record_call(now, succeeded)


class Ask(Charge):
    """The dependency health check.

    The holder probes a dependency that is down; the others learn its health from the holder's
    announcements.
    """

    name = "ask"

    def __init__(self, fleet: Fleet, duties: LeaseService) -> None:
        super().__init__(fleet, duties)
        daemon_configuration = fleet.daemon.configuration
        self.probe = DependencyProbe(random.Random(daemon_configuration.seed ^ 0xA5C).random)
        dependency_facts = daemon_configuration.facts.dependency
        self.gate = dependency_facts.slots = Gated(
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

    def notice(self) -> bytes:
        return b"dead" if self.probe.dead else b"well"

    def heard(self, now: int, notice: Announcement) -> None:
        with self.gate.lock:
            self.probe.record_announcement(now, notice.epoch, notice.body == b"dead")

    def told(self, now: int) -> dict:
        return {"dead": self.probe.dead, "tries": self.probe.probes_sent}


class Book(Charge):
    """Lends the orphaned quota: the tokens of lenders that are no longer members.

    A majority of the lenders decides who lends for one that is gone, so two servers can't lend
    the same tokens. The lease only keeps two servers from trying at once, and its holder announces
    to all members whom to ask.
    """

    name = "book"

    def __init__(self, fleet: Fleet, duties: LeaseService) -> None:
        super().__init__(fleet, duties)
        wanted = fleet.wanted.shares
        self.shares = next(part for part in fleet.parts if isinstance(part, Shares))
        self.homes = wanted.homes
        _, self.tokens = split_limit(
            wanted.slots * self.shares.tokens_per_slot(),
            wanted.largest,
            wanted.homes,
            wanted.floor_share,
        )
        self.gone: tuple[str, ...] = ()

    def act(self, now: int, epoch: int) -> None:
        with self.fleet.link.lock:
            members = {row.name for row in self.fleet.member.view.records.values()}
            size_usable = self.fleet.member.size(now).usable()
        gone = (
            tuple(sorted(home for home in self.homes if home not in members)) if size_usable else ()
        )
        self.lend(gone)

    def lend(self, gone: tuple[str, ...]) -> None:
        """Lend for these lenders and for no others."""
        if gone != self.gone:
            log.warning("book of shares", extra=log_fields(lends_for=",".join(gone) or "-"))
        self.gone = gone
        shared = self.shares.shared
        with shared.lock:
            shared.own.participant.take_over({home: self.tokens[home] for home in gone})

    def idle(self, now: int) -> None:
        if self.gone:
            self.lend(())

    def notice(self) -> bytes:
        address = self.fleet.wanted.advertise
        return json.dumps(dict.fromkeys(self.gone, address)).encode()

    def heard(self, now: int, notice: Announcement) -> None:
        """Borrow from the substitutes of these lenders while the announcement is valid."""
        try:
            addresses = {
                str(home): str(address)
                for home, address in json.loads(notice.body or b"{}").items()
            }
        except (ValueError, AttributeError):
            return
        self.shares.shared.substitutes = Substitutes(addresses, now + YOUNG)

    def told(self, now: int) -> dict:
        return {"lends_for": list(self.gone)}


class Roll(Charge):
    """Conducts a rolling restart; each step is stored by a majority before it is acted on."""

    name = "roll"

    def __init__(self, fleet: Fleet, duties: LeaseService) -> None:
        super().__init__(fleet, duties)
        self.plan, self.next, self.epoch = rolls.RestartPlan(), 0, 0
        self.since: dict[str, int] = {}  # by member: since when it has been alive without a break
        self.ordered: dict[str, int] = {}  # by member: when it was last instructed to drain

    def act(self, now: int, epoch: int) -> None:
        register = self.duties.register(self.name)
        if register is None or register.body is None:
            return
        if self.epoch != epoch:  # just acquired: go on with the plan of the last holder
            try:
                self.plan = rolls.unpack_plan(register.body)
            except (ValueError, TypeError, KeyError):
                self.plan = rolls.RestartPlan()
                self.fleet.daemon.metrics.increment("duty.roll_unreadable")
            self.epoch = epoch
            self.ordered.clear()
        if not register.committed or now < self.next:
            return
        self.next = now + 300_000
        plan = rolls.step(self.plan, now, self.seen(now), self.fleet.daemon.configuration.name)
        if plan != self.plan:
            self.take(plan, "step")
            return  # members are instructed once the plan is stored by a majority
        self.send(now, epoch)

    def take(self, plan: rolls.RestartPlan, why: str) -> None:
        """Replace the plan, and have it stored by a majority."""
        if plan.state != self.plan.state:
            log.warning(
                "roll", extra=log_fields(number=plan.number, state=plan.state, why=plan.why or why)
            )
        self.plan = plan
        register = self.duties.register(self.name)
        if register is not None:
            register.put(plan.pack())

    def send(self, now: int, epoch: int) -> None:
        """Instruct the members of this step to drain, again each second until they have restarted.

        A member that is draining ignores the repeats.
        """
        if self.plan.state != "going":
            return
        starts = {member.name: member.start for member in self.seen(now).members}
        own_name = self.fleet.daemon.configuration.name
        for name, _, start in self.plan.doing:
            if starts.get(name) != start or now - self.ordered.get(name, 0) < 1_000_000:
                continue
            self.ordered[name] = now
            if self.duties.held_epoch(clock.now(), self.name) != epoch:
                return
            if name == own_name:
                self.drain(now, epoch)
            else:
                self.duties.instruct(self.name, epoch, name, "drain", str(start).encode())
        for name in [n for n in self.ordered if n not in {row[0] for row in self.plan.doing}]:
            del self.ordered[name]

    def drain(self, now: int, epoch: int) -> None:
        """Drain this server as SIGTERM does."""
        self.fleet.daemon.metrics.increment("duty.drained")
        log.warning("roll: this server's turn", extra=log_fields(epoch=epoch))
        os.kill(os.getpid(), signal.SIGTERM)

    def obey(self, now: int, order: Instruction) -> None:
        """Drain, if the lease holder's instruction is for the present start of this server.

        The instruction has the number of the start, so a late one does not drain the server again
        after its restart.
        """
        own_start = self.fleet.member.record.version // REFUTATIONS_PER_START
        applies = order.what == "drain" and order.body == str(own_start).encode()
        if applies and self.fleet.daemon.dispatcher.stop_at is None:
            self.drain(now, order.epoch)

    def seen(self, now: int) -> rolls.FleetState:
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
                self.since[row.name] = now
            self.since.setdefault(row.name, now)
            if reading is not None:
                rejected_shares.append(reading.rejected_share)
            members.append(
                rolls.MemberState(
                    row.name,
                    row.zone,
                    row.version // REFUTATIONS_PER_START,
                    alive and row.status is Status.ALIVE,
                    self.since[row.name],
                    calm,
                )
            )
        names = {row.name for row in rows}
        for name in [n for n in self.since if n not in names]:
            del self.since[name]
        rejected_shares.sort()
        return rolls.FleetState(
            tuple(members), rejected_shares[len(rejected_shares) // 2] if rejected_shares else 0.0
        )

    def asked(self, now: int, words: list[str]) -> dict:
        register = self.duties.register(self.name)
        if register is None or register.body is None:
            return {"fault": "this server does not conduct"}
        try:
            if words[0] == "start":
                at_once, a_zone = (float(share) for share in words[1:3])
                plan = rolls.start(self.plan, self.seen(now), at_once, a_zone)
            elif words[0] == "pause":
                plan = rolls.pause(self.plan, "asked for")
            elif words[0] == "resume":
                plan = rolls.resume(self.plan, now, self.seen(now))
            elif words[0] == "cancel":
                plan = rolls.cancel(self.plan, "asked for")
            else:
                return {"fault": "right would be start, pause, resume or cancel"}
        except (ValueError, IndexError) as error:
            return {"fault": str(error)}
        self.take(plan, words[0])
        return {"plan": plan._asdict()}

    def notice(self) -> bytes:
        return self.plan.pack()

    def heard(self, now: int, notice: Announcement) -> None:
        try:
            self.plan = rolls.unpack_plan(notice.body)
        except (ValueError, TypeError, KeyError):
            self.fleet.daemon.metrics.increment("duty.roll_unreadable")

    def told(self, now: int) -> dict:
        fields = self.plan._asdict()
        fleet = self.seen(now)
        return fields | {
            "left": [member.name for member in rolls.members_to_restart(self.plan, fleet)]
            if self.plan.state in ("going", "paused", "stopped")
            else [],
            "members": len(fleet.members),
        }


class Record(Charge):
    """The fleet's record: a line for each change of the members and for each new holder.

    The lines are in the holder's folder, each with the epoch. They are numbered; the next holder
    continues the numbers.
    """

    name = "record"

    def __init__(self, fleet: Fleet, duties: LeaseService, folder: DataFolder) -> None:
        super().__init__(fleet, duties)
        self.lines = AppendFile(
            os.path.join(folder.path, "record.jsonl"),
            LONGEST,
            folder.monitor,
            lambda: folder.accepts(DataKind.FLEET_RECORD),
        )
        folder.register(
            DataKind.FLEET_RECORD, self.lines.size_bytes, lambda size: self.lines.drop_older()
        )
        self.last, self.epoch, self.count = None, 0, 0

    def act(self, now: int, epoch: int) -> None:
        register = self.duties.register(self.name)
        if register is None or register.body is None or not register.committed:
            return
        if self.epoch != epoch:
            self.epoch = epoch
            self.count = int(register.body or b"0") if (register.body or b"0").isdigit() else 0
            self.write(now, {"what": "taken over"}, register)
        with self.fleet.link.lock:
            size, view = self.fleet.member.size(now), self.fleet.member.view
            state = size.members, f"{view.digest:016x}"
        if self.lines.faults:  # this server's disk fails: another server should hold the lease
            self.fleet.daemon.metrics.increment("duty.record_faults")
            self.lines.faults = 0
            self.duties.leave(self.name, f"its disk: {self.lines.reason}", failed=True)
            return
        if state != self.last:
            self.last = state
            row = {"what": "view", "members": state[0], "seen": size.seen, "digest": state[1]}
            self.write(now, row, register)

    def write(self, now: int, row: dict, register) -> None:
        """Append one line of at most 256 bytes, and store its number for the next holder."""
        self.count += 1
        self.lines.add(
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

    def told(self, now: int) -> dict:
        return {"count": self.count}


class Told(Charge):
    """A lease of the application's own.

    While this server holds the lease it tells the application so at each interval, with the epoch
    as a fencing token: the application compares it with the newest epoch that it has seen.
    """

    def __init__(self, fleet: Fleet, duties: LeaseService, wanted: OwnDuty) -> None:
        super().__init__(fleet, duties)
        self.name, self.wanted, self.next, self.faults, self.stale = wanted.name, wanted, 0, 0, 0
        self.going = threading.Lock()  # held while a message to the application is under way

    def act(self, now: int, epoch: int) -> None:
        """Send the message on a thread of its own, unless one is still under way."""
        if now >= self.next and self.going.acquire(blocking=False):
            self.next = now + self.wanted.every
            threading.Thread(target=self.tell, args=(epoch,), name="duty", daemon=True).start()

    def tell(self, epoch: int) -> None:
        """Tell the application of the lease, and give the lease up where the application can't act.

        That is so if it has seen a newer epoch, or if it can't be reached three times in a row.
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
            self.going.release()
