"""The admission controller's ticks; the executor's gauges are polled before each tick."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from gullyoke.executors import Executor
from gullyoke.runtime import clock
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.timer import Timer

GAUGES_TIMEOUT_US: Final = 30_000  # how long a tick waits for gauges
NO_GAUGES: Final[Mapping[str, float]] = {}


class GaugePoller:
    """Schedules ticks, one at a time, and runs each with the gauges that were polled for it.

    Attributes:
        scheduled_at: The scheduled time of the latest tick, in microseconds of the clock.
    """

    def __init__(self, dispatcher: Dispatcher, executor: Executor, timer: Timer) -> None:
        self._dispatcher = dispatcher
        self._executor = executor
        self._timer = timer
        self._awaited_tag = 0  # the tag of the poll whose gauges the next tick waits for
        self.scheduled_at = 0

    def schedule(self, delay_us: int) -> None:
        """Schedule a tick after `delay_us`; called under the dispatcher's lock.

        The delay is counted from the scheduled time of the last tick, so that the waits for gauges
        do not add up.
        """
        self.scheduled_at = max(self._dispatcher.now, self.scheduled_at + delay_us)
        self._timer.call_at(self.scheduled_at, self.poll)

    def poll(self) -> None:
        """Poll the gauges; the tick runs when they arrive, or without gauges after a timeout."""
        self._awaited_tag += 1
        tag = self._awaited_tag
        # The timeout counts from the current time. The dispatcher's time is the time of its last
        # call, which can be longer ago than the timeout if there are few events.
        self._timer.call_at(clock.now() + GAUGES_TIMEOUT_US, lambda: self.on_gauges(tag, NO_GAUGES))
        self._executor.poll_gauges(tag)

    def on_gauges(self, tag: int, gauges: Mapping[str, float]) -> None:
        """Run the tick that waits for these gauges, unless it has run already."""
        with self._dispatcher.lock:
            if tag != self._awaited_tag:
                return
            self._awaited_tag += 1
            self._dispatcher.duplicates.expire(self._dispatcher.now)
        self._dispatcher.on_tick(gauges)
