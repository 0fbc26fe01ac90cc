"""Days like those of deployments that have grown over time.

Two thirds of the machines have half the speed, each server has four callers, a new connection costs
a tenth of a run, the dependency's limit is shared, and the configured fleet size is a third too
large, since it states the fleet at its largest.
"""

from __future__ import annotations

from gullyoke.emulator.day import SECOND, Callers, Day, Machines, Shared, Work, drawn, later

WORKS = (
    Work("box-view", 0.57, 280_000, 0.6, 1_700_000, 4_100_000, 1.0, 0.1, True, 0.3),
    Work("schedule-set", 0.30, 385_000, 0.6, 2_300_000, 5_700_000, 2.0, 0.1),
    Work("drop-status", 0.13, 165_000, 0.6, 1_000_000, 2_500_000, 3.0, 0.1, True, 0.5),
)
LEAD = 14 * SECOND  # before the first request, so that the servers' coordination has settled
KINDS = ("calm", "shrink", "burst", "subject")


def grown(kind: str, seed: int, servers: int = 48, length: int = 20 * SECOND) -> Day:
    """Return a day of one of `KINDS`, loaded to a share of the cores' capacity.

    `calm`: 0.7. `shrink`: 0.85, and a quarter of the servers leave after 5 s. `burst`: 0.75, with
    1.9 times the rate for 5 s and a dependency that takes four times as long for 6 s. `subject`:
    0.8, each caller prefers one server, and a few callers send far more than the rest. Raises
    `KeyError` for an unknown kind.
    """
    s = SECOND
    callers = Callers(2, True, 0.65, 50_000, count=4 * servers, skew=0.6)
    shared = Shared(10**6, 60_000, survives=max(2, int(0.28 * servers)))
    machines = Machines(
        servers=servers,
        cores=2,
        links=60,
        handshake=36_000,
        slow=0.67,
        reading=15_000,
        told=int(1.3 * servers),
    )
    load, burst = {"calm": 0.7, "shrink": 0.85, "burst": 0.75, "subject": 0.8}[kind], None
    if kind == "shrink":
        machines = machines._replace(leave=((5 * s, 0.25),))
    elif kind == "burst":
        shared, burst = shared._replace(slower=(8 * s, 14 * s, 4.0)), (5 * s, 10 * s, 1.9)
    elif kind == "subject":
        callers = callers._replace(by_subject=True, count=20 * servers, skew=0.8)
    return later(drawn(WORKS, machines, load, length, seed, callers, shared, burst=burst), LEAD)
