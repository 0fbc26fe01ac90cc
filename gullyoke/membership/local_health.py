"""How far a member trusts its own observations.

It watches for pauses of its own process, for probes of its own that fail, and for how much of the
fleet is lost. The idea is from Lifeguard (Dadgar et al. 2018): a member whose own probes fail is
likely to be the one at fault. Unlike there, it does not wait longer before it suspects others, but
reports that it is unsure and accuses nobody.
"""

from __future__ import annotations

from collections.abc import Iterable
from statistics import median
from typing import Final, NamedTuple

from gullyoke.membership.member_record import SuspicionKind
from gullyoke.membership.messages import LOST_SCALE
from gullyoke.membership.monitor_edge import MonitorEdge

PAUSE_US: Final = 700_000  # so long between two ticks is a pause of the process
CALM_AFTER_PAUSE_US: Final = 1_000_000  # nobody is accused for so long after one
PROBE_FAILED_AFTER_US: Final = 500_000  # a probe unanswered for so long has failed
PEER_REPORT_KEPT_US: Final = 1_500_000  # a peer's share of lost members counts for so long
MAX_PEER_REPORTS: Final = 64
REQUIRED_SEEN_SHARE: Final = 0.6  # of the fleet, to remove a member for its silence
MAX_FAILING_SHARE: Final = 0.5  # of its own probes; beyond it a member is unsure
OWN_WEIGHT: Final = 0.3  # of the own share of lost members in the averaged one
PEERS_WEIGHT: Final = 0.7  # of the peers' median in it


class PeerReport(NamedTuple):
    """What a peer last said of the fleet.

    Attributes:
        at_us: When it was received, in microseconds.
        lost: The share of the fleet that it takes for lost, in 255ths.
        same_view: Whether its view was the same as this member's.
    """

    at_us: int
    lost: int
    same_view: bool


class LocalHealth:
    """The health of one member as it sees it itself.

    All times are in microseconds of the caller's clock.

    Attributes:
        ticked_at: The last tick.
        woke_at: The end of the last pause of the process; at first, long enough before the start.
        received_at: When a message of another member was last received.
        peer_reports: The last report of each peer, the oldest sender dropped first.
        failing: The share of its own probes that fail, from 0 to 1.
        lost: The share of the fleet taken for lost, from 0 to 1, averaged with the peers'.
        deaf: Whether all its probes fail and no message comes.
    """

    def __init__(self, now: int) -> None:
        self.ticked_at = now
        self.woke_at = now - CALM_AFTER_PAUSE_US
        self.received_at = 0
        self.peer_reports: dict[int, PeerReport] = {}
        self.failing = 0.0
        self.lost = 0.0
        self.deaf = False

    def paused(self, now: int) -> bool:
        """Record a tick; return whether the process was paused since the last one."""
        gap = now - self.ticked_at
        self.ticked_at = now
        if gap <= PAUSE_US:
            return False
        self.woke_at = now
        self.peer_reports.clear()
        return True

    def peer_reported(self, now: int, peer: int, lost: int, same_view: bool) -> None:
        """Record what a peer's message says of the fleet; see `PeerReport`."""
        self.received_at = now
        self.peer_reports[peer] = PeerReport(now, lost, same_view)
        if len(self.peer_reports) > MAX_PEER_REPORTS:
            del self.peer_reports[next(iter(self.peer_reports))]

    def update(self, now: int, edges: Iterable[MonitorEdge]) -> None:
        """Compute `failing`, `lost` and `deaf` from the edges to this member's subjects.

        The share of lost members is averaged with the peers', who have averaged theirs with others'
        before, so that all members come to about the same one.
        """
        edges = list(edges)
        verdicts = [edge.verdict(now) for edge in edges]
        # A refusal is an answer of the host there: neither this member's fault nor a lost member.
        failing = sum(
            verdict is not SuspicionKind.REFUSED
            and edge.unanswered_since is not None
            and now - edge.unanswered_since > PROBE_FAILED_AFTER_US
            for edge, verdict in zip(edges, verdicts, strict=True)
        )
        silent = sum(verdict is SuspicionKind.SILENT for verdict in verdicts)
        self.failing = failing / len(edges) if edges else 0.0
        self._forget_old_reports(now)
        self.lost = self._averaged_lost(own_lost=silent / (len(edges) + 1))  # it sees itself
        unheard = now - self.received_at > PROBE_FAILED_AFTER_US
        self.deaf = bool(edges) and failing == len(edges) and unheard

    def unsure(self, now: int) -> bool:
        """Return whether to accuse nobody: just resumed, or more than half of its probes fail."""
        return now - self.woke_at < CALM_AFTER_PAUSE_US or self.failing > MAX_FAILING_SHARE

    def same_view_share(self) -> float:
        """Return the share of recent peers whose view was the same, from 0 to 1."""
        if not self.peer_reports:
            return 0.0
        same = sum(report.same_view for report in self.peer_reports.values())
        return same / len(self.peer_reports)

    def scaled_lost(self) -> int:
        """Return the share of lost members in 255ths, as messages carry it."""
        return min(LOST_SCALE, round(self.lost * LOST_SCALE))

    def sees_most(self, multiply_suspected: int, removed: int, members: int) -> bool:
        """Return whether enough of the fleet is seen to remove a member for its silence.

        Both the averaged share of lost members and the number of suspected ones have to be low, as
        each comes late somewhere. Recent removals count as lost: otherwise one half of a partition
        could remove the other one by one, each removal making the rest look like most.

        Args:
            multiply_suspected: Members that two or more observers suspect.
            removed: Members removed recently.
            members: Members that are observed at present.
        """
        max_lost = 1 - REQUIRED_SEEN_SHARE
        return self.lost <= max_lost and multiply_suspected + removed <= max_lost * (
            members + removed
        )

    def _forget_old_reports(self, now: int) -> None:
        oldest = now - PEER_REPORT_KEPT_US
        for peer in [peer for peer, report in self.peer_reports.items() if report.at_us < oldest]:
            del self.peer_reports[peer]

    def _averaged_lost(self, own_lost: float) -> float:
        # The median, so that a few members which receive nothing and take all for lost don't count.
        shares = [own_lost, *(report.lost / LOST_SCALE for report in self.peer_reports.values())]
        return OWN_WEIGHT * own_lost + PEERS_WEIGHT * median(shares)
