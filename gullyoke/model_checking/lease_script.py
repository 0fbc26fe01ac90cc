"""Turns moves of the exploration of leases into a script for real processes.

The script (`gullyoke fleet play`) has the same stalls, restarts, lost folders and failing disks. A
single move of the exploration takes real processes some time, so the script reproduces the order of
events only approximately.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final

from gullyoke.model_checking.explore import Move
from gullyoke.model_checking.lease_world import Event

LEASE_S: Final = 1.5
TICK_S: Final = LEASE_S / 3  # a lease lasts three ticks in the exploration
FAULT_INTERVAL_S: Final = 1.0  # after each fault of a move that has several
MOVE_INTERVAL_S: Final = 0.1  # after the fault of a move that has one
FIRST_HOLDER_S: Final = 4.0  # when the lease must have a holder; then comes the first fault
LAST_HOLDER_S: Final = 12.0  # how long after the last fault it must have one again
ARRIVAL_MARGIN_S: Final = 0.1  # added to the ticks by which an act is late
HOLDER: Final = "holder"  # the present holder in a script; either candidate of the exploration
MEMBERS: Final = {"v0": "m0", "v1": "m1", "v2": "m2", "a": HOLDER, "b": HOLDER}


def script(way: Iterable[Move], seed: int = 1) -> str:
    """Return the text of a script with the faults of these moves."""
    lines = [
        f"members 5 zones 5 seed {seed} load 4 voters 3 lease_ms {LEASE_S * 1000:g}",
        "at 0 heal",
        f"by {FIRST_HOLDER_S:g} held",
    ]
    moves = [tuple(map(str, move)) for move in way]
    at_s = FIRST_HOLDER_S
    for i, (event, *arguments) in enumerate(moves):
        if event == Event.TICK:
            at_s += TICK_S
            continue
        member = MEMBERS.get(arguments[0], "") if arguments else ""
        faults = _faults(event, member, moves[i + 1 :])
        for fault in faults:
            lines.append(f"at {at_s:g} {fault}")
            at_s += FAULT_INTERVAL_S if len(faults) > 1 else MOVE_INTERVAL_S
    at_s = max(at_s, FIRST_HOLDER_S + FAULT_INTERVAL_S)
    end_s = at_s + LAST_HOLDER_S
    lines += [f"at {at_s:g} start m0..m4", f"by {end_s:g} held", f"end {end_s + 1:g}"]
    return "\n".join(lines) + "\n"


def _faults(event: str, member: str, later: Sequence[Move]) -> list[str]:
    """Return the faults of a move; none for events that real processes cause by themselves."""
    match event:
        case Event.ACT_BEGINS:
            return _late_act(later)
        case Event.RESTART if member == HOLDER:
            return ["holder kill", "start m0..m4"]
        case Event.RESTART:
            return [f"kill {member}", f"start {member}"]
        case Event.WIPE:
            return [f"disk {member} lost", f"kill {member}", f"start {member}"]
        case Event.REQUEST_BAD_DISK:
            return ["disk m2 ill", "holder kill", "start m0..m4", "disk m2 well"]
        case Event.REQUEST_LATE_REPLY | Event.RENEW_LATE_REPLY:
            return ["delay 200 400", "heal"]
        case Event.RELEASE:
            return ["hand-over"]
    return []


def _late_act(later: Sequence[Move]) -> list[str]:
    """Return the fault that delays an act by the ticks until it arrives in the exploration."""
    arrives = next((i for i, move in enumerate(later) if move[0] == Event.ACT_ARRIVES), len(later))
    ticks = sum(move[0] == Event.TICK for move in later[:arrives])
    return [f"late x {ticks * TICK_S + ARRIVAL_MARGIN_S:g}"] if ticks else []
