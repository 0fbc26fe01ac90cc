"""Shares on the members' datagrams.

Their letters as bytes, to whom each goes, and the slots that the decisions ask, behind one small
lock.

A body is a MessagePack array: the digest of the stated homes and limit, the kind, and its fields.
What another release appends is passed over; letters of a fleet stated otherwise are dropped: their
tokens are others.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping

from gullyoke.coordination.limit_parts import LimitPart
from gullyoke.coordination.quota_leases import (
    LenderVote,
)
from gullyoke.coordination.quota_participant import ASKER, LENDER, AddressedQuotaMessage
from gullyoke.membership.row import Row
from gullyoke.peer_transport.link import AddressedBody
from gullyoke.peer_transport.quota_codec import digest_of, pack, unpack
from gullyoke.runtime import clock

TOPIC, QUOTAS = 1, 3


class SharedLimit:
    """One shared limit.

    `homes`: stated addresses by name. `taken` gives the address of whom the view takes for a name.
    A `Topic` for the link; `lock` is held for moments.
    """

    def __init__(
        self,
        own: LimitPart,
        homes: Mapping[str, str],
        digest: int,
        taken: Callable[[str], str | None],
    ) -> None:
        self.own, self.homes, self.digest, self.taken = own, dict(homes), digest, taken
        self.lock = threading.Lock()
        self.others = 0  # letters of a fleet stated otherwise
        self.substitutes: tuple[dict[str, str], int] = (
            {},
            0,
        )  # who lends for homes that ended, and until when

    def turn(self, now: int) -> list[AddressedBody]:
        with self.lock:
            letters = self.own.turn(now)
        return [post for letter in letters for post in self.post(letter, "")]

    def hear(self, now: int, sender: Row, body: bytes) -> Iterable[AddressedBody]:
        message = unpack(self.digest, body)
        if message is None:
            self.others += 1
            return ()
        # A vote counts from the process at the voter's stated address alone.
        if isinstance(message, LenderVote) and self.homes.get(message.by) != sender.address:
            return ()
        with self.lock:
            letter = self.own.hear(now, message)
        return self.post(letter, sender.address) if letter is not None else ()

    def post(self, letter: AddressedQuotaMessage, asker: str) -> list[AddressedBody]:
        """A lender is whoever is taken for that home, or stands in for it.

        A voter, whoever is at its stated address.
        """
        stated_at, (instead, until) = self.homes.get(letter.home, ""), self.substitutes
        to = asker if letter.to == ASKER else stated_at
        if letter.to == LENDER:
            to = (
                self.taken(letter.home)
                or (clock.now() < until and instead.get(letter.home))
                or stated_at
            )
        return [(to, pack(self.digest, letter.message))] if to else []

    def status(self, now: int) -> dict[str, object]:
        """How it stands, for the status and the log."""
        with self.lock:
            part, own = self.own.participant, self.own
            lent = part.lender.out(now) if part.lender else 0
            return {
                "in_force": part.in_force(now),
                "floor": part.borrower.floor,
                "used": own.used(now),
                "need": part.need,
                "refused": own.refused,
                "home": part.home or "-",
                "lends": bool(part.lender and part.holding.lends(now)),
                "lent": lent,
                "others": self.others,
            }


class SharedSlots(SharedLimit):
    """It is a `Slots` for the decisions, under the desk's lock."""

    def share(self, now: int, told: float | None, spent: float) -> float | None:
        with self.lock:
            return self.own.share(now, told, spent)

    def free(self, now: int, waiting: int) -> bool:
        with self.lock:
            return self.own.free(now, waiting)

    def until(self, now: int) -> float:
        with self.lock:
            return self.own.until(now)

    def pace(self, now: int) -> float:
        with self.lock:
            return self.own.pace(now)

    def began(self) -> None:
        with self.lock:
            self.own.began()

    def ended(self, now: int, lost: bool, well: bool) -> None:
        with self.lock:
            self.own.ended(now, lost, well)


class SharedQuota(SharedLimit):
    """`lent` is a customer's for the decisions, under the desk's lock."""

    def leased_quota(self, now: int) -> float:
        with self.lock:
            return self.own.leased_quota(now)


class TenantQuotaService:
    """A `Topic` for all customers' quotas.

    Table: `limits`, by the digest of what is stated, one a customer whose quota is lent.
    """

    def __init__(self, limits: Iterable[SharedQuota]) -> None:
        self.limits = {limit.digest: limit for limit in limits}
        self.others = 0

    def turn(self, now: int) -> list[AddressedBody]:
        return [post for limit in self.limits.values() for post in limit.turn(now)]

    def hear(self, now: int, sender: Row, body: bytes) -> Iterable[AddressedBody]:
        limit = self.limits.get(digest_of(body))
        if limit is None:
            self.others += 1
            return ()
        return limit.hear(now, sender, body)
