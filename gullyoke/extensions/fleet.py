"""Membership in a fleet, where the operator's file names one.

Who is there, on sockets, beside the reqs.

Nothing of it is in a req's way: what the decisions get of it is the fleet's size, one figure a
second, and what its parts state (gullyoke/extensions/fleet_extension.py). Whatever fails here, the four rules
hold.
"""

from __future__ import annotations

import random
import time
from collections.abc import Sequence

from gullyoke.daemon.extension import DaemonParts
from gullyoke.errors import ConfigurationError
from gullyoke.extensions.base import BaseExtension
from gullyoke.extensions.data_folders import DataFolders
from gullyoke.extensions.fleet_extension import FleetExtension
from gullyoke.membership import Change, Member, MemberRecord, Status, start_version
from gullyoke.membership.member_record import member_id
from gullyoke.operator_config.wanted import Kept, Together, Wanted
from gullyoke.peer_transport.link import PeerLink
from gullyoke.peer_transport.seal import Seal, UnusableKeyError, parse_keys
from gullyoke.peer_transport.start_number import StoredStartNumber
from gullyoke.peer_transport.status_server import StatusServer
from gullyoke.runtime import clock
from gullyoke.runtime.logs import log, log_fields

LOOK = 1_000_000  # microseconds between looks at the size
LAST_WORDS, BETWEEN = 3, 0.02  # how often it is said that this one has left, and seconds between
DESCRIPTORS = 4


