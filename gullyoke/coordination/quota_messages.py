"""Messages of quota leases, between borrowers, lenders and the voters on a lender's name.

Each message travels as an array of its fields in the order in which they stand here; new fields go
to the end. `lender` is a lender's name in the operator's file. An `incarnation` is a random number
drawn when a process starts.
"""

from __future__ import annotations

from typing import NamedTuple


class LenderClaim(NamedTuple):
    """A process asks all lenders for the right to lend under a name; it numbers its rounds."""

    lender: str
    incarnation: int
    round: int


class LenderVote(NamedTuple):
    """Answer to a `LenderClaim` of the same round by the lender `voter`."""

    lender: str
    incarnation: int
    round: int
    voter: str
    granted: bool


class QuotaRequest(NamedTuple):
    """A borrower asks a lender for tokens, or for those that it has for another while.

    Attributes:
        lender: The lender's name.
        borrower: The borrower's incarnation.
        sequence: Number of the request; a lender ignores those that are not above the last.
        wanted: Tokens that the borrower wants of this lender in all.
        weight: Its part of what is scarce is proportional to this.
        elsewhere: Tokens that it has besides.
    """

    lender: str
    borrower: int
    sequence: int
    wanted: int
    weight: float = 1.0
    elsewhere: int = 0


class QuotaGrant(NamedTuple):
    """Answer to a `QuotaRequest`: what is granted in all; 0 where the lender has nothing to lend.

    `sequence` is that of the request.
    """

    lender: str
    borrower: int
    sequence: int
    tokens: int


class QuotaReturn(NamedTuple):
    """The borrower uses no more than `tokens` of the lease that was granted to `sequence`."""

    lender: str
    borrower: int
    sequence: int
    tokens: int


QuotaMessage = LenderClaim | LenderVote | QuotaRequest | QuotaGrant | QuotaReturn
