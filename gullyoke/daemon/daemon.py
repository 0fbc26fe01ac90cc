"""The daemon: its parts put together, its start, its signals and its drain.

Each part owns its state, its locks and its threads; docs/architecture.md lists them. The main
thread builds the daemon, starts it and then waits for signals.
"""

from __future__ import annotations

import gc
import logging
import random
import signal
import sys
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass
from logging.handlers import QueueListener
from typing import Final

from gullyoke.daemon.command_router import CommandRouter
from gullyoke.daemon.configuration import DaemonConfiguration
from gullyoke.daemon.event_relay import EventRelay
from gullyoke.daemon.extension import DaemonParts, Extension, OperatorConfiguration
from gullyoke.daemon.reload import AddressedClient, ConfigurationReloader
from gullyoke.daemon.service_discovery import ServiceDiscoveryReporter
from gullyoke.dependencies.client import DependencyClient
from gullyoke.executors import Executor
from gullyoke.executors.engine_link import EngineLink
from gullyoke.frontends.connection_limits import ConnectionLimits
from gullyoke.frontends.connections import ConnectionTable
from gullyoke.frontends.http1 import Http1
from gullyoke.frontends.message_handler import MessageHandler
from gullyoke.runtime import clock, signals
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.duplicate_table import DuplicateTable
from gullyoke.runtime.lifecycle import Lifecycle
from gullyoke.runtime.logs import log, log_fields, start_logging
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.timer import Timer

THREAD_STACK_BYTES: Final = 128 * 1024  # the deepest call path needs under 32 KiB
#: A thread that computes keeps the interpreter from the others for this long at most.
THREAD_SWITCH_INTERVAL_S: Final = 0.001
SWEEP_INTERVAL_US: Final = 100_000
#: Descriptors for all but client connections, calls and extensions: the log, the engine and so on.
RESERVED_DESCRIPTORS: Final = 16
#: One descriptor in so many is for calls of the dependency.
DESCRIPTORS_PER_CALL: Final = 6
#: No connection is accepted in the last part of the drain.
LAST_ACCEPT_BEFORE_STOP_US: Final = 200_000
#: The connections still open this long before the stop are left as they are.
CLOSE_BEFORE_STOP_US: Final = 20_000
CLOSE_POLL_S: Final = 0.005


@dataclass(eq=False)
class Daemon:
    """A daemon whose parts are put together; `build_daemon` makes it.

    Attributes:
        configuration: the one in force; a reload replaces it.
        extensions: what the operator's file adds, in the order in which they are called.
        log_writer: the thread that writes the log.
        metrics: all counters.
        timer: the thread for all that is due at a time.
        dispatcher: the decisions, their lock and the requests in flight.
        executor: what runs the requests.
        database: the calls of the dependency.
        event_relay: hears from executor and database.
        connection_limits: how many client connections there may be.
        connections: the client connections and the threads that serve them.
        service_discovery: reports to the name service; None where there is none.
        reloader: reads the configuration again.
    """

    configuration: DaemonConfiguration
    extensions: Sequence[Extension]
    log_writer: QueueListener
    metrics: Metrics
    timer: Timer
    dispatcher: Dispatcher
    executor: Executor
    database: DependencyClient
    event_relay: EventRelay
    connection_limits: ConnectionLimits
    connections: ConnectionTable
    service_discovery: ServiceDiscoveryReporter | None
    reloader: ConfigurationReloader

    def run(self) -> int:
        """Serve until the stop signal and to the end of the drain.

        Returns:
            The exit code of the process.
        """
        self.start()
        gc.freeze()  # what exists now lives to the end: later collections pass it over
        while self.handle_signal(signal.sigwait(signals.HANDLED)):
            pass
        return self.drain()

    def start(self) -> None:
        """Start all threads and serve."""
        self.timer.start()
        threading.Thread(
            target=self.dispatcher.run_background_work, name="think", daemon=True
        ).start()
        for extension in self.extensions:
            extension.start()
        self.executor.start(self.event_relay)
        self.database.start(self.event_relay)
        self.timer.call_at(clock.now() + SWEEP_INTERVAL_US, self.sweep)
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
        """Close the connections whose time is up; runs on the timer's thread."""
        self.timer.call_at(clock.now() + SWEEP_INTERVAL_US, self.sweep)
        self.connections.sweep()
        self.database.close_idle()

    def handle_signal(self, number: int) -> bool:
        """Act on a signal.

        Returns:
            False for a stop signal, on which the caller has to act.
        """
        if number == signal.SIGUSR1:
            self.print_counters("asked")
        elif number == signal.SIGHUP:
            self.apply_reload()
        else:
            return False
        return True

    def print_counters(self, reason: str) -> None:
        """Log the counters and the state of each extension."""
        self.metrics.print(reason)
        for extension in self.extensions:
            extension.log_status()

    def apply_reload(self) -> None:
        """Read the configuration again and take over what may change under requests in flight."""
        self.configuration = self.reloader.reload(self.configuration)
        self.connection_limits.set_limit(max_connections(self.configuration, self.extensions))

    def drain(self) -> int:
        """Answer what still comes until shortly before the stop, then close everything.

        Returns:
            The exit code of the process.
        """
        log.info(
            "leaving",
            extra=log_fields(
                stop_ms=self.configuration.stop_after_us // 1000,
                in_hand=len(self.dispatcher.requests),
            ),
        )
        self.dispatcher.begin_drain(self.configuration.stop_after_us)
        for extension in self.extensions:
            extension.begin_drain()
        stop_at = self.dispatcher.stop_at
        self._handle_signals_until(stop_at - LAST_ACCEPT_BEFORE_STOP_US)
        self._close_connections(stop_at - CLOSE_BEFORE_STOP_US)
        log.info(
            "left",
            extra=log_fields(
                in_hand=len(self.dispatcher.requests), connections=len(self.connections.open)
            ),
        )
        for extension in self.extensions:
            extension.close()
        self.print_counters("exit")
        self.log_writer.stop()
        return 0

    def _handle_signals_until(self, end_us: int) -> None:
        while (left_s := (end_us - clock.now()) / 1e6) > 0:
            received = signal.sigtimedwait(signals.HANDLED, left_s)
            if received is not None:
                self.handle_signal(received.si_signo)

    def _close_connections(self, end_us: int) -> None:
        self.connections.stop_accepting()
        while self.connections.open and clock.now() < end_us:
            time.sleep(CLOSE_POLL_S)


