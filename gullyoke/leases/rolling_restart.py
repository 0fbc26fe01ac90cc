"""The plan of a rolling restart: servers drain and start again in turns.

One lease holder, the conductor, makes the plan's steps. Which servers are done follows from the
membership view: those whose start is later than the plan's. A conductor that takes over half way so
needs no list of them. The servers that were told to restart are in the plan, which a majority of
voters stores before they are told; none is drained twice or forgotten. The restart stops when the
fleet rejects more requests than at its beginning, or when a server does not come back in time.
"""

from __future__ import annotations

import json
from collections.abc import Collection
from enum import StrEnum
from typing import Final, NamedTuple

CALM_US: Final = 3_000_000  # a server must be back and calm for so long before the next goes
RETURN_TIMEOUT_US: Final = 60_000_000  # for a server to come back; then the restart stops
MAX_REJECTED_RISE: Final = 0.15  # of the share of rejected requests, since the beginning
MAX_REASON_CHARS: Final = 80
MAX_STRAYS: Final = 8  # servers whose clocks are behind that a restart puts up with


class RestartState(StrEnum):
    """The state of a rolling restart; the values are stored and shown to operators."""

    IDLE = "idle"
    GOING = "going"
    PAUSED = "paused"
    STOPPED = "stopped"
    DONE = "done"
    CANCELLED = "cancelled"


UNFINISHED: Final = (RestartState.GOING, RestartState.PAUSED, RestartState.STOPPED)


class Restarting(NamedTuple):
    """A server that was told to restart.

    Attributes:
        name: The server.
        told_at_us: When it was told, by the conductor's clock, or since when it is waited for.
        start: The second of its start before.
    """

    name: str
    told_at_us: int
    start: int


class RestartPlan(NamedTuple):
    """A rolling restart; immutable, each step makes a new one.

    The field names are the keys of the stored plan and of the answers to operators, so they stay.

    Attributes:
        number: Number of the restart.
        state: Its state.
        before: Servers whose start is under this second are to be restarted.
        at_once: The share of the fleet that may be away at a time; one server at the least.
        a_zone: The same of each zone.
        doing: Servers that were told to restart and are not back yet.
        strays: Servers that are done though their start is under `before`: their clock is behind.
        shed: The share of requests that the fleet rejected when the restart began or was resumed.
        why: Why it stopped or was paused or cancelled; at most `MAX_REASON_CHARS` characters.
    """

    number: int = 0
    state: RestartState = RestartState.IDLE
    before: int = 0
    at_once: float = 0.1
    a_zone: float = 0.5
    doing: tuple[Restarting, ...] = ()
    strays: tuple[str, ...] = ()
    shed: float = 0.0
    why: str = ""

    def pack(self) -> bytes:
        """Return the plan as it is stored: a JSON object."""
        return json.dumps(self._asdict(), separators=(",", ":")).encode()


def unpack_plan(body: bytes) -> RestartPlan:
    """Return a stored plan; an idle one where none is stored.

    Raises:
        ValueError: For bytes that are no JSON, or a state that does not exist.
        KeyError: For an object without servers.
        TypeError: For an object with other fields.
    """
    if not body:
        return RestartPlan()
    found = json.loads(body)
    found["doing"] = tuple(
        Restarting(str(name), int(told_at_us), int(start))
        for name, told_at_us, start in found["doing"]
    )
    found["strays"] = tuple(map(str, found["strays"]))
    if "state" in found:
        found["state"] = RestartState(found["state"])
    return RestartPlan(**found)


class MemberState(NamedTuple):
    """A member as the conductor sees it.

    Attributes:
        name: The member's name.
        zone: Its zone.
        start: The second of its start.
        present: Whether it is in the view and answers.
        present_since_us: Since when that is so.
        calm: Whether it is warm and rejects few requests.
    """

    name: str
    zone: str
    start: int
    present: bool
    present_since_us: int
    calm: bool


class FleetState(NamedTuple):
    """All members, and the median of the shares of requests that they reject."""

    members: tuple[MemberState, ...]
    rejected_share: float


def start(plan: RestartPlan, fleet: FleetState, at_once: float, a_zone: float) -> RestartPlan:
    """Return the plan of a new restart of all members.

    Raises:
        ValueError: While another one is not finished.
    """
    if plan.state in UNFINISHED:
        raise ValueError(f"roll {plan.number} is {plan.state}; cancel it first")
    before = max((member.start for member in fleet.members), default=0) + 1
    return RestartPlan(
        plan.number + 1, RestartState.GOING, before, at_once, a_zone, shed=fleet.rejected_share
    )


def pause(plan: RestartPlan, why: str) -> RestartPlan:
    """Return the plan paused: no further server is told to restart.

    Raises:
        ValueError: For a restart that is not going.
    """
    if plan.state != RestartState.GOING:
        raise ValueError(f"the roll is {plan.state}; only one that is going can be paused")
    return plan._replace(state=RestartState.PAUSED, why=why[:MAX_REASON_CHARS])


