"""The key by which the exploration of leases tells two states of its world apart."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import TYPE_CHECKING

from gullyoke.leases.promises import Promise

if TYPE_CHECKING:
    from gullyoke.model_checking.lease_world import LeaseWorld


def state_key(world: LeaseWorld) -> Hashable:
    """Return the key of a state; times are relative to the clock of their process."""
    clock_differences = tuple(clock - world.clocks["b"] for clock in world.clocks.values())
    late_replies = [
        (
            late.voter,
            late.candidate,
            late.reply.round - world.candidates[late.candidate].round,
            late.reply.recipient,
            late.reply.granted,
            late.reply.epoch,
        )
        for late in world.late_replies
    ]
    return (
        [_voter_key(world, name) for name in world.voters],
        [_candidate_key(world, name) for name in world.candidates],
        late_replies,
        clock_differences,
        sorted(world.acts.items()),
        world.newest_epoch,
        sorted(world.actors.items()),
        sorted(world.fence.newest.items()),
        world.clock_steps,
        world.restarts,
        world.faults,
    )


def _ticks_until(world: LeaseWorld, name: str, time: int) -> int:
    return max(-1, time - world.clocks[name])


def _voter_key(world: LeaseWorld, name: str) -> Hashable:
    voter = world.voters[name]
    disk: Mapping[str, Promise | None] = world.disks[name] or {"": None}
    return (
        name,
        sorted(voter.promises.items()),
        [(duty, _ticks_until(world, name, end)) for duty, end in voter.lease_ends_us.items()],
        _ticks_until(world, name, voter.silent_until_us),
        voter.fresh,
        voter.disk_ok,
        sorted(disk.items()),
    )


def _candidate_key(world: LeaseWorld, name: str) -> Hashable:
    candidate = world.candidates[name]
    return (
        name,
        candidate.incarnation,
        candidate.state.value,
        candidate.epoch,
        _ticks_until(world, name, candidate.lease_end_us),
        _ticks_until(world, name, candidate.next_round_us),
        sorted(candidate.granted_by),
        sorted(candidate.rejected_by),
        candidate.highest_epoch,
        _ticks_until(world, name, candidate.requested_at_us + candidate.durations.lease_us),
    )
