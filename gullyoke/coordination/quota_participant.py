"""One process's part in a fleet's limit: it borrows; a lender also lends and votes.

The class takes and returns messages; gullyoke/peer_transport/quota_service.py transports them.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum, auto
from typing import NamedTuple

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


class Recipient(Enum):
    """The kind of process that a message is sent to."""

    VOTER = auto()  # the process at the configured address of the lender
    LENDER = auto()  # the process that lends under the lender's name
    REQUESTER = auto()  # the process whose message is answered


class AddressedQuotaMessage(NamedTuple):
    """A message, its kind of recipient, and the name of the lender that it concerns."""

    to: Recipient
    lender: str
    message: QuotaMessage


class QuotaParticipant:
    """One process's borrower, and its lender and voter where it has them.

    Attributes:
        needed: Tokens that the process could use; set by the owner.
        used: Tokens that the process has in use; set by the owner.
        lender_name: The name under which the process lends; None if it is not a lender.
        substitutes: By name, lenders that this process runs for processes that have ended.
    """

    def __init__(
        self,
        now: int,
        incarnation: int,
        lender_names: Iterable[str],
        tokens: int,
        floor: int,
        lender_name: str | None = None,
        votes: bool = False,
        linger_us: int = 0,
        after_us: int = 0,
    ) -> None:
        """Start a participant.

        Args:
            now: Microseconds of the monotonic clock.
            incarnation: The random number drawn when the process started.
            lender_names: Names of all lenders.
            tokens: Tokens that this lender has to lend.
            floor: Tokens that each process may use without a lease.
            lender_name: The name under which the process lends, if any.
            votes: Whether the process is at the configured address of that lender.
            linger_us: How long calls of a process may still run after its end.
            after_us: For a limit on a mean, how long use still counts after the end of a lease.

        Raises:
            ValueError: If `lender_name` is not among `lender_names`.
        """
        self.lender_names = tuple(lender_names)
        if lender_name is not None and lender_name not in self.lender_names:
            names = ", ".join(self.lender_names)
            raise ValueError(f"{lender_name!r} is not one of the lenders {names}")
        self.lender_name = lender_name
        self.incarnation = incarnation
        self.after_us = after_us
        self.needed = 0
        self.used = 0
        begins_us = now + linger_us + after_us
        self.borrower = Borrower(incarnation, floor, self.lender_names, lender_name, begins_us)
        self.voter: LenderVoter | None = None
        self.tenure: LenderTenure | None = None
        self.lender: Lender | None = None
        if lender_name:
            if votes:
                self.voter = LenderVoter(now, lender_name, self.lender_names)
            self.tenure = LenderTenure(lender_name, incarnation, self.lender_names)
            self.lender = Lender(self.tenure, tokens, after_us)
        self.substitutes: dict[str, Lender] = {}

    def in_force(self, now: int) -> int:
        """Return how many tokens may be used now; call this again after every wait."""
        return self.borrower.in_force(now)

    def tick(self, now: int) -> list[AddressedQuotaMessage]:
        """Return the messages to send now; to be called a few times a second."""
        out: list[AddressedQuotaMessage] = []
        for lender in self.lenders():
            claim = lender.tenure.next_claim(now)
            if claim is not None:
                out += [
                    AddressedQuotaMessage(Recipient.VOTER, name, claim)
                    for name in self.lender_names
                ]
        for returned in self.borrower.next_returns(now, self.used):
            out.append(AddressedQuotaMessage(Recipient.LENDER, returned.lender, returned))
        for request in self.borrower.next_requests(now, self.needed):
            out.append(AddressedQuotaMessage(Recipient.LENDER, request.lender, request))
        return out

    def handle(self, now: int, message: QuotaMessage) -> AddressedQuotaMessage | None:
        """Handle a message; return the answer, if there is one."""
        if isinstance(message, LenderVote):
            for lender in self.lenders():
                lender.tenure.handle_vote(now, message)
            return None
        if isinstance(message, QuotaReturn):
            target = self._lender_named(message.lender)
            if target is not None:
                target.handle_return(now, message)
            return None
        answer: QuotaMessage | None = None
        to = Recipient.REQUESTER
        if isinstance(message, LenderClaim):
            answer = self.voter.answer_claim(now, message) if self.voter else None
        elif isinstance(message, QuotaRequest):
            target = self._lender_named(message.lender)
            answer = target.answer_request(now, message) if target else None
        elif isinstance(message, QuotaGrant):
            answer = self.borrower.handle_grant(now, message, self.used)
            to = Recipient.LENDER
        return AddressedQuotaMessage(to, message.lender, answer) if answer is not None else None

    def lenders(self) -> list[Lender]:
        """Return the lenders for all names under which this process lends."""
        own = [self.lender] if self.lender else []
        return own + list(self.substitutes.values())

    def _lender_named(self, name: str) -> Lender | None:
        return self.lender if name == self.lender_name else self.substitutes.get(name)

    def take_over(self, tokens: Mapping[str, int]) -> None:
        """Lend only under these names of ended lenders and under this process's own name.

        Any caller may do this safely: the tokens of a name are lent only once a majority of the
        lenders has granted the name, and lenders grant it only while no other process holds it. A
        process that comes back gets its name once this one stops claiming it.

        Args:
            tokens: By name, how many tokens there are to lend.
        """
        self.substitutes = {
            name: self.substitutes.get(name) or self._substitute(name, count)
            for name, count in tokens.items()
            if name in self.lender_names and name != self.lender_name
        }

    def _substitute(self, name: str, tokens: int) -> Lender:
        tenure = LenderTenure(name, self.incarnation, self.lender_names)
        return Lender(tenure, tokens, self.after_us)
