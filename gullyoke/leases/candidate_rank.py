"""Who should have a duty, told by the view alone.

Spread over the members by a hash, the well placed first.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from gullyoke.membership.row import whole

STEP = 200_000  # microseconds that each better placed one is given first
TRIES = 4  # so many try at all; the others only once these have had their time
SETTLED = 10_000_000  # one that has been in the view for less is not settled


class CandidatePlacement(NamedTuple):
    """How a member is placed.

    `settled`: in the view for long enough, its row not changed lately; `reached`: nobody accuses
    it; `leaving`: it has notice to leave; `room`: of its cores, from 0 to 1; `ill`: the duty failed
    there lately.
    """

    name: str
    settled: bool = True
    reached: bool = True
    leaving: bool = False
    room: float = 1.0
    ill: bool = False


def rank_candidates(duty: str, members: Iterable[CandidatePlacement]) -> list[str]:
    """Best first, the same for all who see the same.

    Among those alike the hash of duty and name decides, so that many duties are spread; room counts
    in three steps, so that it does not flicker.
    """

    def key(one: CandidatePlacement) -> tuple:
        return (
            one.leaving,
            one.ill,
            not one.reached,
            not one.settled,
            -round(2 * one.room),
            whole(f"{duty} {one.name}"),
        )

    return [one.name for one in sorted(members, key=key)]


def candidate_delay_us(duty: str, name: str, members: Iterable[CandidatePlacement]) -> int | None:
    """How long this one waits while nobody holds the duty; None for one that is not there."""
    ranked = rank_candidates(duty, members)
    if name not in ranked:
        return None
    at = ranked.index(name)
    return min(at, TRIES) * STEP
