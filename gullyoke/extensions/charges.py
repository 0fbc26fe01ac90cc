"""What is done under a duty: one small unit each.

A charge is called by the timer's thread while its duty is held here, with the epoch, and asks again
after every wait.
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

YOUNG = 6_000_000  # a notice counts for so long
LONGEST = 2**20  # bytes of the record's file


class Charge:
    """Does nothing; a charge says otherwise.

    `name` is its duty's. `act` comes ten times a second while the duty is held here and what was
    left by the last holder has been read; `idle` while it is not.
    """

    name = ""

    def __init__(self, fleet: Fleet, duties: LeaseService) -> None:
        self.fleet, self.duties = fleet, duties

    def act(self, now: int, epoch: int) -> None: ...

    def idle(self, now: int) -> None: ...

    def notice(self) -> bytes:
        """What all members should know of it."""
        return b""

    def heard(self, now: int, notice: Announcement) -> None: ...

    def asked(self, now: int, words: list[str]) -> dict:
        """An operator's command; asked at the holder."""
        return {"fault": f"{self.name} takes no commands"}

    def told(self, now: int) -> dict:
        return {}


class Gated:
    """A `DependencySlots` for the decisions.

    No call goes out to what is taken for dead but by whose turn it is.
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
        if not self.probe.dead and self.probe.recovered_at_us is None:
            return True  # the ordinary case costs no lock
        held = self.holding(now) if self.probe.dead else False
        with self.lock:
            self.probe.set_is_holder(held)
            return self.probe.admit_call(now)

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
    """One asks a dead dependency; the rest learn from its notices how it stands."""

    name = "ask"

    def __init__(self, fleet: Fleet, duties: LeaseService) -> None:
        super().__init__(fleet, duties)
        told = fleet.daemon.configuration
        self.probe = DependencyProbe(random.Random(told.seed ^ 0xA5C).random)
        below = told.facts.dependency
        self.gate = below.slots = Gated(
            below.slots, self.probe, lambda now: duties.held_epoch(now, self.name) is not None
        )
        self.was = False

    def act(self, now: int, epoch: int) -> None:
        if self.probe.dead != self.was:
            self.was = self.probe.dead
            self.fleet.daemon.metrics.increment(
                "duty.dependency_dead" if self.was else "duty.dependency_well"
            )
            log.warning("dependency", extra=log_fields(dead=self.was, epoch=epoch))

    def notice(self) -> bytes:
        return b"dead" if self.probe.dead else b"well"

    def heard(self, now: int, notice: Announcement) -> None:
        with self.gate.lock:
            self.probe.record_announcement(now, notice.epoch, notice.body == b"dead")

    def told(self, now: int) -> dict:
        return {"dead": self.probe.dead, "tries": self.probe.probes_sent}


class Book(Charge):
    """Lends what homes that ended had to lend.

    Their names are safe by their own majority; this duty only sees to it that no two servers try,
    and tells all whom to ask.
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
            there = {row.name for row in self.fleet.member.view.records.values()}
            sure = self.fleet.member.size(now).usable()
        gone = tuple(sorted(home for home in self.homes if home not in there)) if sure else ()
        self.lend(gone)

    def lend(self, gone: tuple[str, ...]) -> None:
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
        at = self.fleet.wanted.advertise
        return json.dumps(dict.fromkeys(self.gone, at)).encode()

    def heard(self, now: int, notice: Announcement) -> None:
        """Who asks these homes asks whoever lends for them, for as long as the notice is young."""
        try:
            at = {str(home): str(where) for home, where in json.loads(notice.body or b"{}").items()}
        except (ValueError, AttributeError):
            return
        self.shares.shared.substitutes = Substitutes(at, now + YOUNG)

    def told(self, now: int) -> dict:
        return {"lends_for": list(self.gone)}


