"""A rolling restart, conducted by one: servers drain and start again by turns.

What is done is told by the view alone: a server whose start is later than the roll's is done, so
one that takes the roll over half way needs no list of all. Who was told to go is kept with the
epoch by a majority before the word goes out, so nobody is drained twice or forgotten. It stops by
itself when the fleet sheds or errs more than it did, or when a server does not come back in time.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import NamedTuple

STATES = ("idle", "going", "paused", "stopped", "done", "cancelled")
CALM = 3_000_000  # microseconds that a server must be in and calm before the next
PATIENCE = 60_000_000  # for one to be back; longer, and the roll stops
ROSE = 0.15  # the share shed may be so much over what it was when the roll began
REASON = 80  # characters of a reason that are kept
STRAYS = 8  # servers whose clocks are behind that a roll bears


class RestartPlan(NamedTuple):
    """`number`: the roll's own; `before`.

    Members whose start is under this are to be restarted; `at_once`: the share of the fleet that
    may be away at once, one at the least; `a_zone`: of a zone. `doing`: who was told to go, when by
    the conductor's clock, and its start then. `strays`: who is done though its start is under
    `before`. `shed`: what the fleet shed when it began.
    """

    number: int = 0
    state: str = "idle"
    before: int = 0
    at_once: float = 0.1
    a_zone: float = 0.5
    doing: tuple[tuple[str, int, int], ...] = ()
    strays: tuple[str, ...] = ()
    shed: float = 0.0
    why: str = ""

    def pack(self) -> bytes:
        return json.dumps(self._asdict(), separators=(",", ":")).encode()


def unpack_plan(body: bytes) -> RestartPlan:
    """The plan that was kept; an idle one where nothing was.

    Raises `ValueError` for what is none.
    """
    if not body:
        return RestartPlan()
    found = json.loads(body)
    found["doing"] = tuple((str(name), int(at), int(start)) for name, at, start in found["doing"])
    found["strays"] = tuple(map(str, found["strays"]))
    plan = RestartPlan(**found)
    if plan.state not in STATES:
        raise ValueError(plan.state)
    return plan


class MemberState(NamedTuple):
    """A member as the conductor sees it.

    Its zone, its start's second, whether it is in and answers, since when that is so, and whether
    it is calm (warm, and sheds little).
    """

    name: str
    zone: str
    start: int
    there: bool
    since: int
    calm: bool


class FleetState(NamedTuple):
    """What the conductor goes by: all members, and the share shed by the median of them."""

    members: tuple[MemberState, ...]
    shed: float


def start(plan: RestartPlan, fleet: FleetState, at_once: float, a_zone: float) -> RestartPlan:
    """A new roll of all who are there. Raises `ValueError` while one is going."""
    if plan.state in ("going", "paused", "stopped"):
        raise ValueError(f"roll {plan.number} is {plan.state}; cancel it first")
    before = max((one.start for one in fleet.members), default=0) + 1
    return RestartPlan(plan.number + 1, "going", before, at_once, a_zone, shed=fleet.shed)


def pause(plan: RestartPlan, why: str) -> RestartPlan:
    if plan.state != "going":
        raise ValueError(f"the roll is {plan.state}; only one that is going can be paused")
    return plan._replace(state="paused", why=why[:REASON])


def resume(plan: RestartPlan, now: int, fleet: FleetState) -> RestartPlan:
    """Go on; who is away counts its time anew, and what the fleet sheds now is the measure."""
    if plan.state not in ("paused", "stopped"):
        raise ValueError(f"the roll is {plan.state}; only one that is paused or stopped goes on")
    doing = tuple((name, now, start) for name, _, start in plan.doing)
    return plan._replace(state="going", why="", shed=fleet.shed, doing=doing)


def cancel(plan: RestartPlan, why: str) -> RestartPlan:
    """No more are told to go; those that were come back by themselves."""
    if plan.state not in ("going", "paused", "stopped"):
        raise ValueError(f"the roll is {plan.state}; there is nothing to cancel")
    return plan._replace(state="cancelled", why=why[:REASON], doing=())


def members_to_restart(plan: RestartPlan, fleet: FleetState) -> list[MemberState]:
    """Who is still to be restarted."""
    return [one for one in fleet.members if one.start < plan.before and one.name not in plan.strays]


def step(plan: RestartPlan, now: int, fleet: FleetState, me: str) -> RestartPlan:
    """The plan a moment later.

    Who is new in `doing` is told to go once the plan is kept; `me`, the conductor, goes last, and
    another conducts its return.
    """
    if plan.state != "going":
        return plan
    there = {one.name: one for one in fleet.members}
    back = {name for name, _, start in plan.doing if _is_back(there.get(name), start, now)}
    strays = plan.strays + tuple(name for name in back if there[name].start < plan.before)
    plan = plan._replace(
        strays=strays, doing=tuple(row for row in plan.doing if row[0] not in back)
    )
    late = [name for name, at, _ in plan.doing if now - at > PATIENCE]
    if late:
        return plan._replace(state="stopped", why=f"{late[0]} did not come back in time"[:REASON])
    if len(strays) > STRAYS:
        return plan._replace(state="stopped", why="too many servers whose clocks are behind")
    if fleet.shed > plan.shed + ROSE:
        return plan._replace(
            state="stopped", why=f"the fleet sheds {fleet.shed:.2f}, {plan.shed:.2f} before"
        )
    doing = {name for name, _, _ in plan.doing}
    todo = [one for one in members_to_restart(plan, fleet) if one.name not in doing]
    if not todo and not doing:
        return plan._replace(state="done", why="")
    go = choose_members(plan, doing, todo, fleet, me)
    return plan._replace(doing=plan.doing + tuple((name, now, there[name].start) for name in go))


def _is_back(seen: MemberState | None, start: int, now: int) -> bool:
    """Whether it has started anew, and has been in and calm for a while."""
    return (
        seen is not None
        and seen.start > start
        and seen.there
        and seen.calm
        and now - seen.since >= CALM
    )


def choose_members(
    plan: RestartPlan, doing: Iterable[str], todo: list[MemberState], fleet: FleetState, me: str
) -> list[str]:
    """Who goes next: within the share of the fleet and of each zone, counting all who are not
    there; only who is there itself is told to go.
    """
    away = {*doing} | {one.name for one in fleet.members if not one.there}
    zones: dict[str, set[str]] = {}
    for one in fleet.members:
        zones.setdefault(one.zone, set()).add(one.name)
    most, out = max(1, int(plan.at_once * len(fleet.members))), []
    for one in sorted(todo, key=lambda one: (one.name == me, one.name)):
        if one.name == me and (len(todo) > 1 or away or out):
            continue
        room = max(1, int(plan.a_zone * len(zones[one.zone])))
        fits = len(away) < most and len(away & zones[one.zone]) < room
        if one.there and one.name not in away and fits:
            out.append(one.name)
            away.add(one.name)
    return out
