"""Parsing of the facts of a site from its settings.

Unknown settings are ignored. An absent setting has the default that the protocol of the platform
defines; an invalid one raises an error that names its path.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from gullyoke.admission.interface import (
    DependencyFacts,
    Fleet,
    Idempotency,
    Limits,
    Machine,
    Permissions,
    RequestClass,
    SiteFacts,
    StopMode,
    Tenant,
)
from gullyoke.settings.reader import BOOLEANS, MAX_NUMBER, SettingsReader, parse_number

IDEMPOTENCY: Final = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.KEYED,
    "once": Idempotency.NON_IDEMPOTENT,
}
STOP_MODES: Final = {
    "off": StopMode.NEVER,
    "discard": StopMode.DISCARD,
    "freeze": StopMode.FREEZE,
}
#: Whether there is a dependency, for each value of `DependsOn`.
DEPENDENCY: Final = {"off": False, "one_for_all": True, "tier": True}
#: The value of `DependsOn` if all servers share one dependency and its quota of calls.
SHARED_DEPENDENCY: Final = "one_for_all"
LOAD_SIGNALS: Final = {
    "off": None,
    "floor": "floor",
    "allowance": "allowance",
    "weight": "weight",
}
#: Whether value is counted for each unit of work, for each value of `WorthBy`.
WEIGHS_BY_WORK: Final = {"request": False, "work": True}


def parse_site_facts(pairs: Mapping[str, str]) -> SiteFacts:
    """Parse the facts of a site.

    Args:
        pairs: the texts of the settings, by dotted path.

    Raises:
        ConfigurationError: a setting is missing or invalid.
    """
    site = SettingsReader(pairs)
    family = site.section("FamilyInfo")
    return SiteFacts(
        request_classes=_request_classes(site, family),
        tenants=_tenants(site),
        machine=_machine(family),
        limits=_limits(site.section("Rules")),
        dependency=_dependency(family),
        permissions=_permissions(site.section("Permissions"), family),
        fleet=_fleet(site, family),
    )


def _request_classes(site: SettingsReader, family: SettingsReader) -> list[RequestClass]:
    """Return the request classes.

    Two settings list one value for each class; a class past the end of a list gets the default.
    """
    calls_dependency = family.list_of("CallsByClass", BOOLEANS.__getitem__)
    degraded_value_share = family.list_of(
        "ClassSkipWorth", lambda text: parse_number(text, -MAX_NUMBER)
    )
    classes = []
    for index in range(site.whole_number("Profiles.count", minimum=1)):
        classes.append(
            _request_class(
                site.section(f"Profiles.{index}"),
                index < len(calls_dependency) and calls_dependency[index],
                degraded_value_share[index] if index < len(degraded_value_share) else 0.0,
            )
        )
    return classes


def _request_class(
    profile: SettingsReader, calls_dependency: bool, degraded_value_share: float
) -> RequestClass:
    idempotency = profile.choice("Semantics", IDEMPOTENCY)
    keyed = idempotency is Idempotency.KEYED
    return RequestClass(
        name=profile.text("Name"),
        latency_objective=profile.whole_number("ObjectiveUs", minimum=1),
        timeout=profile.whole_number("DeadlineUs", minimum=1),
        priority_weight=profile.number("Importance"),
        idempotency=idempotency,
        late_value_share=profile.number("LateWorth", 0.0),
        # A keyed class needs the setting: without it no duplicate would be recognized.
        key_ttl=profile.whole_number("KeyTtlUs", minimum=1)
        if keyed
        else profile.whole_number("KeyTtlUs", 0),
        calls_dependency=calls_dependency,
        degraded_value_share=degraded_value_share,
        objective_stretch=profile.number("AimStretch", 0.0),
    )


def _tenants(site: SettingsReader) -> list[Tenant]:
    sections = [
        site.section(f"Orgs.{index}") for index in range(site.whole_number("Orgs.count", 0))
    ]
    return [Tenant(section.text("Name"), section.number("QuotaPerS")) for section in sections]


def _machine(family: SettingsReader) -> Machine:
    return Machine(
        cores=family.whole_number("Cores", minimum=1),
        memory_kb=family.number("MemoryKb", minimum=1),
        running_memory_factor=family.number("Blowup", minimum=1),
        key_kb=family.number("KeyKb", 0.0),
        needs_warmup=family.boolean("FreshStart", "false"),
        stop_mode=family.choice("StopMode", STOP_MODES, "off"),
        gauges=tuple(family.list_of("OwnStats", str)),
    )


def _limits(rules: SettingsReader) -> Limits:
    return Limits(
        answer_slack=rules.whole_number("AnswerSlackUs"),
        drain_grace=rules.whole_number("DrainGraceUs"),
        overload_multiple=rules.number("TipMultiple", minimum=1),
        overload_window=rules.whole_number("TipAfterUs"),
        warmup_capacity=rules.number("StartCapacity"),
        warmup_time=rules.whole_number("ColdUs"),
    )


def _dependency(family: SettingsReader) -> DependencyFacts:
    shared = family.text("DependsOn", "off") == SHARED_DEPENDENCY
    return DependencyFacts(
        exists=family.choice("DependsOn", DEPENDENCY, "off"),
        call_quota=family.optional_number("CallsOut") if shared else None,
        quota_window=family.whole_number("ShareSpanUs", 0),
        linger=family.whole_number("LingerUs", 0),
    )


def _permissions(allowed: SettingsReader, family: SettingsReader) -> Permissions:
    return Permissions(
        sends_retry_after=allowed.boolean("RetryAfter", "false"),
        max_retry_after=allowed.whole_number("MaxRetryAfterUs", 0),
        load_signal=family.choice("Say", LOAD_SIGNALS, "off"),
        load_signal_ttl=family.whole_number("HeededUs", 0),
        reports_disconnected_clients=family.boolean("CancelSeen", "false"),
        passes_deadline=family.boolean("PassesDeadline", "false"),
        deep_checks=family.boolean("DeepChecks", "false"),
        readiness=family.boolean("Readiness", "false"),
        max_idle=family.whole_number("CallerIdleUs", 0),
    )


def _fleet(site: SettingsReader, family: SettingsReader) -> Fleet:
    return Fleet(
        size=site.whole_number("FleetSize"),
        weighs_by_work=site.choice("WorthBy", WEIGHS_BY_WORK, "request"),
        over_quota_value=site.number("OverShareWorth", 1.0),
        read_cache_ttl=family.whole_number("FreshForUs", 0),
        callers=family.whole_number("Callers", 0),
    )
