"""Ticks of the decisions: each polls the executor's gauges first."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from gullyoke.executors import Executor
from gullyoke.runtime import clock
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.timer import Timer

GAUGES_TIMEOUT_US: Final = 30_000  # how long a tick waits for the gauges
NO_GAUGES: Final[Mapping[str, float]] = {}


class GaugePoller:
    """Schedules ticks, one at a time, and gives each the gauges that were polled for it.

    Attributes:
        scheduled_at: When the last tick was to begin, in microseconds.
    """

    def __init__(self, dispatcher: Dispatcher, executor: Executor, timer: Timer) -> None:
        self._dispatcher = dispatcher
        self._executor = executor
        self._timer = timer
        self._awaited_tag = 0  # of the poll whose gauges the next tick waits for
        self.scheduled_at = 0

    def schedule(self, delay_us: int) -> None:
        """Begin a tick after `delay_us`, under the dispatcher's lock.

        Counted from the time that the last one was scheduled for: waiting for gauges must not delay
        all later ones.
        """
        self.scheduled_at = max(self._dispatcher.now, self.scheduled_at + delay_us)
        self._timer.call_at(self.scheduled_at, self.poll)

    def poll(self) -> None:
        """Ask for the gauges; the tick comes with them, or without any if they don't come soon."""
        self._awaited_tag += 1
        tag = self._awaited_tag
        # From this moment, not from the last event's: where little happens that is older than the
        # whole timeout.
        self._timer.call_at(clock.now() + GAUGES_TIMEOUT_US, lambda: self.on_gauges(tag, NO_GAUGES))
        self._executor.poll_gauges(tag)

    def on_gauges(self, tag: int, gauges: Mapping[str, float]) -> None:
        """Give the decisions their tick, unless it has had its gauges or gone without."""
        with self._dispatcher.lock:
            if tag != self._awaited_tag:
                return
            self._awaited_tag += 1
            self._dispatcher.duplicates.expire(self._dispatcher.now)
        self._dispatcher.on_tick(gauges)
