"""The back ends together: who gets the next run, how many may be ejected, who belongs to it."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from gullyoke.admission.interface import Idempotency
from gullyoke.routing.backend import Backend, BackendSettings
from gullyoke.routing.outcomes import AttemptOutcome
from gullyoke.routing.outlier_detection import EJECTED_STATES, HealthState, OutlierDetector
from gullyoke.routing.routed_run import RoutedRun

DetectorFactory = Callable[[Callable[[], float]], OutlierDetector]


class MembershipChange(NamedTuple):
    """Names of the back ends that were added to the pool, and of those that drain."""

    added: list[str]
    draining: list[str]


class BackendPool:
    """Choice of two by runs in flight over weight times response time.

    Two are drawn by chance and the better of them is taken: nearly as even as comparing all,
    without all runs going at once to the one that looked best last (Mitzenmacher 2001).

    Attributes:
        backends: The back ends by name: those that are configured or still have runs.
        may_probe: Whether a probe of the back end of that name may be made now, where servers take
            turns at it.
    """

    def __init__(
        self,
        rng: random.Random,
        max_ejected_share: float = 0.5,
        initial_limit: int = 8,
        linger_us: int = 0,
        make_detector: DetectorFactory = OutlierDetector,
    ) -> None:
        """Make an empty pool.

        Args:
            rng: Source of chance.
            max_ejected_share: Largest share of the pool that may be ejected at once. An unreachable
                back end is not ejected, and counts only while others are left.
            initial_limit: Concurrency limit that a back end begins with.
            linger_us: How long a run that may go on unheard is counted, in microseconds.
            make_detector: Makes the health of a new back end from a source of chance.
        """
        self._draw = rng.random
        self._draw_index = rng.randrange
        self._max_ejected_share = max_ejected_share
        self._initial_limit = initial_limit
        self._linger_us = linger_us
        self._make_detector = make_detector
        self.backends: dict[str, Backend] = {}
        self.may_probe: Callable[[str], bool] = lambda name: True

    # Membership.

    def configure(self, now: int, settings: Iterable[BackendSettings]) -> MembershipChange:
        """Replace the configured back ends.

        The first ever serve at once; later ones start slowly; those that are no longer configured
        drain.
        """
        wanted = {one.name: one for one in settings}
        has_begun = bool(self.backends)
        added = []
        for name, one in wanted.items():
            if self._configure_one(now, one, has_begun):
                added.append(name)
        draining = []
        for name, backend in self.backends.items():
            if name not in wanted and backend.health.state is not HealthState.DRAINING:
                backend.health.enter(now, HealthState.DRAINING)
                draining.append(name)
        self._forget_drained()
        return MembershipChange(added, draining)

    def _configure_one(self, now: int, settings: BackendSettings, has_begun: bool) -> bool:
        """Add a back end, or give it other settings; whether it was not in service before."""
        backend = self.backends.get(settings.name)
        if backend is None:
            detector = self._make_detector(self._draw)
            backend = Backend(settings, detector, self._initial_limit)
            self.backends[settings.name] = backend
            if has_begun:
                backend.health.enter(now, HealthState.SLOW_START)
            return True
        backend.settings = settings
        backend.limit.set_bounds(settings.least, settings.most)
        if backend.health.state is HealthState.DRAINING:  # it was well when its drain began
            backend.health.enter(now, HealthState.SLOW_START)
            return True
        return False

    def _forget_drained(self) -> None:
        """Draining back ends are forgotten with their last run."""
        self.backends = {
            name: backend
            for name, backend in self.backends.items()
            if backend.health.state is not HealthState.DRAINING or backend.started
        }

    # Choice.

    def typical_us(self) -> float:
        """The median response time, of those in service if any is known; 0 where none is."""
        known = [
            backend.response_time_us
            for backend in self.backends.values()
            if backend.response_time_us and backend.health.state not in EJECTED_STATES
        ]
        known = known or [
            backend.response_time_us
            for backend in self.backends.values()
            if backend.response_time_us
        ]
        return sorted(known)[len(known) // 2] if known else 0.0

    def pick(
        self, now: int, idempotency: Idempotency, attempted: Sequence[Backend] = ()
    ) -> Backend | None:
        """The back end for the next run, none of `attempted`; None if no one takes it now.

        A probe is made with the first attempt of an idempotent run, which can be retried elsewhere,
        or with any when nobody else is left.
        """
        accepting = [
            backend
            for backend in self.backends.values()
            if backend not in attempted and backend.accepts(now)
        ]
        if (idempotency is Idempotency.IDEMPOTENT and not attempted) or not accepting:
            probed = self._begin_probe(now, attempted, bool(accepting))
            if probed is not None:
                return probed
        if len(accepting) < 2:
            return accepting[0] if accepting else None
        first = self._draw_index(len(accepting))
        second = self._draw_index(len(accepting) - 1)
        second += second >= first
        typical_us = self.typical_us()
        one = accepting[first]
        other = accepting[second]
        return one if one.score(now, typical_us) <= other.score(now, typical_us) else other

    def _begin_probe(
        self, now: int, attempted: Sequence[Backend], others_accept: bool
    ) -> Backend | None:
        """The first back end whose probe is due and may be made; None where there is none."""
        for backend in self.backends.values():
            if (
                backend not in attempted
                and backend.health.is_ready_to_probe(now)
                and not backend.started
                and (not others_accept or self.may_probe(backend.settings.name))
            ):
                backend.health.enter(now, HealthState.PROBING)
                return backend
        return None

    def capacity(self, now: int) -> int:
        """How many runs all of them take at once; 0 when all are ejected."""
        return sum(backend.capacity(now) for backend in self.backends.values())

    def in_flight(self, now: int) -> int:
        """Runs at all of them."""
        return sum(backend.in_flight(now) for backend in self.backends.values())

    # Outcomes.

    def _may_eject(self, backend: Backend) -> bool:
        """Whether one more may be ejected for its failures without exceeding the largest share."""
        configured = [
            one for one in self.backends.values() if one.health.state is not HealthState.DRAINING
        ]
        ejected = sum(
            one.health.state in (*EJECTED_STATES, HealthState.PROBING)
            for one in configured
            if one is not backend
        )
        return ejected + 1 <= self._max_ejected_share * len(configured)

    def _peer_failure_rate(self, now: int, backend: Backend) -> float:
        """The failure rate of the others together."""
        successes = 0.0
        failures = 0.0
        for one in self.backends.values():
            if one is not backend:
                one.health.decay(now)
                successes += one.health.successes
                failures += one.health.failures
        total = successes + failures
        return failures / total if total else 0.0

    def on_attempt_ended(
        self, now: int, backend: Backend, run: RoutedRun, outcome: AttemptOutcome
    ) -> None:
        """Learn from the end of an attempt, which may eject the back end."""
        backend.on_attempt_ended(now, run, outcome, self._linger_us, self.typical_us())
        peer_failure_rate = self._peer_failure_rate(now, backend)
        may_eject = self._may_eject(backend)
        if backend.health.on_outcome(now, outcome, peer_failure_rate, may_eject):
            backend.limit.on_ejected()
        self._forget_drained()
