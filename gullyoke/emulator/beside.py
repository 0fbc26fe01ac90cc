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
PEERS, HOMES, FLOOR = (
    16,
    5,
    0.25,
)  # receivers of a load report; lenders; the share of the limit that needs no lease

Cut = Callable[[int, int, int], bool]  # (time, sender, receiver): whether the message is lost


class Peer:
    """The coordination state of one node."""

    def __init__(self, beside: Beside, node: Node, below: DependencyFacts, fleet: Fleet) -> None:
        self.beside, self.node, self.count = beside, node, 0
        chance = beside.chance
        self.telling, self.heard = ReportSmoother(), ReceivedReports()
        self.judgement = LoadAssessment(random.Random(chance.getrandbits(40)).random)
        self.own: MeanConcurrencyPart | None = None
        if beside.signals:
            fleet.feedback = self.judgement
        day, now = node.fleet.day, node.fleet.now()
        if beside.shares and day.shared and day.shared.survives:
            homes = [str(i) for i in range(min(HOMES, day.machines.servers))]
            largest = beside.largest or day.machines.servers + sum(n for _, n in day.machines.join)
            floor, tokens = split_limit(
                day.shared.survives * TOKENS_PER_CALL, largest, homes, FLOOR
            )
            home = str(node.number) if str(node.number) in homes else None
            part = QuotaParticipant(
                now,
                chance.getrandbits(40),
                homes,
                tokens.get(home, 0),
                floor,
                home,
                home is not None,
                below.linger,
                below.quota_window,
            )
            self.own = below.slots = MeanConcurrencyPart(part, below.linger, below.quota_window)
        # Nodes that exist at the start know each other, as they do after running for a while.
        node.fleet.at(chance.randrange(TURN), self.turn)
        node.fleet.at(chance.randrange(SECOND), self.look)

    def look(self) -> None:
        """Once a second: assess the own load against received reports, and send a report."""
        node, now = self.node, self.node.fleet.now()
        if not node.up or now > node.fleet.last:
            return
        node.fleet.at(SECOND, self.look)
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
        judged, was = self.judgement, self.judgement.withdrawn
        judged.update(now, reading, self.heard.valid(now))
        if judged.withdrawn and stage is ServingStage.WARM:
            reading = reading._replace(stage=ServingStage.WITHDRAWN)
        if judged.withdrawn != was and self.beside.signals and not load.draining:
            node.good = not judged.withdrawn
        self.count += 1
        word = self.beside.lie(node.number, self.telling.pack(reading))
        for other in self.beside.neighbours(node.number):
            self.beside.send(
                node.number, other, lambda peer: peer.hear_word(node.number, self.count, word)
            )

    def hear_word(self, sender: int, count: int, word: int) -> None:
        """Take a load report of another node."""
        self.heard.take(self.node.fleet.now(), sender, count, word)

    def turn(self) -> None:
        """Advance the quota participant and send its messages; repeats every TURN."""
        now = self.node.fleet.now()
        if self.own is None or not self.node.up or now > self.node.fleet.last:
            return
        self.node.fleet.at(TURN, self.turn)
        for letter in self.own.tick(now):
            self.post(letter, -1)

    def post(self, letter: AddressedQuotaMessage, asker: int) -> None:
        """Send a quota message; `asker` is the node that it answers, or -1."""
        to, me = asker if letter.to == Recipient.REQUESTER else int(letter.lender), self.node.number
        self.beside.send(me, to, lambda peer: peer.hear_letter(me, letter.message))

    def hear_letter(self, sender: int, message) -> None:
        """Handle a quota message and send the reply, if any."""
        if self.own is not None:
            answer = self.own.handle(self.node.fleet.now(), message)
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
        self.chance = random.Random(seed ^ 0xBE51DE)
        self.signals, self.shares, self.loss, self.cut, self.liar = signals, shares, loss, cut, liar
        self.largest, self.frozen = largest, frozen
        self.peers: dict[int, Peer] = {}
        self.words: dict[int, int] = {}

    def __call__(self, node: Node, below: DependencyFacts, fleet: Fleet) -> None:
        self.peers[node.number] = Peer(self, node, below, fleet)

    def neighbours(self, number: int) -> list[int]:
        """Return the nodes that get reports of this one, unchanged while the same nodes are up."""
        there = [n for n, peer in self.peers.items() if peer.node.up and n != number]
        chance = random.Random(number * 7919 + len(there))
        return chance.sample(there, min(PEERS, len(there)))

    def lie(self, number: int, word: int) -> int:
        """Return the report that node `number` sends in place of the true one, after faults."""
        if number == self.liar:
            return LoadReport(1.0, 0.0, 0.0, ServingStage.WARM).pack()
        now = self.peers[number].node.fleet.now()
        if self.frozen and now >= self.frozen:  # repeats the first report after that time
            return self.words.setdefault(number, word)
        return word

    def send(self, from_: int, to: int, act: Callable[[Peer], None]) -> None:
        """Call `act` on the receiver after a random delay, unless the message is lost."""
        there = self.peers.get(to)
        if there is None or not there.node.up:
            return
        fleet = there.node.fleet
        if self.chance.random() < self.loss or (self.cut and self.cut(fleet.now(), from_, to)):
            return
        fleet.at(self.chance.randrange(200, 2_000), lambda: there.node.up and act(there))


def playing(day, beside: Beside | None) -> Running:
    """Return a simulation without class pools, coordinated if `beside` is given."""
    return Running(day, deciding(False, beside=beside) if beside else deciding(False))