def build_daemon(
    configuration: DaemonConfiguration,
    operator_file: OperatorConfiguration | None = None,
    log_formatter: logging.Formatter | None = None,
) -> Daemon:
    """Put a daemon together; nothing is served before it is started.

    Args:
        configuration: the daemon's own configuration.
        operator_file: what the operator adds; None for nothing.
        log_formatter: the form of the log's lines; None for key=value lines.

    Raises:
        ConfigurationError: an extension can't meet its configuration.
        OSError: an address can't be listened on.
    """
    _configure_threads()
    extensions = operator_file.extensions if operator_file is not None else ()
    metrics = Metrics()
    log_writer = start_logging(configuration.log_level, log_formatter)
    timer = Timer(metrics)

    executor = _create_executor(configuration, extensions, metrics)
    dispatcher = Dispatcher(
        configuration.facts,
        configuration.seed,
        metrics,
        flush=executor.flush,
        duplicates=_create_duplicate_table(configuration, extensions),
    )
    lifecycle = Lifecycle(configuration.facts.permissions.max_idle)
    message_handler = MessageHandler(dispatcher, lifecycle, metrics)
    connection_limits = ConnectionLimits(max_connections(configuration, extensions))
    connections = ConnectionTable(connection_limits, dispatcher, lifecycle, metrics)
    parts = DaemonParts(
        configuration, metrics, timer, dispatcher, lifecycle, message_handler, connections
    )

    for extension in extensions:
        executor = extension.wrap_executor(parts, executor)
    database = DependencyClient(
        configuration.database, max_calls(configuration), timer, metrics, dispatcher.lock
    )
    command_router = CommandRouter(dispatcher, executor, database, timer, lifecycle)
    event_relay = EventRelay(dispatcher, command_router, executor, metrics)

    connections.listen(configuration.listen, Http1(message_handler))
    service_discovery = _create_service_discovery(configuration, lifecycle, metrics)
    for extension in extensions:
        extension.attach(parts)
    connection_limits.set_listener_count(len(connections.listeners))

    clients: dict[str, AddressedClient] = {"engine": executor, "database": database}
    if service_discovery is not None:
        clients["name_service"] = service_discovery
    return Daemon(
        configuration=configuration,
        extensions=extensions,
        log_writer=log_writer,
        metrics=metrics,
        timer=timer,
        dispatcher=dispatcher,
        executor=executor,
        database=database,
        event_relay=event_relay,
        connection_limits=connection_limits,
        connections=connections,
        service_discovery=service_discovery,
        reloader=ConfigurationReloader(clients, operator_file, metrics),
    )


def max_calls(configuration: DaemonConfiguration) -> int:
    """Return how many calls of the dependency may be open at once."""
    return configuration.max_descriptors // DESCRIPTORS_PER_CALL


def max_connections(configuration: DaemonConfiguration, extensions: Sequence[Extension]) -> int:
    """Return how many client connections there may be: what the other uses of descriptors leave."""
    return (
        configuration.max_descriptors
        - RESERVED_DESCRIPTORS
        - max_calls(configuration)
        - sum(extension.reserved_descriptors() for extension in extensions)
    )


def _configure_threads() -> None:
    threading.stack_size(THREAD_STACK_BYTES)
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)


def _create_executor(
    configuration: DaemonConfiguration, extensions: Sequence[Extension], metrics: Metrics
) -> Executor:
    """Create the executor of the first extension that has one, or the link to the engine.

    All extensions are asked, since they check their configuration when asked.
    """
    created = [extension.create_executor(configuration, metrics) for extension in extensions]
    for executor in created:
        if executor is not None:
            return executor
    return EngineLink(configuration.engine, configuration.facts.machine.gauges, metrics)


def _create_duplicate_table(
    configuration: DaemonConfiguration, extensions: Sequence[Extension]
) -> DuplicateTable | None:
    """Create the table of the first extension that has one; None for the dispatcher's own."""
    created = [extension.create_duplicate_table(configuration) for extension in extensions]
    return next((table for table in created if table is not None), None)


def _create_service_discovery(
    configuration: DaemonConfiguration, lifecycle: Lifecycle, metrics: Metrics
) -> ServiceDiscoveryReporter | None:
    if configuration.name_service is None:
        return None
    return ServiceDiscoveryReporter(
        configuration.name_service,
        configuration.name,
        lambda: lifecycle.ready,
        random.Random(configuration.seed),
        metrics,
    )
