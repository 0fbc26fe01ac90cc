"""The plan of a rolling restart: a few servers at a time drain and start again.

The holder of a lease, the coordinator, advances the plan. The membership view shows which servers
are done: those that started after the plan was made. A coordinator that takes over midway therefore
needs no list of the servers that are done. The plan contains the servers that are instructed to
restart, and a majority of voters stores the plan before they are instructed. Therefore no server is
drained twice or forgotten. The restart stops when the fleet rejects clearly more requests than
when the restart began or was resumed, when a server does not come back in time, or when the clocks
of too many servers are behind.
"""

from __future__ import annotations

import json
from collections.abc import Collection
from enum import StrEnum
from typing import Final, NamedTuple

RETURN_DWELL_US: Final = 3_000_000  # how long a server must be back before the next one restarts
RETURN_TIMEOUT_US: Final = 60_000_000  # time for a server to come back before the restart stops
MAX_REJECTED_RISE: Final = 0.15  # rise of the rejected share since start or resumption
MAX_REASON_CHARS: Final = 80
MAX_STRAYS: Final = 8  # servers whose clock is behind; with more, the restart stops


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
    """A server that was instructed to restart.

    Attributes:
        name: The server.
        instructed_at_us: When it was instructed or the restart was last resumed, by the
            coordinator's clock.
        start: The second in which the server last started before this restart.
    """

    name: str
    instructed_at_us: int
    start: int


class RestartPlan(NamedTuple):
    """A rolling restart; immutable, each step returns a new one.

    The field names are the keys of the stored plan and of the answers to operators, so they stay.

    Attributes:
        number: Number of the restart.
        state: Its state.
        before: Servers that started before this second are to be restarted.
        at_once: The share of the fleet that may be unavailable at a time; at least one server.
        a_zone: The same share for each zone.
        doing: Servers that were instructed to restart and are not back yet.
        strays: Servers that are done although their start is before `before`, since their clock is
            behind.
        shed: The share of requests that the fleet rejected when the restart began or was resumed.
        why: Why it was stopped, paused or cancelled; at most `MAX_REASON_CHARS` characters.
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
    """Return a stored plan; an idle one for empty bytes.

    Raises:
        ValueError: For bytes that are not JSON, or an unknown state.
        KeyError: For an object without the lists of servers.
        TypeError: For an object with unknown fields.
    """
    if not body:
        return RestartPlan()
    found = json.loads(body)
    found["doing"] = tuple(
        Restarting(str(name), int(instructed_at_us), int(start))
        for name, instructed_at_us, start in found["doing"]
    )
    found["strays"] = tuple(map(str, found["strays"]))
    if "state" in found:
        found["state"] = RestartState(found["state"])
    return RestartPlan(**found)


class MemberState(NamedTuple):
    """A member as the coordinator sees it.

    Attributes:
        name: The member's name.
        zone: Its zone.
        start: The second of its start.
        present: Whether the member is in the view and answers.
        present_since_us: When the member last became present.
        healthy: Whether the member rejects few requests.
    """

    name: str
    zone: str
    start: int
    present: bool
    present_since_us: int
    healthy: bool


class FleetState(NamedTuple):
    """All members, and the median of their shares of rejected requests."""

    members: tuple[MemberState, ...]
    rejected_share: float


def start(plan: RestartPlan, fleet: FleetState, at_once: float, a_zone: float) -> RestartPlan:
    """Return the plan of a new restart of all members.

    Raises:
        ValueError: If another restart is unfinished.
    """
    if plan.state in UNFINISHED:
        raise ValueError(f"rolling restart {plan.number} is {plan.state}; cancel it first")
    before = max((member.start for member in fleet.members), default=0) + 1
    return RestartPlan(
        plan.number + 1, RestartState.GOING, before, at_once, a_zone, shed=fleet.rejected_share
    )


def pause(plan: RestartPlan, why: str) -> RestartPlan:
    """Return the plan paused: no further server is instructed to restart.

    Raises:
        ValueError: If the restart is not going.
    """
    if plan.state != RestartState.GOING:
        raise ValueError(
            f"the rolling restart is {plan.state}; only one that is going can be paused"
        )
    return plan._replace(state=RestartState.PAUSED, why=why[:MAX_REASON_CHARS])


def resume(plan: RestartPlan, now: int, fleet: FleetState) -> RestartPlan:
    """Return the plan resumed; timeouts and the rise of rejections are counted from now.

    Raises:
        ValueError: If the restart is neither paused nor stopped.
    """
    if plan.state not in (RestartState.PAUSED, RestartState.STOPPED):
        raise ValueError(
            f"the rolling restart is {plan.state}; only a paused or stopped one can be resumed"
        )
    doing = tuple(server._replace(instructed_at_us=now) for server in plan.doing)
    return plan._replace(state=RestartState.GOING, why="", shed=fleet.rejected_share, doing=doing)


def cancel(plan: RestartPlan, why: str) -> RestartPlan:
    """Return the plan cancelled; servers that were instructed to restart come back by themselves.

    Raises:
        ValueError: If the restart is finished.
    """
    if plan.state not in UNFINISHED:
        raise ValueError(f"the rolling restart is {plan.state}; there is nothing to cancel")
    return plan._replace(state=RestartState.CANCELLED, why=why[:MAX_REASON_CHARS], doing=())


def members_to_restart(plan: RestartPlan, fleet: FleetState) -> list[MemberState]:
    """Return the members that are not done, including those that were instructed to restart."""
    return [
        member
        for member in fleet.members
        if member.start < plan.before and member.name not in plan.strays
    ]


def step(plan: RestartPlan, now: int, fleet: FleetState, coordinator: str) -> RestartPlan:
    """Return the plan advanced to the present.

    Servers that are new in `doing` are instructed to restart once the plan is stored. The
    coordinator restarts last, and the next coordinator waits for its return.
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
    chosen = choose_members(plan, restarting, remaining, fleet, coordinator)
    added = tuple(Restarting(name, now, members[name].start) for name in chosen)
    return plan._replace(doing=plan.doing + added)


