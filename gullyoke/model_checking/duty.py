"""A duty in small: three voters with disks, two candidates, one resource with a fence.

Times are a few ticks; clocks may be a tick apart in all.

What can happen: rounds that come to some voters only, words that are late, stalls of any length in
the middle of an act, a disk that fails a promise, voters that start anew with their promises or
without, a candidate that starts anew. What is looked for: two that hold it at once, an act taken
after one of a newer epoch, two processes whose acts are taken under one epoch, an epoch of a
voter's promise that goes back. The modules are those that run (gullyoke/leases).
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from unittest import mock

from gullyoke.leases import candidate as candidates
from gullyoke.leases import voter as voters
from gullyoke.leases.candidate import Candidate, CandidateState
from gullyoke.leases.durations import LeaseDurations
from gullyoke.leases.fence import Fence
from gullyoke.leases.messages import LeaseRelease, LeaseRequest, VoteReply
from gullyoke.leases.voter import Promise, PromiseWrite, Voter
from gullyoke.model_checking.explore import Move, from_all

DUTY, NET = "d", 2
NAMES = ("v0", "v1", "v2")
REACHED = ("v0+v1", "v1+v2", "v0+v2", "v0+v1+v2")


class Ticks(LeaseDurations):
    """Times in ticks; `surely` is one tick more."""

    def renew_interval_us(self) -> int:
        return 1


SPANS = Ticks(lease_us=3, drift_ppm=0, margin_us=0)


def whole_ticks() -> contextlib.AbstractContextManager:
    """The modules' times in ticks."""
    stack = contextlib.ExitStack()
    for module, names in (
        (
            candidates,
            {
                "REPLY_TIMEOUT_US": 1,
                "FIRST_PAUSE_US": 1,
                "LONGEST_PAUSE_US": 1,
                "EAGER_INTERVAL_US": 1,
                "EAGER_US": 2,
            },
        ),
        (voters, {"LEARN_INTERVAL_US": 1, "SUCCESSOR_PREFERENCE_US": 1}),
    ):
        for name, value in names.items():
            stack.enter_context(mock.patch.object(module, name, value))
    return stack


