"""Load reports of the members of a fleet, and what each member concludes from them.

The question is whether this server is slow or the fleet is full. A report has four values in a few
steps each and travels on the messages of membership. A few a second reach each server from those it
observes and those that observe it, a sample of the fleet drawn by hashes. All conclusions are
medians over that sample, one report a sender, young ones only; a sender that lies or is stuck moves
a median by one place at the most. The decisions go on to admit by what they learned themselves; the
reports shape advice and health checks only.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from statistics import median
from typing import NamedTuple

from gullyoke.admission.load_snapshot import LoadSnapshot

SHARE_STEPS = 15  # a share is sent in so many steps
LATENCY_STEPS_PER_ONE = 5  # a latency ratio is sent in fifths
LATENCY_STEP = 0.2
REPORT_VALID_US = 3_000_000  # for which a report counts
MAX_SENDERS = 64  # of which reports are kept
LEAST_SENDERS = 5  # fewer valid reports allow no conclusion
FULL_FREE_CAPACITY = 0.1  # a peer with no more than this free counts as full
FULL_REJECTED_SHARE = 0.25  # and so does one that rejects this share of its requests
SLOW_RATIO = 2.0  # from this multiple of its peers' latency ratio a server alone is slow
RECOVERED_RATIO = 1.3  # and up to this it is well again
LEAST_LATENCY_RATIO = 0.2  # of the peers, for the comparison
STATE_DWELL_US = 3_000_000  # a server withdraws, or returns, after so long
MAX_WITHDRAWN_SHARE = 0.1  # of the peers may have withdrawn before one more does not
FULL_PEERS_SHARE = 0.3  # of the peers full, from which a retry elsewhere is not worth its cost
WAIT_SPREAD = 0.5  # a wait is drawn within this share of its length, to both sides
SMOOTHING_WEIGHT = 0.25  # of a new report
STEP_HYSTERESIS = 0.9  # of a step, by which a value must differ from the one sent


class ServingStage(IntEnum):
    """Whether a server is in service; the values travel on the wire."""

    COLD = 0
    WARM = 1
    DRAINING = 2
    WITHDRAWN = 3  # it fails its health checks, being slow alone


class LoadReport(NamedTuple):
    """The load of one server.

    Attributes:
        free_capacity: The free share of what it could run.
        rejected_share: The share of requests that it lately rejected.
        latency_ratio: Its usual run time over that which its latency objective lets expect.
        stage: Whether it is in service.
    """

    free_capacity: float
    rejected_share: float
    latency_ratio: float
    stage: ServingStage

    @classmethod
    def of(cls, load: LoadSnapshot, stage: ServingStage) -> LoadReport:
        """Return the report of a server that is loaded so."""
        return cls(load.free_share, load.rejected_share, load.run_time_ratio, stage)

    def pack(self) -> int:
        """Return the report in 14 bits; the latency ratio in fifths, up to 3."""
        latency_step = max(0, round(self.latency_ratio * LATENCY_STEPS_PER_ONE))
        return (
            to_step(self.free_capacity)
            | to_step(self.rejected_share) << 4
            | min(SHARE_STEPS, latency_step) << 8
            | self.stage << 12
        )


def to_step(share: float) -> int:
    """Return the step that a share is sent as."""
    return min(SHARE_STEPS, max(0, round(share * SHARE_STEPS)))


def unpack_report(packed: int) -> LoadReport:
    """Return the report of a packed number; any number has one, its higher bits are ignored."""
    return LoadReport(
        (packed & 15) / SHARE_STEPS,
        (packed >> 4 & 15) / SHARE_STEPS,
        (packed >> 8 & 15) / LATENCY_STEPS_PER_ONE,
        ServingStage(packed >> 12 & 3),
    )


class ReportSmoother:
    """A server's own reports as they are sent.

    They are smoothed, and a step changes only when its value is well past it, so that a value at
    the border of two steps does not flicker.
    """

    def __init__(self, weight: float = SMOOTHING_WEIGHT) -> None:
        """Start without a report; `weight` is that of a new one."""
        self.weight = weight
        self._smoothed: LoadReport | None = None
        self._sent = 0

    def pack(self, report: LoadReport) -> int:
        """Take a new report; return the packed one to send."""
        if self._smoothed is None:
            self._smoothed = report
            self._sent = report.pack()
            return self._sent
        old = self._smoothed
        mixed = LoadReport(
            self._mix(old.free_capacity, report.free_capacity),
            self._mix(old.rejected_share, report.rejected_share),
            self._mix(old.latency_ratio, report.latency_ratio),
            report.stage,
        )
        self._smoothed = mixed
        sent = unpack_report(self._sent)
        self._sent = LoadReport(
            _with_hysteresis(sent.free_capacity, mixed.free_capacity, 1 / SHARE_STEPS),
            _with_hysteresis(sent.rejected_share, mixed.rejected_share, 1 / SHARE_STEPS),
            _with_hysteresis(sent.latency_ratio, mixed.latency_ratio, LATENCY_STEP),
            report.stage,
        ).pack()
        return self._sent

    def _mix(self, old: float, new: float) -> float:
        return old + (new - old) * self.weight


def _with_hysteresis(sent: float, value: float, step: float) -> float:
    """Return the value where it is well past the step that was sent, and that step otherwise."""
    return value if abs(value - sent) > STEP_HYSTERESIS * step else sent


class ReceivedReport(NamedTuple):
    """A report, when it came, in microseconds, and its sender's number for it."""

    received_at_us: int
    sequence: int
    report: LoadReport


