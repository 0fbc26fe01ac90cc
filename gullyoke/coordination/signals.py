"""Load reports of the members of a fleet, and the conclusions that each member draws from them.

The reports tell a slow server from a full fleet. A report has four values, each rounded to a few
steps, and is sent with the messages of membership. Each server receives a few reports a second from
the members that it observes and those that observe it, a sample of the fleet drawn by hashes. All
conclusions are medians over the valid reports of that sample, one per sender. So a sender with
false or stuck values moves a median by at most one place. Admission control still relies on its own
estimates; the reports affect only retry advice and health checks.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from statistics import median
from typing import NamedTuple

from gullyoke.admission.load_snapshot import LoadSnapshot

SHARE_STEPS = 15  # a share is sent as a number of steps
LATENCY_STEPS_PER_ONE = 5  # a latency ratio is sent in fifths
LATENCY_STEP = 0.2
REPORT_VALID_US = 3_000_000  # how long a report counts
MAX_SENDERS = 64  # senders whose reports are kept
MIN_SENDERS = 5  # with fewer valid reports no conclusion is drawn
FULL_FREE_CAPACITY = 0.1  # a peer with at most this free capacity counts as full
FULL_REJECTED_SHARE = 0.25  # a peer that rejects at least this share of its requests is full too
SLOW_RATIO = 2.0  # a server is slow from this multiple of its peers' latency ratio on
RECOVERED_RATIO = 1.3  # a slow server has recovered at this multiple or below
MIN_LATENCY_RATIO = 0.2  # lower bound of the peers' ratio in the comparison
STATE_DWELL_US = 3_000_000  # how long the reason to withdraw or to return must last
MAX_WITHDRAWN_SHARE = 0.1  # no server withdraws while this share of its peers is withdrawn
FULL_PEERS_SHARE = 0.3  # with this share of full peers, a retry elsewhere is not worth its cost
WAIT_SPREAD = 0.5  # a wait is multiplied by a random factor from 1 - this to 1 + this
SMOOTHING_WEIGHT = 0.25  # weight of a new report
STEP_HYSTERESIS = 0.9  # share of a step by which a value must differ from the one sent


class ServingStage(IntEnum):
    """Whether a server is in service; the values are sent on the wire."""

    COLD = 0
    WARM = 1
    DRAINING = 2
    WITHDRAWN = 3  # fails its health checks, because it is slow and its peers are not


class LoadReport(NamedTuple):
    """The load of one server.

    Attributes:
        free_capacity: The free share of the server's capacity.
        rejected_share: The share of recent requests that the server rejected.
        latency_ratio: Recent run times divided by the expected ones; 1 where they are as expected.
        stage: Whether the server is in service.
    """

    free_capacity: float
    rejected_share: float
    latency_ratio: float
    stage: ServingStage

    @classmethod
    def from_snapshot(cls, load: LoadSnapshot, stage: ServingStage) -> LoadReport:
        """Return the report of a server with this load."""
        return cls(load.free_share, load.rejected_share, load.run_time_ratio, stage)

    def pack(self) -> int:
        """Return the report in 14 bits, with the latency ratio in fifths, at most 3."""
        latency_step = max(0, round(self.latency_ratio * LATENCY_STEPS_PER_ONE))
        return (
            to_step(self.free_capacity)
            | to_step(self.rejected_share) << 4
            | min(SHARE_STEPS, latency_step) << 8
            | self.stage << 12
        )


def to_step(share: float) -> int:
    """Return the number of the step nearest to a share."""
    return min(SHARE_STEPS, max(0, round(share * SHARE_STEPS)))


def unpack_report(packed: int) -> LoadReport:
    """Return the report in a packed number; any number is valid, higher bits are ignored."""
    return LoadReport(
        (packed & 15) / SHARE_STEPS,
        (packed >> 4 & 15) / SHARE_STEPS,
        (packed >> 8 & 15) / LATENCY_STEPS_PER_ONE,
        ServingStage(packed >> 12 & 3),
    )


class ReportSmoother:
    """A server's own reports as they are sent.

    The values are smoothed, and a step changes only when the value is well past it. So a value at
    the border between two steps does not alternate between them.
    """

    def __init__(self, weight: float = SMOOTHING_WEIGHT) -> None:
        """Start without a report; `weight` is the weight of each new report."""
        self.weight = weight
        self._smoothed: LoadReport | None = None
        self._sent = 0

    def pack(self, report: LoadReport) -> int:
        """Add a new report; return the packed one to send."""
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
    """Return the value if it is well past the step that was sent, otherwise that step."""
    return value if abs(value - sent) > STEP_HYSTERESIS * step else sent


class ReceivedReport(NamedTuple):
    """A report, its time of receipt in microseconds, and the number that its sender gave it."""

    received_at_us: int
    sequence: int
    report: LoadReport


class ReceivedReports:
    """The last report of each sender.

    Attributes:
        rows: Reports by sender, oldest first; at most `MAX_SENDERS`.
    """

    def __init__(self) -> None:
        """Start without reports."""
        self.rows: dict[int, ReceivedReport] = {}

    def take(self, now: int, sender: int, sequence: int, packed: int) -> None:
        """Store a report; one whose sequence is not above the sender's last is ignored."""
        last = self.rows.get(sender)
        if last is not None and last.sequence >= sequence:
            return
        self.rows.pop(sender, None)
        self.rows[sender] = ReceivedReport(now, sequence, unpack_report(packed))
        if len(self.rows) > MAX_SENDERS:
            del self.rows[next(iter(self.rows))]

    def clear(self) -> None:
        """Drop all reports, for example after a pause of this process."""
        self.rows.clear()

    def valid(self, now: int) -> list[LoadReport]:
        """Drop reports that are too old and return the others."""
        outdated = [
            sender
            for sender, received in self.rows.items()
            if now - received.received_at_us > REPORT_VALID_US
        ]
        for sender in outdated:
            del self.rows[sender]
        return [received.report for received in self.rows.values()]


