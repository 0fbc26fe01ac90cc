"""Membership in a fleet, where the operator's file names one.

No request waits for the membership: the decisions get the fleet's size from it once a second, and
further facts from its extensions (gullyoke/extensions/fleet_extension.py). Whatever fails here, the
four rules hold.
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
from gullyoke.operator_config.wanted import FleetSection, OperatorSettings, StoreSection
from gullyoke.peer_transport.link import PeerLink
from gullyoke.peer_transport.seal import Seal, UnusableKeyError, parse_keys
from gullyoke.peer_transport.start_number import StoredStartNumber
from gullyoke.peer_transport.status_server import StatusServer
from gullyoke.runtime import clock
from gullyoke.runtime.logs import log, log_fields

SIZE_INTERVAL_US = 1_000_000  # microseconds between updates of the size
# Number of announcements that this server has left, and seconds between them.
LEFT_ANNOUNCEMENTS, LEFT_INTERVAL_S = 3, 0.02
MAX_DESCRIPTORS = 4


class Fleet(BaseExtension):
    """Makes this server a member of the fleet of the operator's file.

    Attributes:
        wanted: the section of the file, with the seeds and keys in force.
        kept: the section of the folder that keeps the start number; None if the file has none.
        configured_size: the fleet's size in the settings.
        size: the fleet's size that the decisions use.
        new_keys: the keys of a file that is about to be applied.
        fleet_extensions: the extensions of the membership.
    """

    name = section = "fleet"

    # Set by `attach`.
    daemon: DaemonParts
    link: PeerLink
    # Set by `start`.
    member: Member
    start_number: StoredStartNumber

    def __init__(
        self,
        path: str,
        wanted: FleetSection,
        kept: StoreSection | None,
        fleet_extensions: Sequence[FleetExtension] = (),
        folders: DataFolders | None = None,
    ) -> None:
        super().__init__(wanted)
        self.folders = folders or DataFolders()
        self.path, self.wanted, self.kept = path, wanted, kept
        self.configured_size = self.size = 0
        self.new_keys: tuple[bytes, ...] = ()
        self.fleet_extensions = tuple(fleet_extensions)

    def reserved_descriptors(self) -> int:
        """Return how many descriptors the link and the status server may take."""
        return MAX_DESCRIPTORS

    def attach(self, daemon: DaemonParts) -> None:
        """Open the link to the other members, and attach the extensions.

        Raises:
            ConfigurationError: the key file can't be read or is invalid.
            OSError: an address can't be listened on.
        """
        self.daemon = daemon
        self.link = PeerLink(
            self.wanted.listen, Seal(self.wanted.name, self.read_keys(self.wanted)), daemon.metrics
        )
        self.status_server = (
            StatusServer(self.wanted.status, self.link, daemon.metrics)
            if self.wanted.status
            else None
        )
        for extension in self.fleet_extensions:
            extension.attach(self)

    def read_keys(self, wanted: FleetSection) -> tuple[bytes, ...]:
        """Read the key file.

        Raises:
            ConfigurationError: it can't be read or is invalid.
        """
        try:
            with open(wanted.key_file, encoding="utf-8") as file:
                return parse_keys(file.read(4096))
        except (OSError, UnicodeDecodeError, UnusableKeyError) as error:
            raise ConfigurationError(
                f"{self.path}: fleet.key_file: {wanted.key_file}: {error}"
            ) from None

    def start(self) -> None:
        """Join the fleet, and start the extensions."""
        daemon, wanted = self.daemon, self.wanted
        self.configured_size = self.size = daemon.configuration.facts.fleet.size
        folder_opener = None
        if self.kept:
            folder_opener = self.folders.open(
                self.kept.folder, self.kept.quota, daemon.metrics
            ).monitor.open_folder
        self.start_number = StoredStartNumber(
            self.kept.folder if self.kept else None, daemon.metrics, folder_opener
        )
        rng = random.Random(daemon.configuration.seed ^ 0x5EED)
        row = MemberRecord(
            daemon.configuration.name,
            start_version(int(time.time()), self.start_number.stored_version()),
            Status.JOINING,
            wanted.advertise,
            wanted.zone,
            rng.getrandbits(63),
        )
        self.start_number.store_version(row.version)
        self.member = Member(clock.now(), row, wanted.seeds, rng)
        self.member.listeners.append(self.on_view_change)
        self.link.status_sections["disks"] = lambda now: self.folders.states()
        for extension in self.fleet_extensions:
            extension.start(self)
        self.link.begin(self.member)
        if self.status_server:
            self.status_server.start()
        daemon.timer.call_at(clock.now() + SIZE_INTERVAL_US, self.update_size)
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

    def on_view_change(self, change: Change) -> None:
        """Log and count a change of the view; called on the link's thread."""
        row, suspicion = change.record, change.update
        self.daemon.metrics.increment(f"fleet.{change.kind}")
        log.info(
            "member",
            extra=log_fields(
                what=change.kind,
                name=row.name,
                status=row.status.name.lower(),
                zone=row.zone,
                view=change.view_version,
                evidence=f"{suspicion.accusing}/{suspicion.eligible}" if suspicion else "own",
            ),
        )
        if row.id == self.member.id and row.version > self.start_number.latest:
            self.start_number.store_version(row.version)

    def update_size(self) -> None:
        """Update the extensions, and give the fleet's size to the decisions if the file says so."""
        daemon = self.daemon
        daemon.timer.call_at(clock.now() + SIZE_INTERVAL_US, self.update_size)
        for extension in self.fleet_extensions:
            extension.update(clock.now())
        with self.link.lock:
            size = self.member.size(clock.now())
        in_force = size.in_force(self.configured_size)
        if not self.wanted.size or in_force == self.size:
            return
        self.size = in_force
        with daemon.dispatcher.lock:
            daemon.configuration.facts.fleet.size = in_force  # the decisions read it from here
        log.info(
            "fleet size",
            extra=log_fields(
                size=in_force,
                told=self.configured_size,
                seen=size.seen,
                age_ms=size.age_us // 1000,
                confidence=f"{size.confidence:.2f}",
            ),
        )

    def log_status(self) -> None:
        """Log the membership and the state of the extensions."""
        with self.link.lock:
            own, size = self.member, self.member.size(clock.now())
            stage, view, digest = (
                own.join_state.stage.value,
                own.view.version,
                own.view.digest,
            )
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
        for extension in self.fleet_extensions:
            extension.log_status()

    def address_of(self, name: str) -> str | None:
        """Return the address of the member with a name; called under the link's lock."""
        row = self.member.view.records.get(member_id(name))
        return row.address if row is not None else None

    def begin_drain(self) -> None:
        """Announce that this server is leaving."""
        for extension in self.fleet_extensions:
            extension.begin_drain()
        self.link.run_locked(lambda: self.member.leave(clock.now()))

    def close(self) -> None:
        """Announce that this server has left, and close the link."""
        for extension in self.fleet_extensions:
            extension.close()
        for _ in range(LEFT_ANNOUNCEMENTS):
            self.link.run_locked(lambda: self.member.announce_left(clock.now()))
            time.sleep(LEFT_INTERVAL_S)
        if self.status_server:
            self.status_server.end()
        self.link.end()
        self.start_number.close()

    # Reloading, which applies other seeds and keys.

    def check_reload(self, new: OperatorSettings) -> None:
        """Read the new keys, which `apply_reload` uses.

        They are read only here, so that a key file that changes in between can't make a reload
        fail halfway.

        Raises:
            ConfigurationError: the key file can't be read or is invalid.
        """
        if new.fleet is not None:
            self.new_keys = self.read_keys(new.fleet)

    def apply_reload(self, new: OperatorSettings) -> dict[str, object]:
        """Use the new seeds and keys, and let the extensions apply their sections."""
        if new.fleet is None:
            return {}
        self.link.seal.keys = self.new_keys
        with self.link.lock:
            self.member.join_state.seeds = new.fleet.seeds
        self.wanted = self.wanted._replace(seeds=new.fleet.seeds, key_file=new.fleet.key_file)
        applied: dict[str, object] = {
            "seeds": len(new.fleet.seeds),
            "keys": len(self.link.seal.keys),
        }
        for extension in self.fleet_extensions:
            applied |= extension.apply_reload(new)
        return applied

    def ignored_changes(self, new: OperatorSettings) -> list[str]:
        """Return the settings that differ and need a restart."""
        if new.fleet is None:
            return [self.name]
        return [
            f"fleet.{name}"
            for name in FleetSection._fields
            if name not in ("seeds", "key_file")
            and getattr(self.wanted, name) != getattr(new.fleet, name)
        ] + [name for extension in self.fleet_extensions for name in extension.ignored_changes(new)]
