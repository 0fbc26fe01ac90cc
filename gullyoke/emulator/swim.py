"""Published detectors to weigh ours against, in the same model network.

SWIM (Das et al. 2002) with suspicion, and Lifeguard's three changes to it (Dadgar et al. 2018),
with the constants of their papers' evaluations. They know all members from the start; joining is
not modelled. All figures from here are simulated.
"""

from __future__ import annotations

import math
import random
from typing import NamedTuple

from gullyoke.membership.member_record import MemberRecord
from gullyoke.membership.view import Change

PERIOD, TIMEOUT, GOSSIP = 1_000_000, 500_000, 200_000
INDIRECT, FANOUT, PICKED, ROUNDS = 3, 3, 6, 4
SUSPECT, SLOWEST, CONFIRMED, WORST = 4, 6, 3, 8  # suspicion's least and most; confirmations; health
ALIVE, SUSPECTED, DEAD = 0, 1, 2


class Said(NamedTuple):
    """News on one member: its state under an incarnation, and who says so."""

    id: int
    number: int
    state: int
    by: int


class Probe(NamedTuple):
    record: MemberRecord
    seq: int
    target: int  # whom to ask for another, 0 where it is the receiver itself
    news: tuple[Said, ...]


class Echo(NamedTuple):
    record: MemberRecord
    seq: int
    news: tuple[Said, ...]


class Swim:
    """One member.

    Tables: `states`, one a member; `news`, one item a member with its rounds left; `asked`, the
    asking that is out; `relays`, askings for others, emptied each period.
    """

    lifeguard = False

    def __init__(
        self, now: int, record: MemberRecord, seeds: tuple[str, ...], chance: random.Random
    ) -> None:
        self.record, self.chance, self.out, self.listeners = record, chance, [], []
        self.states: dict[int, list] = {}  # row, number, state, since, who confirmed
        self.news: dict[int, list] = {}
        self.number = self.seq = self.health = 0
        self.next = now + chance.randrange(PERIOD)
        self.gossip, self.asked, self.relays, self.order = now, None, {}, []

    def acquaint(self, records: list[MemberRecord], now: int) -> None:
        self.states = {
            record.id: [record, 0, ALIVE, now, set()]
            for record in records
            if record.id != self.record.id
        }

    def take_outgoing(self) -> list:
        out, self.out = self.out, []
        return out

    def tick(self, now: int) -> None:
        self._expire(now)
        if self.asked is not None:
            self._follow(now)
        if now >= self.next:
            self._probe(now)
        if now >= self.gossip and self.news:
            self.gossip = now + GOSSIP
            for record in self._some(FANOUT, 0):
                self._send(record, Echo(self.record, 0, self._pick(record.id)))

    def _scale(self) -> int:
        return 1 + self.health if self.lifeguard else 1

    def _probe(self, now: int) -> None:
        if self.asked is not None:  # the last one never answered
            self._suspect(now, self.asked[0], self.record.id)
            self.health = min(WORST, self.health + 1)
        self.next = now + PERIOD * self._scale()
        if not self.order:
            self.order = list(self.states)
            self.chance.shuffle(self.order)
        self.asked = None
        while self.order:
            member = self.order.pop()
            if member in self.states and self.states[member][2] != DEAD:
                self.seq += 1
                self.asked = [member, self.seq, now, False]
                record = self.states[member][0]
                self._send(record, Probe(self.record, self.seq, 0, self._pick(member)))
                return

    def _follow(self, now: int) -> None:
        member, seq, at, indirect = self.asked
        if not indirect and now - at >= TIMEOUT * self._scale():
            self.asked[3] = True
            for record in self._some(INDIRECT, member):
                self._send(record, Probe(self.record, seq, member, self._pick(record.id)))

    def _expire(self, now: int) -> None:
        for member, state in self.states.items():
            if state[2] == SUSPECTED and now - state[3] >= self._patience(len(state[4])):
                self._learn(now, Said(member, state[1], DEAD, self.record.id))

    def _patience(self, confirmed: int) -> float:
        least = SUSPECT * max(1.0, math.log10(max(1, len(self.states)))) * PERIOD
        if not self.lifeguard:
            return least
        share = math.log(confirmed + 1) / math.log(CONFIRMED + 1)
        return max(least, SLOWEST * least - (SLOWEST * least - least) * min(1.0, share))

    def _suspect(self, now: int, member: int, by: int) -> None:
        state = self.states.get(member)
        if state is not None and state[2] == ALIVE:
            self._learn(now, Said(member, state[1], SUSPECTED, by))

    def receive(self, now: int, message) -> None:
        for said in message.news:
            self._learn(now, said)
        if isinstance(message, Probe):
            if message.target == 0:
                self._send(
                    message.record, Echo(self.record, message.seq, self._pick(message.record.id))
                )
            elif message.target in self.states:
                self.seq += 1
                self.relays[self.seq] = message.record, message.seq
                if len(self.relays) > 256:
                    del self.relays[next(iter(self.relays))]
                self._send(self.states[message.target][0], Probe(self.record, self.seq, 0, ()))
        elif message.seq:
            relayed = self.relays.pop(message.seq, None)
            if relayed is not None:
                self._send(relayed[0], Echo(self.record, relayed[1], ()))
            if self.asked is not None and self.asked[1] == message.seq:
                self.asked = None
                self.health = max(0, self.health - 1)

    def connection_refused(self, now: int, member: int) -> None:
        """Neither paper goes by refusals."""

    def _learn(self, now: int, said: Said) -> None:
        if said.id == self.record.id:
            if said.state != ALIVE and said.number >= self.number:
                self.number = said.number + 1
                self.health = min(WORST, self.health + 1)
                self._tell(Said(self.record.id, self.number, ALIVE, self.record.id))
            return
        state = self.states.get(said.id)
        if state is None:
            return
        if said.state == SUSPECTED and state[2] == SUSPECTED and said.number == state[1]:
            if said.by not in state[4] and len(state[4]) < CONFIRMED:
                state[4].add(said.by)  # an independent one: told on
                self._tell(said)
            return
        if (said.number, said.state) <= (state[1], state[2]) or (
            state[2] == DEAD and said.number <= state[1]
        ):
            return
        was, state[1:4] = state[2], [said.number, said.state, now]
        state[4] = {said.by}
        self._tell(said)
        if (said.state == DEAD) != (was == DEAD):
            what = "removed" if said.state == DEAD else "joined"
            for listener in self.listeners:
                listener(Change(0, what, state[0], None))

    def _tell(self, said: Said) -> None:
        self.news[said.id] = [said, ROUNDS * math.ceil(math.log10(len(self.states) + 2))]

    def _pick(self, to: int) -> tuple[Said, ...]:
        picked = sorted(self.news.values(), key=lambda item: -item[1])[:PICKED]
        for item in picked:
            item[1] -= 1
            if item[1] <= 0:
                self.news.pop(item[0].id, None)
        found = [item[0] for item in picked]
        state = self.states.get(to)
        if (
            self.lifeguard and state is not None and state[2] == SUSPECTED
        ):  # the suspect is told first
            found.append(Said(to, state[1], SUSPECTED, self.record.id))
        return tuple(found)

    def _some(self, most: int, but: int) -> list[MemberRecord]:
        records = [
            state[0] for member, state in self.states.items() if member != but and state[2] != DEAD
        ]
        return self.chance.sample(records, min(most, len(records)))

    def _send(self, record: MemberRecord, message) -> None:
        self.out.append((record.address, message, record.id))


class Lifeguard(Swim):
    lifeguard = True
