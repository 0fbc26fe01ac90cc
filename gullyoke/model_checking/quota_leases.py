"""The protocol of shares in small.

Three homes that vote, one of which lends, a second process under that name, two borrowers. Times
are a few ticks; clocks may be one tick apart in all.

Two walks, since the whole at once grows too fast: `loans`, in which the home's name is safe and
whatever can happen between it and its borrowers does; `names`, in which borrowers ask without
faults and whatever can happen to the name does. What is looked for in both: more of the home's
tokens in force than there are. The modules are those that run (gullyoke/coordination), with
their times put to ticks.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from unittest import mock

from gullyoke.coordination import quota_durations
from gullyoke.coordination.borrower import Borrower
from gullyoke.coordination.lender import Lender
from gullyoke.coordination.lender_tenure import LenderTenure, LenderVoter
from gullyoke.coordination.quota_messages import (
    LenderClaim,
    LenderVote,
    QuotaGrant,
    QuotaRequest,
    QuotaReturn,
)
from gullyoke.model_checking.explore import Move, from_all

TOKENS, NET = 2, 2  # what the home lends; late messages on their way at once
FOREVER = 10**6
REACHED = ("v0+v1", "v1+v2")  # whom a round comes to: two majorities, with one voter in both
HOMES = ("h0", "h1", "h2")


@contextlib.contextmanager
def ticks() -> Iterator[None]:
    """The module's times in ticks: the smallest that keep their order."""
    small = {
        "TENURE_US": 3,
        "QUOTA_LEASE_US": 3,
        "RENEW_US": 1,
        "SHORT_RETRY_US": 1,
        "DEMAND_VALID_US": 8,
        "FAIR_LEVEL_INTERVAL_US": 1,
        "ROUNDING_INTERVAL_US": 10**6,
        "GROWTH_DIVISOR": 1,
    }
    with contextlib.ExitStack() as stack:
        for name, value in small.items():
            stack.enter_context(mock.patch.object(quota_durations, name, value))
        yield


