"""Which of the back ends this server uses, where many servers share many of them, and whose turn it
is to try one that was set aside: both told by the view of the fleet alone.
"""

from __future__ import annotations

import time

from gullyoke.coordination.subsets import Subset, choose_subsets, order_alone
from gullyoke.coordination.turns import turns_within
from gullyoke.extensions.back_ends import BackEnds
from gullyoke.extensions.fleet import Fleet
from gullyoke.extensions.fleet_extension import FleetExtension
from gullyoke.membership.row import LIVE, Status
from gullyoke.runtime import clock
from gullyoke.runtime.logs import log, log_fields

SLOT, ROUND = 250_000, 20  # microseconds of a turn to try a back end, and turns in a round


class Subsets(FleetExtension):
    """`k`: back ends in a subset; 0: all are used, and only turns are taken."""

    def __init__(self, k: int, back_ends: BackEnds) -> None:
        self.k, self.fleet, self.pool = k, None, back_ends
        self.subset: Subset | None = None
        self.names: tuple[str, ...] = ()  # the members whose turns go round

    def start(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.pool.backends.set_probe_gate(self.may)
        if self.k:
            zones = self.zones()
            self.subset = Subset(
                clock.now(), order_alone(fleet.daemon.configuration.name, list(zones))[: self.k]
            )
            self.pool.use(frozenset(self.subset.held))
            fleet.link.status_sections["subset"] = lambda now: sorted(self.pool.only or ())

    def zones(self) -> dict[str, str]:
        return {b.name: b.zone for b in self.pool.wanted.back_ends}

    def update(self, now: int) -> None:
        fleet, zones = self.fleet, self.zones()
        with fleet.link.lock:
            rows = [
                row
                for row in fleet.member.view.rows.values()
                if row.status in LIVE and row.status is not Status.JOINING
            ]
        self.names = tuple(row.name for row in rows)
        if self.subset is None:
            return
        me, servers = fleet.daemon.configuration.name, {row.name: row.zone for row in rows}
        order = (
            choose_subsets(servers, zones, len(zones))[me]
            if me in servers
            else order_alone(me, list(zones))
        )
        if me in servers:  # not in: what was chosen last stands
            self.subset.follow(now, order[: self.k])
        only = frozenset(self.subset.helped(now, order, self.pool.backends.ejected()))
        if only != self.pool.only:
            log.info(
                "subset",
                extra=log_fields(back_ends=",".join(sorted(only)), helping=len(self.subset.help)),
            )
            self.pool.use(only)

    def may(self, name: str) -> bool:
        """Whether it is this server's turn to try a back end.

        One that knows nobody tries when it likes.
        """
        me, names = self.fleet.daemon.configuration.name, self.names
        if me not in names:
            return True
        return turns_within(f"trial {name}", len(names), SLOT, ROUND).mine(
            int(time.time() * 1e6), me, names
        )

    def log_status(self) -> None:
        log.info(
            "subset",
            extra=log_fields(
                back_ends=",".join(sorted(self.pool.only or ())) or "all",
                helping=len(self.subset.help) if self.subset else 0,
            ),
        )