class PeerSummary(NamedTuple):
    """Summary of the reports of the peers in service.

    Attributes:
        free_capacity: Median of the peers' values (see `LoadReport`).
        rejected_share: Median of the peers' values.
        latency_ratio: Median of the peers' values.
        full_share: The share of peers that are full.
        withdrawn_share: The share of peers that have withdrawn.
    """

    free_capacity: float
    rejected_share: float
    latency_ratio: float
    full_share: float
    withdrawn_share: float


def summarize_peers(reports: list[LoadReport]) -> PeerSummary | None:
    """Return the summary of the peers that are warm or withdrawn; None if they are too few."""
    warm = [r for r in reports if r.stage in (ServingStage.WARM, ServingStage.WITHDRAWN)]
    if len(warm) < MIN_SENDERS:
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
    """One server's conclusions; implements `FleetFeedback` for admission control.

    Attributes:
        withdrawn: Whether this server has withdrawn because it is slow and its peers are not.
        peers: The last summary. While it is None, the methods answer as if no reports existed.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        """Start in service; `draw` returns a random number from 0 to 1."""
        self.draw = draw
        self.withdrawn = False
        self.peers: PeerSummary | None = None
        self._free_capacity = 0.0
        self._change_since_us: int | None = None

    def update(self, now: int, own: LoadReport, reports: list[LoadReport]) -> None:
        """Evaluate the peers' reports; withdraw this server or return it to service when due.

        A server withdraws when it is slow and its peers are not, and returns when it has recovered
        or its peers are as slow; either must last for `STATE_DWELL_US`. Without a summary it is in
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
        ratio = own.latency_ratio / max(peers.latency_ratio, MIN_LATENCY_RATIO)
        if self.withdrawn:
            return ratio <= RECOVERED_RATIO
        return ratio >= SLOW_RATIO and peers.withdrawn_share < MAX_WITHDRAWN_SHARE

    def is_overloaded(self, own: bool) -> bool:
        """Return whether a rejected request should not be retried at another server.

        True if this server concludes so by itself (`own`), or if `FULL_PEERS_SHARE` of its peers
        are full. Free peers do not overrule this server: deciding only by whether half of the fleet
        is full cost 0.010 of the value in a burst (docs/together-design.md).
        """
        return own or (self.peers is not None and self.peers.full_share >= FULL_PEERS_SHARE)

    def retry_after(self, own_advice: int) -> int:
        """Return how long a client should wait before it retries, in microseconds.

        The wait is longer if the peers have more free capacity than this server. The result is
        drawn around that wait, so that clients do not all return at the same time.
        """
        if self.peers is None:
            return own_advice
        surplus = self.peers.free_capacity - self._free_capacity
        wait = int(own_advice * (1 + max(0.0, min(1.0, surplus))))
        return max(1, int(wait * (1 - WAIT_SPREAD + 2 * WAIT_SPREAD * self.draw())))