class Roll(Charge):
    """A rolling restart, kept by a majority at each step before anything follows from it."""

    name = "roll"

    def __init__(self, fleet: Fleet, duties: LeaseService) -> None:
        super().__init__(fleet, duties)
        self.plan, self.next, self.epoch = rolls.RestartPlan(), 0, 0
        self.since: dict[str, int] = {}  # when each member was last seen to come in or turn well
        self.ordered: dict[str, int] = {}  # whom, and when the word last went out

    def act(self, now: int, epoch: int) -> None:
        register = self.duties.held_record(self.name)
        if register is None or register.body is None:
            return
        if self.epoch != epoch:  # taken over: what the last holder left
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
            return  # what follows waits until that is kept
        self.send(now, epoch)

    def take(self, plan: rolls.RestartPlan, why: str) -> None:
        if plan.state != self.plan.state:
            log.warning(
                "roll", extra=log_fields(number=plan.number, state=plan.state, why=plan.why or why)
            )
        self.plan = plan
        register = self.duties.held_record(self.name)
        if register is not None:
            register.put(plan.pack())

    def send(self, now: int, epoch: int) -> None:
        """The word to go, again until it was heard.

        A server that has it does not act on it twice.
        """
        if self.plan.state != "going":
            return
        starts = {one.name: one.start for one in self.seen(now).members}
        me = self.fleet.daemon.configuration.name
        for name, _, start in self.plan.doing:
            if starts.get(name) != start or now - self.ordered.get(name, 0) < 1_000_000:
                continue
            self.ordered[name] = now
            if self.duties.held_epoch(clock.now(), self.name) != epoch:
                return
            if name == me:
                self.drain(now, epoch)
            else:
                self.duties.instruct(self.name, epoch, name, "drain", str(start).encode())
        for name in [n for n in self.ordered if n not in {row[0] for row in self.plan.doing}]:
            del self.ordered[name]

    def drain(self, now: int, epoch: int) -> None:
        """This server's own turn: it leaves by the way that a notice to leave takes."""
        self.fleet.daemon.metrics.increment("duty.drained")
        log.warning("roll: this server's turn", extra=log_fields(epoch=epoch))
        os.kill(os.getpid(), signal.SIGTERM)

    def obey(self, now: int, order: Instruction) -> None:
        """The conductor's word.

        It names the start that is meant, so that a word that comes late drains nobody a second
        time.
        """
        own = self.fleet.member.record.version // REFUTATIONS_PER_START
        meant = order.what == "drain" and order.body == str(own).encode()
        if meant and self.fleet.daemon.dispatcher.stop_at is None:
            self.drain(now, order.epoch)

    def seen(self, now: int) -> rolls.FleetState:
        fleet = self.fleet
        with fleet.link.lock:
            one, told = (
                fleet.member,
                fleet.link.signals.rows if fleet.link.signals is not None else {},
            )
            rows = list(one.view.records.values())
            states = {row.id: one.state(now, row) for row in rows}
            readings = {who: reading for who, (_, _, reading) in told.items()}
        members, sheds = [], []
        for row in rows:
            reading = readings.get(row.id)
            there = states[row.id] == "alive"
            calm = reading is None or reading.rejected_share < 0.25
            if not there:
                self.since[row.name] = now
            self.since.setdefault(row.name, now)
            if reading is not None:
                sheds.append(reading.rejected_share)
            members.append(
                rolls.MemberState(
                    row.name,
                    row.zone,
                    row.version // REFUTATIONS_PER_START,
                    there and row.status is Status.ALIVE,
                    self.since[row.name],
                    calm,
                )
            )
        names = {row.name for row in rows}
        for name in [n for n in self.since if n not in names]:
            del self.since[name]
        sheds.sort()
        return rolls.FleetState(tuple(members), sheds[len(sheds) // 2] if sheds else 0.0)

    def asked(self, now: int, words: list[str]) -> dict:
        register = self.duties.held_record(self.name)
        if register is None or register.body is None:
            return {"fault": "this server does not conduct"}
        try:
            if words[0] == "start":
                at_once, a_zone = (float(x) for x in words[1:3])
                plan = rolls.start(self.plan, self.seen(now), at_once, a_zone)
            elif words[0] == "pause":
                plan = rolls.pause(self.plan, "asked for")
            elif words[0] == "resume":
                plan = rolls.resume(self.plan, now, self.seen(now))
            elif words[0] == "cancel":
                plan = rolls.cancel(self.plan, "asked for")
            else:
                return {"fault": "right would be start, pause, resume or cancel"}
        except (ValueError, IndexError) as fault:
            return {"fault": str(fault)}
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
        found = self.plan._asdict()
        fleet = self.seen(now)
        return found | {
            "left": [one.name for one in rolls.members_to_restart(self.plan, fleet)]
            if self.plan.state in ("going", "paused", "stopped")
            else [],
            "members": len(fleet.members),
        }


class Record(Charge):
    """The fleet's record: a line for each change of its size and for each hand-over, in the
    holder's folder, under the epoch. The count goes on with the next holder.
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
        if self.lines.faults:  # its disk fails: another may do better
            self.fleet.daemon.metrics.increment("duty.record_faults")
            self.lines.faults = 0
            self.duties.leave(self.name, f"its disk: {self.lines.reason}", failed=True)
            return
        if state != self.last:
            self.last = state
            row = {"what": "view", "members": state[0], "seen": size.seen, "digest": state[1]}
            self.write(now, row, register)

    def write(self, now: int, row: dict, register) -> None:
        """One line, of 256 bytes at the most; the count goes on with the next holder."""
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
    """An application's own duty.

    The application is told that this server holds it, with the epoch, and is to hold that against
    the newest it has seen.
    """

    def __init__(self, fleet: Fleet, duties: LeaseService, wanted: OwnDuty) -> None:
        super().__init__(fleet, duties)
        self.name, self.wanted, self.next, self.faults, self.stale = wanted.name, wanted, 0, 0, 0
        self.going = threading.Lock()

    def act(self, now: int, epoch: int) -> None:
        if now >= self.next and self.going.acquire(blocking=False):
            self.next = now + self.wanted.every
            threading.Thread(target=self.tell, args=(epoch,), name="duty", daemon=True).start()

    def tell(self, epoch: int) -> None:
        try:
            with socket.create_connection(self.wanted.address, 1) as conn:
                conn.settimeout(2)
                now = clock.now()  # asked again after the wait for the connection
                if self.duties.held_epoch(now, self.name) != epoch:
                    return
                left = self.duties.candidates[self.name].remaining_us(now) // 1000
                conn.sendall(
                    f"HOLD {self.name} {epoch} {self.duties.incarnation} {left}\n".encode()
                )
                said = conn.recv(64).split(b"\n")[0].strip()
            self.faults = 0
            if said == b"STALE":
                self.stale += 1
                self.fleet.daemon.metrics.increment("duty.told_stale")
                self.duties.leave(self.name, "the application has seen a newer epoch")
        except OSError as fault:
            self.faults += 1
            self.fleet.daemon.metrics.increment("duty.untold")
            if self.faults >= 3:  # it fails here again and again: it moves on
                self.faults = 0
                self.duties.leave(self.name, f"the application: {fault}", failed=True)
        except Exception:
            self.fleet.daemon.metrics.record_internal_error("duty")
        finally:
            self.going.release()
