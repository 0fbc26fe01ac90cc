"""Load signals: the members of a fleet send each other their load.

From the peers' signals a server sees whether it alone is slow or the whole fleet is loaded. Where
the operator's file says so, retry advice and health answers follow from that.
"""

from __future__ import annotations

import random
from typing import Final

from gullyoke.admission.load_snapshot import LoadSnapshot
from gullyoke.coordination.signals import (
    LoadAssessment,
    LoadReport,
    ReceivedReports,
    ReportSmoother,
    ServingStage,
)
from gullyoke.extensions.fleet import Fleet
from gullyoke.extensions.fleet_extension import FleetExtension
from gullyoke.runtime import clock
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.logs import log, log_fields

#: Keeps the draws of retry advice apart from other uses of the daemon's seed.
ADVICE_SEED: Final = 0x51C


class Signals(FleetExtension):
    """Sends this server's signal and judges it against those of the peers."""

    # Set by `start`.
    fleet: Fleet
    received: ReceivedReports
    judgement: LoadAssessment

    def __init__(self, acts: bool) -> None:
        """Create the extension.

        Args:
            acts: whether retry advice and health answers depend on the signals; the status answer
                shows the signals in either case.
        """
        self.acts = acts
        self.sender = ReportSmoother()
        self.seen_pauses = 0

    def start(self, fleet: Fleet) -> None:
        """Receive the peers' signals from now on."""
        self.fleet = fleet
        configuration = fleet.daemon.configuration
        self.received = ReceivedReports()
        fleet.link.signals = self.received
        fleet.member.on_signal = self.received.take
        self.judgement = LoadAssessment(random.Random(configuration.seed ^ ADVICE_SEED).random)
        if self.acts:
            configuration.facts.fleet.feedback = self.judgement

    def update(self, now: int) -> None:
        """Send the present load, and judge it against that of the peers."""
        reading = self._read_load()
        if reading is None:
            return
        was_alone_slow = self.judgement.withdrawn
        with self.fleet.link.lock:
            reading = self._judge(reading)
            self.fleet.member.signal = self.sender.pack(reading)
        if self.judgement.withdrawn != was_alone_slow:
            self._apply_judgement(reading)

    def _read_load(self) -> LoadReport | None:
        """Return this server's load; None before there are decisions."""
        dispatcher = self.fleet.daemon.dispatcher
        with dispatcher.lock:  # held only to read a few figures
            if dispatcher.controller is None:
                return None
            load = dispatcher.controller.load_snapshot(dispatcher.now)
            return LoadReport.from_snapshot(load, _stage(dispatcher, load))

    def _judge(self, reading: LoadReport) -> LoadReport:
        """Compare a reading with the peers', and return the one to send; under the link's lock."""
        now = clock.now()
        pauses = self.fleet.member.local_health.resumed_at
        if pauses != self.seen_pauses:  # this process was paused: the received reports are old
            self.seen_pauses = pauses
            self.received.clear()
        self.judgement.update(now, reading, self.received.valid(now))
        if self.judgement.withdrawn and self.acts and reading.stage is ServingStage.WARM:
            return reading._replace(stage=ServingStage.WITHDRAWN)
        return reading

    def _apply_judgement(self, reading: LoadReport) -> None:
        """Log whether this server alone is slow now, and let health answers follow.

        Health answers do not change while the server drains.
        """
        daemon = self.fleet.daemon
        alone_slow = self.judgement.withdrawn
        peers = self.judgement.peers
        if self.acts and daemon.dispatcher.stop_at is None:
            daemon.lifecycle.ready = not alone_slow
        daemon.metrics.increment("fleet.slow_alone" if alone_slow else "fleet.well_again")
        log.warning(
            "slower than the peers" if alone_slow else "no longer slower than the peers",
            extra=log_fields(
                pace=f"{reading.latency_ratio:.2f}",
                peers=f"{peers.latency_ratio:.2f}" if peers else "-",
                acted=self.acts,
            ),
        )


def _stage(dispatcher: Dispatcher, load: LoadSnapshot) -> ServingStage:
    """Return the stage of this server's life; under the dispatcher's lock."""
    if dispatcher.stop_at is not None:
        return ServingStage.DRAINING
    return ServingStage.COLD if load.warming_up else ServingStage.WARM
