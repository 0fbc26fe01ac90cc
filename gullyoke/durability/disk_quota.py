"""Who may have how much of a disk, and what goes first when it grows full.

Each kind of what is kept has its bytes. Near full nothing is lost yet: what is dead is compacted
away. When that does not do, what is worth least goes first: what a server remembers of usual times,
then the fleet's record, then the results of ended reqs (a repeat is then answered errored, as
unknown, never run again), and notes whose window is over. Notes that are in force and promises are
never given up for room; promises have theirs from the start (gullyoke/storage/slot_file.py).
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from gullyoke.durability.disk_health import State


class Kind(IntEnum):
    """What is kept, by worth: the least first."""

    MEMORY = 0
    RECORD = 1
    RESULTS = 2
    NOTES = 3
    PROMISES = 4


# The share of the quota that each kind may have; promises stand beside it, in cells of their own.
SHARES = {Kind.MEMORY: 0.05, Kind.RECORD: 0.15, Kind.RESULTS: 0.5, Kind.NOTES: 0.3}
GIVEN = (Kind.MEMORY, Kind.RECORD, Kind.RESULTS)  # what may be given up, the least worth first
STEP = 0.02  # of the quota, each second that the disk is near full
STILL = {
    State.WELL: Kind.MEMORY,
    State.NEAR_FULL: Kind.RESULTS,
    State.FULL: Kind.PROMISES,
    State.FAILING: Kind.PROMISES,
    State.STALLED: Kind.PROMISES,
    State.READ_ONLY: Kind.PROMISES,
    State.GONE: Kind.PROMISES,
}  # the least kind that is still written in a state


class Goes(NamedTuple):
    """So many bytes of a kind are to go."""

    kind: Kind
    bytes: int


class Rooms:
    """Bytes by kind, as whoever keeps them says (`used`).

    `quota` is what all but promises may take.
    """

    def __init__(self, quota: int) -> None:
        self.quota = quota
        self.used = dict.fromkeys(SHARES, 0)

    def most(self, kind: Kind) -> int:
        return int(SHARES[kind] * self.quota)

    def writes(self, kind: Kind, state: State) -> bool:
        """Whether this kind is written at all while the disk is so."""
        return kind >= STILL[state]

    def left(self) -> float:
        """The share of the quota that is left."""
        return max(0.0, 1 - sum(self.used.values()) / max(1, self.quota))

    def over(self) -> list[Goes]:
        """What is to go because its kind has more than its share."""
        return [
            Goes(kind, size - self.most(kind))
            for kind, size in self.used.items()
            if kind in GIVEN and size > self.most(kind)
        ]

    def goes(self, state: State) -> list[Goes]:
        """What to give up now, the least worth first.

        Near full a STEP of the quota at a time, else what is over its share. Notes in force are not
        among it; where nothing can be written nothing can be taken out either.
        """
        if state is not State.NEAR_FULL:
            return self.over() if state is State.WELL else []
        out, need = [], max(1, int(STEP * self.quota))
        for kind in GIVEN:
            part = min(need, self.used[kind])
            if part > 0:
                out.append(Goes(kind, part))
                need -= part
        return out
