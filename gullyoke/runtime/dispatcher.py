"""The decisions behind their one lock, and the reqs in hand. Nothing blocks under the lock."""

from __future__ import annotations

import queue
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator

from gullyoke.admission.class_pools import ClassPools
from gullyoke.admission.controller import AdmissionController
from gullyoke.admission.interface import FAIL, Gauges, RequestEvent, SiteFacts
from gullyoke.runtime import clock
from gullyoke.runtime.duplicate_table import DuplicateTable
from gullyoke.runtime.logs import log
from gullyoke.runtime.messages import Answer
from gullyoke.runtime.metrics import Metrics
from gullyoke.runtime.pending_request import PendingRequest

PAUSE = 0.002  # seconds between two pieces: others come first where CPU is short


class Dispatcher:
    """`handle` is the way in for everything that the decisions hear.

    Tables: `reqs` in hand, which leave at their end; `later`, words that came of handling, told
    before the lock is let go; `gates`, of reqs answered in it, opened right after; `notes`, log
    lines; `thoughts`, work in pieces, one new episode at most for each that began.
    """

    def __init__(
        self,
        facts: SiteFacts,
        seed: int,
        metrics: Metrics,
        flush: Callable[[], None] = lambda: None,
        duplicates: DuplicateTable | None = None,
    ) -> None:
        self.facts, self.seed, self.metrics = facts, seed, metrics
        self.request_classes = {h.name: h for h in facts.request_classes}
        self.tenants = {c.name: c for c in facts.tenants}
        self.lock, self.answering = threading.Lock(), threading.Lock()
        self.server: AdmissionController | None = None
        self.executor = None
        # Sends what the executor queued under the lock; called after each release of it.
        self.flush = flush
        self.requests: dict[str, PendingRequest] = {}
        if duplicates is None:
            duplicates = DuplicateTable(facts.fleet.read_cache_ttl)
        self.duplicates = duplicates
        self.deferred_events: deque[tuple[PendingRequest, RequestEvent]] = deque()
        self.answer_gates: list[threading.Lock] = []
        self.handling = False
        self.pending_log_lines: deque[str] = deque(maxlen=100)
        self.background_work: queue.SimpleQueue[Iterator] = queue.SimpleQueue()
        self.now, self.stop_at = clock.now(), None
        self.class_pools: tuple[float, dict[str, str]] | None = None

    def set_class_pools(self, minimum: float, classes: dict[str, str]) -> None:
        """Class pools, from the start of the decisions on.

        Handlers by their names, and their classes'.
        """
        self.class_pools = minimum, classes

    def open(self, executor, began: int) -> None:
        """Make the server of decisions, which started at `began`, once the engine has told how it
        stands.
        """
        with self.lock:
            self.executor = executor
            self.now = clock.now()
            self.server = AdmissionController(began, executor, self.facts, self._pools(began))
            if self.stop_at is not None:
                self.server.begin_drain(self.now, self.stop_at)

    def _pools(self, began: int) -> ClassPools | None:
        if self.class_pools is None:
            return None
        minimum, classes = self.class_pools
        class_of = {h: classes.get(h.name, h) for h in self.facts.request_classes}
        return ClassPools(began, self.facts.machine.cores, class_of, minimum)

    def handle(
        self, act: Callable[[], None], request: PendingRequest | None = None, patience: float = -1
    ) -> None:
        """Let `act` call the decisions; then what came of it, and their turns.

        `patience` with the lock.
        """
        if not self.lock.acquire(timeout=patience):
            return
        try:
            if self.server is not None:
                self.now, self.handling = clock.now(), True
                self._try(act, request)
                self._try(lambda: self.server.dispatch(self.now), None)
                while self.deferred_events:
                    late, word = self.deferred_events.popleft()
                    self._try(
                        lambda late=late, word=word: self.server.on_event(self.now, late, word),
                        late,
                    )
                    self._try(lambda: self.server.dispatch(self.now), None)
        finally:
            answer_gates, self.answer_gates, self.handling = self.answer_gates, [], False
            self.lock.release()
        for gate in answer_gates:  # opened earlier, their threads would wait for this one
            gate.release()
        self.flush()
        while self.pending_log_lines:
            log.info(self.pending_log_lines.popleft())

    def post_event(self, request: PendingRequest, word: RequestEvent) -> None:
        """A word that came while the lock is held: told before it is let go."""
        self.deferred_events.append((request, word))

    def _try(self, act: Callable[[], None], request: PendingRequest | None) -> None:
        """Guards against an error in the decisions: it costs its own req an errored answer."""
        try:
            act()
        except Exception:
            self.metrics.record_internal_error("decisions", request.request_id if request else "-")
            if request is not None:
                self.executor.finished(request)

    def run_background_work(self) -> None:
        """The thread that carries on with what the decisions work out in pieces, and lets reqs in
        between.

        Guards against a lock held for a whole solve, 10 ms each and often while a server is young:
        every req, answer and call would wait behind it.
        """
        while True:
            work = self.background_work.get()
            while self.run_background_step(work):
                time.sleep(PAUSE)

    def run_background_step(self, work: Iterator) -> bool:
        """One piece of it; whether there is more."""
        with self.lock:
            try:
                next(work)
                return True
            except StopIteration:
                return False
            except Exception:
                self.metrics.record_internal_error("decisions")
                return False

    def notify(self, request: PendingRequest, word: RequestEvent) -> None:
        self.handle(lambda: self.server.on_event(self.now, request, word), request)

    def on_tick(self, got: dict[str, float]) -> None:
        self.handle(
            lambda: self.server.on_tick(
                self.now,
                Gauges(got.get("core_use"), got.get("on_cores"), got.get("links"), got.get("room")),
            )
        )

    def begin_drain(self, stop_after: int) -> None:
        self.stop_at = clock.now() + stop_after
        self.handle(lambda: self.server.begin_drain(self.now, self.stop_at))

    def answer(
        self, request: PendingRequest, outcome: object, answer: Answer | None = None
    ) -> None:
        """The one final answer: whatever comes after it is not heard.

        `outcome` is DONE, FAIL or a Shed; `answer`, what the run made.
        """
        with self.answering:
            if request.outcome is not None:
                return
            request.outcome, request.answer = outcome, answer
        if self.handling:
            self.answer_gates.append(request.answer_gate)
        else:
            request.answer_gate.release()

    def on_finished(self, request: PendingRequest) -> None:
        """Its life has ended; if it got no answer on its way it errored."""
        if (
            self.requests.get(request.request_id) is request
        ):  # another may have come under its id, and was refused
            del self.requests[request.request_id]
            self.answer(request, FAIL)
            if request.key_entry is not None:
                for waiter in self.duplicates.run_ended(request, None, self.now):
                    self.deferred_events.append((waiter, RequestEvent.FAILED))

    def fail_overdue(self, request: PendingRequest) -> None:
        """Its time is up and the decisions have not answered.

        Heard once more, and errored by now.
        """
        self.handle(
            lambda: self.server.on_event(self.now, request, RequestEvent.DEADLINE_NEAR),
            request,
            0.02,
        )
        self.metrics.increment("answers.overdue")
        self.answer(request, FAIL)
