"""What many want of what there is, given out by weight: nobody gets more than it wants, and who wants more
than its part shares what the others leave (max-min fairness, Bertsekas and Gallager 1992)."""
from __future__ import annotations

from collections.abc import Hashable, Iterable, Mapping


def parts(total: int, wants: Mapping[Hashable, int],
          weights: Mapping[Hashable, float]) -> dict[Hashable, int]:
    """Whole parts of `total`, the same whatever order they are asked in. A weight that is not stated is 1."""
    given = dict.fromkeys(wants, 0)
    open_ = {who: want for who, want in wants.items() if want > 0}
    left = total
    while open_ and left > 0:
        whole = sum(weights.get(who, 1.0) for who in open_)
        met = [who for who, want in open_.items() if want <= left * weights.get(who, 1.0) / whole]
        if not met:
            break
        for who in met:
            given[who] = open_.pop(who)
        left = total - sum(given.values())
    if open_ and left > 0:
        whole = sum(weights.get(who, 1.0) for who in open_)
        exact = {who: left * weights.get(who, 1.0) / whole for who in open_}
        for who, part in exact.items():
            given[who] = int(part)
        # What rounding leaves goes to the largest remainders; ties by name, so that all come to the same.
        spare = left - sum(int(part) for part in exact.values())
        for who in sorted(exact, key=lambda who: (int(exact[who]) - exact[who], str(who)))[:spare]:
            given[who] += 1
    return given


def split(limit: int, largest: int, homes: Iterable[str], floor_share: float) -> tuple[int, dict[str, int]]:
    """A limit for the whole fleet as a floor that each of `largest` processes has by right, and what each of
    `homes` has to lend: all together the limit. Raises `ValueError` for what can't be."""
    if limit < 0 or largest < 1 or not 0 <= floor_share <= 1:
        raise ValueError(f"a limit of {limit} for {largest} with a floor of {floor_share}")
    floor, names = int(limit * floor_share / largest), sorted(homes)
    part, more = divmod(limit - floor * largest, max(1, len(names)))
    return floor, {name: part + (i < more) for i, name in enumerate(names)}
