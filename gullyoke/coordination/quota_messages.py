"""Messages of quota leases, between borrowers, lenders and the voters on a lender's name.

Each message is sent as an array of its fields in the order of their definition; new fields are
appended. `lender` is a lender's name in the operator's file. An `incarnation` is a random number
drawn when a process starts.
"""

from __future__ import annotations

from typing import NamedTuple


class LenderClaim(NamedTuple):
    """Asks all lenders for the right to lend under a name; the sender numbers its rounds."""

    lender: str
    incarnation: int
    round: int


class LenderVote(NamedTuple):
    """The answer of the lender `voter` to a `LenderClaim` of the same round."""

    lender: str
    incarnation: int
    round: int
    voter: str
    granted: bool


class QuotaRequest(NamedTuple):
    """Asks a lender for tokens, or to renew the lease on those that the borrower has.

    Attributes:
        lender: The lender's name.
        borrower: The borrower's incarnation.
        sequence: Number of the request; a lender ignores numbers that are not above the last one.
        wanted: Tokens that the borrower wants from this lender in total.
        weight: Scarce tokens are divided in proportion to the weights of the borrowers.
        elsewhere: Tokens that the borrower has from its floor and from other lenders.
    """

    lender: str
    borrower: int
    sequence: int
    wanted: int
    weight: float = 1.0
    elsewhere: int = 0


class QuotaGrant(NamedTuple):
    """The answer to a `QuotaRequest`: all tokens granted now, 0 where there are none to lend.

    `sequence` is that of the request.
    """

    lender: str
    borrower: int
    sequence: int
    tokens: int


class QuotaReturn(NamedTuple):
    """States that the borrower uses at most `tokens` of its lease, as of request `sequence`."""

    lender: str
    borrower: int
    sequence: int
    tokens: int


QuotaMessage = LenderClaim | LenderVote | QuotaRequest | QuotaGrant | QuotaReturn