class Duty:
    """`disks`: what each voter's disk holds.

    `acts`: acts that a candidate has begun and not yet done, with the epoch they were begun under.
    `taken`: by epoch, who acted; `newest`: of the acts taken.
    """

    def __init__(self, restarts: int = 1, faults: int = 1, fenced: bool = True) -> None:
        self.clocks = dict.fromkeys((*NAMES, "a", "b"), 0)
        self.disks: dict[str, dict[str, Promise] | None] = {name: {} for name in NAMES}
        self.voters = {name: self.start(name, {}) for name in NAMES}
        for one in self.voters.values():
            one.silent_until_us = 0  # the first start of all: nothing was ever granted
        self.lives = 10
        self.candidates: dict[str, Candidate] = {}
        for name in ("a", "b"):
            self.begin(name)
        self.net: list[tuple[str, str, object]] = []
        self.acts: dict[str, int | None] = {"a": None, "b": None}
        self.fence, self.fenced = Fence(), fenced
        self.taken: dict[int, str] = {}
        self.newest, self.fault = 0, ""
        self.drift, self.restarts, self.faults = 1, restarts, faults
        self.high = dict.fromkeys(NAMES, 0)

    def start(self, name: str, rows: dict[str, Promise] | None) -> Voter:
        return Voter(self.clocks[name], name, 1, [n for n in NAMES if n != name], SPANS, rows)

    def begin(self, name: str) -> None:
        self.lives += 1
        one = self.candidates[name] = Candidate(DUTY, name, self.lives, NAMES, SPANS, float)
        one.wants_lease = True

    # What can happen.

    def moves(self) -> list[Move]:
        out: list[Move] = [("time",)] + [("come", i) for i in range(len(self.net))]
        for name, one in self.candidates.items():
            now = self.clocks[name]
            if one.state is CandidateState.HOLDING and now < one.lease_end_us:
                if now >= one.next_round_us:
                    out += [("renew", name, reached) for reached in REACHED[:2]]
                    if len(self.net) < NET:
                        out.append(("renew-late", name, REACHED[1]))
                out.append(("act-begin", name) if self.acts[name] is None else ("act", name))
                out.append(("leave", name))
            elif self.acts[name] is not None:
                out.append(("act", name))
            if one.state is not CandidateState.HOLDING or now >= one.lease_end_us:
                out += [("try", name, reached) for reached in REACHED[:2]]
                if len(self.net) < NET:
                    out.append(("try-late", name, REACHED[1]))
                if self.faults:
                    out.append(("try-ill", name, REACHED[1]))
        if self.drift:
            out += [("ahead", name) for name in ("v1", "a")]
        if self.restarts:
            out += [("restart", "v1"), ("wipe", "v1"), ("restart", "a")]
        if any(one.fresh for one in self.voters.values()):
            out.append(("learn",))
        return out

    def make(self, move: Move) -> None:
        what = move[0]
        if what == "time":
            for name in self.clocks:
                self.clocks[name] += 1
        elif what == "ahead":
            self.drift = 0
            self.clocks[move[1]] += 1
        elif what == "come":
            self.deliver(*self.net.pop(int(move[1])))
        elif what == "restart" and move[1] in self.voters:
            self.restarts -= 1
            disk = self.disks[move[1]]
            self.voters[move[1]] = self.start(move[1], None if disk is None else dict(disk))
        elif what == "wipe":  # a fresh folder under the old name
            self.restarts -= 1
            self.disks[move[1]] = None
            self.voters[move[1]] = self.start(move[1], None)
            self.high[move[1]] = 0
        elif what == "restart":
            self.restarts -= 1
            self.acts[move[1]] = None
            self.begin(move[1])
        elif what == "learn":
            self.learn()
        elif what == "act-begin":
            self.acts[move[1]] = self.candidates[move[1]].held_epoch(self.clocks[move[1]])
        elif what == "act":
            self.act(move[1])
        elif what == "leave":
            one = self.candidates[move[1]]
            for post in one.leave(self.clocks[move[1]], "asked"):
                self.voters[post.to].release(self.clocks[post.to], post.message)
        else:
            self.round(move[1], move[2].split("+"), what)

    def round(self, name: str, reached: list[str], what: str) -> None:
        """A whole round at these voters: a sound and an ask, or a renewal.

        `late`: the last one's word stays on its way; `ill`: the last one's disk fails its promise.
        """
        one, now = self.candidates[name], self.clocks[name]
        if what.startswith("renew"):
            posts = one._renew(now)
        else:
            one.state, one.next_round_us = CandidateState.IDLE, now
            self.acts[name] = self.acts[name]
            for post in one._start_pre_vote(now):
                if post.to in reached:
                    said = self.voters[post.to].answer_pre_vote(self.clocks[post.to], post.message)
                    posts = one.handle_reply(now, said)
                    if posts:
                        break
            else:
                return
        for post in posts:
            if post.to not in reached or not isinstance(post.message, LeaseRequest):
                continue
            last = post.to == reached[-1]
            said = self.asked(post.to, post.message, what.endswith("ill") and last)
            if said is None:
                continue
            if what.endswith("late") and last:
                self.net.append((post.to, name, said))
            else:
                self.deliver(post.to, name, said)

    def asked(self, voter: str, ask: LeaseRequest, ill: bool) -> VoteReply | None:
        """A voter's answer, its disk included."""
        one, now = self.voters[voter], self.clocks[voter]
        answer = one.answer_request(now, ask)
        if isinstance(answer, PromiseWrite):
            if not ill:
                self.disks[voter] = {**(self.disks[voter] or {}), answer.duty: answer.promise}
            else:
                self.faults -= 1
            answer = one.write_finished(now, answer, not ill)
        return answer

    def deliver(self, from_: str, to: str, message: object) -> None:
        one, now = self.candidates[to], self.clocks[to]
        if isinstance(message, VoteReply) and message.recipient == one.incarnation:
            for post in one.handle_reply(now, message):
                if isinstance(post.message, LeaseRelease):
                    self.voters[post.to].release(self.clocks[post.to], post.message)

    def learn(self) -> None:
        for name, one in self.voters.items():
            asked = one.epoch_query(self.clocks[name]) if one.fresh else None
            if asked is None:
                continue
            writes: list[PromiseWrite] = []
            for other in one.others:
                said = self.voters[other].answer_epoch_query(self.clocks[other], asked)
                if said is not None:
                    writes = one.learn_epochs(self.clocks[name], said) or writes
            if not one.fresh:
                self.disks[name] = {}
            for i, write in enumerate(writes):
                self.disks[name] = {**(self.disks[name] or {}), write.duty: write.promise}
                one.promise_learned(write, i == len(writes) - 1)

    def act(self, name: str) -> None:
        """What was begun comes to the resource now, however long it took."""
        epoch, self.acts[name] = self.acts[name], None
        if epoch is None:
            return
        life = self.candidates[name].incarnation
        if self.fenced and not self.fence.admits(DUTY, epoch, life):
            return
        if epoch < self.newest:
            self.fault = f"an act of epoch {epoch} after one of {self.newest}"
        elif self.taken.setdefault(epoch, f"{name}{life}") != f"{name}{life}":
            self.fault = f"two acted under epoch {epoch}"
        self.newest = max(self.newest, epoch)

    # What is asked of it.

    def key(self) -> tuple:
        def rel(name: str, at: int) -> int:
            return max(-1, at - self.clocks[name])

        there = [
            (
                name,
                sorted(v.promises.items()),
                [(d, rel(name, at)) for d, at in v.lease_ends_us.items()],
                rel(name, v.silent_until_us),
                v.fresh,
                v.disk_ok,
                sorted((self.disks[name] or {"": None}).items()),
            )
            for name, v in self.voters.items()
        ]
        here = [
            (
                name,
                c.incarnation,
                c.state.value,
                c.epoch,
                rel(name, c.lease_end_us),
                rel(name, c.next_round_us),
                sorted(c.granted_by),
                sorted(c.rejected_by),
                c.highest_epoch,
                rel(name, c.requested_at_us + SPANS.lease_us),
            )
            for name, c in self.candidates.items()
        ]
        net = [
            (a, b, m.round - self.candidates[b].round, m.recipient, m.granted, m.epoch)
            for a, b, m in self.net
        ]
        skew = tuple(self.clocks[n] - self.clocks["b"] for n in self.clocks)
        return (
            there,
            here,
            net,
            skew,
            sorted(self.acts.items()),
            self.newest,
            sorted(self.taken.items()),
            sorted(self.fence.newest.items()),
            self.drift,
            self.restarts,
            self.faults,
        )

    def wrong(self) -> str | None:
        if self.fault:
            return self.fault
        if all(
            one.held_epoch(self.clocks[name]) is not None for name, one in self.candidates.items()
        ):
            return "two hold it at once"
        for name, one in self.voters.items():
            epoch = one.promises[DUTY].epoch if DUTY in one.promises else 0
            if epoch < self.high[name] and not one.fresh:
                return f"{name}'s promise went back to {epoch}"
            self.high[name] = max(self.high[name], epoch)
        return None


