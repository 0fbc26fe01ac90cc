"""One process's part in a shared limit.

It borrows, and where it is at a home it lends and votes. What it says and hears are the messages of
gullyoke/coordination/quota_leases.py; who carries them is not its affair.

`need` and `used` are told to it: what it would use, and what it has in use at this moment.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from gullyoke.coordination.quota_leases import (
    Borrower,
    Lender,
    LenderClaim,
    LenderTenure,
    LenderVote,
    LenderVoter,
    QuotaGrant,
    QuotaRequest,
    QuotaReturn,
)

Message = LenderClaim | LenderVote | QuotaRequest | QuotaGrant | QuotaReturn


class AddressedQuotaMessage(NamedTuple):
    """To whom: a voter, at the stated address of that home.

    A lender, whoever is taken for that home; or back to the process that asked.
    """

    to: str
    home: str
    message: Message


VOTER, LENDER, ASKER = "voter", "lender", "asker"


class QuotaParticipant:
    """`home` is the name it lends under, None where it is at none.

    `votes`, whether it is at that home's stated address. `tokens` is what this home has to lend,
    `floor` what each process has by right; `linger` and `after`, for how long what a process used
    before its end stays in use, and counts.
    """

    def __init__(
        self,
        now: int,
        life: int,
        homes: Iterable[str],
        tokens: int,
        floor: int,
        home: str | None = None,
        votes: bool = False,
        linger: int = 0,
        after: int = 0,
    ) -> None:
        self.homes = tuple(homes)
        if home is not None and home not in self.homes:
            raise ValueError(f"{home!r} is none of the homes {', '.join(self.homes)}")
        self.home, self.need, self.used = home, 0, 0
        self.borrower = Borrower(life, floor, self.homes, home, now + linger + after)
        self.voter = LenderVoter(now, home, self.homes) if home and votes else None
        self.holding = LenderTenure(home, life, self.homes) if home else None
        self.lender = Lender(self.holding, tokens, after) if self.holding else None
        self.life, self.after = life, after
        self.estates: dict[str, Lender] = {}  # of homes that ended, lent here for as long as asked

    def in_force(self, now: int) -> int:
        """What this process may use at this moment: asked again after every wait."""
        return self.borrower.in_force(now)

    def turn(self, now: int) -> list[AddressedQuotaMessage]:
        """What is to be said now; called a few times a second."""
        said: list[AddressedQuotaMessage] = []
        for lender in self.lenders():
            if (claim := lender.holding.claim(now)) is not None:
                said += [AddressedQuotaMessage(VOTER, home, claim) for home in self.homes]
        said += [
            AddressedQuotaMessage(LENDER, back.home, back)
            for back in self.borrower.give_back(now, self.used)
        ]
        return said + [
            AddressedQuotaMessage(LENDER, want.home, want)
            for want in self.borrower.ask(now, self.need)
        ]

    def hear(self, now: int, message: Message) -> AddressedQuotaMessage | None:
        """What it answers, if anything."""
        if isinstance(message, LenderClaim):
            promise = self.voter.claim(now, message) if self.voter else None
            return promise and AddressedQuotaMessage(ASKER, message.home, promise)
        if isinstance(message, LenderVote):
            for lender in self.lenders():
                lender.holding.hear(now, message)
        elif isinstance(message, QuotaRequest):
            lender = self.lends_for(message.home)
            grant = lender.want(now, message) if lender else None
            return grant and AddressedQuotaMessage(ASKER, message.home, grant)
        elif isinstance(message, QuotaGrant):
            back = self.borrower.hear(now, message, self.used)
            return back and AddressedQuotaMessage(LENDER, message.home, back)
        elif isinstance(message, QuotaReturn) and (lender := self.lends_for(message.home)):
            lender.returned(now, message)
        return None

    # What homes that ended had to lend, given out here: the name's own majority keeps it safe,
    # whoever asks.

    def lenders(self) -> list[Lender]:
        return ([self.lender] if self.lender else []) + list(self.estates.values())

    def lends_for(self, home: str) -> Lender | None:
        return self.lender if home == self.home else self.estates.get(home)

    def take_over(self, tokens: Mapping[str, int]) -> None:
        """Lend under these homes' names from now on, and under no others but one's own.

        A name is had only once a majority of the homes has no promise of it out any more; one that
        comes back gets it when this stops claiming.
        """

        def made(home: str, count: int) -> Lender:
            return self.estates.get(home) or Lender(
                LenderTenure(home, self.life, self.homes), count, self.after
            )

        self.estates = {
            home: made(home, count)
            for home, count in tokens.items()
            if home in self.homes and home != self.home
        }
