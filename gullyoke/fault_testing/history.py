"""Whether a history of acts on a resource is one that duties of one may leave.

Each epoch one process's, epochs that only grow, nothing taken that is older than something taken
before. Pure.
"""

from __future__ import annotations

from collections.abc import Iterable

from gullyoke.fault_testing.standins import Act


def faults(acts: Iterable[Act]) -> list[str]:
    """What is wrong with a history, in the order of its acts; empty where nothing is."""
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
    """Seconds from the last act taken under one epoch to the first under the next."""
    out, last = [], None
    for act in sorted(acts, key=lambda act: act.at):
        if act.duty == duty and act.taken:
            if last is not None and act.epoch != last.epoch:
                out.append(act.at - last.at)
            last = act
    return out


def held_share(acts: Iterable[Act], duty: str, begin: float, end: float, every: float) -> float:
    """The share of a time in which the last act was no older than three times `every`."""
    times = sorted(
        act.at for act in acts if act.duty == duty and act.taken and begin <= act.at <= end
    )
    lost = sum(
        max(0.0, b - a - 3 * every) for a, b in zip([begin, *times], [*times, end], strict=True)
    )
    return 1 - lost / max(1e-9, end - begin)
