"""Selects the back ends that this server uses, and decides which server probes an ejected one.

Where many servers share many back ends, each uses a subset. All members of a fleet compute the same
subsets and turns from the same view, so nothing is negotiated.
"""

from __future__ import annotations

import time
from typing import Final

from gullyoke.coordination.subsets import Subset, choose_subsets, order_without_peers
from gullyoke.coordination.time_slots import schedule_within
from gullyoke.extensions.back_ends import BackEnds
from gullyoke.extensions.fleet import Fleet
from gullyoke.extensions.fleet_extension import FleetExtension
from gullyoke.membership.member_record import LIVE_STATUSES, MemberRecord, Status
from gullyoke.runtime import clock
from gullyoke.runtime.logs import log, log_fields

PROBE_TURN_US: Final = 250_000
#: Each member has a turn within this many turns.
PROBE_TURNS: Final = 20


class Subsets(FleetExtension):
    """Selects this server's back ends.

    Attributes:
        subset: the subset in force; None if all back ends are used; the members then only take
            turns with probes.
        members: the names of the members that share the back ends.
    """

    fleet: Fleet

    def __init__(self, size: int, back_ends: BackEnds) -> None:
        """Create the extension.

        Args:
            size: the number of back ends in a subset; 0 to use all.
            back_ends: the back ends of the operator's file.
        """
        self.size = size
        self.back_ends = back_ends
        self.subset: Subset | None = None
        self.members: tuple[str, ...] = ()

    def start(self, fleet: Fleet) -> None:
        """Select a subset as if this server were alone, until it sees the others."""
        self.fleet = fleet
        self.back_ends.set_probe_gate(self.may_probe)
        if self.size:
            order = order_without_peers(
                fleet.daemon.configuration.name, list(self.back_ends.zones())
            )
            self.subset = Subset(clock.now(), order[: self.size])
            self.back_ends.select(frozenset(self.subset.members))
            fleet.link.status_sections["subset"] = lambda now: sorted(self.back_ends.selected or ())

    def update(self, now: int) -> None:
        """Follow the members and the health of the back ends."""
        rows = self._sharing_members()
        self.members = tuple(row.name for row in rows)
        if self.subset is None:
            return
        order = self._preference({row.name: row.zone for row in rows})
        if self.fleet.daemon.configuration.name in self.members:  # else the last selection stays
            self.subset.follow(now, order[: self.size])
        selected = frozenset(self.subset.with_helpers(now, order, self.back_ends.ejected()))
        if selected != self.back_ends.selected:
            log.info(
                "subset",
                extra=log_fields(
                    back_ends=",".join(sorted(selected)), helping=len(self.subset.helpers)
                ),
            )
            self.back_ends.select(selected)

    def may_probe(self, back_end: str) -> bool:
        """Return whether it is this server's turn to probe a back end.

        A server that knows of no members may always probe.
        """
        members = self.members
        name = self.fleet.daemon.configuration.name
        if name not in members:
            return True
        turns = schedule_within(f"trial {back_end}", len(members), PROBE_TURN_US, PROBE_TURNS)
        return turns.has_slot(int(time.time() * 1e6), name, members)

    def log_status(self) -> None:
        """Log the back ends in use."""
        log.info(
            "subset",
            extra=log_fields(
                back_ends=",".join(sorted(self.back_ends.selected or ())) or "all",
                helping=len(self.subset.helpers) if self.subset else 0,
            ),
        )

    def _sharing_members(self) -> list[MemberRecord]:
        """Return the members that take requests, as this server sees them."""
        with self.fleet.link.lock:
            return [
                row
                for row in self.fleet.member.view.records.values()
                if row.status in LIVE_STATUSES and row.status is not Status.JOINING
            ]

    def _preference(self, zone_by_member: dict[str, str]) -> tuple[str, ...]:
        """Return all back ends in the order in which this server prefers them."""
        zones = self.back_ends.zones()
        name = self.fleet.daemon.configuration.name
        if name not in zone_by_member:
            return order_without_peers(name, list(zones))
        return choose_subsets(zone_by_member, zones, len(zones))[name]
