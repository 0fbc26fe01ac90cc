"""The whole server: its parts put together, its start, its notice to leave and its end."""

from __future__ import annotations

import gc
import logging
import os
import random
import signal
import sys
import threading
import time
from typing import Protocol

from gullyoke.daemon.command_router import CommandRouter
from gullyoke.daemon.configuration import DaemonConfiguration, load_configuration
from gullyoke.daemon.event_relay import EventRelay
from gullyoke.daemon.service_discovery import Naming
from gullyoke.dependencies.database import Database
from gullyoke.executors import Executor
from gullyoke.executors.engine_link import EngineLink
from gullyoke.frontends.connection_limits import Room
from gullyoke.frontends.connections import ConnectionTable
from gullyoke.frontends.http1 import Http1
from gullyoke.frontends.message_handler import Intake
from gullyoke.runtime import clock, signals
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.duplicate_table import DuplicateTable
from gullyoke.runtime.lifecycle import Lifecycle
from gullyoke.runtime.logs import log, log_fields, start_logging
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.timer import Timer
from gullyoke.settings.site_settings import ConfigurationError

STACK = 128 * 1024  # bytes of stack a thread; the deepest path needs under 32 KiB
SWEEP = 100_000  # microseconds between looks at the connections
SPARE = 16  # descriptors for all but gateways and calls
CALLS = 6  # of all descriptors one in so many is for calls
LAST = 200_000  # before the stop: no connection is taken any more
TAKEN = (
    "engine",
    "database",
    "naming",
    "stop",
)  # what a new configuration can change in a running server


class Feature(Protocol):
    """One thing that an operator's file adds (gullyoke/extensions/), so that the lean start imports
    none of it.

    Asked in this order: `work`, `around` and `held` while the house is put together, `join` when it
    is, `start` once the timer runs, `print` with the counters, `leave` at the notice to leave,
    `end` at the end of the drain.
    """

    def work(self, configuration: DaemonConfiguration, metrics: Metrics) -> Executor | None:
        """What carries out the work in the engine's place, if this does."""

    def create_duplicate_table(self, configuration: DaemonConfiguration) -> DuplicateTable | None:
        """The table of idempotency keys, if this replaces the one in memory."""

    def around(self, daemon: Daemon, work: Executor) -> Executor:
        """What stands before the work from now on; `work` itself where this adds nothing to it."""

    def held(self) -> int:
        """The most descriptors that it holds."""

    def join(self, daemon: Daemon) -> None: ...
    def start(self) -> None: ...
    def print(self) -> None: ...
    def leave(self) -> None: ...
    def end(self) -> None: ...


class Extra(Protocol):
    """The operator's file: the features that it made, and reading it again, False where it can't be
    right.
    """

    features: list[Feature]

    def reload(self) -> bool: ...


