"""One observer's record of one subject: when to probe it, and whether to suspect it.

A healthy subject is probed every `PROBE_PERIOD_US`. Once a probe is unanswered, the subject is
probed more often, and by other members too (the indirect probes of SWIM, Das, Gupta and Motivala
2002), which distinguishes lost datagrams from silence. The time without an answer counts from the
first unanswered probe, not from the last answer: a subject that was paused just after an answer
still has `SILENT_AFTER_US` to resume.
"""

from __future__ import annotations

from typing import Final

from gullyoke.membership.member_record import SuspicionKind

PROBE_PERIOD_US: Final = 800_000  # between probes of a subject that answers
MIN_ACK_TIMEOUT_US: Final = 200_000  # or ROUND_TRIPS_PER_ACK_TIMEOUT round trips, if longer
ROUND_TRIPS_PER_ACK_TIMEOUT: Final = 4
RETRY_PERIOD_US: Final = 250_000  # between probes of a subject that does not answer
SILENT_AFTER_US: Final = 1_500_000  # a subject is silent after this time without an answer
SILENT_AFTER_PROBES: Final = 4  # and at least this many unanswered probes
REFUSED_AFTER_COUNT: Final = 2  # a subject is refused after this many refusals
REFUSED_AFTER_US: Final = 150_000  # and this time since the first refusal
SLOW_DOWN_AFTER_US: Final = 10_000_000  # without answers; then PROBE_PERIOD_US applies again
MAX_OUTSTANDING_PROBES: Final = 16  # remembered; the oldest is forgotten first
ROUND_TRIP_GAIN: Final = 8  # a new measurement has the weight 1 / ROUND_TRIP_GAIN in the average


class MonitorEdge:
    """The edge from an observer to a subject in the monitoring graph of Rapid.

    All times are in microseconds of the caller's clock.

    Attributes:
        id: The subject's id.
        next_probe_at: When the next probe is due.
        last_probe_at: When the last probe was sent.
        outstanding: When each unanswered probe was sent, by sequence number; any answer clears it.
        unanswered_since: When the first probe since the last answer was sent; None if no probe is
            unanswered.
        unanswered_probes: The number of probes since the last answer.
        last_direct_ack_at: When the subject last answered directly, not through another member.
        refusals: The number of refusals since the last answer.
        first_refusal_at: When the first of these refusals was received.
        round_trip_us: The smoothed round-trip time; 0 before the first measurement.
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
        """Return whether the next probe is due."""
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
        normal_period = self.unanswered_probes == 1 or long_silent
        self.next_probe_at = now + (PROBE_PERIOD_US if normal_period else RETRY_PERIOD_US)

    def hasten_probe_if_overdue(self, now: int) -> bool:
        """Bring the next probe forward if an answer is overdue; return whether it is overdue."""
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
        """Record an answer; even a late one shows that the subject is reachable now.

        Args:
            now: The time in microseconds.
            seq: The sequence number of the answered probe, which may be forgotten already.
            direct: Whether the subject itself sent the answer; False if a member relayed it.
        """
        if direct:
            self.last_direct_ack_at = now
        sent_at = self.outstanding.get(seq)
        if sent_at is not None:
            self._add_round_trip(now - sent_at)
        self._set_healthy(max(now, self.last_probe_at + PROBE_PERIOD_US))

    def reset(self, now: int) -> None:
        """Forget unanswered probes, and probe the subject at once."""
        self.last_direct_ack_at = now
        self._set_healthy(now)

    def refusal_received(self, now: int) -> None:
        """Record that the subject's host refused a datagram, or another member has its address."""
        if not self.refusals:
            self.first_refusal_at = now
        self.refusals += 1

    def is_cut_off(self, now: int) -> bool:
        """Return whether the last direct answer is too old, even if relayed answers arrive."""
        return now - self.last_direct_ack_at > PROBE_PERIOD_US + SILENT_AFTER_US

    def verdict(self, now: int) -> SuspicionKind | None:
        """Return why the subject is to be suspected; None if it is not."""
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
