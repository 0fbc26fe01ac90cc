"""How this server stands is told to the others on the members' datagrams, and theirs weighed.

Is it slow, or is the fleet full? Where the file says so, advice and health answers follow.
"""

from __future__ import annotations

import random

from gullyoke.coordination.signals import Heard, Judgement, Reading, Stage, Telling
from gullyoke.extensions.fleet import Fleet
from gullyoke.extensions.fleet_extension import FleetExtension
from gullyoke.runtime import clock
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.logs import log, log_fields


class Signals(FleetExtension):
    """`heed`: whether what the others tell is acted on, or only shown."""

    def __init__(self, heed: bool) -> None:
        self.heed, self.telling, self.woke = heed, Telling(), 0
        self.fleet: Fleet | None = None
        self.judgement: Judgement | None = None

    def start(self, fleet: Fleet) -> None:
        self.fleet, told = fleet, fleet.daemon.configuration
        fleet.link.signals = Heard()
        fleet.member.signalled = fleet.link.signals.hear
        self.judgement = Judgement(random.Random(told.seed ^ 0x51C).random)
        if self.heed:
            told.facts.fleet.feedback = self.judgement

    def update(self, now: int) -> None:
        fleet, dispatcher, judged = self.fleet, self.fleet.daemon.dispatcher, self.judgement
        with dispatcher.lock:  # a few figures
            reading = None if dispatcher.server is None else standing(dispatcher)
        if reading is None:
            return
        with fleet.link.lock:
            now = clock.now()
            if fleet.member.trust.woke != self.woke:
                self.woke = fleet.member.trust.woke
                fleet.link.signals.paused()
            was = judged.back
            judged.weigh(now, reading, fleet.link.signals.young(now))
            if judged.back and self.heed and reading.stage is Stage.WARM:
                reading = reading._replace(stage=Stage.BACK)
            fleet.member.signal = self.telling.word(reading)
        if judged.back != was:
            self.turned(reading)

    def turned(self, reading: Reading) -> None:
        """Alone slow from now on, or no longer: checks say so, unless it leaves anyway."""
        judged, daemon = self.judgement, self.fleet.daemon
        if self.heed and daemon.dispatcher.stop_at is None:
            daemon.lifecycle.ready = not judged.back
        daemon.metrics.increment("fleet.slow_alone" if judged.back else "fleet.well_again")
        log.warning(
            "slow alone" if judged.back else "no longer slow alone",
            extra=log_fields(
                pace=f"{reading.pace:.2f}",
                peers=f"{judged.seen.pace:.2f}" if judged.seen else "-",
                acted=self.heed,
            ),
        )


def standing(dispatcher: Dispatcher) -> Reading:
    """How this server stands, in the words of the signals; under the desk's lock."""
    server = dispatcher.server
    load = server.load_snapshot(dispatcher.now)
    stage = (
        Stage.DRAINING
        if dispatcher.stop_at is not None
        else Stage.COLD
        if load.warming_up
        else Stage.WARM
    )
    return Reading.of(load, stage)
