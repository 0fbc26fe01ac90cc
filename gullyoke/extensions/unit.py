"""What a feature does where it has nothing of its own to do."""

from __future__ import annotations

from gullyoke.daemon.configuration import DaemonConfiguration
from gullyoke.daemon.daemon import Daemon
from gullyoke.executors import Executor
from gullyoke.operator_config.wanted import Wanted
from gullyoke.runtime.duplicate_table import DuplicateTable
from gullyoke.runtime.metrics import Metrics


class Plain:
    """Holds no descriptors, does no work in the engine's place, takes nothing over while the server
    runs. `name` is its part's in the log, `part` the field that is read of it; `stated`, what the
    file said of it at the start.
    """

    name = part = ""

    def __init__(self, stated: object) -> None:
        self.stated = stated

    # What the house asks for.

    def held(self) -> int:
        return 0

    def work(self, told: DaemonConfiguration, metrics: Metrics) -> Executor | None:
        return None

    def create_duplicate_table(self, configuration: DaemonConfiguration) -> DuplicateTable | None:
        return None

    def around(self, daemon: Daemon, work: Executor) -> Executor:
        return work

    def join(self, daemon: Daemon) -> None: ...

    def start(self) -> None: ...

    def print(self) -> None: ...

    def leave(self) -> None: ...

    def end(self) -> None: ...

    # What the file asks for.

    def fits(self, new: Wanted) -> None: ...

    def take(self, new: Wanted) -> dict[str, object]:
        return {}

    def ignored(self, new: Wanted) -> list[str]:
        return [] if getattr(new, self.part) == self.stated else [self.name]
