"""The way of a run through the pool: sent, waiting, tried again or told.

What a carrier of runs calls.
"""

from __future__ import annotations

from typing import NamedTuple

from gullyoke.admission.interface import Idempotency, Request, RequestEvent
from gullyoke.routing.backend import Member, Stated
from gullyoke.routing.outcomes import WORDS, Fate
from gullyoke.routing.pool import Pool
from gullyoke.routing.retry_budget import Budget
from gullyoke.routing.wait_queue import Line


class Run:
    """A run that the decisions began.

    `tried`: the members it was at, the last one last; `stopped`: whether the decisions asked for
    its end; `perhaps`: whether a try that failed may have run.
    """

    __slots__ = ("due", "kind", "perhaps", "request", "stopped", "tried")

    def __init__(self, request: Request) -> None:
        self.request, self.kind, self.due = (
            request,
            request.request_class.idempotency,
            request.deadline,
        )
        self.tried: list[Member] = []
        self.stopped = self.perhaps = False

    def wanted(self) -> bool:
        """Whether its caller still waits and nobody asked for its end."""
        return not (self.stopped or self.request.answered or self.request.client_gone)


class Send(NamedTuple):
    """Carry the run to the member."""

    run: Run
    member: Member


class Tell(NamedTuple):
    """The run is over: tell the decisions this word."""

    run: Run
    word: RequestEvent
    fate: Fate


Move = Send | Tell


class Dispatch:
    """Every method takes the clock and gives the moves that follow, in order.

    Not safe for threads: its caller keeps it behind a lock of its own.
    """

    def __init__(self, pool: Pool, budget: Budget) -> None:
        self.pool, self.budget, self.line = pool, budget, Line()
        self.again = 0  # further tries so far

    def begin(self, now: int, run: Run) -> list[Move]:
        """A new run: sent, put in line, or told at once that it can't be run."""
        self.budget.first()
        if not self.line.runs:
            member = self.pool.pick(now, run.kind)
            if member is not None:
                return [self._send(now, run, member)]
        if self.line.add(run, self.pool.room(now)):
            return []
        return [Tell(run, RequestEvent.NO_CAPACITY, Fate.UNRUN)]

    def ended(self, now: int, run: Run, fate: Fate) -> list[Move]:
        """Its try ended so."""
        self.pool.ended(now, run.tried[-1], run, fate)
        return self._next(now, run, fate) + self.turn(now)

    def _next(self, now: int, run: Run, fate: Fate) -> list[Move]:
        """Another try, or the word for it.

        What is known not to have run may go elsewhere whatever its kind; what may have run only
        where it may run again (rule 2). Neither without budget, nor without time left for the usual
        answer, nor to a back end it was at.
        """
        free = fate is Fate.UNRUN or (fate is Fate.LOST and run.kind is Idempotency.IDEMPOTENT)
        run.perhaps |= fate is Fate.LOST
        if free and run.wanted() and self.budget.has() and now + self.pool.usual() < run.due:
            member = self.pool.pick(now, run.kind, run.tried)
            if member is not None:
                self.budget.take()
                self.again += 1
                return [self._send(now, run, member)]
        word = WORDS[fate]
        if (
            word is RequestEvent.NO_CAPACITY and run.perhaps
        ):  # an earlier try may have run: no promise then
            word = RequestEvent.FAILED
        return [Tell(run, word, fate)]

    def _send(self, now: int, run: Run, member: Member) -> Send:
        run.tried.append(member)
        member.begin(now, run)
        return Send(run, member)

    def stop(self, now: int, run: Run) -> list[Move]:
        """The decisions asked for its end.

        In line it ends at once; at a back end its carrier ends it.
        """
        run.stopped = True
        return [Tell(run, RequestEvent.CANCELLED, Fate.STOPPED)] if self.line.drop(run) else []

    def state(self, now: int, stated: list[Stated]) -> tuple[list[Move], list[str], list[str]]:
        """Other members from now on: what follows, who came, who goes."""
        came, go = self.pool.state(now, stated)
        return self.turn(now), came, go

    def turn(self, now: int) -> list[Move]:
        """Those in line go on, or go: whenever something has ended, and at each wake-up."""
        moves: list[Move] = []
        if not self.line.runs:
            return moves
        late = self.line.hopeless(now, self.pool.usual(), self.pool.room(now))
        moves += [Tell(run, RequestEvent.NO_CAPACITY, Fate.UNRUN) for run in late]
        while self.line.runs:
            run = self.line.runs[0]
            member = self.pool.pick(now, run.kind)
            if member is None:
                break
            self.line.runs.popleft()
            moves.append(self._send(now, run, member))
        return moves

    def gauges(self, now: int, cores: int) -> tuple[float, float, float]:
        """What the decisions hear of the pool.

        The share of it that is busy, what wants a core of `cores`, and how many it takes at once.
        With all set aside no core is free.
        """
        room, there = self.pool.room(now), self.pool.in_hand(now) + len(self.line.runs)
        if not room:
            return 1.0, float(max(cores, there)), 0.0
        return min(1.0, there / room), cores * there / room, float(room)
