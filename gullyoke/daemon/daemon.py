"""The daemon: start, signal handling and drain.

Each part owns its state, its locks and its threads; the daemon starts and stops the parts. All
methods except `sweep` and `begin_drain` run on the main thread, which handles signals while other
threads serve.
"""

from __future__ import annotations

import gc
import signal
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass
from logging.handlers import QueueListener
from typing import Final

from gullyoke.daemon.configuration import DaemonConfiguration
from gullyoke.daemon.descriptors import max_connections
from gullyoke.daemon.event_relay import EventRelay
from gullyoke.daemon.extension import Extension
from gullyoke.daemon.reload import ConfigurationReloader
from gullyoke.daemon.service_discovery import ServiceDiscoveryReporter
from gullyoke.dependencies.client import DependencyClient
from gullyoke.executors import Executor
from gullyoke.frontends.connection_limits import ConnectionLimits
from gullyoke.frontends.connections import ConnectionTable
from gullyoke.runtime import clock
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.lifecycle import Lifecycle
from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.signal_receiver import STOP_SIGNALS, ReceivedSignal, SignalReceiver
from gullyoke.runtime.timer import Timer

SWEEP_INTERVAL_US: Final = 100_000
#: How long before the stop the daemon accepts no more connections.
LAST_ACCEPT_BEFORE_STOP_US: Final = 200_000
#: How long before the stop the daemon no longer waits for connections to close.
CLOSE_BEFORE_STOP_US: Final = 20_000
CLOSE_POLL_S: Final = 0.005
LATE_SIGNAL_US: Final = 20_000  # a signal that is handled later than this is logged


@dataclass(eq=False)
class Daemon:
    """A daemon with all its parts; `gullyoke.daemon.composition` creates it.

    Attributes:
        configuration: the configuration in force; a reload replaces it.
        signal_receiver: receives the signals.
        extensions: the extensions of the operator's file, in the order in which they are called.
        log_writer: the thread that writes the log.
        metrics: all counters.
        timer: the thread that runs scheduled callbacks.
        dispatcher: the admission controller, its lock and the requests in flight.
        lifecycle: whether the server is ready, as health checks and the service registry show it.
        executor: runs the requests.
        database: makes the dependency calls.
        event_relay: receives the reports of `executor` and `database`.
        connection_limits: the limits for the number of client connections.
        connections: the client connections and the threads that serve them.
        service_discovery: reports to the service registry; None if there is no registry.
        reloader: reads the configuration again.
    """

    configuration: DaemonConfiguration
    signal_receiver: SignalReceiver
    extensions: Sequence[Extension]
    log_writer: QueueListener
    metrics: Metrics
    timer: Timer
    dispatcher: Dispatcher
    lifecycle: Lifecycle
    executor: Executor
    database: DependencyClient
    event_relay: EventRelay
    connection_limits: ConnectionLimits
    connections: ConnectionTable
    service_discovery: ServiceDiscoveryReporter | None
    reloader: ConfigurationReloader

    def run(self) -> int:
        """Serve until the stop signal, then drain.

        Returns:
            The exit code of the process.
        """
        self.start()
        gc.freeze()  # objects that exist now live until the end; later collections skip them
        while True:
            received = self.signal_receiver.wait()
            if received is not None and not self.handle_signal(received):
                return self.drain(received)

    def start(self) -> None:
        """Start all threads and accept connections.

        If the stop signal has arrived during the start, the drain begins before the first
        connection is accepted.
        """
        threading.Thread(target=self._begin_drain_at_stop, name="drain", daemon=True).start()
        self.timer.start()
        self.dispatcher.background_work.start()
        for extension in self.extensions:
            extension.start()
        self.executor.start(self.event_relay)
        self.database.start(self.event_relay)
        self.timer.call_at(clock.now() + SWEEP_INTERVAL_US, self.sweep)
        stop = self.signal_receiver.first_stop()
        if stop is not None:
            self.begin_drain(stop)
        self.connections.start()
        if self.service_discovery is not None:
            self.service_discovery.start()
        log.info(
            "started",
            extra=log_fields(
                name=self.configuration.name, listen=":".join(map(str, self.configuration.listen))
            ),
        )

    def sweep(self) -> None:
        """Close connections that have passed a timeout; runs on the timer's thread."""
        self.timer.call_at(clock.now() + SWEEP_INTERVAL_US, self.sweep)
        self.connections.sweep()
        self.database.close_idle()

    def handle_signal(self, received: ReceivedSignal) -> bool:
        """Handle a signal, and log it if the main thread was too busy to do so at once.

        Returns:
            False for a stop signal, which the caller has to handle.
        """
        age_us = received.age_us()
        if age_us > LATE_SIGNAL_US:
            name = signal.Signals(received.number).name
            log.warning("signal handled late", extra=log_fields(signal=name, age_ms=age_us // 1000))
        if received.number in STOP_SIGNALS:
            return False
        if received.number == signal.SIGHUP:
            self.apply_reload()
        else:
            self.log_counters("asked")
        return True

    def log_counters(self, reason: str) -> None:
        """Log the counters and the state of each extension."""
        self.metrics.log_counters(reason)
        for extension in self.extensions:
            extension.log_status()

    def apply_reload(self) -> None:
        """Read the configuration again and apply the values that may change while serving.

        Whatever is wrong with it, the process goes on.
        """
        try:
            self.configuration = self.reloader.reload(self.configuration)
        except Exception:
            self.metrics.record_internal_error("reload")
        self.connection_limits.set_limit(max_connections(self.configuration, self.extensions))

    def begin_drain(self, stop: ReceivedSignal) -> None:
        """Reject requests that arrive later than the grace, which counts from the stop signal.

        May be called from any thread, and more than once.
        """
        self.lifecycle.ready = False  # before the engine is up, no controller does it
        self.dispatcher.begin_drain(stop.received_at, self._stop_at_us(stop))

    def _begin_drain_at_stop(self) -> None:
        """Begin the drain at the stop signal, even if the main thread is busy with another one."""
        self.begin_drain(self.signal_receiver.wait_for_stop())

    def _stop_at_us(self, stop: ReceivedSignal) -> int:
        return stop.received_at + self.configuration.stop_after_us

    def drain(self, stop: ReceivedSignal) -> int:
        """Answer requests until shortly before the stop, then close all connections.

        Args:
            stop: the stop signal; grace and stop count from its arrival.

        Returns:
            The exit code of the process.
        """
        stop_at_us = self._stop_at_us(stop)
        log.info(
            "draining",
            extra=log_fields(
                stop_ms=self.configuration.stop_after_us // 1000,
                in_flight=len(self.dispatcher.requests),
            ),
        )
        self.begin_drain(stop)  # again: a reload before the signal may have changed the stop
        for extension in self.extensions:
            extension.begin_drain()
        self._handle_signals_until(stop_at_us - LAST_ACCEPT_BEFORE_STOP_US)
        self._close_connections(stop_at_us - CLOSE_BEFORE_STOP_US)
        log.info(
            "drained",
            extra=log_fields(
                in_flight=len(self.dispatcher.requests), connections=len(self.connections.open)
            ),
        )
        for extension in self.extensions:
            extension.close()
        self.log_counters("exit")
        self.log_writer.stop()
        return 0

    def _handle_signals_until(self, end_us: int) -> None:
        while (received := self.signal_receiver.wait(end_us)) is not None:
            self.handle_signal(received)

    def _close_connections(self, end_us: int) -> None:
        self.connections.stop_accepting()
        while self.connections.open and clock.now() < end_us:
            time.sleep(CLOSE_POLL_S)
