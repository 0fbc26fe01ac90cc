"""What the decisions know of a site and of a request; times are whole microseconds."""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from enum import Enum
from typing import Final, NamedTuple

from gullyoke.admission.interface.commands import Command
from gullyoke.admission.interface.events import RequestEvent
from gullyoke.admission.interface.fleet_feedback import (
    ALONE,
    UNSHARED,
    DependencySlots,
    FleetFeedback,
)
from gullyoke.admission.interface.request_state import RequestState


class Idempotency(Enum):
    """Whether the requests of a class may run more than once."""

    IDEMPOTENT = "replayable"
    KEYED = "uniqued"
    NON_IDEMPOTENT = "non-replayable"


class StopMode(Enum):
    """What cancelling a run does: it is impossible, loses the progress, or pauses with it."""

    NEVER = "never"
    DISCARD = "discard"
    FREEZE = "freeze"


@dataclass(slots=True, eq=False)
class RequestClass:
    """A class of requests and what the site states of it.

    Args:
        name: The class's name, as it stands in requests.
        latency_objective: Microseconds within which an answer earns its full value.
        timeout: Microseconds that a client waits in all.
        priority_weight: What an answer is worth.
        idempotency: Whether its requests may run more than once.
        late_value_share: Share of the value that a late answer still earns.
        key_ttl: Microseconds for which a key is remembered.
        calls_dependency: Whether its runs may call the dependency.
        degraded_value_share: Share of the value of an answer made without the call.
        objective_stretch: How much the objective grows with a request's own cost hint.
        accepting: False while what its runs need is not to be had; newcomers are then rejected.
    """

    name: str
    latency_objective: int
    timeout: int
    priority_weight: float
    idempotency: Idempotency
    late_value_share: float
    key_ttl: int
    calls_dependency: bool
    degraded_value_share: float
    objective_stretch: float
    accepting: bool = True


def _no_lease(now: int) -> float | None:
    """No part of the quota is known to be leased to this server."""
    return None


@dataclass(slots=True, eq=False)
class Tenant:
    """One of those who share the servers.

    Args:
        name: The tenant's name.
        quota: Requests a second, over all servers, that are within its share.
        leased_quota: Called with the time for each of its requests; returns this server's part of
            the quota now, in requests a second, or None where that is not known.
    """

    name: str
    quota: float
    leased_quota: Callable[[int], float | None] = _no_lease


@dataclass(slots=True)
class Machine:
    """The server's own machine and process.

    Args:
        cores: Cores on which requests run.
        memory_kb: Memory for requests and remembered keys, in kilobytes.
        running_memory_factor: Memory of a running request over that of a waiting one.
        key_kb: Kilobytes of a remembered key.
        needs_warmup: Whether the process was just started and is warming up.
        stop_mode: What cancelling a run does.
        gauges: Names of the machine's gauges, in their order.
    """

    cores: int
    memory_kb: float
    running_memory_factor: float
    key_kb: float
    needs_warmup: bool
    stop_mode: StopMode
    gauges: tuple[str, ...]


@dataclass(slots=True)
class Limits:
    """The figures of the rules that each server keeps.

    Args:
        answer_slack: Microseconds past its deadline in which an answer still counts.
        drain_grace: Requests that arrive later than this after the drain began never run.
        overload_multiple: Running requests for each core that a warm server survives.
        overload_window: Microseconds over which that mean is taken.
        warmup_capacity: Share of its speed that a server has when its warm-up begins.
        warmup_time: Microseconds after which it is warm at the latest.
    """

    answer_slack: int
    drain_grace: int
    overload_multiple: float
    overload_window: int
    warmup_capacity: float
    warmup_time: int


