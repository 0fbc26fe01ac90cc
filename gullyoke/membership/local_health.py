"""How far a member trusts itself.

Its own pauses, its own deafness, and how much of the fleet it sees.

From Lifeguard (Dadgar et al. 2018): whose own askings fail is likely the one at fault. Here it says
so and accuses nobody, instead of waiting longer.
"""

from __future__ import annotations

from collections.abc import Iterable
from statistics import median

from gullyoke.membership.member_record import SuspicionKind
from gullyoke.membership.messages import LOST_SCALE
from gullyoke.membership.monitor_edge import MonitorEdge

PAUSE = 700_000  # microseconds without a turn that are a pause
CALM = 1_000_000  # after one, nobody is accused for so long
FAILING = 500_000  # an asking that is so old has failed
WINDOW = 1_500_000  # what others say of the whole counts for so long
SEEN = 0.6  # of the fleet: less than this removes nobody for silence
HEARD = 64  # so many of them at the most


class LocalHealth:
    """Table: `said`, what others lately said of the share lost, one a sender; gone after WINDOW."""

    def __init__(self, now: int) -> None:
        self.turn, self.woke, self.heard = now, now - CALM, 0
        self.said: dict[int, tuple[int, int, bool]] = {}
        self.failing, self.lost, self.deaf = 0.0, 0.0, False

    def paused(self, now: int) -> bool:
        """At each turn: whether this one comes after a pause, seen from the own clock alone."""
        gap, self.turn = now - self.turn, now
        if gap > PAUSE:
            self.woke = now
            self.said.clear()
            return True
        return False

    def hear(self, now: int, member: int, lost: int, equal: bool) -> None:
        """Heard from another: what it says of the share lost, and whether its view is the same."""
        self.heard = now
        self.said[member] = now, lost, equal
        if len(self.said) > HEARD:
            del self.said[next(iter(self.said))]

    def weigh(self, now: int, edges: Iterable[MonitorEdge]) -> None:
        """The share of one's own askings that fail, and the share of the fleet lost as all around
        see it: one's own share averaged with theirs, who have averaged it with others' before.
        """
        edges = list(edges)
        verdicts = [e.verdict(now) for e in edges]
        # A refusal is an answer of the machine there: neither one's own fault nor unseen.
        failing = sum(
            v is not SuspicionKind.REFUSED and e.first is not None and now - e.first > FAILING
            for e, v in zip(edges, verdicts, strict=True)
        )
        silent = sum(v is SuspicionKind.SILENT for v in verdicts)
        self.failing = failing / len(edges) if edges else 0.0
        mine = silent / (len(edges) + 1)  # one sees oneself
        for member in [m for m, (at, *_) in self.said.items() if at < now - WINDOW]:
            del self.said[member]
        # The median, so that a few who hear nobody and take all for lost have no weight.
        self.lost = 0.3 * mine + 0.7 * median(
            [mine, *(lost / LOST_SCALE for _, lost, _ in self.said.values())]
        )
        self.deaf = bool(edges) and failing == len(edges) and now - self.heard > FAILING

    def unsure(self, now: int) -> bool:
        """Whether to accuse nobody: just woken, or more than half of one's own askings fail."""
        return now - self.woke < CALM or self.failing > 0.5

    def equal(self) -> float:
        """The share of those lately heard whose view was the same."""
        return sum(same for *_, same in self.said.values()) / len(self.said) if self.said else 0.0

    def word(self) -> int:
        """The share lost, as messages carry it."""
        return min(LOST_SCALE, round(self.lost * LOST_SCALE))

    def sees_most(self, several: int, removed: int, members: int) -> bool:
        """Whether SEEN of the fleet is seen, by the averaged share and by who is accused.

        Each alone comes late somewhere. Those `removed` lately count as lost with the rest: guards
        against a half that removes the other one by one, each removal making the rest look like
        most.
        """
        return self.lost <= 1 - SEEN and several + removed <= (1 - SEEN) * (members + removed)
