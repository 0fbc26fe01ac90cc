"""Shares of a limit for the whole fleet, conserved.

What is in force together is never above the limit.

**Who lends.** The limit above the floors is cut into equal parts; each has a home, a member by its
stated name. A home lends tokens for LOAN, none twice. Which process is the home of that name is
promised by a majority of all homes for LEASE, so that two processes under one name never lend the
same tokens (leases by a majority: Gray and Cheriton 1989). **Who is asked.** A borrower asks the
homes in turn, itself first if it is one. **When it comes back.** Told, or when its time is out: the
borrower counts from before it asked, the home from after it gave, and longer by all that clocks may
differ. A home that starts, or held its name with a break, waits out a whole loan first; a voter
that starts promises nothing for a whole lease. Nobody's word on who is alive is asked for: a
failure detector that errs costs time, never a token.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterable
from typing import NamedTuple

from gullyoke.coordination.clock_drift import longest_elsewhere
from gullyoke.coordination.max_min_fairness import Demand, fill_level
from gullyoke.membership.row import whole

LEASE, LOAN = 3_000_000, 4_000_000  # microseconds for which a name and a loan are held
RENEW = 1_000_000  # both are asked for again after so long
SHORT = RENEW // 4  # and one home after so long by who is short
GROWTH = 4  # a loan grows by one in so many of the home's tokens at once
ASKED = 3 * RENEW  # what a borrower last wanted counts for so long
WEIGHED = RENEW // 4  # a home weighs who gets how much so often, whatever comes
TURNED = 4 * RENEW  # and who gets what rounding leaves changes so often


class LenderClaim(NamedTuple):
    """Promise me this name: from a process, asked in a round of its own."""

    home: str
    life: int
    round: int


class LenderVote(NamedTuple):
    home: str
    life: int
    round: int
    by: str
    kept: bool


class QuotaRequest(NamedTuple):
    """A loan is asked for, or asked for again.

    `want` tokens, under the borrower's own number for it. A lower `seq` than the last is old.
    `elsewhere`: what it has besides.
    """

    home: str
    borrower: int
    seq: int
    want: int
    weight: float = 1.0
    elsewhere: int = 0


class QuotaGrant(NamedTuple):
    """The loan from now on: `tokens`, none where the home has no right or nothing left."""

    home: str
    borrower: int
    seq: int
    tokens: int


class QuotaReturn(NamedTuple):
    """The borrower uses no more than `tokens` of its loan from now on."""

    home: str
    borrower: int
    seq: int
    tokens: int


class LenderVoter:
    """One home's word on who holds which name.

    Table: one row a home, as many as are stated; a row's promise ends with its time. Nothing is
    kept over a start: it begins by waiting out what it may have promised.
    """

    def __init__(self, now: int, name: str, homes: Iterable[str]) -> None:
        self.name, self.homes, self.mute = name, frozenset(homes), now + longest_elsewhere(LEASE)
        self.promised: dict[str, tuple[int, int]] = {}

    def claim(self, now: int, claim: LenderClaim) -> LenderVote | None:
        if claim.home not in self.homes:
            return None
        life, until = self.promised.get(claim.home, (claim.life, 0))
        kept = now >= self.mute and (life == claim.life or now >= until)
        if kept:
            self.promised[claim.home] = claim.life, now + longest_elsewhere(LEASE)
        return LenderVote(claim.home, claim.life, claim.round, self.name, kept)


class LenderTenure:
    """One process's right to a name, by a majority of the homes."""

    def __init__(self, home: str, life: int, homes: Iterable[str]) -> None:
        self.home, self.life, self.homes = home, life, frozenset(homes)
        self.round, self.asked, self.next = 0, 0, 0
        self.said: set[str] = set()
        self.until, self.since = 0, None  # the right's end, and when it began without a break

    def claim(self, now: int) -> LenderClaim | None:
        """What to ask all homes now, if it is time for a round."""
        if now < self.next:
            return None
        self.round, self.asked, self.next, self.said = self.round + 1, now, now + RENEW, set()
        return LenderClaim(self.home, self.life, self.round)

    def hear(self, now: int, promise: LenderVote) -> None:
        asked = self.home, self.life, self.round
        if (promise.home, promise.life, promise.round) != asked or not promise.kept:
            return
        self.said.add(promise.by)
        if 2 * len(self.said & self.homes) > len(self.homes):
            if not self.holds(now):
                self.since = now  # from the start, or after a break
            self.until = max(self.until, self.asked + LEASE)  # counted from before it was asked

    def holds(self, now: int) -> bool:
        return now < self.until

    def lends(self, now: int, after: int = 0) -> bool:
        """Whether it may lend: who lent under this name before has nothing out any more."""
        return (
            self.holds(now)
            and self.since is not None
            and now - self.since >= longest_elsewhere(LOAN + after)
        )


