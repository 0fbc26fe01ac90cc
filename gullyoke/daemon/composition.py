"""Creates the daemon and its parts; each part is created after the parts that it depends on."""

from __future__ import annotations

import logging
import random
import sys
import threading
from collections.abc import Sequence
from typing import Final

from gullyoke.daemon.command_router import CommandRouter
from gullyoke.daemon.configuration import DaemonConfiguration
from gullyoke.daemon.daemon import Daemon
from gullyoke.daemon.descriptors import max_calls, max_connections
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
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.lifecycle import Lifecycle
from gullyoke.runtime.logs import start_logging
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.signal_receiver import SignalReceiver
from gullyoke.runtime.timer import Timer

THREAD_STACK_BYTES: Final = 128 * 1024  # the deepest call path needs under 32 KiB
#: How long a computing thread may hold the interpreter lock while other threads wait for it.
THREAD_SWITCH_INTERVAL_S: Final = 0.001


def build_daemon(
    configuration: DaemonConfiguration,
    signal_receiver: SignalReceiver,
    operator_file: OperatorConfiguration | None = None,
    log_formatter: logging.Formatter | None = None,
) -> Daemon:
    """Create a daemon; it serves nothing before it is started.

    Args:
        configuration: the configuration of the daemon.
        signal_receiver: receives the signals.
        operator_file: the operator's file; None if there is none.
        log_formatter: formats the lines of the log; None for key=value lines.

    Raises:
        ConfigurationError: the configuration of an extension is invalid.
        OSError: the daemon can't listen on an address.
    """
    _configure_threads()
    log_writer = start_logging(configuration.log_level, log_formatter)
    extensions = operator_file.extensions if operator_file is not None else ()
    metrics = Metrics()
    executor = _create_executor(configuration, extensions, metrics)
    dispatcher = _create_dispatcher(configuration, extensions, metrics, executor)
    connection_limits = ConnectionLimits(max_connections(configuration, extensions))
    parts = _create_parts(configuration, metrics, dispatcher, connection_limits)
    for extension in extensions:
        executor = extension.wrap_executor(parts, executor)
    database = DependencyClient(
        configuration.database, max_calls(configuration), parts.timer, metrics, dispatcher.lock
    )
    command_router = CommandRouter(dispatcher, executor, database, parts.timer, parts.lifecycle)
    service_discovery = _create_service_discovery(configuration, parts.lifecycle, metrics)
    _open_listeners(parts, extensions, connection_limits)
    clients = _addressed_clients(executor, database, service_discovery)
    return Daemon(
        configuration=configuration,
        signal_receiver=signal_receiver,
        extensions=extensions,
        log_writer=log_writer,
        metrics=metrics,
        timer=parts.timer,
        dispatcher=dispatcher,
        lifecycle=parts.lifecycle,
        executor=executor,
        database=database,
        event_relay=EventRelay(dispatcher, command_router, executor, metrics),
        connection_limits=connection_limits,
        connections=parts.connections,
        service_discovery=service_discovery,
        reloader=ConfigurationReloader(clients, operator_file, metrics),
    )


def _configure_threads() -> None:
    threading.stack_size(THREAD_STACK_BYTES)
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)


def _create_executor(
    configuration: DaemonConfiguration, extensions: Sequence[Extension], metrics: Metrics
) -> Executor:
    """Create the executor of the first extension that has one, or the link to the engine.

    `create_executor` is called on all extensions, since it checks their configuration.
    """
    created = [extension.create_executor(configuration, metrics) for extension in extensions]
    for executor in created:
        if executor is not None:
            return executor
    return EngineLink(configuration.engine, configuration.facts.machine.gauges, metrics)


def _create_dispatcher(
    configuration: DaemonConfiguration,
    extensions: Sequence[Extension],
    metrics: Metrics,
    executor: Executor,
) -> Dispatcher:
    """Create the dispatcher, with the duplicate table of the first extension that has one."""
    created = [extension.create_duplicate_table(configuration) for extension in extensions]
    return Dispatcher(
        configuration.facts,
        metrics,
        flush=executor.flush,
        duplicates=next((table for table in created if table is not None), None),
    )


def _create_parts(
    configuration: DaemonConfiguration,
    metrics: Metrics,
    dispatcher: Dispatcher,
    connection_limits: ConnectionLimits,
) -> DaemonParts:
    """Create the parts that extensions may use."""
    lifecycle = Lifecycle(configuration.facts.permissions.max_idle)
    return DaemonParts(
        configuration=configuration,
        metrics=metrics,
        timer=Timer(metrics),
        dispatcher=dispatcher,
        lifecycle=lifecycle,
        message_handler=MessageHandler(dispatcher, lifecycle, metrics),
        connections=ConnectionTable(connection_limits, dispatcher, lifecycle, metrics),
    )


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


def _open_listeners(
    parts: DaemonParts, extensions: Sequence[Extension], connection_limits: ConnectionLimits
) -> None:
    """Listen for the daemon's own front end and for those of the extensions.

    The listeners share the limit on connections. None of them accepts connections before
    the daemon is started.
    """
    parts.connections.listen(parts.configuration.listen, Http1(parts.message_handler))
    for extension in extensions:
        extension.attach(parts)
    connection_limits.set_listener_count(len(parts.connections.listeners))


def _addressed_clients(
    executor: Executor,
    database: DependencyClient,
    service_discovery: ServiceDiscoveryReporter | None,
) -> dict[str, AddressedClient]:
    """Return the parts whose address a reload may change, by the name of the field."""
    clients: dict[str, AddressedClient] = {"engine": executor, "database": database}
    if service_discovery is not None:
        clients["name_service"] = service_discovery
    return clients