def resume(plan: RestartPlan, now: int, fleet: FleetState) -> RestartPlan:
    """Return the plan going on, its timeouts and its measure of rejections counted from now.

    Raises:
        ValueError: For a restart that is neither paused nor stopped.
    """
    if plan.state not in (RestartState.PAUSED, RestartState.STOPPED):
        raise ValueError(f"the roll is {plan.state}; only one that is paused or stopped goes on")
    doing = tuple(server._replace(told_at_us=now) for server in plan.doing)
    return plan._replace(state=RestartState.GOING, why="", shed=fleet.rejected_share, doing=doing)


def cancel(plan: RestartPlan, why: str) -> RestartPlan:
    """Return the plan cancelled; servers that were told to restart come back by themselves.

    Raises:
        ValueError: For a restart that is finished already.
    """
    if plan.state not in UNFINISHED:
        raise ValueError(f"the roll is {plan.state}; there is nothing to cancel")
    return plan._replace(state=RestartState.CANCELLED, why=why[:MAX_REASON_CHARS], doing=())


def members_to_restart(plan: RestartPlan, fleet: FleetState) -> list[MemberState]:
    """Return the members that are not done, those included that were told to restart."""
    return [
        member
        for member in fleet.members
        if member.start < plan.before and member.name not in plan.strays
    ]


def step(plan: RestartPlan, now: int, fleet: FleetState, conductor: str) -> RestartPlan:
    """Return the plan a moment later.

    Servers that are new in `doing` are told to restart once the plan is stored. The conductor goes
    last, and the next one waits for its return.
    """
    if plan.state != RestartState.GOING:
        return plan
    members = {member.name: member for member in fleet.members}
    plan = _without_returned(plan, now, members)
    reason = _reason_to_stop(plan, now, fleet)
    if reason:
        return plan._replace(state=RestartState.STOPPED, why=reason)
    restarting = {server.name for server in plan.doing}
    remaining = [
        member for member in members_to_restart(plan, fleet) if member.name not in restarting
    ]
    if not remaining and not restarting:
        return plan._replace(state=RestartState.DONE, why="")
    chosen = choose_members(plan, restarting, remaining, fleet, conductor)
    told = tuple(Restarting(name, now, members[name].start) for name in chosen)
    return plan._replace(doing=plan.doing + told)


def _without_returned(plan: RestartPlan, now: int, members: dict[str, MemberState]) -> RestartPlan:
    """Return the plan without the servers that are back."""
    back = {server.name for server in plan.doing if _is_back(server, now, members)}
    behind = tuple(name for name in back if members[name].start < plan.before)
    doing = tuple(server for server in plan.doing if server.name not in back)
    return plan._replace(strays=plan.strays + behind, doing=doing)


def _is_back(server: Restarting, now: int, members: dict[str, MemberState]) -> bool:
    """Tell whether a server has started again, and has been present and calm for a while."""
    member = members.get(server.name)
    if member is None or member.start <= server.start:
        return False
    return member.present and member.calm and now - member.present_since_us >= CALM_US


def _reason_to_stop(plan: RestartPlan, now: int, fleet: FleetState) -> str:
    """Return why the restart has to stop; empty where it may go on."""
    for server in plan.doing:
        if now - server.told_at_us > RETURN_TIMEOUT_US:
            return f"{server.name} did not come back in time"[:MAX_REASON_CHARS]
    if len(plan.strays) > MAX_STRAYS:
        return "too many servers whose clocks are behind"
    if fleet.rejected_share > plan.shed + MAX_REJECTED_RISE:
        return f"the fleet sheds {fleet.rejected_share:.2f}, {plan.shed:.2f} before"
    return ""


def choose_members(
    plan: RestartPlan,
    restarting: Collection[str],
    remaining: list[MemberState],
    fleet: FleetState,
    conductor: str,
) -> list[str]:
    """Return the servers that restart next.

    Together with all that are away they stay within the plan's share of the fleet and of each zone.
    Only members that are present are chosen, and the conductor only when no other is left or away.
    """
    away = {*restarting} | {member.name for member in fleet.members if not member.present}
    zones: dict[str, set[str]] = {}
    for member in fleet.members:
        zones.setdefault(member.zone, set()).add(member.name)
    most_away = max(1, int(plan.at_once * len(fleet.members)))
    chosen: list[str] = []
    for member in sorted(remaining, key=lambda member: (member.name == conductor, member.name)):
        if member.name == conductor and (len(remaining) > 1 or away or chosen):
            continue
        zone = zones[member.zone]
        most_away_in_zone = max(1, int(plan.a_zone * len(zone)))
        fits = len(away) < most_away and len(away & zone) < most_away_in_zone
        if member.present and member.name not in away and fits:
            chosen.append(member.name)
            away.add(member.name)
    return chosen
