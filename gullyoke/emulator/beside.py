"""Simulated servers that exchange load reports and share the dependency's slots.

They run the same coordination modules as real servers, over a network with delay, loss and
partitions. All figures from here are simulated.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from gullyoke.admission.controller import AdmissionController
from gullyoke.admission.interface import DependencyFacts, Fleet
from gullyoke.coordination.limit_parts import TOKENS_PER_CALL, MeanConcurrencyPart
from gullyoke.coordination.max_min_fairness import split_limit
from gullyoke.coordination.quota_participant import (
    AddressedQuotaMessage,
    QuotaParticipant,
    Recipient,
)
from gullyoke.coordination.signals import (
    LoadAssessment,
    LoadReport,
    ReceivedReports,
    ReportSmoother,
    ServingStage,
)
from gullyoke.emulator.fleet import Node, Running, deciding

SECOND, TURN = 1_000_000, 100_000
REPORT_RECEIVERS, LENDER_COUNT, FLOOR_SHARE = (
    16,
    5,
    0.25,
)  # receivers of a load report; lenders; the share of the limit that needs no lease

Cut = Callable[[int, int, int], bool]  # (time, sender, receiver): whether the message is lost


class Peer:
    """The coordination state of one node."""

    def __init__(self, beside: Beside, node: Node, below: DependencyFacts, fleet: Fleet) -> None:
        self.beside, self.node, self.count = beside, node, 0
        generator = beside.generator
        self.smoother, self.received = ReportSmoother(), ReceivedReports()
        self.assessment = LoadAssessment(random.Random(generator.getrandbits(40)).random)
        self.quota_part: MeanConcurrencyPart | None = None
        if beside.signals:
            fleet.feedback = self.assessment
        day, now = node.fleet.day, node.fleet.now()
        if beside.shares and day.shared and day.shared.survives:
            lenders = [str(i) for i in range(min(LENDER_COUNT, day.machines.servers))]
            largest = beside.largest or day.machines.servers + sum(n for _, n in day.machines.join)
            floor, tokens = split_limit(
                day.shared.survives * TOKENS_PER_CALL, largest, lenders, FLOOR_SHARE
            )
            own_lender = str(node.number) if str(node.number) in lenders else None
            part = QuotaParticipant(
                now,
                generator.getrandbits(40),
                lenders,
                tokens.get(own_lender, 0),
                floor,
                own_lender,
                own_lender is not None,
                below.linger,
                below.quota_window,
            )
            self.quota_part = below.slots = MeanConcurrencyPart(
                part, below.linger, below.quota_window
            )
        # Nodes that exist at the start know each other, as they do after running for a while.
        node.fleet.at(generator.randrange(TURN), self.tick_quota)
        node.fleet.at(generator.randrange(SECOND), self.exchange_reports)

    def exchange_reports(self) -> None:
        """Once a second: assess the own load against received reports, and send a report."""
        node, now = self.node, self.node.fleet.now()
        if not node.up or now > node.fleet.last:
            return
        node.fleet.at(SECOND, self.exchange_reports)
        server = node.server
        if not isinstance(server, AdmissionController) or server.learner is None:
            return
        load = server.load_snapshot(now)
        stage = (
            ServingStage.DRAINING
            if load.draining
            else ServingStage.COLD
            if load.warming_up
            else ServingStage.WARM
        )
        reading = LoadReport.from_snapshot(load, stage)
        judged, was_withdrawn = self.assessment, self.assessment.withdrawn
        judged.update(now, reading, self.received.valid(now))
        if judged.withdrawn and stage is ServingStage.WARM:
            reading = reading._replace(stage=ServingStage.WITHDRAWN)
        if judged.withdrawn != was_withdrawn and self.beside.signals and not load.draining:
            node.good = not judged.withdrawn
        self.count += 1
        packed_report = self.beside.apply_report_faults(node.number, self.smoother.pack(reading))
        for other in self.beside.neighbours(node.number):
            self.beside.send(
                node.number,
                other,
                lambda peer: peer.receive_report(node.number, self.count, packed_report),
            )

    def receive_report(self, sender: int, count: int, packed_report: int) -> None:
        """Take a load report of another node."""
        self.received.take(self.node.fleet.now(), sender, count, packed_report)

    def tick_quota(self) -> None:
        """Advance the quota participant and send its messages; repeats every TURN."""
        now = self.node.fleet.now()
        if self.quota_part is None or not self.node.up or now > self.node.fleet.last:
            return
        self.node.fleet.at(TURN, self.tick_quota)
        for outgoing in self.quota_part.tick(now):
            self.post(outgoing, -1)

    def post(self, outgoing: AddressedQuotaMessage, requester: int) -> None:
        """Send a quota message; `requester` is the node that it answers, or -1."""
        to, sender_number = (
            requester if outgoing.to == Recipient.REQUESTER else int(outgoing.lender),
            self.node.number,
        )
        self.beside.send(
            sender_number,
            to,
            lambda peer: peer.receive_quota_message(sender_number, outgoing.message),
        )

    def receive_quota_message(self, sender: int, message) -> None:
        """Handle a quota message and send the reply, if any."""
        if self.quota_part is not None:
            answer = self.quota_part.handle(self.node.fleet.now(), message)
            if answer is not None:
                self.post(answer, sender)


class Beside:
    """The coordination of a simulated fleet, with a choice of features and faults.

    `signals`, `shares`: whether load reports are acted on and slots are shared. `loss`: probability
    that a message is lost; `cut`: partitions; `liar`: the number of a node that always reports no
    load. `largest`: the configured maximum fleet size for shares, 0 for the true one. `frozen`:
    time from which on all load reports keep their values, 0 for never.
    """

    def __init__(
        self,
        seed: int,
        signals: bool = True,
        shares: bool = True,
        loss: float = 0.0,
        cut: Cut | None = None,
        liar: int = -1,
        largest: int = 0,
        frozen: int = 0,
    ) -> None:
        self.generator = random.Random(seed ^ 0xBE51DE)
        self.signals, self.shares, self.loss, self.cut, self.liar = signals, shares, loss, cut, liar
        self.largest, self.frozen = largest, frozen
        self.peers: dict[int, Peer] = {}
        self.frozen_reports: dict[int, int] = {}

    def __call__(self, node: Node, below: DependencyFacts, fleet: Fleet) -> None:
        self.peers[node.number] = Peer(self, node, below, fleet)

    def neighbours(self, number: int) -> list[int]:
        """Return the nodes that get reports of this one, unchanged while the same nodes are up."""
        there = [n for n, peer in self.peers.items() if peer.node.up and n != number]
        generator = random.Random(number * 7919 + len(there))
        return generator.sample(there, min(REPORT_RECEIVERS, len(there)))

    def apply_report_faults(self, number: int, packed_report: int) -> int:
        """Return the report that node `number` sends in place of the true one, after faults."""
        if number == self.liar:
            return LoadReport(1.0, 0.0, 0.0, ServingStage.WARM).pack()
        now = self.peers[number].node.fleet.now()
        if self.frozen and now >= self.frozen:  # repeats the first report after that time
            return self.frozen_reports.setdefault(number, packed_report)
        return packed_report

    def send(self, from_: int, to: int, act: Callable[[Peer], None]) -> None:
        """Call `act` on the receiver after a random delay, unless the message is lost."""
        there = self.peers.get(to)
        if there is None or not there.node.up:
            return
        fleet = there.node.fleet
        if self.generator.random() < self.loss or (self.cut and self.cut(fleet.now(), from_, to)):
            return
        fleet.at(self.generator.randrange(200, 2_000), lambda: there.node.up and act(there))


def playing(day, beside: Beside | None) -> Running:
    """Return a simulation without class pools, coordinated if `beside` is given."""
    return Running(day, deciding(False, beside=beside) if beside else deciding(False))
