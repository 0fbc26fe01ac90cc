"""Decides whether a request that has arrived is queued or rejected."""

from __future__ import annotations

from typing import Final

from gullyoke.admission.interface import (
    QUEUED,
    Idempotency,
    Reject,
    Request,
    RequestClass,
    RequestEvent,
)
from gullyoke.admission.server_state import ServerState
from gullyoke.admission.timing import TICK_US

LONG_QUEUE_DIVISOR: Final = 40
"""Pools may reject while the queue takes longer than the latency objective divided by this."""
LARGEST_SPARE_MEMORY_SHARE: Final = 0.5
"""Largest share of the memory that queued requests leave free for runs to grow."""
POOL_WAIT_FACTOR: Final = 3
"""A rejection by a pool advises a wait as for a backlog of the wait for the pool times this."""


class ArrivalDecisions:
    """Decides on arrivals; the order of the checks is that of `accept_or_reject`.

    Args:
        state: The server's state.
    """

    def __init__(self, state: ServerState) -> None:
        self.state = state

    def accept_or_reject(self, request: Request) -> Reject | None:
        """Decide on a request: return its rejection, or move it to the queued state."""
        state = self.state
        request_class = request.request_class
        rejection = self._reject_unanswerable(request)
        if rejection is not None:
            return rejection
        pools = state.pools
        # Pools reject only while the queue is long, so never a request that could run at once.
        pools_bind = pools is not None and self._has_long_queue(request_class)
        if pools is not None and not pools.take(request_class) and pools_bind:
            self._count_rejection()
            pool_wait = pools.capacity_wait(request_class)
            return state.feedback.reject(False, backlog=POOL_WAIT_FACTOR * pool_wait)
        if not self._free_memory(request):
            self._count_rejection()
            return state.feedback.reject(False)
        reserved = 0
        if pools is not None and pools_bind:
            reserved = pools.reserved_requests(request_class)
        return self._apply_threshold(request, reserved)

    def _reject_unanswerable(self, request: Request) -> Reject | None:
        """Return the rejection if the request can't be run or answered in time, or else None."""
        state = self.state
        accepting = request.request_class.accepting
        # An answer at the next tick would be too late, or runs of the class need something that is
        # unavailable.
        if request.deadline <= state.now + TICK_US or not accepting:
            return state.feedback.reject(accepting, unavailable=not accepting)
        backlog = state.queue.backlog(request.request_class) / state.machine.cores
        assert state.learner is not None
        if state.learner.is_binding() and state.queue.is_too_late(
            request, state.now + int(backlog)
        ):
            self._count_rejection()
            return state.feedback.reject(
                state.queue.is_too_late(request, state.now), backlog=backlog
            )
        return None

    def _has_long_queue(self, request_class: RequestClass) -> bool:
        """Return whether the threshold binds and the queue is long for the class's objective."""
        state = self.state
        assert state.learner is not None
        if not state.learner.is_binding():
            return False
        return state.queue_time() > request_class.latency_objective / LONG_QUEUE_DIVISOR

    def _free_memory(self, request: Request) -> bool:
        """Evict queued requests until there is memory for this one.

        Memory is kept free for the growth of as many runs as there are free cores, but at most
        `LARGEST_SPARE_MEMORY_SHARE`.

        Returns:
            Whether there is memory; False once the request itself would be the next to be evicted.
        """
        state = self.state
        machine = state.machine
        free_cores = max(0, machine.cores - state.running - state.calling_dependency)
        spare_kb = min(
            LARGEST_SPARE_MEMORY_SHARE * machine.memory_kb,
            free_cores * request.memory_kb * (machine.running_memory_factor - 1),
        )
        key_kb = machine.key_kb if key_ttl(request.request_class) else 0
        while not state.safety.has_memory(request.memory_kb + spare_kb + key_kb):
            victim = state.queue.choose_victim(state.now, request)
            if victim is request:
                return False
            state.resume(victim, RequestEvent.EVICTED)
        return True

    def _apply_threshold(self, request: Request, reserved: int) -> Reject | None:
        """Queue the request if the learner admits it, or else evict a worse one in its favor.

        Args:
            request: The request.
            reserved: Number of more valuable requests for which capacity is reserved.

        Returns:
            The rejection if no queued request is worse than this one, or else None.
        """
        state = self.state
        assert state.learner is not None
        if state.learner.decide_arrival(reserved):
            state.move(request, QUEUED)
            return None
        self._count_rejection()
        victim = state.queue.choose_victim(state.now, request)
        if victim is request:
            return state.feedback.reject(False, backlog=state.queue_time())
        state.move(request, QUEUED, counted=False)
        victim.displaced = True  # replaced one for one: the learner's state does not change
        state.resume(victim, RequestEvent.EVICTED)
        return None

    def _count_rejection(self) -> None:
        """Count a rejected arrival in the learner."""
        assert self.state.learner is not None
        self.state.learner.count(self.state.now, 0, 1)


def key_ttl(request_class: RequestClass) -> int:
    """Return for how many microseconds a queued request's key is remembered; 0 for no key."""
    return request_class.key_ttl if request_class.idempotency is Idempotency.KEYED else 0
