"""A small model of quota leases: three voters, two processes with one lender's name, two borrowers.

Times are a few ticks, and one process's clock may get a tick ahead of the others. A single
exploration of all events would have too many states, so there are two. In the first, the lender
holds its name from its start on, but it may restart, and messages between it and the borrowers may
be late or lost. In the second, the borrowers' requests meet no faults, but processes have to claim
the name: votes may be late, a voter or the lender may restart, and a second process may start with
the same name. A violation is more tokens in force than the lender has. The rules are those of
production (gullyoke/coordination).
"""

from __future__ import annotations

import contextlib
from collections.abc import Hashable, Iterator
from enum import StrEnum
from typing import Final, NamedTuple
from unittest import mock

from gullyoke.coordination import quota_durations
from gullyoke.coordination.borrower import Borrower
from gullyoke.coordination.lender import Lender
from gullyoke.coordination.lender_tenure import LenderTenure, LenderVoter
from gullyoke.coordination.quota_messages import (
    LenderClaim,
    LenderVote,
    QuotaGrant,
    QuotaMessage,
    QuotaRequest,
    QuotaReturn,
)
from gullyoke.model_checking.explore import Move
from gullyoke.model_checking.quota_lease_state_key import state_key

TOKENS: Final = 2  # of the lender
MAX_LATE_MESSAGES: Final = 2
FOREVER: Final = 10**6  # ticks
MAJORITIES: Final = ("v0+v1", "v1+v2")  # the voters that a round reaches; both have v1
LENDERS: Final = ("h0", "h1", "h2")
LENDER: Final = "h0"  # the only lender that lends in this model
VOTERS: Final = ("v0", "v1", "v2")
BORROWERS: Final = ("b0", "b1")
FIRST_BORROWER_INCARNATION: Final = 20
DURATIONS: Final = {
    "TENURE_US": 3,
    "QUOTA_LEASE_US": 3,
    "RENEW_US": 1,
    "SHORT_RETRY_US": 1,
    "DEMAND_VALID_US": 8,
    "FAIR_LEVEL_INTERVAL_US": 1,
    "ROUNDING_INTERVAL_US": FOREVER,
    "GROWTH_DIVISOR": 1,
}


class Event(StrEnum):
    """What can happen; the values are the first words of moves in quota_leases.STARTS."""

    TICK = "time"
    CLOCK_AHEAD = "ahead"
    MESSAGE_ARRIVES = "come"
    CLAIM = "claim"
    CLAIM_LATE_VOTE = "claim-late"
    REQUEST = "ask"
    RESTART = "restart"
    DOUBLE_START = "double"


class Exchange(StrEnum):
    """How far a borrower's request gets: to its end, or until a message is late or lost."""

    DONE = "done"
    RETURN_LOST = "no-return"
    REQUEST_LATE = "want-late"
    GRANT_LATE = "grant-late"
    RETURN_LATE = "return-late"


STOPPED_BY: Final[dict[type, tuple[Exchange, ...]]] = {
    QuotaRequest: (Exchange.REQUEST_LATE,),
    QuotaGrant: (Exchange.GRANT_LATE,),
    QuotaReturn: (Exchange.RETURN_LATE, Exchange.RETURN_LOST),
}


class LateMessage(NamedTuple):
    """A message between two processes that has not arrived yet."""

    sender: str
    recipient: str
    message: QuotaMessage


@contextlib.contextmanager
def durations_in_ticks() -> Iterator[None]:
    """Set the durations of the rules to the fewest ticks that keep their order."""
    with contextlib.ExitStack() as stack:
        for name, ticks in DURATIONS.items():
            stack.enter_context(mock.patch.object(quota_durations, name, ticks))
        yield


