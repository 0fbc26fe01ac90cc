"""Sends and receives quota lease messages in peers' datagrams.

Admission threads call the limits, and the link's thread ticks them and passes on received messages.
Each limit has one lock, and no code blocks while it holds the lock.
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

TOPIC: Final = 1  # topic of the limit on calls to the dependency
TENANT_QUOTA_TOPIC: Final = 3  # topic of tenants' quotas

PartT = TypeVar("PartT", bound=LimitPart)


class Substitutes(NamedTuple):
    """Addresses of the substitutes of stopped lenders, by lender's name; valid until `until_us`."""

    addresses: Mapping[str, str]
    until_us: int


class SharedLimit(Generic[PartT]):
    """One limit of the whole fleet; a `MessageHandler` of the link.

    Attributes:
        own: This server's part of the limit.
        lender_addresses: The lenders' configured addresses, by name.
        mismatched_messages: The number of messages with another configuration digest.
        substitutes: The substitutes of stopped lenders; set by the owner.
    """

    def __init__(
        self,
        own: PartT,
        lender_addresses: Mapping[str, str],
        digest: int,
        address_of: Callable[[str], str | None],
    ) -> None:
        """Connect a part of the limit to the transport.

        Args:
            own: This server's part of the limit.
            lender_addresses: The lenders' configured addresses, by name.
            digest: The digest of the configuration; see `quota_codec.configuration_digest`.
            address_of: Returns a member's address in the membership view, by the member's name.
        """
        self.own = own
        self.lender_addresses = dict(lender_addresses)
        self.digest = digest
        self.address_of = address_of
        self.lock = threading.Lock()
        self.mismatched_messages = 0
        self.substitutes = Substitutes({}, 0)

    def tick(self, now: int) -> list[AddressedBody]:
        """Return the messages to send now."""
        with self.lock:
            messages = self.own.tick(now)
        return [body for message in messages for body in self._addressed(message, "")]

    def handle(self, now: int, sender: MemberRecord, body: bytes) -> Iterable[AddressedBody]:
        """Handle a message; return the answer, if there is one.

        Raises:
            MalformedDatagramError: For bytes that are not a quota lease message.
        """
        message = unpack(self.digest, body)
        if message is None:
            self.mismatched_messages += 1
            return ()
        # A vote counts only if it comes from the voter's configured address.
        if (
            isinstance(message, LenderVote)
            and self.lender_addresses.get(message.voter) != sender.address
        ):
            return ()
        with self.lock:
            answer = self.own.handle(now, message)
        return self._addressed(answer, sender.address) if answer is not None else ()

    def _addressed(self, message: AddressedQuotaMessage, requester: str) -> list[AddressedBody]:
        """Return the message with its address; empty if the address is unknown."""
        if message.to is Recipient.REQUESTER:
            address = requester
        elif message.to is Recipient.LENDER:
            address = self._lender_address(message.lender)
        else:
            address = self.lender_addresses.get(message.lender, "")
        return [AddressedBody(address, pack(self.digest, message.message))] if address else []

    def _lender_address(self, lender: str) -> str:
        """Return the lender's address in the view, its substitute's, or the configured one."""
        substitutes = self.substitutes
        address = self.address_of(lender)
        if not address and clock.now() < substitutes.until_us:
            address = substitutes.addresses.get(lender)
        return address or self.lender_addresses.get(lender, "")

    def status(self, now: int) -> dict[str, object]:
        """Return the state of the limit, for operators and the log."""
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
                "others": self.mismatched_messages,
            }


class SharedSlots(SharedLimit[ConcurrencyPart | MeanConcurrencyPart]):
    """A limit on calls; implements `DependencySlots` for admission."""

    def update_mean_limit(
        self, now: int, stated: float | None, used_call_time: float
    ) -> float | None:
        """Report the used call time; return the limit on the mean of calls in flight, if any."""
        with self.lock:
            return self.own.update_mean_limit(now, stated, used_call_time)

    def request_slot(self, now: int, waiting: int) -> bool:
        """Request a slot for one more call; return whether the call may start now."""
        with self.lock:
            return self.own.request_slot(now, waiting)

    def secured_until(self, now: int) -> float:
        """Return the time by which the next call has to end, including its linger time."""
        with self.lock:
            return self.own.secured_until(now)

    def concurrency(self, now: int) -> float:
        """Return the number of calls that may be in flight at a time."""
        with self.lock:
            return self.own.concurrency(now)

    def call_started(self) -> None:
        """Count a started call."""
        with self.lock:
            self.own.call_started()

    def call_ended(self, now: int, lost: bool, succeeded: bool) -> None:
        """Count an ended call; if it was `lost`, the dependency may still be running it."""
        with self.lock:
            self.own.call_ended(now, lost, succeeded)


class SharedQuota(SharedLimit[TenantQuotaPart]):
    """A tenant's quota in the whole fleet."""

    def count_request(self, now: int) -> float:
        """Count a request and return this server's part of the quota, in requests a second."""
        with self.lock:
            return self.own.count_request(now)


class TenantQuotaService:
    """All leased quotas of tenants; a `MessageHandler` of the link.

    Attributes:
        limits: The quotas by the digest of their configuration.
        mismatched_messages: The number of messages whose digest matches no quota of this server.
    """

    def __init__(self, limits: Iterable[SharedQuota]) -> None:
        """Serve these quotas."""
        self.limits = {limit.digest: limit for limit in limits}
        self.mismatched_messages = 0

    def tick(self, now: int) -> list[AddressedBody]:
        """Return the messages to send now."""
        return [body for limit in self.limits.values() for body in limit.tick(now)]

    def handle(self, now: int, sender: MemberRecord, body: bytes) -> Iterable[AddressedBody]:
        """Handle a message of any of the quotas; return the answer, if there is one.

        Raises:
            MalformedDatagramError: For bytes that are not a quota lease message.
        """
        limit = self.limits.get(digest_of(body))
        if limit is None:
            self.mismatched_messages += 1
            return ()
        return limit.handle(now, sender, body)
