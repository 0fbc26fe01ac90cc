"""This server's part in what all servers share, on the members' datagrams.

The slots below, and customers' quotas.
"""

from __future__ import annotations

from gullyoke.coordination import tenant_quotas as quotas
from gullyoke.coordination.limit_parts import TOKENS_PER_CALL, ConcurrencyPart, MeanConcurrencyPart
from gullyoke.coordination.max_min_fairness import split_limit
from gullyoke.coordination.quota_participant import QuotaParticipant
from gullyoke.errors import ConfigurationError
from gullyoke.extensions.fleet import Fleet
from gullyoke.extensions.fleet_extension import FleetExtension
from gullyoke.operator_config.wanted import Slotted
from gullyoke.peer_transport.quota_codec import configuration_digest
from gullyoke.peer_transport.quota_service import (
    QUOTAS,
    TOPIC,
    SharedQuota,
    SharedSlots,
    TenantQuotaService,
)
from gullyoke.runtime import clock
from gullyoke.runtime.logs import log, log_fields


class Shares(FleetExtension):
    """`wanted`: what the file states, alike on all servers."""

    def __init__(self, wanted: Slotted) -> None:
        self.wanted, self.shared, self.in_force = wanted, None, -1
        self.quotas: dict[str, SharedQuota] = {}

    def unit(self) -> int:
        """Tokens of a slot: a limit on the mean is lent in parts of a call."""
        return TOKENS_PER_CALL if self.wanted.mean else 1

    def attach(self, fleet: Fleet) -> None:
        """Raises `Misstated` where there is nothing below that could be shared."""
        below, tenants = (
            fleet.daemon.configuration.facts.dependency,
            fleet.daemon.configuration.facts.tenants,
        )
        if self.wanted.quotas and not tenants:
            raise ConfigurationError(
                f"{fleet.path}: fleet.shares.quotas: the settings name no customers (Orgs); "
                "right would be none"
            )
        if not self.wanted.slots:
            return
        if not below.exists:
            raise ConfigurationError(
                f"{fleet.path}: fleet.shares: no calls go below from here; right would be none"
            )
        if self.wanted.mean and not below.quota_window:
            raise ConfigurationError(
                f"{fleet.path}: fleet.shares.mean: the settings state no span (ShareSpanUs); "
                "right would be slots at every moment"
            )

    def start(self, fleet: Fleet) -> None:
        if self.wanted.slots:
            self.begin_slots(fleet)
        if self.wanted.quotas:
            self.begin_quotas(fleet)

    def sharing(
        self, fleet: Fleet, limit: int, linger: int, after: int
    ) -> tuple[QuotaParticipant, int]:
        """This process's part in a limit of so many tokens, and the floor."""
        wanted, name = self.wanted, fleet.daemon.configuration.name
        floor, tokens = split_limit(limit, wanted.largest, wanted.homes, wanted.floor_share)
        home = name if name in wanted.homes else None
        votes = home is not None and wanted.homes[home] == fleet.wanted.advertise
        made = QuotaParticipant(
            clock.now(),
            fleet.member.row.life,
            wanted.homes,
            tokens.get(home, 0),
            floor,
            home,
            votes,
            linger,
            after,
        )
        made.borrower.weight = wanted.weight
        log.info(
            "shares",
            extra=log_fields(
                tokens=limit,
                floor=floor,
                homes=len(wanted.homes),
                lends=tokens.get(home, 0),
                home=home or "-",
                votes=votes,
            ),
        )
        return made, floor

    def begin_quotas(self, fleet: Fleet) -> None:
        """The quotas of those who have most; the others' go by the size agreed on."""
        whole = quotas.tokens(self.wanted.largest)
        tenants = sorted(
            fleet.daemon.configuration.facts.tenants, key=lambda c: (-c.quota, c.name)
        )[: quotas.MAX_LEASED_TENANTS]
        for tenant in tenants:
            made, floor = self.sharing(fleet, whole, 0, quotas.SAVED_US)
            digest = configuration_digest(
                self.wanted.homes, whole, floor, tenant.name, f"{tenant.quota:g}"
            )
            limit = SharedQuota(
                quotas.TenantQuotaPart(made, tenant.quota, whole),
                self.wanted.homes,
                digest,
                fleet.taken,
            )
            self.quotas[tenant.name] = limit
            tenant.leased_quota = limit.leased_quota
        fleet.link.topics[QUOTAS] = TenantQuotaService(self.quotas.values())
        fleet.link.status_sections["quotas"] = lambda now: {
            name: limit.status(now) | {"reqs_a_second": round(limit.own.rate_in_force(now), 2)}
            for name, limit in self.quotas.items()
        }

    def begin_slots(self, fleet: Fleet) -> None:
        wanted, below = self.wanted, fleet.daemon.configuration.facts.dependency
        unit, after = self.unit(), below.quota_window if wanted.mean else 0
        sharing, floor = self.sharing(fleet, wanted.slots * unit, below.linger, after)
        own = (
            MeanConcurrencyPart(sharing, below.linger, below.quota_window)
            if wanted.mean
            else ConcurrencyPart(sharing, below.linger)
        )
        self.shared = SharedSlots(
            own,
            wanted.homes,
            configuration_digest(wanted.homes, wanted.slots * unit, floor),
            fleet.taken,
        )
        below.slots = self.shared
        fleet.link.topics[TOPIC] = self.shared
        fleet.link.status_sections["shares"] = self.shared.status

    def update(self, now: int) -> None:
        if self.shared is None:
            return
        told = self.shared.status(now)
        if told["in_force"] != self.in_force:
            self.in_force = told["in_force"]
            log.debug("slots", extra=log_fields(**told))

    def log_status(self) -> None:
        if self.shared is not None:
            log.info("slots", extra=log_fields(**self.shared.status(clock.now())))
        for name, limit in self.quotas.items():
            log.info("quota", extra=log_fields(tenant=name, **limit.status(clock.now())))