# Where walks begin: the way there, and whether the resource has a fence.
STARTS = {
    "nobody holds it": "",
    "one holds it": "try a v0+v1",
    "in the middle of an act": "try a v0+v1; act-begin a; time; time; time; time",
    "another has it meanwhile": "try a v0+v1; act-begin a; time; time; time; time; try b v1+v2; act-begin b",
    "about to end": "try a v0+v1; time; time; renew a v0+v1; time; time",
    "a word is late": "try-late a v1+v2; time",
    "a word on a renewal is late": "try a v0+v1; time; renew-late a v1+v2; time; time; come 0; time",
    "a voter starts anew": "try a v0+v1; act-begin a; restart v1; time; time",
    "a voter lost its promises": "try a v0+v1; act-begin a; act a; wipe v1",
    "lost, and the rest is past": "try a v0+v1; act-begin a; wipe v1; time; time; time; time",
    "a disk failed a promise": "try-ill a v1+v2; restart v1; time; time; time; time",
}


def begun(name: str, fenced: bool = True) -> Duty:
    world = Duty(2 if "restart" in STARTS[name] or "wipe" in STARTS[name] else 1, fenced=fenced)
    for step in filter(None, (step.strip() for step in STARTS[name].split(";"))):
        world.make(tuple(step.split()))
    return world


# Guards taken out, one each.


def _not_durable() -> contextlib.AbstractContextManager:
    asked = Duty.asked

    def forgets(self, voter, ask, ill):
        disk = self.disks[voter]
        answer = asked(self, voter, ask, ill)
        self.disks[voter] = disk
        return answer

    return mock.patch.object(Duty, "asked", forgets)


def _clocks_alike() -> contextlib.AbstractContextManager:
    return mock.patch.object(LeaseDurations, "longest_elsewhere_us", lambda self, span: span)


def _from_the_answer() -> contextlib.AbstractContextManager:
    granted = Candidate._count_grants

    def late(self, now):
        requested, self.requested_at_us = self.requested_at_us, now
        granted(self, now)
        self.requested_at_us = requested

    return mock.patch.object(Candidate, "_count_grants", late)


def _no_fence() -> contextlib.AbstractContextManager:
    return mock.patch.object(Fence, "admits", lambda self, duty, epoch, life: True)


def _counted_twice() -> contextlib.AbstractContextManager:
    hear = Candidate.handle_reply

    def twice(self, now, said):
        if said.granted and said.round == self.round and said.recipient == self.incarnation:
            self.granted_by.add(f"{said.voter} again")
        return hear(self, now, said)

    return mock.patch.object(Candidate, "handle_reply", twice)


def _votes_at_once() -> contextlib.AbstractContextManager:
    begin = Voter.__init__

    def at_once(self, now, name, life, others, spans, rows, voters=1):
        begin(self, now, name, life, others, spans, rows, voters)
        self.fresh, self.silent_until_us = False, now

    return mock.patch.object(Voter, "__init__", at_once)


MUTANTS: dict[str, Callable[[], contextlib.AbstractContextManager]] = {
    "a promise is durable": _not_durable,
    "clocks that differ": _clocks_alike,
    "the end is counted from before it asked": _from_the_answer,
    "the fence": _no_fence,
    "each vote once": _counted_twice,
    "a fresh folder does not vote": _votes_at_once,
}


def found(mutant: str | None, depth: int, most: int = 10**6) -> tuple[int, str | None]:
    """States walked from all starts, with one guard taken out or none, and what was found with its
    way.
    """
    with whole_ticks(), MUTANTS[mutant]() if mutant else contextlib.nullcontext():
        return from_all(STARTS, begun, depth, most)
