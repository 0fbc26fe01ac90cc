"""Quota leases on the peers' datagrams: to whom each message goes, and a lock around each part.

The decisions call the parts from their threads, the link's thread ticks them and hands them the
messages that came. Each part has one lock, under which nothing waits.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping
from typing import Final, Generic, NamedTuple, TypeVar

from gullyoke.coordination.limit_parts import ConcurrencyPart, LimitPart, MeanConcurrencyPart
from gullyoke.coordination.quota_messages import LenderVote
from gullyoke.coordination.quota_participant import AddressedQuotaMessage, Recipient
from gullyoke.coordination.tenant_quotas import TenantQuotaPart
from gullyoke.membership.member_record import MemberRecord
from gullyoke.peer_transport.link import AddressedBody
from gullyoke.peer_transport.quota_codec import digest_of, pack, unpack
from gullyoke.runtime import clock

TOPIC: Final = 1  # the topic of the limit on calls to the dependency
QUOTAS: Final = 3  # the topic of tenants' quotas

PartT = TypeVar("PartT", bound=LimitPart)


class Substitutes(NamedTuple):
    """Addresses of those that lend for lenders that ended, by lender; valid until `until_us`."""

    addresses: Mapping[str, str]
    until_us: int


class SharedLimit(Generic[PartT]):
    """One limit of the whole fleet; a `MessageHandler` of the link.

    Attributes:
        own: This server's part.
        homes: Configured addresses of the lenders, by name.
        others: Messages that came from servers that are configured otherwise.
        substitutes: Who lends for lenders that ended; set by the owner.
    """

    def __init__(
        self,
        own: PartT,
        homes: Mapping[str, str],
        digest: int,
        address_of: Callable[[str], str | None],
    ) -> None:
        """Take over a part.

        Args:
            own: This server's part.
            homes: Configured addresses of the lenders, by name.
            digest: Digest of the configuration (gullyoke/peer_transport/quota_codec.py).
            address_of: Returns the address of a member by its name, as the membership view has it.
        """
        self.own = own
        self.homes = dict(homes)
        self.digest = digest
        self.address_of = address_of
        self.lock = threading.Lock()
        self.others = 0
        self.substitutes = Substitutes({}, 0)

    def tick(self, now: int) -> list[AddressedBody]:
        """Return what is to be sent now."""
        with self.lock:
            messages = self.own.tick(now)
        return [body for message in messages for body in self._addressed(message, "")]

    def handle(self, now: int, sender: MemberRecord, body: bytes) -> Iterable[AddressedBody]:
        """Take a message; return the answer, if there is one.

        Raises:
            MalformedDatagramError: For bytes that are no message of quota leases.
        """
        message = unpack(self.digest, body)
        if message is None:
            self.others += 1
            return ()
        # A vote counts only from the process at the voter's configured address.
        if isinstance(message, LenderVote) and self.homes.get(message.voter) != sender.address:
            return ()
        with self.lock:
            answer = self.own.handle(now, message)
        return self._addressed(answer, sender.address) if answer is not None else ()

    def _addressed(self, message: AddressedQuotaMessage, requester: str) -> list[AddressedBody]:
        """Return the message with its address; nothing where the address is not known."""
        if message.to is Recipient.REQUESTER:
            address = requester
        elif message.to is Recipient.LENDER:
            address = self._lender_address(message.lender)
        else:
            address = self.homes.get(message.lender, "")
        return [AddressedBody(address, pack(self.digest, message.message))] if address else []

    def _lender_address(self, lender: str) -> str:
        """Return the address of the member of that name, its substitute's or the configured one."""
        substitutes = self.substitutes
        address = self.address_of(lender)
        if not address and clock.now() < substitutes.until_us:
            address = substitutes.addresses.get(lender)
        return address or self.homes.get(lender, "")

    def status(self, now: int) -> dict[str, object]:
        """Return how the limit stands, for operators and the log."""
        with self.lock:
            own = self.own
            participant = own.participant
            lender = participant.lender
            return {
                "in_force": participant.in_force(now),
                "floor": participant.borrower.floor,
                "used": own.used(now),
                "need": participant.needed,
                "refused": own.refused,
                "home": participant.lender_name or "-",
                "lends": lender is not None and lender.tenure.may_lend(now),
                "lent": lender.outstanding(now) if lender is not None else 0,
                "others": self.others,
            }


class SharedSlots(SharedLimit[ConcurrencyPart | MeanConcurrencyPart]):
    """A limit on calls; the `DependencySlots` of the decisions."""

    def update_mean_limit(
        self, now: int, stated: float | None, used_call_time: float
    ) -> float | None:
        """Return the mean number of calls that may be in flight; None where no mean is limited."""
        with self.lock:
            return self.own.update_mean_limit(now, stated, used_call_time)

    def request_slot(self, now: int, waiting: int) -> bool:
        """Tell whether a call may start now; `waiting` more would like to."""
        with self.lock:
            return self.own.request_slot(now, waiting)

    def secured_until(self, now: int) -> float:
        """Return when the next call has to be over, its linger included."""
        with self.lock:
            return self.own.secured_until(now)

    def concurrency(self, now: int) -> float:
        """Return how many calls may be in flight at a time."""
        with self.lock:
            return self.own.concurrency(now)

    def call_started(self) -> None:
        """Count a call that starts."""
        with self.lock:
            self.own.call_started()

    def call_ended(self, now: int, lost: bool, succeeded: bool) -> None:
        """Count a call that ends; one that was `lost` may still be at the dependency."""
        with self.lock:
            self.own.call_ended(now, lost, succeeded)


class SharedQuota(SharedLimit[TenantQuotaPart]):
    """A tenant's quota of the whole fleet."""

    def count_request(self, now: int) -> float:
        """Count a request and return this server's part of the quota, in requests a second."""
        with self.lock:
            return self.own.count_request(now)


class TenantQuotaService:
    """All tenants' quotas that are leased; a `MessageHandler` of the link.

    Attributes:
        limits: By the digest of their configuration.
        others: Messages that are of no limit here.
    """

    def __init__(self, limits: Iterable[SharedQuota]) -> None:
        """Take over the limits."""
        self.limits = {limit.digest: limit for limit in limits}
        self.others = 0

    def tick(self, now: int) -> list[AddressedBody]:
        """Return what is to be sent now."""
        return [body for limit in self.limits.values() for body in limit.tick(now)]

    def handle(self, now: int, sender: MemberRecord, body: bytes) -> Iterable[AddressedBody]:
        """Take a message of any of the limits.

        Raises:
            MalformedDatagramError: For bytes that are no message of quota leases.
        """
        limit = self.limits.get(digest_of(body))
        if limit is None:
            self.others += 1
            return ()
        return limit.handle(now, sender, body)
