"""One observer's view of one subject: when it is probed, and what its silence amounts to.

A healthy subject is probed every `PROBE_PERIOD_US`. From the first probe that is not answered on,
it is probed more often, and by other members too (the indirect probes of SWIM, Das, Gupta and
Motivala 2002), which distinguishes lost datagrams from silence. The time without an answer counts
from that first probe, never from the last answer: a subject that was paused just after an answer
has the whole time to come back.
"""

from __future__ import annotations

from typing import Final

from gullyoke.membership.member_record import SuspicionKind

PROBE_PERIOD_US: Final = 800_000  # between probes while all is well
MIN_ACK_TIMEOUT_US: Final = 200_000  # within which an answer is due, or more by the round trips
ROUND_TRIPS_PER_ACK_TIMEOUT: Final = 4
RETRY_PERIOD_US: Final = 250_000  # between probes while there is no answer
SILENT_AFTER_US: Final = 1_500_000  # without any answer it counts as silent
SILENT_AFTER_PROBES: Final = 4  # of at least so many probes
REFUSED_AFTER_COUNT: Final = 2  # so many refusals make it refused
REFUSED_AFTER_US: Final = 150_000  # over at least so long
SLOW_DOWN_AFTER_US: Final = 10_000_000  # silent for so long it is probed at PROBE_PERIOD_US again
MAX_OUTSTANDING_PROBES: Final = 16  # remembered; the oldest is forgotten first
ROUND_TRIP_GAIN: Final = 8  # a new round trip counts for one part in so many of the average


class MonitorEdge:
    """The edge from an observer to one subject in the monitoring graph of Rapid.

    All times are in microseconds of the caller's clock.

    Attributes:
        id: The subject's id.
        next_probe_at: When the next probe is due.
        last_probe_at: When the last probe was sent.
        outstanding: When each unanswered probe was sent, by its sequence number; emptied by any
            answer.
        unanswered_since: When the first probe since the last answer was sent; None where no probe
            is unanswered.
        unanswered_probes: Probes since the last answer.
        last_direct_ack_at: When it last answered by itself, not by way of another member.
        refusals: Refusals since the last answer.
        first_refusal_at: When the first of these came.
        round_trip_us: The smoothed round trip; 0 before the first one is measured.
    """

    __slots__ = (
        "first_refusal_at",
        "id",
        "last_direct_ack_at",
        "last_probe_at",
        "next_probe_at",
        "outstanding",
        "refusals",
        "round_trip_us",
        "unanswered_probes",
        "unanswered_since",
    )

    def __init__(self, subject: int, first_probe_at: int) -> None:
        self.id = subject
        self.next_probe_at = first_probe_at
        self.last_probe_at = 0
        self.outstanding: dict[int, int] = {}
        self.unanswered_since: int | None = None
        self.unanswered_probes = 0
        self.last_direct_ack_at = first_probe_at
        self.refusals = 0
        self.first_refusal_at = 0
        self.round_trip_us = 0

    def should_probe(self, now: int) -> bool:
        """Return whether the subject is to be probed now."""
        return now >= self.next_probe_at

    def probe_sent(self, now: int, seq: int) -> None:
        """Record that a probe with this sequence number is sent now."""
        self.outstanding[seq] = now
        self.last_probe_at = now
        if len(self.outstanding) > MAX_OUTSTANDING_PROBES:
            del self.outstanding[next(iter(self.outstanding))]
        self.unanswered_probes += 1
        if self.unanswered_since is None:
            self.unanswered_since = now
        long_silent = now - self.unanswered_since > SLOW_DOWN_AFTER_US
        calm = self.unanswered_probes == 1 or long_silent
        self.next_probe_at = now + (PROBE_PERIOD_US if calm else RETRY_PERIOD_US)

    def check_overdue(self, now: int) -> bool:
        """Return whether an answer is overdue; the next probe is then brought forward."""
        if self.unanswered_since is None:
            return False
        waited = now - self.unanswered_since
        timeout = max(MIN_ACK_TIMEOUT_US, ROUND_TRIPS_PER_ACK_TIMEOUT * self.round_trip_us)
        if waited <= timeout:
            return False
        if waited <= SLOW_DOWN_AFTER_US:
            retry_at = max(now, self.last_probe_at + RETRY_PERIOD_US)
            self.next_probe_at = min(self.next_probe_at, retry_at)
        return True

    def ack_received(self, now: int, seq: int, direct: bool = True) -> None:
        """Record an answer; any one shows that the subject is there now, a late one too.

        Args:
            now: The time in microseconds.
            seq: The probe that is answered, which may be forgotten already.
            direct: Whether the subject itself sent the answer, not a member that relayed it.
        """
        if direct:
            self.last_direct_ack_at = now
        sent_at = self.outstanding.get(seq)
        if sent_at is not None:
            self._add_round_trip(now - sent_at)
        self._set_healthy(max(now, self.last_probe_at + PROBE_PERIOD_US))

    def reset(self, now: int) -> None:
        """Forget what went unanswered; the subject is probed at once."""
        self.last_direct_ack_at = now
        self._set_healthy(now)

    def refusal_received(self, now: int) -> None:
        """Record that its host refused a datagram, or that another member has its address."""
        if not self.refusals:
            self.first_refusal_at = now
        self.refusals += 1

    def is_cut_off(self, now: int) -> bool:
        """Return whether the subject answers others and not this observer."""
        return now - self.last_direct_ack_at > PROBE_PERIOD_US + SILENT_AFTER_US

    def verdict(self, now: int) -> SuspicionKind | None:
        """Return why the subject is to be suspected, or None where it is not."""
        if self.refusals >= REFUSED_AFTER_COUNT and now - self.first_refusal_at >= REFUSED_AFTER_US:
            return SuspicionKind.REFUSED
        if (
            self.unanswered_since is not None
            and now - self.unanswered_since >= SILENT_AFTER_US
            and self.unanswered_probes >= SILENT_AFTER_PROBES
        ):
            return SuspicionKind.SILENT
        return None

    def _add_round_trip(self, measured_us: int) -> None:
        if not self.round_trip_us:
            self.round_trip_us = measured_us
        else:
            self.round_trip_us += (measured_us - self.round_trip_us) // ROUND_TRIP_GAIN

    def _set_healthy(self, next_probe_at: int) -> None:
        self.outstanding.clear()
        self.unanswered_since = None
        self.unanswered_probes = 0
        self.refusals = 0
        self.next_probe_at = next_probe_at
