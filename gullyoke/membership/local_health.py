"""How far a member trusts its own observations.

The member detects pauses of its own process, measures how many of its own probes fail, and
estimates the share of the fleet that is lost. The idea is from Lifeguard (Dadgar et al. 2018): a
member whose own probes fail is probably itself at fault. Unlike in Lifeguard, such a member does
not lengthen its timeouts but reports that it is unsure, and its suspicions do not count.
"""

from __future__ import annotations

from collections.abc import Iterable
from statistics import median
from typing import Final, NamedTuple

from gullyoke.membership.member_record import SuspicionKind
from gullyoke.membership.messages import LOST_SCALE
from gullyoke.membership.monitor_edge import MonitorEdge

PAUSE_US: Final = 700_000  # a longer gap between two ticks is a pause of the process
CALM_AFTER_PAUSE_US: Final = 1_000_000  # the member is unsure for this time after a pause
PROBE_FAILED_AFTER_US: Final = 500_000  # a probe unanswered for longer has failed
PEER_REPORT_KEPT_US: Final = 1_500_000  # older reports of peers do not count
MAX_PEER_REPORTS: Final = 64
REQUIRED_SEEN_SHARE: Final = 0.6  # of the fleet, to remove a member for its silence
MAX_FAILING_SHARE: Final = 0.5  # of a member's own probes; above this share the member is unsure
OWN_WEIGHT: Final = 0.3  # weight of this member's own lost share in the average
PEERS_WEIGHT: Final = 0.7  # weight of the median of all shares, the own one included


class PeerReport(NamedTuple):
    """A peer's last report of the fleet's state.

    Attributes:
        at_us: When the report was received, in microseconds.
        lost: The share of the fleet that the peer considers lost, in 255ths.
        same_view: Whether the peer's view was the same as this member's.
    """

    at_us: int
    lost: int
    same_view: bool


class LocalHealth:
    """One member's assessment of its own health.

    All times are in microseconds of the caller's clock.

    Attributes:
        ticked_at: When the last tick was.
        resumed_at: When the last pause of the process ended; initially `CALM_AFTER_PAUSE_US` before
            the start, so that a new member is not unsure.
        received_at: When a message from another member was last received.
        peer_reports: The last report of each peer; the peer that was added first is dropped first.
        failing: The share of this member's probes that fail, from 0 to 1.
        lost: The share of the fleet that is considered lost, from 0 to 1, averaged with the peers'.
        receives_nothing: Whether all probes of this member fail and it receives no messages.
    """

    def __init__(self, now: int) -> None:
        self.ticked_at = now
        self.resumed_at = now - CALM_AFTER_PAUSE_US
        self.received_at = 0
        self.peer_reports: dict[int, PeerReport] = {}
        self.failing = 0.0
        self.lost = 0.0
        self.receives_nothing = False

    def record_tick(self, now: int) -> bool:
        """Record a tick; return whether the process was paused since the last one."""
        gap = now - self.ticked_at
        self.ticked_at = now
        if gap <= PAUSE_US:
            return False
        self.resumed_at = now
        self.peer_reports.clear()
        return True

    def peer_reported(self, now: int, peer: int, lost: int, same_view: bool) -> None:
        """Record the report in a peer's message; see `PeerReport`."""
        self.received_at = now
        self.peer_reports[peer] = PeerReport(now, lost, same_view)
        if len(self.peer_reports) > MAX_PEER_REPORTS:
            del self.peer_reports[next(iter(self.peer_reports))]

    def update(self, now: int, edges: Iterable[MonitorEdge]) -> None:
        """Compute `failing`, `lost` and `receives_nothing` from the edges to the subjects.

        The share of lost members is averaged with the shares that peers report, which are averages
        themselves, so that all members arrive at about the same share.
        """
        edges = list(edges)
        verdicts = [edge.verdict(now) for edge in edges]
        # A refusal is an answer from the subject's host: the probe is neither failing nor silent.
        failing = sum(
            verdict is not SuspicionKind.REFUSED
            and edge.unanswered_since is not None
            and now - edge.unanswered_since > PROBE_FAILED_AFTER_US
            for edge, verdict in zip(edges, verdicts, strict=True)
        )
        silent = sum(verdict is SuspicionKind.SILENT for verdict in verdicts)
        self.failing = failing / len(edges) if edges else 0.0
        self._forget_old_reports(now)
        self.lost = self._averaged_lost(own_lost=silent / (len(edges) + 1))  # 1 is this member
        nothing_received = now - self.received_at > PROBE_FAILED_AFTER_US
        self.receives_nothing = bool(edges) and failing == len(edges) and nothing_received

    def unsure(self, now: int) -> bool:
        """Return whether its suspicions do not count: after a pause, or if most probes fail."""
        return now - self.resumed_at < CALM_AFTER_PAUSE_US or self.failing > MAX_FAILING_SHARE

    def same_view_share(self) -> float:
        """Return the share of recent peers whose view was the same, from 0 to 1."""
        if not self.peer_reports:
            return 0.0
        same = sum(report.same_view for report in self.peer_reports.values())
        return same / len(self.peer_reports)

    def scaled_lost(self) -> int:
        """Return the share of lost members in 255ths, the unit in messages."""
        return min(LOST_SCALE, round(self.lost * LOST_SCALE))

    def sees_most(self, multiply_suspected: int, removed: int, members: int) -> bool:
        """Return whether enough of the fleet is reachable to remove a member for its silence.

        Both the averaged share of lost members and the number of suspected members have to be low,
        as either may rise late. Recent removals count as lost: otherwise one half of a partition
        could remove the other half one by one, as each removal makes the rest a larger share.

        Args:
            multiply_suspected: The number of members that two or more observers suspect.
            removed: The number of recently removed members.
            members: The number of members that are observed at present.
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
        # The median is robust against a few members that receive nothing and consider all lost.
        shares = [own_lost, *(report.lost / LOST_SCALE for report in self.peer_reports.values())]
        return OWN_WEIGHT * own_lost + PEERS_WEIGHT * median(shares)
