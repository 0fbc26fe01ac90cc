"""One observer's side of a pair: when the subject is asked, and what its silence comes to.

Asked every `PERIOD`, calmly; from the first asking that gets no answer on, more often and by others
too, so that loss is told from silence. Time counts from that first asking, never from the last
answer: who was paused just after an answer has the whole span.
"""

from __future__ import annotations

from gullyoke.membership.member_record import SuspicionKind

PERIOD = 800_000  # microseconds between askings while all is well
PATIENCE = 200_000  # for an answer, or four usual round trips if more
DOUBT = 250_000  # between askings while there is none
SILENT = 1_500_000  # so long without any answer makes it silent
TRIES = 4  # of so many askings at the least
REFUSALS, REFUSED = 2, 150_000  # so many refusals over so long make it refused
LONG = 10_000_000  # silent for so long it is asked at the calm pace again
MOST = 16  # askings that are remembered


class MonitorEdge:
    """Table: `asked`, askings without an answer and when they went out.

    Emptied by any answer, and the oldest goes when there are MOST.
    """

    __slots__ = (
        "asked",
        "direct",
        "first",
        "id",
        "last",
        "next",
        "refusals",
        "refused_at",
        "round_trip_us",
        "tries",
    )

    def __init__(self, member: int, first_at: int) -> None:
        self.id, self.next, self.last = member, first_at, 0
        self.asked: dict[int, int] = {}
        self.first: int | None = None  # the first asking since the last answer
        self.direct = first_at  # when it last answered by itself, not by others
        self.tries = self.refusals = self.refused_at = self.round_trip_us = 0

    def due(self, now: int) -> bool:
        return now >= self.next

    def ask(self, now: int, seq: int) -> None:
        """It is asked now."""
        self.asked[seq] = self.last = now
        if len(self.asked) > MOST:
            del self.asked[next(iter(self.asked))]
        self.tries += 1
        if self.first is None:
            self.first = now
        long = now - self.first > LONG
        self.next = now + (PERIOD if self.tries == 1 or long else DOUBT)

    def look(self, now: int) -> bool:
        """Whether it is in doubt, an answer being overdue; it is asked again soon then."""
        if self.first is None or now - self.first <= max(PATIENCE, 4 * self.round_trip_us):
            return False
        if now - self.first <= LONG:
            self.next = min(self.next, max(now, self.last + DOUBT))
        return True

    def answer(self, now: int, seq: int, direct: bool = True) -> None:
        """Any answer shows that it is there now, a late one too."""
        if direct:
            self.direct = now
        if (sent := self.asked.get(seq)) is not None:
            took = now - sent
            self.round_trip_us = (
                took
                if not self.round_trip_us
                else self.round_trip_us + (took - self.round_trip_us) // 8
            )
        self.well(max(now, self.last + PERIOD))

    def anew(self, now: int) -> None:
        """What went before says nothing: it is asked now."""
        self.direct = now
        self.well(now)

    def well(self, following: int) -> None:
        """Nothing stands against it, and it is asked next at `following`."""
        self.asked.clear()
        self.first = None
        self.tries = self.refusals = 0
        self.next = following

    def refuse(self, now: int) -> None:
        """Its machine said that nobody listens there, or another answered under that address."""
        if not self.refusals:
            self.refused_at = now
        self.refusals += 1

    def apart(self, now: int) -> bool:
        """Whether it answers others and not this one."""
        return now - self.direct > PERIOD + SILENT

    def verdict(self, now: int) -> SuspicionKind | None:
        if self.refusals >= REFUSALS and now - self.refused_at >= REFUSED:
            return SuspicionKind.REFUSED
        if self.first is not None and now - self.first >= SILENT and self.tries >= TRIES:
            return SuspicionKind.SILENT
        return None
