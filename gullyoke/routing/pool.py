"""The pool of back ends: membership, choice for the next run, and the bound on ejections."""

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
    """Balances runs by the power of two choices.

    Two back ends are drawn at random and the one with the lower score is chosen (runs in flight
    over weight, times response time). The load is nearly as even as if all scores were compared,
    and simultaneous runs do not all go to the back end that last had the lowest score
    (Mitzenmacher 2001).

    Attributes:
        backends: Back ends by name: those that are configured or still have runs.
        may_probe: Returns whether this server may now probe the back end with the given name; used
            where several servers coordinate their probes.
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
            rng: Random generator.
            max_ejected_share: Largest share of the pool that may be ejected for failures at once.
                A back end may become unreachable regardless of this bound; an unreachable one
                counts towards it.
            initial_limit: Concurrency limit of a new back end.
            linger_us: How long an abandoned run that may still be executed counts as in flight,
                in microseconds.
            make_detector: Makes the outlier detector of a new back end from a random source.
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

        Back ends that are added to an empty pool get their full share at once. Those added later
        begin with a slow start, and those that are no longer configured drain.
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
        """Add a back end or update its settings; return whether it is new or was draining."""
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
        if backend.health.state is HealthState.DRAINING:  # its state before the drain is not kept
            backend.health.enter(now, HealthState.SLOW_START)
            return True
        return False

    def _forget_drained(self) -> None:
        """Remove draining back ends that have no run in flight."""
        self.backends = {
            name: backend
            for name, backend in self.backends.items()
            if backend.health.state is not HealthState.DRAINING or backend.started
        }

    # Choice.

    def typical_us(self) -> float:
        """Return the median response time of the back ends; 0 while none is measured.

        Ejected back ends count only if no other back end has a measurement.
        """
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
        """Choose a back end outside `attempted` for a run; None if no back end accepts one now.

        The chosen back end may change to probing. A probe uses the first attempt of an idempotent
        run, which can be retried elsewhere, or any attempt when no other back end accepts the run.
        """
        accepting = [
            backend
            for backend in self.backends.values()
            if backend not in attempted and backend.update_availability(now)
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
        """Change the first back end that may be probed now to probing, and return it, if any."""
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
        """Return how many runs the pool takes at once; 0 while all back ends are ejected."""
        return sum(backend.capacity(now) for backend in self.backends.values())

    def in_flight(self, now: int) -> int:
        """Return the number of runs in flight at all back ends."""
        return sum(backend.in_flight(now) for backend in self.backends.values())

    # Outcomes.

    def _may_eject(self, backend: Backend) -> bool:
        """Return whether ejecting this back end would stay within the largest ejected share."""
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
        """Decay the counts of the other back ends and return their common failure rate."""
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
        """Update limit and health after an attempt, which may eject the back end."""
        backend.on_attempt_ended(now, run, outcome, self._linger_us, self.typical_us())
        peer_failure_rate = self._peer_failure_rate(now, backend)
        may_eject = self._may_eject(backend)
        if backend.health.on_outcome(now, outcome, peer_failure_rate, may_eject):
            backend.limit.on_ejected()
        self._forget_drained()
