"""This server's part of the limits that all servers share.

These limits are the calls of the dependency that may be in flight at once (slots) and the quotas of
tenants. Both are split into tokens, which the members of the fleet lend to each other.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from gullyoke.admission.interface import DependencyFacts, Tenant
from gullyoke.coordination import tenant_quotas
from gullyoke.coordination.limit_parts import TOKENS_PER_CALL, ConcurrencyPart, MeanConcurrencyPart
from gullyoke.coordination.max_min_fairness import split_limit
from gullyoke.coordination.quota_participant import QuotaParticipant
from gullyoke.errors import ConfigurationError
from gullyoke.extensions.fleet import Fleet
from gullyoke.extensions.fleet_extension import FleetExtension
from gullyoke.operator_config.wanted import SharesSection
from gullyoke.peer_transport.quota_codec import configuration_digest
from gullyoke.peer_transport.quota_service import (
    TENANT_QUOTA_TOPIC,
    TOPIC,
    SharedQuota,
    SharedSlots,
    TenantQuotaService,
)
from gullyoke.runtime import clock
from gullyoke.runtime.logs import log, log_fields


class Participation(NamedTuple):
    """This server's part of one limit.

    Attributes:
        participant: borrows and lends tokens.
        floor: the tokens that each server has without borrowing.
    """

    participant: QuotaParticipant
    floor: int


class Shares(FleetExtension):
    """Takes part in the limits of the operator's file, which is the same on all servers.

    Attributes:
        shared: the slots; None where none are shared.
        quotas: the shared quotas, by tenant.
    """

    fleet: Fleet

    def __init__(self, wanted: SharesSection) -> None:
        """Create the extension from its section of the operator's file."""
        self.wanted = wanted
        self.shared: SharedSlots | None = None
        self.quotas: dict[str, SharedQuota] = {}
        self.logged_in_force: object = None

    def tokens_per_slot(self) -> int:
        """Return how many tokens a slot has; a limit on a mean is lent in parts of a call."""
        return TOKENS_PER_CALL if self.wanted.mean else 1

    def attach(self, fleet: Fleet) -> None:
        """Check that the site has the limits that are to be shared.

        Raises:
            ConfigurationError: the site lacks one of these limits.
        """
        facts = fleet.daemon.configuration.facts
        if self.wanted.quotas and not facts.tenants:
            raise ConfigurationError(
                f"{fleet.path}: fleet.shares.quotas: the settings name no customers (Orgs); "
                "right would be none"
            )
        if not self.wanted.slots:
            return
        if not facts.dependency.exists:
            raise ConfigurationError(
                f"{fleet.path}: fleet.shares: no calls go below from here; right would be none"
            )
        if self.wanted.mean and not facts.dependency.quota_window:
            raise ConfigurationError(
                f"{fleet.path}: fleet.shares.mean: the settings state no span (ShareSpanUs); "
                "right would be slots at every moment"
            )

    def start(self, fleet: Fleet) -> None:
        """Give the shared limits to the decisions and to the link between the members."""
        self.fleet = fleet
        facts = fleet.daemon.configuration.facts
        if self.wanted.slots:
            self._share_slots(facts.dependency)
        if self.wanted.quotas:
            self._share_quotas(facts.tenants)

    def update(self, now: int) -> None:
        """Log the slots if this server's part has changed."""
        if self.shared is None:
            return
        status = self.shared.status(now)
        if status["in_force"] != self.logged_in_force:
            self.logged_in_force = status["in_force"]
            log.debug("slots", extra=log_fields(**status))

    def log_status(self) -> None:
        """Log this server's part of each limit."""
        if self.shared is not None:
            log.info("slots", extra=log_fields(**self.shared.status(clock.now())))
        for name, limit in self.quotas.items():
            log.info("quota", extra=log_fields(tenant=name, **limit.status(clock.now())))

    def _share_slots(self, dependency: DependencyFacts) -> None:
        wanted = self.wanted
        tokens = wanted.slots * self.tokens_per_slot()
        window_us = dependency.quota_window if wanted.mean else 0
        participation = self._participate(tokens, dependency.linger, window_us)
        part = (
            MeanConcurrencyPart(
                participation.participant, dependency.linger, dependency.quota_window
            )
            if wanted.mean
            else ConcurrencyPart(participation.participant, dependency.linger)
        )
        digest = configuration_digest(wanted.homes, tokens, participation.floor)
        self.shared = SharedSlots(part, wanted.homes, digest, self.fleet.address_of)
        dependency.slots = self.shared
        self.fleet.link.topics[TOPIC] = self.shared
        self.fleet.link.status_sections["shares"] = self.shared.status

    def _share_quotas(self, tenants: list[Tenant]) -> None:
        """Share the largest quotas; the others are divided by the size of the fleet."""
        largest = sorted(tenants, key=lambda tenant: (-tenant.quota, tenant.name))
        for tenant in largest[: tenant_quotas.MAX_LEASED_TENANTS]:
            limit = self._share_quota(tenant)
            self.quotas[tenant.name] = limit
            tenant.count_request = limit.count_request
        self.fleet.link.topics[TENANT_QUOTA_TOPIC] = TenantQuotaService(self.quotas.values())
        self.fleet.link.status_sections["quotas"] = self._quota_status

    def _share_quota(self, tenant: Tenant) -> SharedQuota:
        tokens = tenant_quotas.tokens(self.wanted.largest)
        participation = self._participate(tokens, 0, tenant_quotas.SAVED_US)
        digest = configuration_digest(
            self.wanted.homes, tokens, participation.floor, tenant.name, f"{tenant.quota:g}"
        )
        part = tenant_quotas.TenantQuotaPart(participation.participant, tenant.quota, tokens)
        return SharedQuota(part, self.wanted.homes, digest, self.fleet.address_of)

    def _quota_status(self, now: int) -> Mapping[str, Any]:
        return {
            name: limit.status(now) | {"reqs_a_second": round(limit.own.rate_in_force(now), 2)}
            for name, limit in self.quotas.items()
        }

    def _participate(self, tokens: int, linger_us: int, window_us: int) -> Participation:
        """Create this server's part of a limit.

        Args:
            tokens: the whole limit.
            linger_us: for how long a server's tokens stay in use after its end.
            window_us: for how long these tokens count in a mean after that.
        """
        wanted = self.wanted
        floor, lendable = split_limit(tokens, wanted.largest, wanted.homes, wanted.floor_share)
        name = self.fleet.daemon.configuration.name
        home = name if name in wanted.homes else None
        lent_tokens = lendable[home] if home is not None else 0
        votes = home is not None and wanted.homes[home] == self.fleet.wanted.advertise
        participant = QuotaParticipant(
            clock.now(),
            self.fleet.member.record.incarnation,
            wanted.homes,
            lent_tokens,
            floor,
            home,
            votes,
            linger_us,
            window_us,
        )
        participant.borrower.weight = wanted.weight
        log.info(
            "shares",
            extra=log_fields(
                tokens=tokens,
                floor=floor,
                homes=len(wanted.homes),
                lends=lent_tokens,
                home=home or "-",
                votes=votes,
            ),
        )
        return Participation(participant, floor)
