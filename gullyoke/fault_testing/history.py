"""Checks the history of a resource that the holder of a singleton task writes to.

Each epoch belongs to one process, and no act is accepted after one of a newer epoch. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable

from gullyoke.fault_testing.standins import Act


def faults(acts: Iterable[Act]) -> list[str]:
    """Return the violations in a history, in the order of its acts."""
    found: list[str] = []
    newest: dict[str, int] = {}
    whose: dict[tuple[str, int], str] = {}
    for act in sorted(acts, key=lambda act: act.at):
        if not act.taken:
            continue
        if act.epoch < newest.get(act.duty, 0):
            found.append(
                f"{act.duty}: an act of epoch {act.epoch} taken after one of {newest[act.duty]}"
            )
        newest[act.duty] = max(newest.get(act.duty, 0), act.epoch)
        if whose.setdefault((act.duty, act.epoch), act.life) != act.life:
            found.append(f"{act.duty}: two processes acted under epoch {act.epoch}")
    return found


def gaps(acts: Iterable[Act], duty: str) -> list[float]:
    """Return the seconds from the last accepted act of each epoch to the first of the next."""
    out, last = [], None
    for act in sorted(acts, key=lambda act: act.at):
        if act.duty == duty and act.taken:
            if last is not None and act.epoch != last.epoch:
                out.append(act.at - last.at)
            last = act
    return out


def held_share(acts: Iterable[Act], duty: str, begin: float, end: float, every: float) -> float:
    """Return the share of a period in which the last act was no older than three times `every`."""
    times = sorted(
        act.at for act in acts if act.duty == duty and act.taken and begin <= act.at <= end
    )
    lost = sum(
        max(0.0, b - a - 3 * every) for a, b in zip([begin, *times], [*times, end], strict=True)
    )
    return 1 - lost / max(1e-9, end - begin)
