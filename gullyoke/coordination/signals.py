"""What servers tell each other of how they stand, and what each makes of it.

Is it slow, or is the fleet full?

A reading is four figures in a few steps each, carried on the membership's messages; a few per
sender and second reach each server from those it observes and those who observe it, a sample of the
fleet drawn by hashes. All that is made of them are medians over that sample, one word a sender,
young ones only: one that lies or is stuck moves a median by one place at the most. The learned
threshold and the cap go on deciding what is let in; this states facts and shapes advice, nothing
else.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from statistics import median
from typing import NamedTuple

from gullyoke.admission.load_snapshot import LoadSnapshot

STEPS = 15  # a share is told in so many steps
YOUNG = 3_000_000  # microseconds for which a reading counts
MOST, LEAST = 64, 5  # senders that are kept; fewer young ones say nothing
FULL, SHEDS = 0.1, 0.25  # room and share shed from which a peer counts as full
SLOW, WELL = 2.0, 1.3  # times the peers' pace: slow alone from the one, well under the other
LASTS = 3_000_000  # a state is left or entered after so long
BACK = 0.1  # of the peers may have taken themselves back before one more does not
FULLS = 0.3  # of the peers full, from which no further try is worth its cost
SPREAD = 0.5  # advice is drawn so far around its length, as a share of it


class Stage(IntEnum):
    COLD = 0
    WARM = 1
    DRAINING = 2
    BACK = 3  # it has taken itself back, being slow alone


class Reading(NamedTuple):
    """`room`: the share of what it could run that is free; `shed`: of late; `pace`.

    Its usual time for a run over that which the handler's target lets expect, 1 where it is as
    planned; `stage`.
    """

    room: float
    shed: float
    pace: float
    stage: Stage

    @classmethod
    def of(cls, load: LoadSnapshot, stage: Stage) -> Reading:
        """Return the reading of a server that is loaded so."""
        return cls(load.free_share, load.rejected_share, load.pace, stage)

    def pack(self) -> int:
        """14 bits. Pace is told in steps of a fifth, up to 3."""
        return (
            step(self.room)
            | step(self.shed) << 4
            | min(STEPS, max(0, round(self.pace * 5))) << 8
            | self.stage << 12
        )


def step(share: float) -> int:
    return min(STEPS, max(0, round(share * STEPS)))


def unpack(word: int) -> Reading:
    """Of any number: what is out of bounds can't be told in so few bits."""
    return Reading(
        (word & 15) / STEPS, (word >> 4 & 15) / STEPS, (word >> 8 & 15) / 5, Stage(word >> 12 & 3)
    )


class Telling:
    """One's own reading as it is sent.

    Smoothed, and a step changes only when the figure is well past it, so that a figure at the edge
    of two steps does not flicker.
    """

    def __init__(self, weight: float = 0.25) -> None:
        self.weight, self.smooth, self.sent = weight, None, 0

    def word(self, reading: Reading) -> int:
        old = self.smooth
        if old is None:
            self.smooth, self.sent = reading, reading.pack()
            return self.sent
        mixed = [a + (b - a) * self.weight for a, b in zip(old[:3], reading[:3], strict=True)]
        self.smooth = Reading(*mixed, reading.stage)
        told = unpack(self.sent)
        kept = [
            new if abs(new - was) > 0.9 * size else was
            for new, was, size in zip(mixed, told[:3], (1 / STEPS, 1 / STEPS, 0.2), strict=True)
        ]
        self.sent = Reading(*kept, reading.stage).pack()
        return self.sent


class Heard:
    """What others last told.

    Table: `rows`, one a sender, at most MOST; one leaves when it is old.
    """

    def __init__(self) -> None:
        self.rows: dict[int, tuple[int, int, Reading]] = {}

    def hear(self, now: int, sender: int, count: int, word: int) -> None:
        """`count` grows with each word of a sender.

        What comes late does not take a newer one's place.
        """
        old = self.rows.get(sender)
        if old is not None and old[1] >= count:
            return
        self.rows.pop(sender, None)
        self.rows[sender] = now, count, unpack(word)
        if len(self.rows) > MOST:
            del self.rows[next(iter(self.rows))]

    def paused(self) -> None:
        """After a pause of one's own nothing that was told before it counts."""
        self.rows.clear()

    def young(self, now: int) -> list[Reading]:
        for sender in [s for s, (at, *_) in self.rows.items() if now - at > YOUNG]:
            del self.rows[sender]
        return [reading for *_, reading in self.rows.values()]


class Outlook(NamedTuple):
    """What is made of the peers' readings.

    None where too few are young, and then all is as without them.
    """

    room: float  # the median peer's
    shed: float
    pace: float
    full: float  # the share of peers that are full
    back: float  # and that have taken themselves back


def outlook(readings: list[Reading]) -> Outlook | None:
    """Of those in service: who is cold or drains says little of the fleet."""
    warm = [r for r in readings if r.stage in (Stage.WARM, Stage.BACK)]
    if len(warm) < LEAST:
        return None
    full = sum(r.room <= FULL or r.shed >= SHEDS for r in warm) / len(warm)
    back = sum(r.stage is Stage.BACK for r in warm) / len(warm)
    return Outlook(
        median(r.room for r in warm),
        median(r.shed for r in warm),
        median(r.pace for r in warm),
        full,
        back,
    )


class Judgement:
    """One server's answers to 'slow or full?'.

    The part of the port that the decisions ask (`FleetFeedback`). `draw` gives a number from 0 to 1.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        self.draw, self.back, self.since, self.room = draw, False, None, 0.0
        self.seen: Outlook | None = None

    def weigh(self, now: int, own: Reading, readings: list[Reading]) -> None:
        """Take the peers in, and see whether this one alone is slow.

        It comes back when it is well again or the others are as slow; both have to last.
        """
        self.room, seen = own.room, outlook(readings)
        self.seen = seen
        if seen is None:
            self.back, self.since = False, None  # on its own word alone nobody takes itself back
            return
        ratio = own.pace / max(seen.pace, 0.2)
        other = ratio >= SLOW and seen.back < BACK if not self.back else ratio <= WELL
        if not other:
            self.since = None
        elif self.since is None:
            self.since = now
        elif now - self.since >= LASTS:
            self.back, self.since = not self.back, None

    def full(self, alone: bool) -> bool:
        """Whether a shed should not be tried at another server.

        Where this one says so by itself, or where a third of the peers are full. (That others have
        room does not unsay it: half of them full as the only measure cost 0.010 of the value in a
        burst, docs/together-design.md.)
        """
        return alone or (self.seen is not None and self.seen.full >= FULLS)

    def stay(self, wait: int) -> int:
        """How long a caller should stay away.

        Longer where the others have more room than this one, and drawn around that, so that those
        who heed it do not come back together.
        """
        if self.seen is None:
            return wait
        wait = int(wait * (1 + max(0.0, min(1.0, self.seen.room - self.room))))
        return max(1, int(wait * (1 - SPREAD + 2 * SPREAD * self.draw())))