class QuotaLease:
    """One borrower's loan at its home.

    `tokens` may be in force until `until`; `told`, what it was last given and uses at the most once
    it has heard of it.
    """

    __slots__ = ("seq", "tokens", "told", "until")

    def __init__(self) -> None:
        self.seq, self.tokens, self.told, self.until = 0, 0, 0, 0


class Lender:
    """The lender of one name's tokens.

    Tables: `loans`, one a borrower's process, gone when its time is out; `wants`, what each last
    asked for, gone after ASKED. `after`: microseconds for which what was used to the end of a loan
    counts on, where the limit is on a mean.
    """

    def __init__(self, holding: LenderTenure, tokens: int, after: int = 0) -> None:
        self.holding, self.total, self.after = holding, tokens, after
        self.loans: dict[Hashable, QuotaLease] = {}
        self.wants: dict[Hashable, tuple[Demand, int]] = {}
        self.level, self.weighed = math.inf, None

    def out(self, now: int) -> int:
        """Tokens that may be in force at borrowers."""
        for who in [who for who, loan in self.loans.items() if now >= loan.until]:
            del self.loans[who]
        return sum(loan.tokens for loan in self.loans.values())

    def want(self, now: int, want: QuotaRequest) -> QuotaGrant | None:
        """What the borrower gets; None for what is older than the last it said."""
        loan = self.loans.get(want.borrower)
        if loan is not None and want.seq <= loan.seq:
            return None
        free = self.total - self.out(now)
        loan = self.loans.get(want.borrower)
        wish = Demand(max(0, want.want), max(0, want.elsewhere), max(1e-6, want.weight))
        self.wants[want.borrower] = wish, now
        if not self.holding.lends(now, self.after):
            return QuotaGrant(want.home, want.borrower, want.seq, 0)
        fair, has = self.fair(now, want.borrower, wish), loan.tokens if loan else 0
        grown = (loan.told if loan else 0) + max(1, self.total // GROWTH)
        tokens = min(fair, grown, has + free)
        if loan is None:
            if tokens <= 0:
                return QuotaGrant(want.home, want.borrower, want.seq, 0)
            loan = self.loans[want.borrower] = QuotaLease()
        # Shrinking frees nothing yet: what it has it may use until it says otherwise or its time is
        # out.
        loan.seq, loan.told, loan.tokens = want.seq, tokens, max(has, tokens)
        if tokens > 0:
            loan.until = now + longest_elsewhere(LOAN + self.after)
        return QuotaGrant(want.home, want.borrower, want.seq, tokens)

    def fair(self, now: int, borrower: Hashable, wish: Demand) -> int:
        """Its part in whole tokens.

        What rounding leaves goes to one and then to another, told by a hash, so that nobody is left
        without for ever where there are fewer than want one.
        """
        if self.weighed is None or now - self.weighed >= WEIGHED:
            self.weighed = now
            for who in [who for who, (_, at) in self.wants.items() if now - at > ASKED]:
                del self.wants[who]
            self.level = fill_level(self.total, (wish for wish, _ in self.wants.values()))
        part = wish.part(self.level)
        draw = whole(f"{self.holding.home} {borrower} {now // TURNED}") / 2**64
        return min(wish.want, int(part + draw))

    def returned(self, now: int, back: QuotaReturn) -> None:
        """It uses no more than that now, whatever it was granted up to `seq`.

        Later ones are on their way.
        """
        loan = self.loans.get(back.borrower)
        if loan is not None and back.seq == loan.seq:
            loan.tokens = min(loan.tokens, max(back.tokens, loan.told))


class BorrowedQuota(NamedTuple):
    """A loan as its borrower counts it."""

    tokens: int
    until: int
    seq: int


class Borrower:
    """One process's share: its floor by right, from `begins` on, and what homes lend it.

    Tables: `held`, `asked` and `owed`, one row a home at the most.
    """

    def __init__(
        self, life: int, floor: int, homes: Iterable[str], mine: str | None = None, begins: int = 0
    ) -> None:
        self.life, self.floor, self.begins = life, floor, begins
        self.homes = sorted(homes, key=lambda home: (home != mine, home))
        self.held: dict[str, BorrowedQuota] = {}
        self.asked: dict[
            str, tuple[int, int]
        ] = {}  # by home: the asking's number, and when it went out
        self.owed: dict[str, int] = {}  # shrunk under what is in use: the number of that loan
        self.seq, self.at, self.next, self.short, self.weight = 0, 0, 0, 0, 1.0

    def in_force(self, now: int) -> int:
        """What it may use at this moment. Asked again after every wait: time may have passed."""
        return self.right(now) + sum(held.tokens for held in self.held.values() if now < held.until)

    def right(self, now: int) -> int:
        """Its floor; none while what a process before this one used of it may count."""
        return self.floor if now >= self.begins else 0

    def sure(self, now: int, count: int) -> float:
        """Until when `count` are surely its own.

        Infinite within the floor, now where they are not.
        """
        count -= self.right(now)
        if count <= 0:
            return math.inf
        for held in sorted(self.held.values(), key=lambda held: -held.until):
            count -= held.tokens
            if count <= 0:
                return max(now, held.until)
        return now

    def ask(self, now: int, need: int) -> list[QuotaRequest]:
        """What to ask for now, so that all together comes to `need`.

        What is held is asked for again, what is missing at one home more, the next one in turn;
        sooner where something is missing.
        """
        missing = max(0, need - self.in_force(now))
        if now < self.next and not (missing and now >= self.short):
            return []
        renew = now >= self.next
        self.next, self.short = now + RENEW if renew else self.next, now + SHORT
        surplus = max(0, self.in_force(now) - max(need, self.right(now)))
        wants = []
        turn = self.homes[self.at % len(self.homes)] if self.homes else None
        self.at += 1
        for home in self.homes:
            held = self.held.get(home)
            has = held.tokens if held and now < held.until else 0
            give = min(has, surplus)
            surplus -= give
            want = has - give + (missing if home == turn else 0)
            if (want and home == turn) or (renew and has):
                self.seq += 1
                self.asked[home] = self.seq, now
                wants.append(
                    QuotaRequest(
                        home, self.life, self.seq, want, self.weight, self.in_force(now) - has
                    )
                )
        return wants

    def hear(self, now: int, grant: QuotaGrant, used: int = 0) -> QuotaReturn | None:
        """Shrinking acts at once, and is told to the home, less what is still in use of it."""
        seq, asked = self.asked.get(grant.home, (0, 0))
        if grant.borrower != self.life or grant.seq != seq:
            return None
        del self.asked[grant.home]
        self.held[grant.home] = BorrowedQuota(
            grant.tokens, asked + LOAN, seq
        )  # counted from before it asked
        return self._back(now, grant.home, used)

    def give_back(self, now: int, used: int) -> list[QuotaReturn]:
        """What was in use when it shrank and is no longer, told to its home."""
        return [self._back(now, home, used) for home in list(self.owed)]

    def _back(self, now: int, home: str, used: int) -> QuotaReturn:
        held, over = self.held[home], max(0, used - self.in_force(now))
        self.owed.pop(home, None)
        if over:
            self.owed[home] = held.seq
        return QuotaReturn(home, self.life, held.seq, held.tokens + over)
