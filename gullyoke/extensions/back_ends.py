"""SCGI back ends, which run the requests instead of the engine."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

from gullyoke.admission.interface import SiteFacts, StopMode
from gullyoke.daemon.configuration import DaemonConfiguration
from gullyoke.errors import ConfigurationError
from gullyoke.executors.backend_attempt import AttemptSettings
from gullyoke.executors.scgi_backends import ScgiBackendPool
from gullyoke.extensions.base import BaseExtension
from gullyoke.operator_config.wanted import BackEnd, BackendsSection, OperatorSettings
from gullyoke.routing import BackendPool, BackendSettings, OutlierDetector, RetryBudget, Router
from gullyoke.runtime.metrics import Metrics

#: Keeps the draws of the routing apart from other uses of the daemon's seed.
ROUTING_SEED: Final = 0x5C91
#: Connections to back ends may use at most one in this many of the descriptors.
DESCRIPTORS_PER_BACKEND_CONNECTION: Final = 2


class BackEnds(BaseExtension):
    """The back ends of the operator's file.

    Attributes:
        wanted: the section of the file, with the back ends in force.
        backends: the executor; made by `create_executor`.
        selected: the names of the subset in use; None where all are used.
    """

    name = "backends"
    section = "pool"

    backends: ScgiBackendPool

    def __init__(self, path: str, wanted: BackendsSection) -> None:
        """Create the extension.

        Args:
            path: the operator's file, for errors.
            wanted: its section.
        """
        super().__init__(wanted)
        self.path = path
        self.wanted = wanted
        self.selected: frozenset[str] | None = None
        self.max_descriptors = 0

    def reserved_descriptors(self) -> int:
        """Return how many connections all back ends may take together."""
        return self.wanted.most()

    def create_executor(
        self, configuration: DaemonConfiguration, metrics: Metrics
    ) -> ScgiBackendPool:
        """Create the pool of back ends.

        Raises:
            ConfigurationError: the back ends would leave too few descriptors for clients.
        """
        self.max_descriptors = configuration.max_descriptors
        self._check_descriptors(self.wanted)
        _replace_engine_facts(configuration.facts, self.wanted)
        machine = configuration.facts.machine
        self.backends = ScgiBackendPool(
            _create_router(self.wanted, random.Random(configuration.seed ^ ROUTING_SEED)),
            machine.cores,
            AttemptSettings(
                self.wanted.linger, self.wanted.stops_on_close, self.wanted.answer_bytes
            ),
            metrics,
            machine.needs_warmup,
        )
        self._configure_backends()
        return self.backends

    def select(self, names: frozenset[str]) -> None:
        """Use these back ends from now on; nothing changes where none of them is in the file."""
        names &= {backend.name for backend in self.wanted.back_ends}
        if names and names != self.selected:
            self.selected = names
            self._configure_backends()

    def zones(self) -> dict[str, str]:
        """Return the zone of each back end in the file, by name."""
        return {backend.name: backend.zone for backend in self.wanted.back_ends}

    def ejected(self) -> set[str]:
        """Return the names of the ejected back ends, which get probes but no other runs."""
        return self.backends.ejected()

    def set_probe_gate(self, may_probe: Callable[[str], bool]) -> None:
        """Call `may_probe` with the name of a back end before each probe of it."""
        self.backends.set_probe_gate(may_probe)

    def log_status(self) -> None:
        """Log a line for each back end."""
        self.backends.log_backends()

    def check_reload(self, new: OperatorSettings) -> None:
        """Check that the new back ends leave enough descriptors for client connections.

        Raises:
            ConfigurationError: they would leave too few.
        """
        if new.pool is not None:
            self._check_descriptors(new.pool)

    def apply_reload(self, new: OperatorSettings) -> dict[str, object]:
        """Use the back ends of the new file; the other settings need a restart."""
        if new.pool is not None:
            self.wanted = self.wanted._replace(back_ends=new.pool.back_ends)
            if self.selected is not None and not self._used_backends():
                self.selected = None  # all are used until the fleet selects again
            self._configure_backends()
        return {"back_ends": len(self.wanted.back_ends)}

    def ignored_changes(self, new: OperatorSettings) -> list[str]:
        """Return the settings that differ, other than the back ends themselves."""
        if new.pool is None:
            return [self.name]
        return [
            field
            for field in BackendsSection._fields
            if field != "back_ends" and getattr(self.wanted, field) != getattr(new.pool, field)
        ]

    def _check_descriptors(self, wanted: BackendsSection) -> None:
        limit = self.max_descriptors // DESCRIPTORS_PER_BACKEND_CONNECTION
        if wanted.most() > limit:
            raise ConfigurationError(
                f"{self.path}: backends.backend: their `most` come to {wanted.most()} together; "
                f"right would be {limit} at most, half of limits.sockets"
            )

    def _used_backends(self) -> list[BackEnd]:
        return [
            backend
            for backend in self.wanted.back_ends
            if self.selected is None or backend.name in self.selected
        ]

    def _configure_backends(self) -> None:
        used = self._used_backends()
        self.backends.configure(
            {backend.name: backend.address for backend in used},
            [
                BackendSettings(backend.name, backend.weight, backend.least, backend.most)
                for backend in used
            ],
        )


def _replace_engine_facts(facts: SiteFacts, wanted: BackendsSection) -> None:
    """Replace the settings' facts about the engine by those about the back ends.

    Whether a run can be cancelled depends on the application; its calls of a dependency do not pass
    through this daemon.
    """
    facts.machine.stop_mode = StopMode.DISCARD if wanted.stops_on_close else StopMode.NEVER
    facts.dependency.exists = False
    facts.dependency.call_quota = None


def _create_router(wanted: BackendsSection, rng: random.Random) -> Router:
    ejecting = wanted.ejecting

    def create_detector(draw: Callable[[], float]) -> OutlierDetector:
        return OutlierDetector(
            draw,
            ejecting.consecutive,
            ejecting.over_peers,
            first_ejection_us=ejecting.first_out,
            longest_ejection_us=ejecting.longest_out,
            slow_start_us=ejecting.slow_start,
        )

    pool = BackendPool(rng, ejecting.pool_share, wanted.first_limit, wanted.linger, create_detector)
    return Router(pool, RetryBudget(wanted.retry_share, wanted.retry_burst))
