"""The order in which members compete for a lease, computed from the membership view.

All members that have the same view compute the same order. A hash distributes the leases over the
members.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, NamedTuple

from gullyoke.membership.member_record import stable_hash

DELAY_STEP_US: Final = 200_000  # head start of each member over the next one in rank
MAX_DELAY_STEPS: Final = 4  # members from this rank on compete at the same time
CAPACITY_STEPS: Final = 2  # free capacity is rounded to halves, so that ranks do not flicker


class CandidatePlacement(NamedTuple):
    """The properties of a member that determine its rank.

    Attributes:
        name: The member's name.
        settled: Whether the member has been in the view for some time with an unchanged record.
        reached: Whether no member suspects this one.
        leaving: Whether the member is about to leave.
        free_capacity: The free share of its cores, from 0 to 1.
        failed: Whether the work under the lease recently failed at this member.
    """

    name: str
    settled: bool = True
    reached: bool = True
    leaving: bool = False
    free_capacity: float = 1.0
    failed: bool = False


def rank_candidates(duty: str, members: Iterable[CandidatePlacement]) -> list[str]:
    """Return the names of the members, best first; a hash orders members that are alike."""

    def key(member: CandidatePlacement) -> tuple[bool, bool, bool, bool, int, int]:
        return (
            member.leaving,
            member.failed,
            not member.reached,
            not member.settled,
            -round(CAPACITY_STEPS * member.free_capacity),
            stable_hash(f"{duty} {member.name}"),
        )

    return [member.name for member in sorted(members, key=key)]


def candidate_delay_us(duty: str, name: str, members: Iterable[CandidatePlacement]) -> int | None:
    """Return how long a member leaves a free lease to others; None if `name` is no member."""
    ranked = rank_candidates(duty, members)
    if name not in ranked:
        return None
    return min(ranked.index(name), MAX_DELAY_STEPS) * DELAY_STEP_US
