"""One server's part of what all servers share below.

What the decisions ask of it (the port's `Slots`).

Two kinds of limit. `Own`: so many calls in hand at every moment. A call takes a slot from when it
goes out until it is over, and one that was lost until its linger is over as well: the dependency
may have it in hand so long. `Mean`: so many in the mean of a span. What is lent then is a part of
that mean, in UNITs, and call time that was used counts for a whole span, so what is passed on is
free of it first.

A call never goes out for longer than what it stands on is surely this server's. What is wanted is
told from the most that were out and waiting of late.
"""

from __future__ import annotations

import math
from collections import deque

from gullyoke.coordination.quota_leases import RENEW, BorrowedQuota
from gullyoke.coordination.quota_participant import AddressedQuotaMessage, Message, QuotaParticipant

LEAST = 100_000  # microseconds: for less than that no call goes out
AHEAD = 8  # one slot more is wanted for so many in use, so that growth finds some
SPAN = 2 * RENEW  # what was wanted counts for so long, and half as long again
CALL = 600_000  # microseconds for which a mean must be sure, the linger beside
UNIT = 16  # tokens of a mean of one call in hand
USED = 0.95  # of a mean share, so much is used: the decisions' own margin


class RecentPeak:
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


class LimitPart:
    """What both kinds have in common: this process's part, what it wants, and its letters."""

    def __init__(self, participant: QuotaParticipant, linger: int) -> None:
        self.participant, self.linger, self.peak = participant, linger, RecentPeak()
        self.refused = 0  # how often none was free

    def used(self, now: int) -> int:
        """Tokens in use."""
        raise NotImplementedError

    def turn(self, now: int) -> list[AddressedQuotaMessage]:
        most = self.peak.most(now)
        self.participant.need, self.participant.used = most + -(-most // AHEAD), self.used(now)
        return self.participant.turn(now)

    def hear(self, now: int, message: Message) -> AddressedQuotaMessage | None:
        self.participant.used = self.used(now)
        return self.participant.hear(now, message)


class ConcurrencyPart(LimitPart):
    """Slots. Table: `lingers`, when each lost call is over at the latest; it leaves then."""

    def __init__(self, participant: QuotaParticipant, linger: int) -> None:
        super().__init__(participant, linger)
        self.out = 0
        self.lingers: deque[int] = deque()

    def used(self, now: int) -> int:
        while self.lingers and self.lingers[0] <= now:
            self.lingers.popleft()
        return self.out + len(self.lingers)

    def share(self, now: int, told: float | None, spent: float) -> float | None:
        return None  # what is out at every moment needs no mean beside

    def free(self, now: int, waiting: int) -> bool:
        used = self.used(now)
        self.peak.note(now, used + waiting + 1)
        free = self.participant.borrower.sure(now, used + 1) - self.linger > now + LEAST
        self.refused += not free
        return free

    def until(self, now: int) -> float:
        return self.participant.borrower.sure(now, self.used(now) + 1)

    def pace(self, now: int) -> float:
        return max(0.25, float(self.participant.in_force(now)))

    def began(self) -> None:
        self.out += 1

    def ended(self, now: int, lost: bool, well: bool) -> None:
        self.out -= 1
        if lost and self.linger:
            self.lingers.append(now + self.linger)


class MeanConcurrencyPart(LimitPart):
    """A part of the mean over `span`."""

    def __init__(self, participant: QuotaParticipant, linger: int, span: int) -> None:
        super().__init__(participant, linger)
        self.span, self.spent = span, 0.0

    def used(self, now: int) -> int:
        return math.ceil(self.spent * UNIT / (USED * self.span))

    def share(self, now: int, told: float | None, spent: float) -> float | None:
        """What is sure for a call's time; never nothing, so that a wait can be reckoned."""
        self.spent = spent
        self.peak.note(now, math.ceil(1.25 * self.used(now)) + 1)
        tokens = self.participant.borrower.right(now) + sum(held.tokens for held in self._sure(now))
        return max(0.01, tokens / UNIT)

    def _sure(self, now: int) -> list[BorrowedQuota]:
        """The loans that last for a call, and so are counted."""
        return [
            held
            for held in self.participant.borrower.held.values()
            if held.tokens and held.until > now + self.linger + CALL
        ]

    def free(self, now: int, waiting: int) -> bool:
        """The mean in force bounds it.

        Who waits wants twice what it has, and one call at the least.
        """
        if waiting:
            self.refused += 1
            self.peak.note(now, 2 * self.participant.in_force(now) + UNIT)
        return True

    def until(self, now: int) -> float:
        return min((held.until for held in self._sure(now)), default=math.inf)

    def pace(self, now: int) -> float:
        return max(0.25, self.participant.in_force(now) / UNIT)

    def began(self) -> None: ...

    def ended(self, now: int, lost: bool, well: bool) -> None: ...
