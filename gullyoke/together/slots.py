"""One server's slots of what all servers share below: the part of the port that the decisions ask (`Slots`).

A call takes a slot from when it goes out until it is over, and one that was lost until its linger is over as
well: the dependency may have it in hand so long. A call never goes out for longer than its slot is surely
this server's, so that what a home lends again is free by then. What is wanted is told from the most that were
out and waiting of late."""
from __future__ import annotations

from collections import deque

from gullyoke.together.shares import RENEW
from gullyoke.together.sharing import Letter, Message, Sharing

LEAST = 100_000                        # microseconds: for less than that no call goes out
AHEAD = 8                              # one slot more is wanted for so many in use, so that growth finds some
SPAN = 2 * RENEW                       # what was wanted counts for so long, and half as long again


class Peak:
    """The most of a figure within the last SPAN or two."""

    def __init__(self) -> None:
        self.lately = self.before = self.since = 0

    def note(self, now: int, figure: int) -> None:
        self._turn(now)
        self.lately = max(self.lately, figure)

    def most(self, now: int) -> int:
        self._turn(now)
        return max(self.lately, self.before)

    def _turn(self, now: int) -> None:
        if now - self.since >= SPAN:
            self.before = self.lately if now - self.since < 2 * SPAN else 0
            self.lately, self.since = 0, now


class Own:
    """`sharing` is this process's part; `linger`, microseconds for which a lost call may stay below. Table:
    `lingers`, when each lost call is over at the latest; it leaves then."""

    def __init__(self, now: int, sharing: Sharing, linger: int) -> None:
        self.sharing, self.linger, self.out = sharing, linger, 0
        # What the process before this one had out may linger as long: nothing goes out until then.
        self.begins = now + linger
        self.lingers: deque[int] = deque()
        self.peak = Peak()
        self.refused = 0                              # how often none was free

    def used(self, now: int) -> int:
        while self.lingers and self.lingers[0] <= now:
            self.lingers.popleft()
        return self.out + len(self.lingers)

    # What the decisions ask.

    def free(self, now: int, waiting: int) -> bool:
        used = self.used(now)
        self.peak.note(now, used + waiting + 1)
        free = now >= self.begins and self.sharing.borrower.sure(now, used + 1) - self.linger > now + LEAST
        self.refused += not free
        return free

    def until(self, now: int) -> float:
        return self.sharing.borrower.sure(now, self.used(now) + 1)

    def pace(self, now: int) -> float:
        return max(0.25, float(self.sharing.in_force(now)))

    def began(self) -> None:
        self.out += 1

    def ended(self, now: int, lost: bool) -> None:
        self.out -= 1
        if lost and self.linger:
            self.lingers.append(now + self.linger)

    # What its messages need.

    def turn(self, now: int) -> list[Letter]:
        most = self.peak.most(now)
        self.sharing.need, self.sharing.used = most + -(-most // AHEAD), self.used(now)
        return self.sharing.turn(now)

    def hear(self, now: int, message: Message) -> Letter | None:
        self.sharing.used = self.used(now)
        return self.sharing.hear(now, message)
