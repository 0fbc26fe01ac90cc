"""Carries out the admission controller's commands. Nothing here blocks: commands are queued."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import cast

from gullyoke.admission.interface import (
    AwaitDuplicate,
    CallDependency,
    Cancel,
    Command,
    Fail,
    ForgetKey,
    Reject,
    RememberKey,
    Request,
    RequestEvent,
    Run,
    SkipDependencyCall,
)
from gullyoke.daemon.gauge_poller import GaugePoller
from gullyoke.dependencies.client import DependencyClient
from gullyoke.executors import Executor
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.lifecycle import Lifecycle
from gullyoke.runtime.pending_request import PendingRequest
from gullyoke.runtime.timer import Timer


class CommandRouter:
    """The controller's command executor. All methods are called under the dispatcher's lock."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        executor: Executor,
        dependency: DependencyClient,
        timer: Timer,
        lifecycle: Lifecycle,
    ) -> None:
        self._dispatcher = dispatcher
        self._executor = executor
        self._dependency = dependency
        self._lifecycle = lifecycle
        self.gauge_poller = GaugePoller(dispatcher, executor, timer)
        self._methods: dict[type[Command], Callable[[PendingRequest, Command], None]] = {
            Run: self._start_run,
            SkipDependencyCall: self._skip_call,
            Cancel: self._cancel_run,
            Fail: self._answer,
            Reject: self._answer,
            CallDependency: self._call_dependency,
            RememberKey: self._remember_key,
            ForgetKey: self._forget_key,
            AwaitDuplicate: self._await_duplicate,
        }

    def execute(self, request: Request, command: Command) -> None:
        """Carry out a command; commands without a method need no action."""
        method = self._methods.get(type(command))
        if method is not None:
            method(cast(PendingRequest, request), command)

    def _start_run(self, request: PendingRequest, command: Command) -> None:
        self._executor.start_run(request)

    def _skip_call(self, request: PendingRequest, command: Command) -> None:
        self._executor.skip_call(request)

    def _cancel_run(self, request: PendingRequest, command: Command) -> None:
        self._executor.cancel_run(request)

    def _answer(self, request: PendingRequest, command: Command) -> None:
        assert isinstance(command, Fail | Reject)
        self._dispatcher.answer(request, command)

    def _call_dependency(self, request: PendingRequest, command: Command) -> None:
        assert isinstance(command, CallDependency)
        self._dependency.call(request, self._dispatcher.now, command.timeout)

    def _remember_key(self, request: PendingRequest, command: Command) -> None:
        assert isinstance(command, RememberKey)
        dispatcher = self._dispatcher
        dispatcher.duplicates.remember(request, dispatcher.now + command.duration)

    def _forget_key(self, request: PendingRequest, command: Command) -> None:
        for waiter in self._dispatcher.duplicates.forget(request):
            self._dispatcher.post_event(waiter, RequestEvent.FAILED)

    def _await_duplicate(self, request: PendingRequest, command: Command) -> None:
        """Answer a duplicate with the result of the original, now or when its run ends."""
        entry, _ = self._dispatcher.duplicates.find(request, self._dispatcher.now)
        if entry is not None and entry.request is not None:
            entry.waiters.append(request)
        elif entry is not None and entry.result is not None:
            self._dispatcher.answer(request, RequestEvent.COMPLETED, entry.result)
            self._dispatcher.post_event(request, RequestEvent.COMPLETED)
        else:
            self._dispatcher.post_event(request, RequestEvent.FAILED)

    def finished(self, request: Request) -> None:
        """Clean up after a finished request: abandon its dependency call and remove the request."""
        pending = cast(PendingRequest, request)
        self._dependency.abandon(pending)
        self._dispatcher.on_finished(pending)

    def schedule_tick(self, delay: int) -> None:
        """Schedule the controller's next tick after `delay` microseconds."""
        self.gauge_poller.schedule(delay)

    def set_health(self, ready: bool, cheap: bool) -> None:
        """Set whether health checks are answered with success; never in a drain.

        The controller may be created in a drain, and says that it is ready before it is told.
        """
        self._lifecycle.ready = ready and self._dispatcher.stop_at is None

    def set_load_signal(self, level: float) -> None:
        """Set the load signal that is sent with every answer."""
        self._lifecycle.load_signal = level

    def set_idle_timeout(self, timeout: int) -> None:
        """Set after how many microseconds idle client connections are closed; 0 for the default."""
        self._lifecycle.idle_timeout_us = timeout or self._lifecycle.default_idle_timeout_us

    def log(self, text: str) -> None:
        """Queue a log line, which is written after the lock is released."""
        self._dispatcher.pending_log_lines.append(text)

    def run_in_background(self, work: Iterator[None]) -> None:
        """Queue a computation that the dispatcher's background thread runs step by step."""
        self._dispatcher.background_work.put(work)
