"""The key by which the exploration of quota leases tells two states of its world apart."""

from __future__ import annotations

from collections.abc import Hashable
from typing import TYPE_CHECKING

from gullyoke.coordination.quota_messages import LenderClaim, LenderVote

if TYPE_CHECKING:
    from gullyoke.model_checking.quota_lease_world import LateMessage, QuotaLeaseWorld


def state_key(world: QuotaLeaseWorld) -> Hashable:
    """Return the key of a state; times are relative to the clock of their process."""
    clock_differences = tuple(clock - world.clocks["b1"] for clock in world.clocks.values())
    return (
        [_voter_key(world, name) for name in world.voters],
        [_lender_key(world, name) for name in world.lenders],
        [_borrower_key(world, name) for name in world.borrowers],
        [_message_key(world, late) for late in world.late_messages],
        clock_differences,
        world.clock_steps,
        world.restarts,
        world.lender_of["b1"],
    )


def _ticks_until(world: QuotaLeaseWorld, name: str, time: int, past: int = -1) -> int:
    """Return the ticks until a time, but not less than `past`: earlier times count alike."""
    return max(past, time - world.clocks[name])


def _voter_key(world: QuotaLeaseWorld, name: str) -> Hashable:
    voter = world.voters[name]
    return (
        name,
        _ticks_until(world, name, voter.silent_until_us),
        sorted(
            (granted.incarnation, _ticks_until(world, name, granted.until_us))
            for granted in voter.granted.values()
        ),
    )


def _lender_key(world: QuotaLeaseWorld, name: str) -> Hashable:
    lender = world.lenders[name]
    tenure = lender.tenure
    since = tenure.since_us
    return (
        name,
        tenure.incarnation,
        _ticks_until(world, name, tenure.claimed_at_us, -6),
        _ticks_until(world, name, tenure.next_claim_us),
        sorted(tenure.granted_by),
        _ticks_until(world, name, tenure.until_us),
        None if since is None else _ticks_until(world, name, since, -6),
        sorted(
            (
                borrower,
                lease.sequence - _sequence(world, borrower),
                lease.tokens,
                lease.granted,
                _ticks_until(world, name, lease.until_us),
            )
            for borrower, lease in lender.leases.items()
        ),
        sorted(
            (borrower, demand.want, _ticks_until(world, name, at_us, -6))
            for borrower, (demand, at_us) in lender.demands.items()
        ),
        lender.level,
    )


def _borrower_key(world: QuotaLeaseWorld, name: str) -> Hashable:
    borrower = world.borrowers[name]
    next_us = min(borrower.next_renewal_us, borrower.next_short_retry_us)
    return (
        name,
        _ticks_until(world, name, next_us),
        [
            (
                lease.tokens,
                _ticks_until(world, name, lease.until_us),
                lease.sequence - borrower.sequence,
            )
            for lease in borrower.leases.values()
        ],
        [
            (
                pending.sequence - borrower.sequence,
                _ticks_until(world, name, pending.sent_at_us, -6),
            )
            for pending in borrower.pending.values()
        ],
        len(borrower.unreturned),
    )


def _sequence(world: QuotaLeaseWorld, borrower: Hashable) -> int:
    """Return the number of the last request of the borrower with this incarnation."""
    return next(each.sequence for each in world.borrowers.values() if each.incarnation == borrower)


def _message_key(world: QuotaLeaseWorld, late: LateMessage) -> Hashable:
    """Return the key of a message; round and sequence numbers are relative to the latest ones.

    The round of a claim is kept as it is.
    """
    message = late.message
    head = (late.sender, late.recipient, type(message).__name__)
    if isinstance(message, LenderClaim):
        return (*head, message.incarnation, message.round)
    if isinstance(message, LenderVote):
        rounds = message.round - world.lenders[late.recipient].tenure.round
        return (*head, message.incarnation, rounds, message.granted)
    sequences = message.sequence - _sequence(world, message.borrower)
    return (*head, message.borrower, sequences, message[3])
