"""Receives the handled signals on a thread of its own, with the time at which each one arrived.

A signal carries no time, and the main thread may be busy when it arrives: with the start, with a
reload or with the counters. Deadlines that count from a signal must not count from the moment at
which the main thread gets round to it.
"""

from __future__ import annotations

import signal
import threading
from typing import Final, NamedTuple

from gullyoke.runtime import clock, signals

STOP_SIGNALS: Final = frozenset({signal.SIGTERM, signal.SIGINT})


class ReceivedSignal(NamedTuple):
    """A signal that the process has received.

    Args:
        number: The number of the signal.
        received_at: When it arrived, in microseconds of the clock.
    """

    number: int
    received_at: int

    def age_us(self) -> int:
        """Return how many microseconds ago the signal arrived."""
        return clock.now() - self.received_at


class SignalReceiver:
    """The signals that have arrived and are not handled yet.

    As in the operating system, a signal is pending at most once: one that arrives again before it
    was handled is the same signal, with the time of its first arrival.
    """

    def __init__(self) -> None:
        self._pending: dict[int, ReceivedSignal] = {}  # by number, in the order of arrival
        self._first_stop: ReceivedSignal | None = None
        self._arrived = threading.Condition()

    def start(self) -> None:
        """Block the handled signals in all threads and start the receiving thread.

        Called on the main thread before other threads start, since they inherit its signal mask.
        """
        signals.block_signals()
        threading.Thread(target=self._receive_forever, name="signals", daemon=True).start()

    def wait(self, until: int | None = None) -> ReceivedSignal | None:
        """Wait for a signal, and return the one that has been pending longest.

        Args:
            until: When to give up, in microseconds of the clock; None for never.

        Returns:
            The signal, which is no longer pending; None if there was none in time.
        """
        with self._arrived:
            while not self._pending:
                remaining_s = None if until is None else (until - clock.now()) / 1e6
                if remaining_s is not None and remaining_s <= 0:
                    return None
                self._arrived.wait(remaining_s)
            return self._pending.pop(next(iter(self._pending)))

    def first_stop(self) -> ReceivedSignal | None:
        """Return the first stop signal, also if it is no longer pending; None if there was none."""
        with self._arrived:
            return self._first_stop

    def wait_for_stop(self) -> ReceivedSignal:
        """Wait for the first stop signal and return it; it stays pending."""
        with self._arrived:
            while self._first_stop is None:
                self._arrived.wait()
            return self._first_stop

    def _receive_forever(self) -> None:
        while True:
            number = signal.sigwait(signals.HANDLED)
            received = ReceivedSignal(number, clock.now())
            with self._arrived:
                self._pending.setdefault(number, received)
                if number in STOP_SIGNALS and self._first_stop is None:
                    self._first_stop = received
                self._arrived.notify_all()
