"""The way to a wrong state of the walk of duties as a script for the rig.

The same stalls, restarts, lost folders and failing disks, on real processes. What a walk does in
one move takes a process a while, so a script is the nearest that the rig can do, not the same order
of events to the letter.
"""

from __future__ import annotations

from collections.abc import Iterable

from gullyoke.model_checking.explore import Move

LEASE = 1.5  # seconds of a lease in the play
TICK = LEASE / 3  # a walk's lease is three ticks
SETTLE = 1.0  # seconds after a fault before the next
FIRST = 4.0  # for somebody to hold it before the first fault
RETURN = 12.0  # for somebody to hold it after the last
MEMBERS = {"v0": "m0", "v1": "m1", "v2": "m2", "a": "holder", "b": "holder"}


def script(way: Iterable[Move], seed: int = 1) -> str:
    """Lines for `gullyoke fleet play`.

    Whoever holds the duty stands for the walk's candidates.
    """
    lines = [
        f"members 5 zones 5 seed {seed} load 4 voters 3 lease_ms {LEASE * 1000:g}",
        "at 0 heal",
        f"by {FIRST:g} held",
    ]
    moves, at = [tuple(map(str, move)) for move in way], FIRST
    for i, (what, *words) in enumerate(moves):
        member = MEMBERS.get(words[0], "") if words else ""
        if what == "time":
            at += TICK
            continue
        faults = told(what, member, moves[i + 1 :])
        for fault in faults:
            lines.append(f"at {at:g} {fault}")
            at += SETTLE if len(faults) > 1 else 0.1
    at = max(at, FIRST + SETTLE)
    end = at + RETURN
    lines += [f"at {at:g} start m0..m4", f"by {end:g} held", f"end {end + 1:g}"]
    return "\n".join(lines) + "\n"


def told(what: str, member: str, later: list[Move]) -> list[str]:
    """The faults that a move stands for; none for what processes do by themselves."""
    if what == "act-begin":  # an act that is on its way until the walk lets it come
        until = next((i for i, move in enumerate(later) if move[0] == "act"), len(later))
        wait = sum(move[0] == "time" for move in later[:until])
        return [f"late x {wait * TICK + 0.1:g}"] if wait else []
    if what == "restart" and member == "holder":
        return ["holder kill", "start m0..m4"]
    if what == "restart":
        return [f"kill {member}", f"start {member}"]
    if what == "wipe":
        return [f"disk {member} lost", f"kill {member}", f"start {member}"]
    if what == "try-ill":
        return ["disk m2 ill", "holder kill", "start m0..m4", "disk m2 well"]
    if what in ("try-late", "renew-late"):
        return ["delay 200 400", "heal"]
    return ["hand-over"] if what == "leave" else []