class ReceivedReports:
    """The last report of each sender.

    Attributes:
        rows: By sender, the one that came longest ago first; at most `MAX_SENDERS`.
    """

    def __init__(self) -> None:
        """Start without reports."""
        self.rows: dict[int, ReceivedReport] = {}

    def take(self, now: int, sender: int, sequence: int, packed: int) -> None:
        """Take a report; one whose sequence is not above the sender's last is ignored."""
        last = self.rows.get(sender)
        if last is not None and last.sequence >= sequence:
            return
        self.rows.pop(sender, None)
        self.rows[sender] = ReceivedReport(now, sequence, unpack_report(packed))
        if len(self.rows) > MAX_SENDERS:
            del self.rows[next(iter(self.rows))]

    def clear(self) -> None:
        """Drop all reports, as after a pause of this process."""
        self.rows.clear()

    def valid(self, now: int) -> list[LoadReport]:
        """Drop what is too old and return the other reports."""
        outdated = [
            sender
            for sender, received in self.rows.items()
            if now - received.received_at_us > REPORT_VALID_US
        ]
        for sender in outdated:
            del self.rows[sender]
        return [received.report for received in self.rows.values()]


class PeerSummary(NamedTuple):
    """What the reports of the peers in service come to.

    Attributes:
        free_capacity: That of the median peer, as the next two.
        rejected_share: See `LoadReport`.
        latency_ratio: See `LoadReport`.
        full_share: The share of peers that are full.
        withdrawn_share: The share of peers that have withdrawn.
    """

    free_capacity: float
    rejected_share: float
    latency_ratio: float
    full_share: float
    withdrawn_share: float


def summarize_peers(reports: list[LoadReport]) -> PeerSummary | None:
    """Return the summary of the peers that are warm; None where they are too few."""
    warm = [r for r in reports if r.stage in (ServingStage.WARM, ServingStage.WITHDRAWN)]
    if len(warm) < LEAST_SENDERS:
        return None
    full = sum(
        report.free_capacity <= FULL_FREE_CAPACITY or report.rejected_share >= FULL_REJECTED_SHARE
        for report in warm
    )
    withdrawn = sum(report.stage is ServingStage.WITHDRAWN for report in warm)
    return PeerSummary(
        median(report.free_capacity for report in warm),
        median(report.rejected_share for report in warm),
        median(report.latency_ratio for report in warm),
        full / len(warm),
        withdrawn / len(warm),
    )


class LoadAssessment:
    """One server's conclusions; the `FleetFeedback` that the decisions ask.

    Attributes:
        withdrawn: Whether this server has withdrawn, being slow alone.
        peers: The last summary; None while there is none, and all is as without reports.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        """Start in service; `draw` returns a random number from 0 to 1."""
        self.draw = draw
        self.withdrawn = False
        self.peers: PeerSummary | None = None
        self._free_capacity = 0.0
        self._change_since_us: int | None = None

    def update(self, now: int, own: LoadReport, reports: list[LoadReport]) -> None:
        """Take the peers' reports, and withdraw or return where that is due.

        A server withdraws when it is slow and its peers are not, and returns when it is well again
        or its peers are as slow; both have to last for `STATE_HOLD_US`. Without a summary it is in
        service: no server withdraws on its own report alone.
        """
        self._free_capacity = own.free_capacity
        self.peers = summarize_peers(reports)
        if self.peers is None:
            self.withdrawn = False
            self._change_since_us = None
            return
        if not self._should_change(own, self.peers):
            self._change_since_us = None
        elif self._change_since_us is None:
            self._change_since_us = now
        elif now - self._change_since_us >= STATE_DWELL_US:
            self.withdrawn = not self.withdrawn
            self._change_since_us = None

    def _should_change(self, own: LoadReport, peers: PeerSummary) -> bool:
        ratio = own.latency_ratio / max(peers.latency_ratio, LEAST_LATENCY_RATIO)
        if self.withdrawn:
            return ratio <= RECOVERED_RATIO
        return ratio >= SLOW_RATIO and peers.withdrawn_share < MAX_WITHDRAWN_SHARE

    def is_overloaded(self, own: bool) -> bool:
        """Tell whether a rejected request should not be retried at another server.

        So it is where this server says so by itself (`own`), or where `FULL_PEERS_SHARE` of its
        peers are full. That peers are free does not overrule this server: a fleet half full as the
        only measure cost 0.010 of the value in a burst (docs/together-design.md).
        """
        return own or (self.peers is not None and self.peers.full_share >= FULL_PEERS_SHARE)

    def retry_after(self, own_advice: int) -> int:
        """Return how long a caller should wait, in microseconds.

        Longer where the peers have more free capacity than this server, and drawn around that, so
        that callers do not come back together.
        """
        if self.peers is None:
            return own_advice
        surplus = self.peers.free_capacity - self._free_capacity
        wait = int(own_advice * (1 + max(0.0, min(1.0, surplus))))
        return max(1, int(wait * (1 - WAIT_SPREAD + 2 * WAIT_SPREAD * self.draw())))