@dataclass(slots=True)
class DependencyFacts:
    """The dependency that requests call while they run.

    Args:
        exists: Whether there is one.
        call_quota: Mean number of calls in flight that is this server's; None for no bound.
        quota_window: Microseconds over which that mean is taken.
        linger: Microseconds for which an abandoned call stays in the dependency's hands at most.
        slots: What this server has of the calls that all servers share.
    """

    exists: bool
    call_quota: float | None
    quota_window: int
    linger: int
    slots: DependencySlots = UNSHARED


@dataclass(slots=True)
class Permissions:
    """What the site lets a server send to its callers and learn of them.

    Args:
        sends_retry_after: Whether advice when to come back is forwarded.
        max_retry_after: The longest advice that is followed, in microseconds.
        load_signal: Kind of the level that goes out with answers; None where it is unused.
        load_signal_ttl: Microseconds for which callers remember the level.
        reports_disconnected_clients: Whether the server learns when a client gives up.
        passes_deadline: Whether requests state how long their caller waits.
        deep_checks: Whether health checks do work of their own.
        readiness: Whether the endpoint list follows the health answers.
        max_idle: Microseconds after which callers close idle connections.
    """

    sends_retry_after: bool
    max_retry_after: int
    load_signal: str | None
    load_signal_ttl: int
    reports_disconnected_clients: bool
    passes_deadline: bool
    deep_checks: bool
    readiness: bool
    max_idle: int


@dataclass(slots=True)
class Fleet:
    """The servers of the fleet and their callers.

    Args:
        size: Servers of the fleet.
        weighs_by_work: Whether value is counted by work, not by request.
        over_quota_value: Share of the value that a request beyond its tenant's quota earns.
        read_cache_ttl: Microseconds for which the answer to a read may serve others; 0 for never.
        callers: How many callers there are; 0 where that is not known.
        feedback: What the other servers report.
    """

    size: int
    weighs_by_work: bool
    over_quota_value: float
    read_cache_ttl: int
    callers: int = 0
    feedback: FleetFeedback = ALONE


@dataclass(slots=True)
class SiteFacts:
    """All that the settings of a site state."""

    request_classes: list[RequestClass]
    tenants: list[Tenant]
    machine: Machine
    limits: Limits
    dependency: DependencyFacts
    permissions: Permissions
    fleet: Fleet


class Gauges(NamedTuple):
    """A server's own gauges; None for what is not measured.

    Args:
        busy: Share of the cores that was busy lately.
        runnable: What wants a core now.
        connections: Open client connections.
        capacity: Runs that can be had at once, where the cores are not the server's own.
    """

    busy: float | None = None
    runnable: float | None = None
    connections: float | None = None
    capacity: float | None = None


class RememberedRequest:
    """Stands for a request that has ended and is remembered by its key alone."""


PAST: Final = RememberedRequest()


@dataclass(slots=True, eq=False)
class Request:
    """A request that the decisions have not finished with.

    Args:
        request_class: Its class.
        arrived: When it reached the machine.
        deadline: By when its answer has to be there.
        memory_kb: Kilobytes that it takes while it waits.
        is_retry: Whether its caller marked it as a retry or a hedged request.
        duplicate_of: The request that it duplicates, `PAST` where that has ended, None for none.
        has_key: Whether it names a key or a subject.
        tenant: Whose it is; None where the site has no tenants.
        cost_hint: Its caller's estimate of its work, in microseconds; 0 where there is none.
        rank: Its place among requests, from 0 to under 1.

    The other attributes are the decisions' own notes on it.
    """

    request_class: RequestClass
    arrived: int
    deadline: int
    memory_kb: float
    is_retry: bool = False
    duplicate_of: Request | RememberedRequest | None = None
    has_key: bool = False
    tenant: Tenant | None = None
    cost_hint: int = 0
    rank: float = 0.0
    path: Generator[Command, RequestEvent, None] | None = field(default=None, repr=False)
    state: RequestState | None = None
    over_quota: bool = False
    started_at: int = 0
    displaced: bool = False
    core_time: float = 0.0
    answered: bool = False
    client_disconnected: bool = False
