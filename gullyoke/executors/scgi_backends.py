"""An executor that runs requests at a pool of SCGI application servers.

gullyoke/routing decides where a run goes; this module performs the attempts, each with a connection
and a thread of its own.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable, Iterable, Mapping
from logging import INFO, WARNING

from gullyoke.executors import EngineState, ExecutorListener
from gullyoke.executors.backend_attempt import (
    AttemptResult,
    AttemptSettings,
    BackendAttempt,
    SocketAddress,
    request_of,
)
from gullyoke.routing import (
    EJECTED_STATES,
    AttemptOutcome,
    Backend,
    BackendSettings,
    HealthState,
    RoutedRun,
    Router,
    RouterAction,
    RunEnded,
    SendAttempt,
)
from gullyoke.runtime import clock
from gullyoke.runtime.logs import log, log_fields
from gullyoke.runtime.messages import Answer
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.pending_request import PendingRequest, log_identity
from gullyoke.runtime.worker_pool import WorkerPool


class ScgiBackendPool:
    """Carries out the actions of the router.

    A run is in the tables until its end is reported to the admission controller. The lock guards
    the router and the tables; it is acquired after the dispatcher's lock, never before it.
    """

    def __init__(
        self,
        router: Router,
        cores: int,
        settings: AttemptSettings,
        metrics: Metrics,
        needs_warmup: bool = False,
    ) -> None:
        """Create a pool without back ends.

        Args:
            router: Decides where runs go.
            cores: Cores of the machine in the site's settings; the gauges are scaled to them.
            settings: Settings common to all attempts.
            metrics: Counters.
            needs_warmup: Whether the pool reports itself as cold at the start.
        """
        self._router = router
        self._cores = cores
        self._settings = settings
        self._metrics = metrics
        self._starts_cold = needs_warmup
        self._listener: ExecutorListener
        self._lock = threading.Lock()
        self._addresses: dict[str, SocketAddress] = {}
        self._runs: dict[PendingRequest, RoutedRun] = {}
        self._attempts: dict[RoutedRun, BackendAttempt] = {}  # attempts with an open connection
        self._to_start: queue.SimpleQueue[SendAttempt] = queue.SimpleQueue()
        self._workers = WorkerPool(self._attempt)

    def start(self, listener: ExecutorListener) -> None:
        """Start the thread that starts workers, and report the pool as an engine."""
        self._listener = listener
        threading.Thread(
            target=self._metrics.run_forever,
            args=("backends", self._start_worker),
            name="backends-open",
            daemon=True,
        ).start()
        listener.on_engine_hello(EngineState.COLD if self._starts_cold else EngineState.WARM, 0)

    def update_address(self, address: tuple[str, int]) -> None:
        """Do nothing: there is no engine."""

    def configure(
        self, addresses: Mapping[str, SocketAddress], settings: Iterable[BackendSettings]
    ) -> None:
        """Replace the configured back ends; those that are no longer configured drain."""
        with self._lock:
            self._addresses |= addresses
            actions, change = self._router.configure(clock.now(), settings)
            self._addresses = {
                name: address
                for name, address in self._addresses.items()
                if name in self._router.pool.backends
            }
        if change.added or change.draining:
            log.info(
                "back ends configured",
                extra=log_fields(
                    came=",".join(change.added) or "-", leaving=",".join(change.draining) or "-"
                ),
            )
        self._carry_out(actions)

    def set_probe_gate(self, may_probe: Callable[[str], bool]) -> None:
        """Set the function that decides, by name, whether a back end may be probed now."""
        self._router.set_probe_gate(may_probe)

    def ejected(self) -> set[str]:
        """Return the names of the back ends that are ejected or unreachable."""
        with self._lock:
            return {
                name
                for name, backend in self._router.pool.backends.items()
                if backend.health.state in EJECTED_STATES
            }

    # Commands; called under the dispatcher's lock.

    def start_run(self, request: PendingRequest) -> None:
        """Send the request to a back end, or queue it."""
        run = RoutedRun(request)
        with self._lock:
            self._runs[request] = run
            actions = self._router.begin(clock.now(), run)
        self._carry_out_locked(actions)

    def send_call_reply(self, request: PendingRequest, reply: bytes) -> None:
        """Do nothing: a back end makes its own calls."""

    def skip_call(self, request: PendingRequest) -> None:
        """Do nothing: a back end makes its own calls."""

    def cancel_run(self, request: PendingRequest) -> None:
        """Cancel the run: a queued one at once, one at a back end by closing its connection.

        The connection is closed only if `cancel_by_close` says that this stops the application. The
        thread of the attempt then sees the connection end and reports the end of the run.
        """
        with self._lock:
            run = self._runs.get(request)
            if run is None:
                return
            actions = self._router.cancel(run)
            attempt = self._attempts.get(run)
            if attempt is not None and self._settings.cancel_by_close:
                attempt.shut_down()
        self._carry_out_locked(actions)

    def flush(self) -> None:
        """Do nothing: each attempt is sent by a thread of its own."""

    def poll_gauges(self, tag: int) -> None:
        """Dispatch queued runs and report the load of the pool."""
        with self._lock:
            now = clock.now()
            actions = self._router.dispatch_queued(now)
            gauges = self._router.gauges(now, self._cores)
        self._carry_out(actions)
        self._listener.on_gauges(
            str(tag),
            {"core_use": gauges.busy, "on_cores": gauges.runnable, "room": gauges.capacity},
        )

    # Actions of the router.

    def _carry_out_locked(self, actions: Iterable[RouterAction]) -> None:
        """Carry out actions under the dispatcher's lock; the ends of runs are posted as events."""
        for action in actions:
            if isinstance(action, SendAttempt):
                self._send(action)
            else:
                self._forget(action.run)
                self._metrics.increment(f"runs.{action.event.name.lower()}")
                self._listener.post_event(request_of(action.run), action.event)

    def _carry_out(self, actions: Iterable[RouterAction]) -> None:
        """Carry out actions without the dispatcher's lock."""
        for action in actions:
            if isinstance(action, SendAttempt):
                self._send(action)
            else:
                self._report_end(action, None)

    def _send(self, send: SendAttempt) -> None:
        """Assign an attempt to an idle worker, or have another thread start a new worker.

        Starting a thread takes too long under the dispatcher's lock.
        """
        self._metrics.increment("backends.sent")
        request_of(send.run).backend_name = send.backend.settings.name
        if not self._workers.assign(send):
            self._to_start.put(send)

    def _forget(self, run: RoutedRun) -> None:
        with self._lock:
            self._runs.pop(request_of(run), None)

    def _report_end(self, ended: RunEnded, answer: Answer | None) -> None:
        self._forget(ended.run)
        self._listener.on_backend_run_ended(request_of(ended.run), ended.event, answer)

    # Attempts, each on a thread of its own.

    def _start_worker(self) -> None:
        send = self._to_start.get()
        try:
            threading.Thread(
                target=self._workers.run_worker, args=(send,), name="backend", daemon=True
            ).start()
            self._metrics.increment("threads.backend")
        except RuntimeError as fault:  # the system has no thread left
            result = AttemptResult(AttemptOutcome.NOT_STARTED, None, str(fault))
            self._on_attempt_ended(send, result)

    def _attempt(self, send: SendAttempt) -> None:
        attempt = BackendAttempt(send, self._settings, self, self._metrics)
        self._on_attempt_ended(send, attempt.perform())

    def address_of(self, backend_name: str) -> SocketAddress:
        """Return the address of a back end."""
        with self._lock:
            return self._addresses[backend_name]

    def register(self, attempt: BackendAttempt) -> bool:
        """Register an attempt for cancellation; False if its run is cancelled already."""
        with self._lock:
            self._attempts[attempt.run] = attempt
            return not (attempt.run.cancelled and self._settings.cancel_by_close)

    def _on_attempt_ended(self, send: SendAttempt, result: AttemptResult) -> None:
        """Report the outcome to the router and carry out the resulting actions."""
        now = clock.now()
        self._metrics.increment(f"backends.{result.outcome.value}")
        if result.outcome not in (AttemptOutcome.COMPLETED, AttemptOutcome.CANCELLED):
            log.warning(
                "attempt at a back end failed",
                extra=log_fields(
                    fate=result.outcome.value,
                    why=result.reason,
                    **log_identity(request_of(send.run)),
                ),
            )
        with self._lock:
            self._attempts.pop(send.run, None)
            state_before = send.backend.health.state
            actions = self._router.on_attempt_ended(now, send.run, result.outcome)
            state = send.backend.health.state
            ejected_until = send.backend.health.ejected_until
        if state is not state_before:
            self._log_state(send.backend, state, ejected_until - now)
        for action in actions:
            if action.run is not send.run:
                self._carry_out([action])
            elif isinstance(action, RunEnded):
                self._report_end(action, result.answer)
            else:
                self._metrics.increment("backends.retried")
                self._send(action)

    # Logging.

    def _log_state(self, backend: Backend, state: HealthState, probe_in_us: int) -> None:
        ejected = state in EJECTED_STATES
        self._metrics.increment(f"backends.to_{state.value}")
        probe = {"trial_in_ms": probe_in_us // 1000} if ejected else {}
        log.log(
            WARNING if ejected else INFO,
            "back end changed state",
            extra=log_fields(back_end=backend.settings.name, standing=state.value, **probe),
        )

    def log_backends(self) -> None:
        """Log a line for each back end and one for the pool, along with the counters."""
        with self._lock:
            now = clock.now()
            rows = [
                self._log_row(name, backend, now)
                for name, backend in self._router.pool.backends.items()
            ]
            queued = len(self._router.queue.runs)
            retries = self._router.retries
        for row in rows:
            log.info("back end", extra=log_fields(**row))
        log.info("back ends", extra=log_fields(in_line=queued, again=retries))

    @staticmethod
    def _log_row(name: str, backend: Backend, now: int) -> dict[str, object]:
        return {
            "back_end": name,
            "standing": backend.health.state.value,
            "in_flight": backend.in_flight(now),
            "limit": int(backend.limit.current),
            "response_ms": int(backend.response_time_us) // 1000,
            "sent": backend.sent,
            "faults": f"{backend.health.failure_rate(now):.2f}",
        }
