"""The settings of `configure` turned into the port's facts."""
from __future__ import annotations

from typing import NamedTuple

from gullyoke.port import Below, Customer, Fleet, Handler, Kind, Limits, Machine, Permits, StopMode

KINDS = {"repeatable": Kind.REPLAYABLE, "by_key": Kind.UNIQUED, "once": Kind.NON_REPLAYABLE}
STOPS = {"off": StopMode.NEVER, "discard": StopMode.DISCARD, "freeze": StopMode.FREEZE}
BELOW = {"off": False, "one_for_all": True, "tier": True}
STAMPS = {"off": None, "floor": "floor", "allowance": "allowance", "weight": "weight"}
COUNTED = {"request": False, "work": True}


class Facts(NamedTuple):
    """The port's records, as read from one `configure`."""
    handlers: list[Handler]
    customers: list[Customer]
    machine: Machine
    limits: Limits
    below: Below
    permits: Permits
    fleet: Fleet


def truth(text: str) -> bool:
    return {"true": True, "false": False, "1": True, "0": False}[text]


def listed(text: str | None) -> list[str]:
    return text.split(",") if text else []


def facts_of(get: dict[str, str]) -> Facts:
    """Read what is known, pass over the rest; a key that is absent is what its absence means on the wire."""
    info = {key[11:]: value for key, value in get.items() if key.startswith("FamilyInfo.")}
    calls = [truth(x) for x in listed(info.get("CallsByClass"))]
    skips = [float(x) for x in listed(info.get("ClassSkipWorth"))]
    handlers = []
    for i in range(int(get["Profiles.count"])):
        own = {key.rsplit(".", 1)[1]: value for key, value in get.items() if key.startswith(f"Profiles.{i}.")}
        handlers.append(Handler(
            own["Name"], int(own["ObjectiveUs"]), int(own["DeadlineUs"]), float(own["Importance"]),
            KINDS[own["Semantics"]], float(own.get("LateWorth", 0)), int(own.get("KeyTtlUs", 0)),
            calls[i] if i < len(calls) else False, skips[i] if i < len(skips) else 0.0,
            float(own.get("AimStretch", 0))))
    customers = [Customer(get[f"Orgs.{i}.Name"], float(get[f"Orgs.{i}.QuotaPerS"]))
                 for i in range(int(get.get("Orgs.count", 0)))]
    machine = Machine(
        int(info["Cores"]), float(info["MemoryKb"]), float(info["Blowup"]), float(info.get("KeyKb", 0)),
        truth(info.get("FreshStart", "false")), STOPS[info.get("StopMode", "off")],
        tuple(listed(info.get("OwnStats"))))
    limits = Limits(
        int(get["Rules.AnswerSlackUs"]), int(get["Rules.DrainGraceUs"]), float(get["Rules.TipMultiple"]),
        int(get["Rules.TipAfterUs"]), float(get["Rules.StartCapacity"]), int(get["Rules.ColdUs"]))
    share = info.get("CallsOut") if info.get("DependsOn") == "one_for_all" else None
    below = Below(BELOW[info.get("DependsOn", "off")], None if share is None else float(share),
                  int(info.get("ShareSpanUs", 0)), int(info.get("LingerUs", 0)))
    permits = Permits(
        truth(get.get("Permissions.RetryAfter", "false")), int(get.get("Permissions.MaxRetryAfterUs", 0)),
        STAMPS[info.get("Say", "off")], int(info.get("HeededUs", 0)), truth(info.get("CancelSeen", "false")),
        truth(info.get("PassesDeadline", "false")), truth(info.get("DeepChecks", "false")),
        truth(info.get("Readiness", "false")), int(info.get("CallerIdleUs", 0)))
    fleet = Fleet(int(get["FleetSize"]), COUNTED[get.get("WorthBy", "request")],
                  float(get.get("OverShareWorth", 1)), int(info.get("FreshForUs", 0)),
                  int(info.get("Callers", 0)))
    return Facts(handlers, customers, machine, limits, below, permits, fleet)
