"""Route: each command of the decisions goes to whoever carries it out.

Only queues are touched.
"""

from __future__ import annotations

from collections.abc import Iterator

from gullyoke.admission.interface import (
    AWAIT_DUPLICATE,
    CANCEL,
    FAIL,
    FORGET_KEY,
    RUN,
    SKIP_DEPENDENCY_CALL,
    CallDependency,
    Command,
    Reject,
    RememberKey,
    RequestEvent,
)
from gullyoke.dependencies.database import Database
from gullyoke.executors import Executor
from gullyoke.runtime import clock
from gullyoke.runtime.dispatcher import Dispatcher, PendingRequest
from gullyoke.runtime.lifecycle import Lifecycle
from gullyoke.runtime.timer import Timer

STATS_WAIT = 30_000  # how long a wake-up waits for the engine's gauges, in microseconds


class CommandRouter:
    """The door of one server of decisions. All of it is called under the desk's lock."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        engine: Executor,
        database: Database,
        timer: Timer,
        lifecycle: Lifecycle,
    ) -> None:
        self.dispatcher, self.engine, self.database, self.timer = (
            dispatcher,
            engine,
            database,
            timer,
        )
        self.lifecycle = lifecycle
        self.awaited = 0  # the wake-up that is out; one at a time
        self.due = 0  # when the last one was due

    def execute(self, request: PendingRequest, command: Command) -> None:
        dispatcher, engine = self.dispatcher, self.engine
        if command is RUN:
            engine.start_run(request)
        elif command is SKIP_DEPENDENCY_CALL:
            engine.skip_call(request)
        elif command is CANCEL:
            engine.cancel_run(request)
        elif command is FAIL or isinstance(command, Reject):
            dispatcher.answer(request, command)
        elif isinstance(command, CallDependency):
            self.database.call(request, command.timeout)
        elif isinstance(command, RememberKey):
            dispatcher.duplicates.remember(request, dispatcher.now + command.duration)
        elif command is FORGET_KEY:
            for waiter in dispatcher.duplicates.forget(request):
                dispatcher.post_event(waiter, RequestEvent.FAILED)
        elif command is AWAIT_DUPLICATE:
            self.reuse(request)

    def reuse(self, request: PendingRequest) -> None:
        entry, _ = self.dispatcher.duplicates.find(request, self.dispatcher.now)
        if entry is not None and entry.holder is not None:
            entry.waiting.append(request)
        elif entry is not None and entry.result is not None:
            self.dispatcher.answer(request, RequestEvent.COMPLETED, entry.result)
            self.dispatcher.post_event(request, RequestEvent.COMPLETED)
        else:
            self.dispatcher.post_event(request, RequestEvent.FAILED)

    def finished(self, request: PendingRequest) -> None:
        if request.dependency_call is not None:
            self.database.abandon(request)
        self.dispatcher.over(request)

    def schedule_tick(self, after: int) -> None:
        """Counted from when the last one was due.

        Waiting for gauges must not push all later ones back.
        """
        self.due = max(self.dispatcher.now, self.due + after)
        self.timer.at(self.due, self.ask)

    def set_health(self, good: bool, cheap: bool) -> None:
        self.lifecycle.good = good

    def set_load_signal(self, level: float) -> None:
        self.lifecycle.level = level

    def set_idle_timeout(self, span: int) -> None:
        self.lifecycle.idle = span or self.lifecycle.longest_idle

    def log(self, text: str) -> None:
        self.dispatcher.notes.append(text)

    def run_in_background(self, work: Iterator) -> None:
        self.dispatcher.thoughts.put(work)

    # The wake-up: the engine's gauges first, or none if they don't come soon.

    def ask(self) -> None:
        self.awaited += 1
        tag = self.awaited
        # From this moment, not from the last event's: where little happens that is older than the
        # whole wait.
        self.timer.at(clock.now() + STATS_WAIT, lambda: self.woken(tag, {}))
        self.engine.poll_gauges(tag)

    def woken(self, tag: int, got: dict[str, float]) -> None:
        with self.dispatcher.lock:
            if tag != self.awaited:
                return
            self.awaited += 1
            self.dispatcher.duplicates.expire(self.dispatcher.now)
        self.dispatcher.gauges(got)