class Daemon:
    """`extra` is the operator's file, None where there is none.

    `form`, the log's where it is not ours.
    """

    def __init__(
        self,
        configuration: DaemonConfiguration,
        extra: Extra | None = None,
        form: logging.Formatter | None = None,
    ) -> None:
        threading.stack_size(STACK)
        sys.setswitchinterval(0.001)  # a thread that solves holds up others this long at most
        self.configuration, self.metrics, self.extra = configuration, Metrics(), extra
        self.features: list[Feature] = extra.features if extra else []
        self.logging = start_logging(configuration.level, form)
        self.timer = Timer(self.metrics)
        self.calls = configuration.sockets // CALLS
        works = [
            work
            for one in self.features
            if (work := one.work(configuration, self.metrics)) is not None
        ]
        self.work: Executor = (
            works[0]
            if works
            else EngineLink(configuration.engine, configuration.facts.machine.gauges, self.metrics)
        )
        tables = [
            table
            for one in self.features
            if (table := one.create_duplicate_table(configuration)) is not None
        ]
        self.dispatcher = Dispatcher(
            configuration.facts,
            configuration.seed,
            self.metrics,
            self.work.flush,
            tables[0] if tables else None,
        )
        for one in self.features:
            self.work = one.around(self, self.work)
        self.database = Database(configuration.database, self.calls, self.timer, self.metrics)
        self.lifecycle = Lifecycle(configuration.facts.permissions.max_idle)
        self.route = CommandRouter(
            self.dispatcher, self.work, self.database, self.timer, self.lifecycle
        )
        self.relay = EventRelay(self.dispatcher, self.route, self.metrics)
        self.intake = Intake(self.dispatcher, self.lifecycle, self.metrics)
        self.room = Room(self.places())
        self.connections = ConnectionTable(self.room, self.dispatcher, self.lifecycle, self.metrics)
        self.connections.listen(configuration.listen, Http1(self.intake))
        self.naming = configuration.naming and Naming(
            configuration.naming,
            configuration.name,
            lambda: self.lifecycle.good,
            random.Random(configuration.seed),
            self.metrics,
        )
        for one in self.features:
            one.join(self)
        self.room.among(len(self.connections.listeners))

    def places(self) -> int:
        """How many connections all fronts may have: what calls, back ends and the rest leave."""
        return (
            self.configuration.sockets
            - SPARE
            - self.calls
            - sum(one.held() for one in self.features)
        )

    def start(self) -> None:
        """Serve, from now on."""
        self.timer.start()
        threading.Thread(target=self.dispatcher.think, name="think", daemon=True).start()
        for one in self.features:
            one.start()
        self.work.start(self.relay)
        self.database.start(self.relay)
        self.timer.at(clock.now() + SWEEP, self.sweep)
        self.connections.start()
        if self.naming:
            self.naming.start()
        log.info(
            "started",
            extra=log_fields(
                name=self.configuration.name, listen=":".join(map(str, self.configuration.listen))
            ),
        )

    def run(self) -> int:
        """Serve until the notice to leave, and to the end of the drain."""
        self.start()
        gc.freeze()  # what is there now stays; later passes pass it over
        while self.heed(signal.sigwait(signals.HANDLED)):
            pass
        return self.leave()

    def heed(self, sign: int) -> bool:
        """Carry a signal out, unless it is the notice to leave."""
        if sign == signal.SIGUSR1:
            self.print("asked")
        elif sign == signal.SIGHUP:
            self.reload()
        else:
            return False
        return True

    def print(self, why: str) -> None:
        self.metrics.print(why)
        for one in self.features:
            one.print()

    def reload(self) -> None:
        """Take over what a new configuration may change under reqs.

        Addresses and the stop's time.

        Guards against a file that is missing, torn, impossible or another server's: the one in
        force stays, whole. Another server's engine knows none of the requests in hand here.
        """
        self.metrics.increment("reloads")
        try:
            new = load_configuration(os.environ, self.configuration.engine is None)
        except ConfigurationError as fault:
            log.error("configuration kept", extra=log_fields(why=fault))
            return
        if (strange := self.configuration.strange(new)) is not None:
            log.error(
                "configuration kept", extra=log_fields(why=f"'{strange}' is that of another server")
            )
            return
        if self.extra and not self.extra.reload():
            return
        self.room.state(self.places())
        changed = new.changed(self.configuration)
        for part, name in (
            (self.work, "engine"),
            (self.database, "database"),
            (self.naming, "naming"),
        ):
            if name in changed and part and getattr(new, name):
                part.update_address(getattr(new, name))
        self.configuration = self.configuration._replace(
            **{name: getattr(new, name) for name in changed if name in TAKEN}
        )
        log.warning(
            "configuration read",
            extra=log_fields(
                taken=",".join(x for x in changed if x in TAKEN) or "-",
                ignored=",".join(x for x in changed if x not in TAKEN) or "-",
            ),
        )

    def leave(self) -> int:
        """The drain: all that comes is still read and answered.

        At its end no connection is left unread.
        """
        log.info(
            "leaving",
            extra=log_fields(
                stop_ms=self.configuration.stop // 1000, in_hand=len(self.dispatcher.requests)
            ),
        )
        self.dispatcher.leave(self.configuration.stop)
        for one in self.features:
            one.leave()
        stop = self.dispatcher.stop_at
        while (left := (stop - LAST - clock.now()) / 1e6) > 0:
            if (sign := signal.sigtimedwait(signals.HANDLED, left)) is not None:
                self.heed(sign.si_signo)
        self.connections.leave()
        while self.connections.open and clock.now() < stop - LAST // 10:
            time.sleep(0.005)
        log.info(
            "left",
            extra=log_fields(
                in_hand=len(self.dispatcher.requests), connections=len(self.connections.open)
            ),
        )
        for one in self.features:
            one.end()
        self.print("exit")
        self.logging.stop()
        return 0

    def sweep(self) -> None:
        self.timer.at(clock.now() + SWEEP, self.sweep)
        self.connections.sweep()
        self.database.close_idle()
