"""The settings of a site turned into the port's facts, for every front.

Pairs of a dotted path and a text.

The bench's wire has that form already; `flat` gives it to JSON. Read what is known, pass over the
rest; a key that is absent is what its absence means in the protocol. What can't be right is told by
the key's name.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

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
from gullyoke.errors import GullyokeError

KINDS = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.KEYED,
    "once": Idempotency.NON_IDEMPOTENT,
}
STOPS = {"off": StopMode.NEVER, "discard": StopMode.DISCARD, "freeze": StopMode.FREEZE}
BELOW = {"off": False, "one_for_all": True, "tier": True}
STAMPS = {"off": None, "floor": "floor", "allowance": "allowance", "weight": "weight"}
COUNTED = {"request": False, "work": True}
TRUTHS = {"true": True, "false": False, "1": True, "0": False}
MUST = object()


class ConfigurationError(GullyokeError, ValueError):
    """A setting that is missing or can't be right; the text names its key."""


class Stated:
    """Typed readings of text pairs; every fault names the whole path of its key."""

    def __init__(self, pairs: Mapping[str, str], path: str = "") -> None:
        self.pairs, self.path = pairs, path

    def at(self, path: str) -> Stated:
        return Stated(self.pairs, f"{self.path}{path}.")

    def text(self, key: str, default: object = MUST) -> str:
        value = self.pairs.get(self.path + key, default)
        if value is MUST:
            raise ConfigurationError(f"missing setting '{self.path}{key}'")
        return value

    def _read(self, key: str, default: object, make, wanted: str):
        text = self.text(key, default)
        try:
            return make(text) if isinstance(text, str) else text
        except (ValueError, KeyError, OverflowError):
            raise ConfigurationError(
                f"setting '{self.path}{key}' is {text!r}, not {wanted}"
            ) from None

    def number(self, key: str, default: object = MUST, least: float = 0.0) -> float:
        return self._read(
            key, default, lambda text: bounded(float(text), least), f"a number, {least:g} or more"
        )

    def whole(self, key: str, default: object = MUST, least: int = 0) -> int:
        return self._read(
            key,
            default,
            lambda text: bounded(exact(text), least),
            f"a whole number, {least} or more",
        )

    def truth(self, key: str, default: object = MUST) -> bool:
        return self.choice(key, TRUTHS, default)

    def choice(self, key: str, table: dict, default: object = MUST):
        return self._read(key, default, table.__getitem__, "one of " + ", ".join(table))

    def listed(self, key: str, make=str) -> list:
        return self._read(
            key,
            "",
            lambda text: [make(x) for x in text.split(",")] if text else [],
            "a list of such values",
        )


def bounded(value, least):
    if not math.isfinite(value) or value < least:
        raise ValueError(value)
    return value


def exact(text: str) -> int:
    try:
        return int(text)
    except ValueError:
        if not float(text).is_integer():
            raise
        return int(float(text))


def flat(value: object, path: str = "") -> dict[str, str]:
    """Nested JSON as the wire's pairs.

    Dotted paths, plain lists joined, lists of objects counted.
    """
    if isinstance(value, dict):
        return {
            k: v
            for key, inner in value.items()
            for k, v in flat(inner, f"{path}.{key}" if path else key).items()
        }
    if isinstance(value, list) and any(isinstance(x, dict | list) for x in value):
        out = {f"{path}.count": str(len(value))}
        for i, inner in enumerate(value):
            out.update(flat(inner, f"{path}.{i}"))
        return out
    if isinstance(value, list):
        return {path: ",".join(plain(x) for x in value)}
    return {} if value is None else {path: plain(value)}


def plain(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def parse_site_facts(pairs: Mapping[str, str]) -> SiteFacts:
    get = Stated(pairs)
    info = get.at("FamilyInfo")
    calls = info.listed("CallsByClass", TRUTHS.__getitem__)
    skips = info.listed("ClassSkipWorth", float)
    request_classes = []
    for i in range(get.whole("Profiles.count", least=1)):
        own = get.at(f"Profiles.{i}")
        kind = own.choice("Semantics", KINDS)
        keyed = kind is Idempotency.KEYED  # without its window no repeat would be known
        request_classes.append(
            RequestClass(
                own.text("Name"),
                own.whole("ObjectiveUs", least=1),
                own.whole("DeadlineUs", least=1),
                own.number("Importance"),
                kind,
                own.number("LateWorth", 0.0),
                own.whole("KeyTtlUs", least=1) if keyed else own.whole("KeyTtlUs", 0),
                calls[i] if i < len(calls) else False,
                skips[i] if i < len(skips) else 0.0,
                own.number("AimStretch", 0.0),
            )
        )
    tenants = [
        Tenant(own.text("Name"), own.number("QuotaPerS"))
        for own in (get.at(f"Orgs.{i}") for i in range(get.whole("Orgs.count", 0)))
    ]
    machine = Machine(
        info.whole("Cores", least=1),
        info.number("MemoryKb", least=1),
        info.number("Blowup", least=1),
        info.number("KeyKb", 0.0),
        info.truth("FreshStart", False),
        info.choice("StopMode", STOPS, StopMode.NEVER),
        tuple(info.listed("OwnStats")),
    )
    rules = get.at("Rules")
    limits = Limits(
        rules.whole("AnswerSlackUs"),
        rules.whole("DrainGraceUs"),
        rules.number("TipMultiple", least=1),
        rules.whole("TipAfterUs"),
        rules.number("StartCapacity"),
        rules.whole("ColdUs"),
    )
    shared = info.text("DependsOn", "off") == "one_for_all"
    below = DependencyFacts(
        info.choice("DependsOn", BELOW, False),
        info.number("CallsOut", None) if shared else None,
        info.whole("ShareSpanUs", 0),
        info.whole("LingerUs", 0),
    )
    allowed = get.at("Permissions")
    permissions = Permissions(
        allowed.truth("RetryAfter", False),
        allowed.whole("MaxRetryAfterUs", 0),
        info.choice("Say", STAMPS, None),
        info.whole("HeededUs", 0),
        info.truth("CancelSeen", False),
        info.truth("PassesDeadline", False),
        info.truth("DeepChecks", False),
        info.truth("Readiness", False),
        info.whole("CallerIdleUs", 0),
    )
    fleet = Fleet(
        get.whole("FleetSize"),
        get.choice("WorthBy", COUNTED, False),
        get.number("OverShareWorth", 1.0),
        info.whole("FreshForUs", 0),
        info.whole("Callers", 0),
    )
    return SiteFacts(request_classes, tenants, machine, limits, below, permissions, fleet)
