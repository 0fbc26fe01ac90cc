"""One process and one duty: whether it holds it, and how it comes by it and lets go.

It asks before it asks: a majority that would grant comes before a majority that does, so that one
that is cut off makes no epochs. Its end is counted from before it asked, and it stops by itself
when that comes. One that lost it asks for no renewal any more but begins anew: one that is heard
but hears nothing would else keep the duty from all others.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from typing import NamedTuple

from gullyoke.leases.durations import LeaseDurations
from gullyoke.leases.messages import (
    HandoverAccept,
    HandoverOffer,
    LeaseRelease,
    LeaseRequest,
    Message,
    PreVote,
    VoteReply,
)

PATIENCE = 300_000  # microseconds for a round's answers
AGAIN, LONGEST = (
    150_000,
    2_000_000,
)  # between rounds that came to nothing: the first, and the longest
EAGER, SOON = 1_500_000, 50_000  # one that is to take over tries so often, for so long
ILL = 30_000_000  # one at which the duty failed does not try again for so long


class AddressedMessage(NamedTuple):
    """To a voter, or to a member, by name."""

    to: str
    message: Message


class CandidateState(Enum):
    IDLE = "idle"
    SOUNDING = "sounding"
    ASKING = "asking"
    HOLDING = "holding"


class LeaseChange(NamedTuple):
    """What became of a duty here: `what` is held, lost, left or passed, with the cause in words."""

    at: int
    what: str
    epoch: int
    why: str


class Candidate:
    """`wants`: whether it should try, and `after`.

    How long it lets better placed ones go first once nobody holds the duty. `draw` gives a number
    from 0 to 1; `above`, a number that only grows (the wall clock's second), so that epochs grow
    even where all voters lost theirs. Tables: `yes` and `no`, voters of a round.
    """

    def __init__(
        self,
        duty: str,
        name: str,
        life: int,
        voters: Iterable[str],
        spans: LeaseDurations,
        draw: Callable[[], float],
        number: int = 1,
        above: Callable[[], int] = int,
    ) -> None:
        self.duty, self.name, self.life, self.spans, self.draw = duty, name, life, spans, draw
        self.voters, self.number, self.above = frozenset(voters), number, above
        self.state, self.epoch, self.until, self.asked = CandidateState.IDLE, 0, 0, 0
        self.round, self.next, self.pause = 0, 0, AGAIN
        self.yes: set[str] = set()
        self.no: set[str] = set()
        self.top, self.holder, self.free_since, self.expected = 0, "", None, 0
        self.wants, self.after, self.eager, self.ill, self.passing = False, 0, 0, 0, ""
        self.heed: list[Callable[[LeaseChange], None]] = []

    # What others ask of it.

    def holds(self, now: int) -> int | None:
        """The epoch under which it may act now; None where it may not.

        Asked again after every wait.
        """
        if self.state is CandidateState.HOLDING and now < self.until - self.spans.margin:
            return self.epoch
        return None

    def left(self, now: int) -> int:
        return (
            max(0, self.until - self.spans.margin - now)
            if self.state is CandidateState.HOLDING
            else 0
        )

    def set_voters(self, now: int, voters: Iterable[str], number: int) -> None:
        """Another set of voters from now on.

        What was granted under the last one runs to its end and is not renewed under it.
        """
        self.voters, self.number = frozenset(voters), number
        self.round += 1
        self.yes, self.no, self.next = set(), set(), now

    # Turns.

    def tick(self, now: int) -> list[AddressedMessage]:
        if self.state is CandidateState.HOLDING and now >= self.until:
            self._turn(now, "lost", "its time ran out")
            self.state, self.next = CandidateState.IDLE, now + int(AGAIN * (1 + self.draw()))
        if self.state is CandidateState.HOLDING:
            # In the lease's second half it asks no more: were it heard and heard nothing, it would
            # keep the duty

            # from all others for a whole lease after its own.
            heard = self.until - now > self.spans.lease // 2
            return self._renew(now) if now >= self.next and heard else []
        if self.state is CandidateState.ASKING and now >= self.next:
            return self._gave_up(now)
        if now < self.next or (not self.wants and now >= self.eager):
            return []
        return self._sound(now)

    def _sound(self, now: int) -> list[AddressedMessage]:
        self._round(CandidateState.SOUNDING)
        quick = now < self.eager
        self.next = now + (SOON if quick else int(self.pause * (1 + self.draw())))
        self.pause = min(LONGEST, 2 * self.pause)
        return self._all(PreVote(self.duty, self.life, self.name, self.round, self.number))

    def _ask(self, now: int) -> list[AddressedMessage]:
        self._round(CandidateState.ASKING)
        self.epoch, self.asked, self.next = max(self.top + 1, self.above()), now, now + PATIENCE
        self.top = self.epoch
        return self._all(self._asking())

    def _renew(self, now: int) -> list[AddressedMessage]:
        self._round(CandidateState.HOLDING)
        self.asked, self.next = now, now + self.spans.renew()
        return self._all(self._asking())

    def _asking(self) -> LeaseRequest:
        return LeaseRequest(self.duty, self.life, self.name, self.epoch, self.round, self.number)

    def _round(self, state: CandidateState) -> None:
        self.state, self.round = state, self.round + 1
        self.yes, self.no = set(), set()

    def _all(self, message: Message) -> list[AddressedMessage]:
        return [AddressedMessage(voter, message) for voter in sorted(self.voters)]

    def _gave_up(self, now: int) -> list[AddressedMessage]:
        """No majority in time: what some granted is let go, so that it keeps nobody from the
        duty.
        """
        done = self._all(LeaseRelease(self.duty, self.life, self.epoch, "", False))
        self.state, self.next = CandidateState.IDLE, now + int(self.pause * (1 + self.draw()))
        self.pause = min(LONGEST, 2 * self.pause)
        return done

    # Answers.

    def hear(self, now: int, said: VoteReply) -> list[AddressedMessage]:
        if (said.duty, said.to) != (self.duty, self.life) or said.by not in self.voters:
            return []
        self.top = max(self.top, said.epoch)
        if said.life != self.life:
            self._seen(now, said)
        if said.round != self.round or said.voters != self.number:
            return []
        (self.yes if said.yes else self.no).add(said.by)  # each voter once, whatever comes twice
        if self.state is CandidateState.SOUNDING and not said.asked:
            if 2 * len(self.yes) > len(self.voters):
                self.pause = AGAIN
                if self._waited(now):
                    return self._ask(now)
                self.next = min(self.next, self.free_since + self.after)
            elif self.expected > now and now >= self.eager:
                # Held: asked again about when that would end, and once a lease in any case.
                self.pause = AGAIN
                self.next = min(now + self.spans.lease, self.expected) + int(AGAIN * self.draw())
        elif said.asked and said.yes and said.epoch == self.epoch:
            self._granted(now)
        elif (
            said.asked
            and 2 * len(self.no) >= len(self.voters)
            and self.state is CandidateState.ASKING
        ):
            return self._gave_up(now)
        elif (
            said.asked
            and 2 * len(self.no) > len(self.voters)
            and self.state is CandidateState.HOLDING
        ):
            # Most say no to a renewal: it would not be granted any more; what it has it may use to
            # its end.
            self.next = self.until
        return []

    def _seen(self, now: int, said: VoteReply) -> None:
        """Who holds it, as one voter says."""
        if said.left:
            self.holder, self.free_since = said.name, None
            self.expected = now + said.left
        elif self.free_since is None:
            self.free_since = now

    def _waited(self, now: int) -> bool:
        """Whether those better placed have had their time."""
        if now < self.eager:
            return True
        if self.free_since is None:
            self.free_since = now
        return now - self.free_since >= self.after

    def _granted(self, now: int) -> None:
        if 2 * len(self.yes) <= len(self.voters) or self.state not in (
            CandidateState.ASKING,
            CandidateState.HOLDING,
        ):
            return
        until = self.asked + self.spans.lease  # counted from before it was asked
        if now >= until:
            return
        first = self.state is CandidateState.ASKING
        self.state, self.until = (
            CandidateState.HOLDING,
            max(self.until, until) if not first else until,
        )
        if first:
            self.next, self.pause, self.eager, self.free_since = (
                now + self.spans.renew(),
                AGAIN,
                0,
                None,
            )
            self.holder = self.name
            self._turn(now, "held", f"granted by {', '.join(sorted(self.yes))}")

    # Letting go.

    def leave(self, now: int, why: str, to: str = "", ill: bool = False) -> list[AddressedMessage]:
        """Let go at once: nothing more is done under its epoch."""
        if self.state is not CandidateState.HOLDING:
            return []
        done = LeaseRelease(self.duty, self.life, self.epoch, to, ill)
        self.state, self.until, self.passing, self.holder = CandidateState.IDLE, now, "", to
        self.next = now + (self.spans.lease if to or ill else AGAIN)
        self.ill = now + ILL if ill else self.ill
        self._turn(now, "passed" if to else "left", why)
        return self._all(done)

    def pass_to(self, now: int, name: str) -> list[AddressedMessage]:
        """Hand it to another once that one is ready; it goes on here until then."""
        if self.holds(now) is None:
            return []
        self.passing = name
        return [AddressedMessage(name, HandoverOffer(self.duty, self.life, self.epoch))]

    def passed(self, now: int, from_: str, pass_: HandoverOffer) -> list[AddressedMessage]:
        """Another wants to hand it to this one: it takes it as soon as it can be had."""
        self.eager, self.next = now + EAGER, now
        self.top = max(self.top, pass_.epoch)
        return [AddressedMessage(from_, HandoverAccept(self.duty, self.life, pass_.epoch))]

    def ready(self, now: int, from_: str, ready: HandoverAccept) -> list[AddressedMessage]:
        if ready.epoch != self.epoch or from_ != self.passing or self.holds(now) is None:
            return []
        return self.leave(now, f"handed over to {from_}", from_)

    def _turn(self, now: int, what: str, why: str) -> None:
        for heed in self.heed:
            heed(LeaseChange(now, what, self.epoch, why))
