"""This server's part in the slots that all servers share below, on the members' datagrams."""
from __future__ import annotations

from gullyoke.core import clock
from gullyoke.core.book import log, pairs
from gullyoke.features.fleet import Fleet
from gullyoke.features.part import Part
from gullyoke.operator.wanted import Slotted
from gullyoke.options import Misstated
from gullyoke.peers.sharing import TOPIC, SharedSlots, stated
from gullyoke.together.fair import split
from gullyoke.together.sharing import Sharing
from gullyoke.together.slots import UNIT, Mean, Own


class Shares(Part):
    """`wanted`: what the file states, alike on all servers."""

    def __init__(self, wanted: Slotted) -> None:
        self.wanted, self.shared, self.in_force = wanted, None, -1

    def unit(self) -> int:
        """Tokens of a slot: a limit on the mean is lent in parts of a call."""
        return UNIT if self.wanted.mean else 1

    def join(self, fleet: Fleet) -> None:
        """Raises `Misstated` where there is nothing below that could be shared."""
        below = fleet.house.told.facts.below
        if not below.exists:
            raise Misstated(f"{fleet.path}: fleet.shares: no calls go below from here; right would be none")
        if self.wanted.mean and not below.span:
            raise Misstated(f"{fleet.path}: fleet.shares.mean: the settings state no span (ShareSpanUs); "
                            "right would be slots at every moment")

    def begin(self, fleet: Fleet) -> None:
        wanted, told, member = self.wanted, fleet.house.told, fleet.member
        below = told.facts.below
        unit, after = self.unit(), below.span if wanted.mean else 0
        floor, tokens = split(wanted.slots * unit, wanted.largest, wanted.homes, wanted.floor_share)
        home = told.name if told.name in wanted.homes else None
        votes = home is not None and wanted.homes[home] == fleet.wanted.advertise
        sharing = Sharing(clock.now(), member.row.life, wanted.homes, tokens.get(home, 0), floor, home,
                          votes, below.linger, after)
        sharing.borrower.weight = wanted.weight
        own = Mean(sharing, below.linger, below.span) if wanted.mean else Own(sharing, below.linger)
        self.shared = SharedSlots(own, wanted.homes, stated(wanted.homes, wanted.slots * unit, floor),
                                  fleet.taken)
        below.slots = self.shared
        fleet.link.topics[TOPIC] = self.shared
        fleet.link.told["shares"] = self.shared.told
        log.info("shares", extra=pairs(slots=wanted.slots, floor=floor, homes=len(wanted.homes),
                                       lends=tokens.get(home, 0), home=home or "-", votes=votes))

    def look(self, now: int) -> None:
        told = self.shared.told(now)
        if told["in_force"] != self.in_force:
            self.in_force = told["in_force"]
            log.debug("slots", extra=pairs(**told))

    def print(self) -> None:
        log.info("slots", extra=pairs(**self.shared.told(clock.now())))