def _without_returned(plan: RestartPlan, now: int, members: dict[str, MemberState]) -> RestartPlan:
    """Return the plan without the servers that are back; those whose clock is behind are strays."""
    back = {server.name for server in plan.doing if _is_back(server, now, members)}
    behind = tuple(name for name in back if members[name].start < plan.before)
    doing = tuple(server for server in plan.doing if server.name not in back)
    return plan._replace(strays=plan.strays + behind, doing=doing)


def _is_back(server: Restarting, now: int, members: dict[str, MemberState]) -> bool:
    """Return whether a server is back.

    A server is back if it has started again, is healthy, and has been present for at least
    `RETURN_DWELL_US`.
    """
    member = members.get(server.name)
    if member is None or member.start <= server.start:
        return False
    return member.present and member.healthy and now - member.present_since_us >= RETURN_DWELL_US


def _reason_to_stop(plan: RestartPlan, now: int, fleet: FleetState) -> str:
    """Return why the restart has to stop; empty if it may continue."""
    for server in plan.doing:
        if now - server.instructed_at_us > RETURN_TIMEOUT_US:
            return f"{server.name} did not come back in time"[:MAX_REASON_CHARS]
    if len(plan.strays) > MAX_STRAYS:
        return "too many servers whose clocks are behind"
    if fleet.rejected_share > plan.shed + MAX_REJECTED_RISE:
        return f"the fleet rejects {fleet.rejected_share:.2f} of requests, {plan.shed:.2f} before"
    return ""


def choose_members(
    plan: RestartPlan,
    restarting: Collection[str],
    remaining: list[MemberState],
    fleet: FleetState,
    coordinator: str,
) -> list[str]:
    """Return the servers that restart next.

    The chosen and all unavailable servers together stay within the plan's share of the fleet and of
    each zone. Only present members are chosen, and the coordinator only when no other member is
    left to restart or unavailable.
    """
    unavailable = {*restarting} | {member.name for member in fleet.members if not member.present}
    zones: dict[str, set[str]] = {}
    for member in fleet.members:
        zones.setdefault(member.zone, set()).add(member.name)
    most_unavailable = max(1, int(plan.at_once * len(fleet.members)))
    chosen: list[str] = []
    for member in sorted(remaining, key=lambda member: (member.name == coordinator, member.name)):
        if member.name == coordinator and (len(remaining) > 1 or unavailable or chosen):
            continue
        zone = zones[member.zone]
        most_in_zone = max(1, int(plan.a_zone * len(zone)))
        fits = len(unavailable) < most_unavailable and len(unavailable & zone) < most_in_zone
        if member.present and member.name not in unavailable and fits:
            chosen.append(member.name)
            unavailable.add(member.name)
    return chosen
