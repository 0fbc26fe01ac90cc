"""What the controller knows of a site and of a request; times are whole microseconds."""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from enum import Enum
from typing import Final, NamedTuple

from gullyoke.admission.interface.commands import Command
from gullyoke.admission.interface.events import RequestEvent
from gullyoke.admission.interface.fleet_feedback import (
    NO_FLEET_FEEDBACK,
    UNSHARED_SLOTS,
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
    """Whether a run can be cancelled, and whether that discards its progress or pauses it."""

    NEVER = "never"
    DISCARD = "discard"
    FREEZE = "freeze"


@dataclass(slots=True, eq=False)
class RequestClass:
    """A class of requests, as the settings of the site describe it.

    Args:
        name: The name of the class in requests.
        latency_objective: Microseconds within which an answer earns its full value.
        timeout: Microseconds that a client waits in total.
        priority_weight: The value of an answer.
        idempotency: Whether requests of the class may run more than once.
        late_value_share: Share of the value that a late answer still earns.
        key_ttl: Microseconds for which a key is remembered.
        calls_dependency: Whether runs of the class may call the dependency.
        degraded_value_share: Share of the value that an answer without the dependency call earns.
        objective_stretch: Multiple of a request's cost hint that is added to its objective.
        accepting: Whether new requests are accepted; False while something that runs of the class
            need is unavailable.
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
    """Return None: no part of the quota is known to be leased to this server."""
    return None


@dataclass(slots=True, eq=False)
class Tenant:
    """A tenant that shares the servers with others.

    Args:
        name: The tenant's name.
        quota: Requests per second, over all servers, up to which the tenant is within its quota.
        count_request: Counts a request of the tenant that arrives at the given time; returns the
            part of the quota that this server holds, in requests per second, or None if unknown.
    """

    name: str
    quota: float
    count_request: Callable[[int], float | None] = _no_lease


@dataclass(slots=True)
class Machine:
    """The machine and the process of the server.

    Args:
        cores: Cores on which requests run.
        memory_kb: Memory for requests and remembered keys, in kilobytes.
        running_memory_factor: Memory of a running request divided by that of a queued one.
        key_kb: Kilobytes that a remembered key takes.
        needs_warmup: Whether the process has just started and has to warm up.
        stop_mode: What cancelling a run does.
        gauges: Names of the machine's gauges, in the order of the settings.
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
    """The limits that every server of the site keeps to.

    Args:
        answer_slack: Microseconds after the deadline during which an answer still counts.
        drain_grace: Microseconds after the start of a drain; requests that arrive later never run.
        overload_multiple: Mean number of running requests per core that a warm server survives.
        overload_window: Microseconds over which that mean is taken.
        warmup_capacity: Share of its full speed that a server has when its warm-up begins.
        warmup_time: Microseconds after which the warm-up is over at the latest.
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
        exists: Whether the site has a dependency.
        call_quota: Mean number of calls that this server may have in flight; None for no limit.
        quota_window: Microseconds over which that mean is taken.
        linger: Microseconds for which the dependency works on an abandoned call at most.
        slots: This server's part of the dependency calls that all servers share.
    """

    exists: bool
    call_quota: float | None
    quota_window: int
    linger: int
    slots: DependencySlots = UNSHARED_SLOTS


@dataclass(slots=True)
class Permissions:
    """What a server may send to its callers, and what it learns from them.

    Args:
        sends_retry_after: Whether the advice when to retry reaches the callers.
        max_retry_after: The longest advised wait that callers follow, in microseconds.
        load_signal: Kind of the load signal that is sent with answers; None if there is none.
        load_signal_ttl: Microseconds for which callers remember a load signal.
        reports_disconnected_clients: Whether the server learns when a client gives up.
        passes_deadline: Whether requests state how long their caller waits.
        deep_checks: Whether health checks do work of their own.
        readiness: Whether the list of endpoints follows the answers to health checks.
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
        size: Number of servers in the fleet.
        weighs_by_work: Whether value is counted for each unit of work, not for each request.
        over_quota_value: Share of the value that a request over its tenant's quota earns.
        read_cache_ttl: Microseconds for which the answer to an idempotent request may also answer
            its duplicates; 0 for never.
        callers: Number of callers; 0 if unknown.
        feedback: What the other servers report.
    """

    size: int
    weighs_by_work: bool
    over_quota_value: float
    read_cache_ttl: int
    callers: int = 0
    feedback: FleetFeedback = NO_FLEET_FEEDBACK


@dataclass(slots=True)
class SiteFacts:
    """Everything that the settings of a site state."""

    request_classes: list[RequestClass]
    tenants: list[Tenant]
    machine: Machine
    limits: Limits
    dependency: DependencyFacts
    permissions: Permissions
    fleet: Fleet


class Gauges(NamedTuple):
    """The gauges of one server; None for each value that is not measured.

    Args:
        busy: Share of the cores that was busy recently.
        runnable: Number of runs that use a core or wait for one now.
        connections: Number of open client connections.
        capacity: Number of runs that the back ends can take at once; None where runs use the
            server's own cores.
    """

    busy: float | None = None
    runnable: float | None = None
    connections: float | None = None
    capacity: float | None = None


class RememberedRequest:
    """Stands for a request that has ended, but whose key is remembered."""


REMEMBERED_REQUEST: Final = RememberedRequest()


@dataclass(slots=True, eq=False)
class Request:
    """A request whose path through the controller has not ended.

    Args:
        request_class: The class of the request.
        arrived: When the request reached the machine.
        deadline: The time by which the client needs the answer.
        memory_kb: Kilobytes that the request takes while it is queued.
        is_retry: Whether the caller marked the request as a retry or a hedged request.
        duplicate_of: The request that this one duplicates; `REMEMBERED_REQUEST` if that one has
            ended; None if this is not a duplicate.
        has_key: Whether the request states a key under which it can be remembered.
        tenant: The tenant that sent the request; None if the request states none.
        cost_hint: The caller's estimate of the request's work, in microseconds; 0 for no estimate.
        rank: Its place among requests, from 0 to under 1; no decision uses it.

    The other attributes are set by the controller.
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