class Fleet(BaseExtension):
    name = section = "fleet"

    # Set by `attach`.
    daemon: DaemonParts
    link: PeerLink
    # Set by `start`.
    member: Member
    number: StoredStartNumber

    def __init__(
        self,
        path: str,
        wanted: Together,
        kept: Kept | None,
        parts: Sequence[FleetExtension] = (),
        folders: DataFolders | None = None,
    ) -> None:
        super().__init__(wanted)
        self.folders = folders or DataFolders()
        self.path, self.wanted, self.kept = path, wanted, kept
        self.told = self.size = 0
        self.read: tuple[bytes, ...] = ()  # the keys of a file that is about to be taken over
        self.parts = tuple(parts)

    def reserved_descriptors(self) -> int:
        return DESCRIPTORS

    def attach(self, daemon: DaemonParts) -> None:
        """Raises `Misstated` for a key file that can't be right, `OSError` where it can't
        listen.
        """
        self.daemon = daemon
        self.link = PeerLink(
            self.wanted.listen, Seal(self.wanted.name, self.keys(self.wanted)), daemon.metrics
        )
        self.answers = (
            StatusServer(self.wanted.status, self.link, daemon.metrics)
            if self.wanted.status
            else None
        )
        for part in self.parts:
            part.attach(self)

    def keys(self, wanted: Together) -> tuple[bytes, ...]:
        try:
            with open(wanted.key_file, encoding="utf-8") as file:
                return parse_keys(file.read(4096))
        except (OSError, UnicodeDecodeError, UnusableKeyError) as fault:
            raise ConfigurationError(
                f"{self.path}: fleet.key_file: {wanted.key_file}: {fault}"
            ) from None

    def start(self) -> None:
        daemon, wanted = self.daemon, self.wanted
        self.told = self.size = daemon.configuration.facts.fleet.size
        files = None
        if self.kept:
            files = self.folders.open(
                self.kept.folder, self.kept.quota, daemon.metrics
            ).monitor.open_folder
        self.number = StoredStartNumber(
            self.kept.folder if self.kept else None, daemon.metrics, files
        )
        chance = random.Random(daemon.configuration.seed ^ 0x5EED)
        row = MemberRecord(
            daemon.configuration.name,
            start_version(int(time.time()), self.number.known()),
            Status.JOINING,
            wanted.advertise,
            wanted.zone,
            chance.getrandbits(63),
        )
        self.number.keep(row.version)
        self.member = Member(clock.now(), row, wanted.seeds, chance)
        self.member.listeners.append(self.changed)
        self.link.status_sections["disks"] = lambda now: self.folders.states()
        for part in self.parts:
            part.start(self)
        self.link.begin(self.member)
        if self.answers:
            self.answers.start()
        daemon.timer.call_at(clock.now() + LOOK, self.look)
        log.info(
            "fleet",
            extra=log_fields(
                name=wanted.name,
                listen=":".join(map(str, wanted.listen)),
                zone=wanted.zone,
                number=row.version,
                seeds=len(wanted.seeds),
            ),
        )

    def changed(self, change: Change) -> None:
        """A line a change; called by the link's thread."""
        row, mark = change.record, change.update
        self.daemon.metrics.increment(f"fleet.{change.kind}")
        log.info(
            "member",
            extra=log_fields(
                what=change.kind,
                name=row.name,
                status=row.status.name.lower(),
                zone=row.zone,
                view=change.view_version,
                evidence=f"{mark.accusing}/{mark.eligible}" if mark else "own",
            ),
        )
        if row.id == self.member.id and row.version > self.number.latest:
            self.number.keep(row.version)

    def look(self) -> None:
        """The size in force, given to the decisions where that is wanted."""
        daemon = self.daemon
        daemon.timer.call_at(clock.now() + LOOK, self.look)
        for part in self.parts:
            part.update(clock.now())
        with self.link.lock:
            size = self.member.size(clock.now())
        in_force = size.in_force(self.told)
        if not self.wanted.size or in_force == self.size:
            return
        self.size = in_force
        with daemon.dispatcher.lock:
            daemon.configuration.facts.fleet.size = (
                in_force  # the decisions' own record of the fleet
            )
        log.info(
            "fleet size",
            extra=log_fields(
                size=in_force,
                told=self.told,
                seen=size.seen,
                age_ms=size.age_us // 1000,
                confidence=f"{size.confidence:.2f}",
            ),
        )

    def log_status(self) -> None:
        with self.link.lock:
            one, size = self.member, self.member.size(clock.now())
            stage, view, digest = one.join_state.stage.value, one.view.version, one.view.digest
        log.info(
            "fleet",
            extra=log_fields(
                stage=stage,
                members=size.members,
                seen=size.seen,
                view=view,
                digest=f"{digest:016x}",
                confidence=f"{size.confidence:.2f}",
            ),
        )
        for part in self.parts:
            part.log_status()

    def taken(self, name: str) -> str | None:
        """The address of whom the view takes for a name; under the link's lock."""
        row = self.member.view.records.get(member_id(name))
        return row.address if row is not None else None

    def begin_drain(self) -> None:
        for part in self.parts:
            part.begin_drain()
        self.link.run_locked(lambda: self.member.leave(clock.now()))

    def close(self) -> None:
        for part in self.parts:
            part.close()
        for _ in range(LAST_WORDS):
            self.link.run_locked(lambda: self.member.announce_left(clock.now()))
            time.sleep(BETWEEN)
        if self.answers:
            self.answers.end()
        self.link.end()
        self.number.close()

    # While the server runs, other seeds and keys are taken over.

    def check_reload(self, new: Wanted) -> None:
        """The keys are read here and taken later.

        A file that changes in between can't fail half a reload.
        """
        if new.fleet is not None:
            self.read = self.keys(new.fleet)

    def apply_reload(self, new: Wanted) -> dict[str, object]:
        if new.fleet is None:
            return {}
        self.link.seal.keys = self.read
        with self.link.lock:
            self.member.join_state.seeds = new.fleet.seeds
        self.wanted = self.wanted._replace(seeds=new.fleet.seeds, key_file=new.fleet.key_file)
        taken: dict[str, object] = {"seeds": len(new.fleet.seeds), "keys": len(self.link.seal.keys)}
        for part in self.parts:
            taken |= part.apply_reload(new)
        return taken

    def ignored_changes(self, new: Wanted) -> list[str]:
        if new.fleet is None:
            return [self.name]
        return [
            f"fleet.{name}"
            for name in Together._fields
            if name not in ("seeds", "key_file")
            and getattr(self.wanted, name) != getattr(new.fleet, name)
        ] + [name for part in self.parts for name in part.ignored_changes(new)]