class Sharing:
    """`lenders`: processes under the name h0, the second one started later.

    `borrowers` want all there is. `clocks`: ticks by process. `net`: messages on their way, from
    and to a process.
    """

    def __init__(self, names: bool, restarts: int = 1) -> None:
        self.clocks = dict.fromkeys(("v0", "v1", "v2", "l0", "l1", "b0", "b1"), 0)
        self.voters = {f"v{i}": LenderVoter(0, home, HOMES) for i, home in enumerate(HOMES)}
        self.lenders: dict[str, Lender] = {}
        self.borrowers = {f"b{i}": Borrower(20 + i, 0, ("h0",)) for i in range(2)}
        self.net: list[tuple[str, str, object]] = []
        self.names, self.drift, self.restarts, self.lives = names, 1, restarts, 10
        self.taken = {"b0": "l0", "b1": "l0"}
        self.begin("l0")

    def begin(self, name: str) -> None:
        self.lives += 1
        holding = LenderTenure("h0", self.lives, HOMES)
        if not self.names:  # the name is its own from its start on
            holding.since_us, holding.until_us, holding.next_claim_us = (
                self.clocks[name],
                FOREVER,
                FOREVER,
            )
        self.lenders[name] = Lender(holding, TOKENS)

    # What can happen. An exchange that nothing comes between is one move; whatever of it can be
    # lost or late is a move of its own.

    def moves(self) -> list[Move]:
        out: list[Move] = [("time",)]
        out += [("come", i) for i in range(len(self.net))]
        for name, home in self.lenders.items():
            if self.clocks[name] >= home.tenure.next_claim_us:
                out += [("claim", name, reached) for reached in REACHED]
                if len(self.net) < NET:
                    out.append(("claim-late", name, REACHED[1]))
        for name, one in self.borrowers.items():
            if self.clocks[name] >= min(one.next_renewal_us, one.next_short_retry_us):
                out += [("ask", name, "done")]
                if not self.names:
                    out += [("ask", name, "no-return")]
                    if len(self.net) < NET:
                        out += [
                            ("ask", name, how) for how in ("want-late", "grant-late", "return-late")
                        ]
        if self.drift:
            out += [
                ("ahead", name) for name in (("l0", "b0", "v1") if self.names else ("l0", "b0"))
            ]
        if self.restarts:
            out.append(("restart", "l0"))
            if self.names:
                out.append(("restart", "v1"))
                if "l1" not in self.lenders:
                    out.append(("double",))
        return out

    def make(self, move: Move) -> None:
        what = move[0]
        if what == "time":
            for name in self.clocks:
                self.clocks[name] += 1
        elif what == "ahead":  # its clock is a tick further from now on
            self.drift = 0
            self.clocks[move[1]] += 1
        elif what == "come":
            self.hear(*self.net.pop(int(move[1])))
        elif what in ("claim", "claim-late"):
            self.claim(move[1], move[2], what == "claim-late")
        elif what == "ask":
            self.ask(move[1], move[2])
        elif what == "double":  # and one of the borrowers takes it for the home
            self.restarts -= 1
            self.begin("l1")
            self.taken["b1"] = "l1"
        elif what == "restart":
            self.restarts -= 1
            if move[1] == "l0":
                self.begin("l0")
            else:
                self.voters[move[1]] = LenderVoter(
                    self.clocks[move[1]], HOMES[int(move[1][1])], HOMES
                )

    def claim(self, name: str, reached: str, late: bool) -> None:
        """A round that comes to these voters; `late`: the last of their words stays on its way."""
        claim = self.lenders[name].tenure.next_claim(self.clocks[name])
        for voter in reached.split("+"):
            promise = self.voters[voter].answer_claim(self.clocks[voter], claim)
            if late and voter == reached.split("+")[-1]:
                self.net.append((voter, name, promise))
            else:
                self.hear(voter, name, promise)

    def ask(self, name: str, how: str) -> None:
        for want in self.borrowers[name].next_requests(self.clocks[name], TOKENS):
            message, from_, to = want, name, self.taken[name]
            while message is not None:
                kind = {QuotaRequest: "want", QuotaGrant: "grant", QuotaReturn: "return"}[
                    type(message)
                ]
                if how == f"{kind}-late":
                    self.net.append((from_, to, message))
                    return
                if how == f"no-{kind}":
                    return
                message, from_, to = self.answer(from_, to, message), to, from_

    def hear(self, from_: str, to: str, message: object) -> None:
        """A late message, and at once whatever it brings about."""
        while message is not None:
            message, from_, to = self.answer(from_, to, message), to, from_

    def answer(self, from_: str, to: str, message: object) -> object | None:
        now = self.clocks[to]
        if isinstance(message, LenderClaim):
            return self.voters[to].answer_claim(now, message)
        if isinstance(message, LenderVote):
            self.lenders[to].tenure.handle_vote(now, message)
        elif isinstance(message, QuotaRequest):
            return self.lenders[to].answer_request(now, message)
        elif isinstance(message, QuotaGrant):
            return self.borrowers[to].handle_grant(now, message)
        elif isinstance(message, QuotaReturn):
            self.lenders[to].handle_return(now, message)
        return None

    # What is asked of it.

    def key(self) -> tuple:
        """Times as seen from now, so that the same situation later is the same state."""

        def rel(name: str, at: int | None) -> int | None:
            return None if at is None else max(-6, at - self.clocks[name])

        voters = [
            (
                name,
                max(-1, rel(name, v.silent_until_us)),
                sorted((life, max(-1, rel(name, until))) for life, until in v.granted.values()),
            )
            for name, v in self.voters.items()
        ]
        lenders = [
            (
                name,
                h.tenure.incarnation,
                rel(name, h.tenure.claimed_at_us),
                max(-1, rel(name, h.tenure.next_claim_us)),
                sorted(h.tenure.granted_by),
                max(-1, rel(name, h.tenure.until_us)),
                rel(name, h.tenure.since_us),
                sorted(
                    (
                        who,
                        x.sequence - self.seq(who),
                        x.tokens,
                        x.granted,
                        max(-1, rel(name, x.until_us)),
                    )
                    for who, x in h.leases.items()
                ),
                sorted((who, w.want, rel(name, at)) for who, (w, at) in h.demands.items()),
                h.level,
            )
            for name, h in self.lenders.items()
        ]
        borrowers = [
            (
                name,
                max(-1, rel(name, min(b.next_renewal_us, b.next_short_retry_us))),
                [
                    (x.tokens, max(-1, rel(name, x.until_us)), x.sequence - b.sequence)
                    for x in b.leases.values()
                ],
                [(seq - b.sequence, rel(name, at)) for seq, at in b.pending.values()],
                len(b.unreturned),
            )
            for name, b in self.borrowers.items()
        ]
        net = [(a, b, type(m).__name__, *self.told(a, b, m)) for a, b, m in self.net]
        skew = tuple(self.clocks[name] - self.clocks["b1"] for name in self.clocks)
        return voters, lenders, borrowers, net, skew, self.drift, self.restarts, self.taken["b1"]

    def seq(self, who: int) -> int:
        return self.borrowers[f"b{who - 20}"].sequence

    def told(self, from_: str, to: str, message: object) -> tuple:
        """A message, its numbers as seen from where they are counted."""
        if isinstance(message, LenderVote):
            return (
                message.incarnation,
                message.round - self.lenders[to].tenure.round,
                message.granted,
            )
        return message.borrower, message.sequence - self.seq(message.borrower), message[3]

    def wrong(self) -> str | None:
        lent = sum(b.in_force(self.clocks[name]) for name, b in self.borrowers.items())
        return f"{lent} of {TOKENS} in force" if lent > TOKENS else None


