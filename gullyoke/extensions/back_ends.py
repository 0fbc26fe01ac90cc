"""SCGI back ends in the engine's place."""

from __future__ import annotations

import random

from gullyoke.admission.interface import StopMode
from gullyoke.daemon.configuration import DaemonConfiguration
from gullyoke.errors import ConfigurationError
from gullyoke.executors.backend_attempt import AttemptSettings
from gullyoke.executors.scgi_backends import ScgiBackendPool
from gullyoke.extensions.base import BaseExtension
from gullyoke.operator_config.wanted import Pooled, Wanted
from gullyoke.routing import BackendPool, BackendSettings, OutlierDetector, RetryBudget, Router
from gullyoke.runtime.metrics import Metrics


class BackEnds(BaseExtension):
    """`wanted` is what the file says of them, those in force included."""

    name = "backends"
    section = "pool"

    def __init__(self, path: str, wanted: Pooled) -> None:
        super().__init__(wanted)
        self.path, self.wanted, self.sockets = path, wanted, 0
        self.backends: ScgiBackendPool | None = None
        self.only: frozenset[str] | None = None  # of those stated, the subset in use; None: all

    def reserved_descriptors(self) -> int:
        return self.wanted.most()

    def create_executor(
        self, configuration: DaemonConfiguration, metrics: Metrics
    ) -> ScgiBackendPool:
        """The back ends. Raises `Misstated` where they leave no room for connections."""
        wanted, self.sockets = self.wanted, configuration.max_descriptors
        self.roomy(wanted)
        machine = configuration.facts.machine
        # Whether running work can be stopped is the back ends' affair, not the engine's of the
        # settings.
        machine.stop_mode = StopMode.DISCARD if wanted.stops_on_close else StopMode.NEVER
        configuration.facts.dependency.exists, configuration.facts.dependency.call_quota = (
            False,
            None,
        )  # their calls do not come by us
        pool = BackendPool(
            random.Random(configuration.seed ^ 0x5C91),
            wanted.ejecting.pool_share,
            wanted.first_limit,
            wanted.linger,
            lambda draw: healthy(wanted, draw),
        )
        router = Router(pool, RetryBudget(wanted.retry_share, wanted.retry_burst))
        self.backends = ScgiBackendPool(
            router,
            machine.cores,
            AttemptSettings(wanted.linger, wanted.stops_on_close, wanted.answer_bytes),
            metrics,
            machine.starts_cold,
        )
        self.state(wanted)
        return self.backends

    def roomy(self, wanted: Pooled) -> None:
        if wanted.most() > self.sockets // 2:
            raise ConfigurationError(
                f"{self.path}: backends.backend: their `most` come to {wanted.most()} together; "
                f"right would be {self.sockets // 2} at most, half of limits.sockets"
            )

    def state(self, wanted: Pooled) -> None:
        used = [b for b in wanted.back_ends if self.only is None or b.name in self.only]
        self.backends.configure(
            {b.name: b.address for b in used},
            [BackendSettings(b.name, b.weight, b.least, b.most) for b in used],
        )

    def use(self, only: frozenset[str]) -> None:
        """These of those stated are used from now on; none of them: all."""
        only &= {b.name for b in self.wanted.back_ends}
        if only and only != self.only:
            self.only = only
            self.state(self.wanted)

    def log_status(self) -> None:
        self.backends.log_backends()

    # While the server runs, other back ends are taken over.

    def check_reload(self, new: Wanted) -> None:
        if new.pool is not None:
            self.roomy(new.pool)

    def apply_reload(self, new: Wanted) -> dict[str, object]:
        if new.pool is not None:
            self.wanted = self.wanted._replace(back_ends=new.pool.back_ends)
            if self.only is not None and not self.only & {b.name for b in self.wanted.back_ends}:
                self.only = None  # none of its subset is left: all, until the next look
            self.state(self.wanted)
        return {"back_ends": len(self.wanted.back_ends)}

    def ignored_changes(self, new: Wanted) -> list[str]:
        if new.pool is None:
            return [self.name]
        return [
            name
            for name in Pooled._fields
            if name != "back_ends" and getattr(self.wanted, name) != getattr(new.pool, name)
        ]


def healthy(wanted: Pooled, draw) -> OutlierDetector:
    e = wanted.ejecting
    return OutlierDetector(
        draw,
        e.consecutive,
        e.over_peers,
        first_ejection_us=e.first_out,
        longest_ejection_us=e.longest_out,
        slow_start_us=e.slow_start,
    )