class QuotaLeaseWorld:
    """The state of the world.

    Attributes:
        clocks: Ticks by process.
        lenders: The processes with the lender's name; the second one starts later.
        borrowers: Each requests all tokens of the lender.
        late_messages: Messages that have not arrived yet.
        lender_of: By borrower, the process to which it sends its requests.

    Args:
        name_claimed: Whether processes must claim the lender's name; otherwise they always hold it.
        restarts: How many restarts and starts of a second process may happen.
    """

    def __init__(self, name_claimed: bool, restarts: int = 1) -> None:
        self.clocks = dict.fromkeys((*VOTERS, "l0", "l1", *BORROWERS), 0)
        self.voters = {
            voter: LenderVoter(0, lender, LENDERS)
            for voter, lender in zip(VOTERS, LENDERS, strict=True)
        }
        self.lenders: dict[str, Lender] = {}
        self.borrowers = {
            name: Borrower(FIRST_BORROWER_INCARNATION + i, 0, (LENDER,))
            for i, name in enumerate(BORROWERS)
        }
        self.late_messages: list[LateMessage] = []
        self.name_claimed = name_claimed
        self.clock_steps = 1
        self.restarts = restarts
        self.last_incarnation = 10
        self.lender_of = dict.fromkeys(BORROWERS, "l0")
        self._start_lender("l0")

    def _start_lender(self, name: str) -> None:
        self.last_incarnation += 1
        tenure = LenderTenure(LENDER, self.last_incarnation, LENDERS)
        if not self.name_claimed:  # the process holds the name from its start on
            tenure.since_us = self.clocks[name]
            tenure.until_us = FOREVER
            tenure.next_claim_us = FOREVER
        self.lenders[name] = Lender(tenure, TOKENS)

    # An exchange of messages without loss or delay is one move. For each of its messages that may
    # be late or lost, there is a further move.

    def moves(self) -> list[Move]:
        """List the moves that are possible in this state."""
        moves: list[Move] = [(Event.TICK,)]
        moves += [(Event.MESSAGE_ARRIVES, i) for i in range(len(self.late_messages))]
        may_be_late = len(self.late_messages) < MAX_LATE_MESSAGES
        for name, lender in self.lenders.items():
            if self.clocks[name] >= lender.tenure.next_claim_us:
                moves += [(Event.CLAIM, name, reached) for reached in MAJORITIES]
                if may_be_late:
                    moves.append((Event.CLAIM_LATE_VOTE, name, MAJORITIES[1]))
        for name in BORROWERS:
            moves += self._request_moves(name, may_be_late)
        if self.clock_steps:
            ahead = ("l0", "b0", "v1") if self.name_claimed else ("l0", "b0")
            moves += [(Event.CLOCK_AHEAD, name) for name in ahead]
        if self.restarts:
            moves += self._start_moves()
        return moves

    def _request_moves(self, name: str, may_be_late: bool) -> list[Move]:
        borrower = self.borrowers[name]
        if self.clocks[name] < min(borrower.next_renewal_us, borrower.next_short_retry_us):
            return []
        moves: list[Move] = [(Event.REQUEST, name, Exchange.DONE)]
        if self.name_claimed:
            return moves
        moves.append((Event.REQUEST, name, Exchange.RETURN_LOST))
        if may_be_late:
            late = (Exchange.REQUEST_LATE, Exchange.GRANT_LATE, Exchange.RETURN_LATE)
            moves += [(Event.REQUEST, name, exchange) for exchange in late]
        return moves

    def _start_moves(self) -> list[Move]:
        moves: list[Move] = [(Event.RESTART, "l0")]
        if self.name_claimed:
            moves.append((Event.RESTART, "v1"))
            if "l1" not in self.lenders:
                moves.append((Event.DOUBLE_START,))
        return moves

    def make(self, move: Move) -> None:
        """Make one move."""
        event = Event(move[0])
        match event:
            case Event.TICK:
                for name in self.clocks:
                    self.clocks[name] += 1
            case Event.CLOCK_AHEAD:
                self.clock_steps = 0
                self.clocks[move[1]] += 1
            case Event.MESSAGE_ARRIVES:
                self._exchange(self.late_messages.pop(int(move[1])), Exchange.DONE)
            case Event.CLAIM | Event.CLAIM_LATE_VOTE:
                self._claim(move[1], move[2], event is Event.CLAIM_LATE_VOTE)
            case Event.REQUEST:
                self._request(move[1], Exchange(move[2]))
            case Event.DOUBLE_START:  # one borrower sends its requests to the new process
                self.restarts -= 1
                self._start_lender("l1")
                self.lender_of["b1"] = "l1"
            case Event.RESTART:
                self._restart(move[1])

    def _restart(self, name: str) -> None:
        self.restarts -= 1
        if name == "l0":
            self._start_lender("l0")
        else:
            lender = LENDERS[VOTERS.index(name)]
            self.voters[name] = LenderVoter(self.clocks[name], lender, LENDERS)

    def _claim(self, name: str, reached: str, late: bool) -> None:
        """Make a round of claims that reaches these voters; `late` delays the last vote."""
        claim = self.lenders[name].tenure.next_claim(self.clocks[name])
        if claim is None:
            return
        voters = reached.split("+")
        for voter in voters:
            vote = self.voters[voter].answer_claim(self.clocks[voter], claim)
            if vote is None:
                continue
            message = LateMessage(voter, name, vote)
            if late and voter == voters[-1]:
                self.late_messages.append(message)
            else:
                self._exchange(message, Exchange.DONE)

    def _request(self, name: str, exchange: Exchange) -> None:
        """Send a borrower's requests that are due, up to the first with a late or lost message."""
        for request in self.borrowers[name].next_requests(self.clocks[name], TOKENS):
            message = LateMessage(name, self.lender_of[name], request)
            if not self._exchange(message, exchange):
                return

    def _exchange(self, late: LateMessage, exchange: Exchange) -> bool:
        """Deliver a message and the answers that follow; return False if one is late or lost."""
        current: LateMessage | None = late
        while current is not None:
            if exchange in STOPPED_BY.get(type(current.message), ()):
                if exchange is not Exchange.RETURN_LOST:
                    self.late_messages.append(current)
                return False
            answer = self._answer(current.recipient, current.message)
            current = LateMessage(current.recipient, current.sender, answer) if answer else None
        return True

    def _answer(self, to: str, message: QuotaMessage) -> QuotaMessage | None:
        now = self.clocks[to]
        match message:
            case LenderClaim():
                return self.voters[to].answer_claim(now, message)
            case LenderVote():
                self.lenders[to].tenure.handle_vote(now, message)
            case QuotaRequest():
                return self.lenders[to].answer_request(now, message)
            case QuotaGrant():
                return self.borrowers[to].handle_grant(now, message)
            case QuotaReturn():
                self.lenders[to].handle_return(now, message)
        return None

    # Key and checks.

    def key(self) -> Hashable:
        """Return the key of this state."""
        return state_key(self)

    def wrong(self) -> str | None:
        """Return a description of the violation in this state; None if there is none."""
        in_force = sum(
            borrower.in_force(self.clocks[name]) for name, borrower in self.borrowers.items()
        )
        return f"{in_force} of {TOKENS} tokens in force" if in_force > TOKENS else None