def lending(names: bool, restarts: int = 1) -> Sharing:
    """A world in which the home lends all to the first borrower.

    Its way there is one without faults.
    """
    world = Sharing(names, restarts)
    for _ in range(20):
        for move in (("claim", "l0", REACHED[0]), ("ask", "b0", "done")):
            if move in world.moves():
                world.make(move)
        if world.borrowers["b0"].in_force(world.clocks["b0"]) == TOKENS:
            break
        world.make(("time",))
    return world


# Where walks begin, each in the middle of something: whether the name is at stake, and the way
# there.
STARTS = {
    "all is well": (False, ""),
    "a late grant": (False, "time; ask b0 grant-late; time; time"),
    "a want that is late": (False, "time; ask b0 want-late; time"),
    "another wants as well": (False, "ask b1 done; time"),
    "what is late and another": (False, "ask b1 done; time; ask b0 return-late"),
    "the home starts anew": (False, "time; ask b0 done; restart l0"),
    "the name is held": (True, ""),
    "its holder starts anew": (True, "time; time; ask b0 done; restart l0; time; time"),
    "two of one name": (
        True,
        "time; claim l0 v0+v1; double; claim l1 v1+v2; time; time; ask b0 done; "
        "claim l1 v1+v2; time",
    ),
    "two, and a voter starts anew": (
        True,
        "time; claim l0 v0+v1; double; restart v1; claim l1 v1+v2; time; "
        "time; ask b0 done; claim l1 v1+v2; time",
    ),
}


def begun(name: str) -> Sharing:
    """The world of a start."""
    names, way = STARTS[name]
    world = lending(names, 2 if "restart" in way and "double" in way else 1)
    for move in filter(None, (step.strip() for step in way.split(";"))):
        world.make(tuple(move.split()))
    return world


# Guards taken out, one each: a walk must find what each one guards against.


def _counted_late() -> contextlib.AbstractContextManager:
    hear = Borrower.handle_grant

    def late(self, now, grant, used=0):
        back = hear(self, now, grant, used)
        if back is not None:
            self.leases[grant.lender] = self.leases[grant.lender]._replace(
                until_us=now + quota_durations.QUOTA_LEASE_US
            )
        return back

    return mock.patch.object(Borrower, "handle_grant", late)


def _frees_at_once() -> contextlib.AbstractContextManager:
    want = Lender.answer_request

    def frees(self, now, asked):
        found = want(self, now, asked)
        if found is not None and asked.borrower in self.leases:
            self.leases[asked.borrower].tokens = found.tokens
        return found

    return mock.patch.object(Lender, "answer_request", frees)


def _clocks_alike() -> contextlib.AbstractContextManager:
    return mock.patch.object(quota_durations, "longest_elsewhere_us", lambda span: span)


def _lends_at_once() -> contextlib.AbstractContextManager:
    return mock.patch.object(
        LenderTenure, "may_lend", lambda self, now, after=0: self.is_valid(now)
    )


def _voter_forgets() -> contextlib.AbstractContextManager:
    begin = LenderVoter.__init__

    def forgets(self, now, name, homes):
        begin(self, now, name, homes)
        self.silent_until_us = now

    return mock.patch.object(LenderVoter, "__init__", forgets)


def _any_number() -> contextlib.AbstractContextManager:
    hear = LenderTenure.handle_vote

    def any_number(self, now, promise):
        hear(self, now, promise)
        if (promise.lender, promise.incarnation) == (
            self.name,
            self.incarnation,
        ) and promise.granted:
            self.since_us = self.since_us if self.is_valid(now) else now
            self.until_us = max(self.until_us, self.claimed_at_us + quota_durations.TENURE_US)

    return mock.patch.object(LenderTenure, "handle_vote", any_number)


MUTANTS: dict[str, Callable[[], contextlib.AbstractContextManager]] = {
    "the borrower counts from before it asked": _counted_late,
    "shrinking frees nothing before it is told": _frees_at_once,
    "clocks that differ": _clocks_alike,
    "a home waits out a loan": _lends_at_once,
    "a voter that starts is mute": _voter_forgets,
    "a majority": _any_number,
}


def found(mutant: str | None, depth: int, most: int = 10**6) -> tuple[int, str | None]:
    """States walked from all starts, with one guard taken out or none, and what was found with its
    way.
    """
    with ticks(), MUTANTS[mutant]() if mutant else contextlib.nullcontext():
        return from_all(STARTS, begun, depth, most)
