"""All of gullyoke's decisions.

The interface is gullyoke/admission/interface: types, commands a req yields, their stepping.

A front makes one `Server` a process and calls it with the clock in whole microseconds: `read` for
each req read, `tell` for each word on a req in hand, `gauges` when its wake-up comes, `leave` at
the notice to leave, `settle` after each batch. Decisions go out through the port's `Door`.
`Server.life` is a req's path, top to bottom; the parts above it decide one thing each. Values
marked "ours" are not from the paper.
"""

from __future__ import annotations

import math

from gullyoke.admission.class_pools import Pools
from gullyoke.admission.client_feedback import Advice
from gullyoke.admission.concurrency_limiter import RunningCap
from gullyoke.admission.dependency_limiter import CallsBelow
from gullyoke.admission.fair_queue import Hold
from gullyoke.admission.interface import (
    AWAIT,
    AWAIT_DUPLICATE,
    CANCEL,
    ENQUEUE,
    FAIL,
    FORGET_KEY,
    PAST,
    RUN,
    SKIP_DEPENDENCY_CALL,
    CallDependency,
    CommandExecutor,
    Idempotency,
    RememberKey,
    RequestEvent,
    RequestStepper,
    SiteFacts,
    StopMode,
)
from gullyoke.admission.learner import Learner
from gullyoke.admission.safety_limits import Guards
from gullyoke.admission.timing import TICK, aim

HELD, ON, OFF, OVER = (
    "held",
    "on",
    "off",
    "over",
)  # in the hold; on the cores; at a call; no longer here
LOST = (RequestEvent.CALL_OUTCOME_UNKNOWN, RequestEvent.CALL_REPLY_LOST)
ENDS = (
    RequestEvent.COMPLETED,
    RequestEvent.FAILED,
    RequestEvent.CANCELLED,
    RequestEvent.NOT_STARTED,
    RequestEvent.NO_CAPACITY,
)


class AdmissionController:
    """One server's decisions."""

    def __init__(
        self,
        now: int,
        executor: CommandExecutor,
        facts: SiteFacts,
        pools: Pools | None = None,
    ) -> None:
        machine, limits, fleet = facts.machine, facts.limits, facts.fleet
        below = facts.dependency
        self.pools = pools
        self.now, self.executor, self.stage = now, executor, RequestStepper(executor)
        self.machine, self.fleet = machine, fleet
        self.guards = Guards(now, machine, limits)
        self.advice = Advice(executor, facts.permissions, fleet.feedback)
        self.below = CallsBelow(
            now, below.call_quota, below.quota_window, below.linger, below.slots
        )
        self.hold = Hold(facts.request_classes, fleet.weighs_by_work, self.below)
        self.cap = RunningCap(machine.cores)
        self.open: dict = {}  # requests in hand; each leaves at its end
        self.on = self.off = self.last_read = self.unread = 0
        self.quota = {c: [1e9, now] for c in facts.tenants}  # one row a tenant; full at first
        objectives = [h.latency_objective for h in facts.request_classes]
        self.target = sum(objectives) / len(objectives)
        self.learner: Learner | None = None
        self.crowd = machine.cores * limits.overload_multiple
        executor.schedule_tick(TICK)

    # What the front calls.

    def on_request(self, now: int, request) -> None:
        self.now = now
        if self.learner is None:  # S: what memory holds running, above the crowd
            runs = self.machine.memory_kb / (
                max(request.memory_kb, 0.1) * self.machine.running_memory_factor
            )
            top = int(max(1.25 * self.crowd, min(runs, 2.5 * self.crowd)))
            self.learner = Learner(now, top, self.machine.cores, self.target / 6, 1 / self.target)
        self.last_read, self.unread = now, now - request.arrived
        request.path = self.life(request)
        self.open[request] = None
        self.step(request, None)

    def on_event(self, now: int, request, word: RequestEvent) -> None:
        self.now = now
        request.client_gone |= word is RequestEvent.CLIENT_GONE
        if request in self.open:
            self.step(request, word)

    def begin_drain(self, now: int, stop_at: int) -> None:
        self.now, self.guards.notice, self.guards.stop_at = now, now, stop_at
        self.executor.set_health(False, True)

    def on_tick(self, now: int, gauges) -> None:
        self.now = now
        self.executor.schedule_tick(TICK)  # first: an error below must not end the beat
        if gauges.busy is None:  # no such gauge here: what runs stands for it
            gauges = gauges._replace(busy=min(1.0, self.on / self.machine.cores))
        room = math.inf if gauges.capacity is None else gauges.capacity
        if self.learner:
            self.learner.count(now)
            self.learner.busy = gauges.busy > 0.9  # the design's gauge
            self.learner.room = room
            if now // TICK % 100 == 0:
                self.executor.log(self.learner.story())
        self.guards.expire(now)
        self.below.adjust(now)
        self.cap.adjust(gauges, self.hold.size, min(room, self.guards.crowd(now)))
        self.advice.stamp(self.guards.speed(now))
        self.advice.connections(gauges.connections, self.fleet.callers)
        if self.pools:
            self.pools.passed(now, self.on)
            self.pools.adjust(now, TICK, self.hold.size > 0)
        for request in self.hold.hopeless(now) + self.below.leave_out(now):
            self.step(request, RequestEvent.EVICTED)
        for request in list(self.open):  # rule 1: answered before its time is up
            if (
                not request.answered
                and not request.client_gone
                and (self.guards.closing(now) or request.deadline <= now + TICK)
            ):
                self.step(request, RequestEvent.DEADLINE_NEAR)
            elif self.worthless(request):
                self.step(request, RequestEvent.EVICTED)

    def dispatch(self, now: int) -> None:
        """After a batch: a new episode if one is due, then turns for the cores and for calls."""
        self.now = now
        if self.learner and self.learner.fresh:
            self.learner.count(now)
            self.executor.run_in_background(self.learner.solve())
        while self.below.line and self.below.room(request := self.below.pick(), now):
            self.step(request, RequestEvent.ADMITTED)
        crowd, more = self.guards.crowd(now), self.machine.running_memory_factor - 1
        while (request := self.hold.next()) is not None:
            if not self.guards.may_run(request, now) or self.hold.too_late(request, now):
                self.step(request, RequestEvent.EVICTED)
                continue
            full = self.on >= int(self.cap.now) or self.on + self.off + 1 > crowd
            if full or self.stale(now) or not self.guards.fits(request.memory_kb * more):
                break
            self.step(request, RequestEvent.ADMITTED)

    # A req's path.

    def life(self, request):
        """The ordinary path of a req, from its reading to its one final answer and its end."""
        h, guards = request.request_class, self.guards
        self.note_share(request)
        if not guards.may_run(request, self.now):  # a repeat may have run: no promise then
            yield FAIL if request.duplicate_of else self.advice.shed(False, leaving=True)
            return
        fresh = self.fleet.read_cache_ttl if h.idempotency is Idempotency.IDEMPOTENT else 0
        begun = request.duplicate_of is PAST or (
            request.duplicate_of and request.duplicate_of.state in (ON, OFF)
        )
        if request.duplicate_of and (h.idempotency is Idempotency.KEYED or (fresh and begun)):
            yield from self.reuse(request)
            return
        if (
            request.deadline <= self.now + TICK or not h.accepting
        ):  # rule 1: too late for the next wake-up, or shut
            yield self.advice.shed(h.accepting, leaving=not h.accepting)
            return
        ahead = self.hold.ahead(h) / self.machine.cores
        if self.learner.binds() and self.hold.too_late(request, self.now + int(ahead)):
            self.learner.count(self.now, 0, 1)  # its turn would come too late: told at once
            yield self.advice.shed(self.hold.too_late(request, self.now), ahead=ahead)
            return
        # Pools act where a line stands: what the hold takes in at once is not theirs to refuse.
        busy = self.pools and self.learner.binds()
        stands = busy and self.hold.ahead() / self.machine.cores > h.latency_objective / 40
        if self.pools and not self.pools.ask(h) and stands:  # its class is over its pool
            self.learner.count(self.now, 0, 1)
            yield self.advice.shed(False, ahead=3 * self.pools.room_in(h))
            return
        keep = h.key_ttl if h.idempotency is Idempotency.KEYED else 0
        spare = min(
            0.5 * self.machine.memory_kb,  # held reqs leave room to run some
            max(0, self.machine.cores - self.on - self.off)
            * request.memory_kb
            * (self.machine.running_memory_factor - 1),
        )
        while not guards.fits(
            request.memory_kb + spare + (self.machine.key_kb if keep else 0)
        ):  # rule 4: memory
            victim = self.hold.worst(self.now, request)
            if victim is request:
                self.learner.count(self.now, 0, 1)
                yield self.advice.shed(False)
                return
            self.step(victim, RequestEvent.EVICTED)
        if not self.learner.admits(self.pools.reserve(h) if stands else 0):
            self.learner.count(self.now, 0, 1)
            victim = self.hold.worst(self.now, request)
            if victim is request:
                yield self.advice.shed(False, ahead=self.hold.ahead() / self.machine.cores)
                return
            self.move(request, HELD, quiet=True)
            victim.displaced = True  # for the newcomer: s stays as it is
            self.step(victim, RequestEvent.EVICTED)
        else:
            self.move(request, HELD)
        if keep:
            guards.keys[request] = self.now + keep
            yield RememberKey(keep)
        self.hold.add(request)
        self.advice.saw(False)
        word = yield ENQUEUE
        self.hold.drop(request)
        if word is not RequestEvent.ADMITTED:
            self.move(request, OVER, quiet=request.displaced, shed=1)
            if keep:  # unrun: a later try may be the one
                guards.keys.pop(request, None)
                yield FORGET_KEY
            if word is not RequestEvent.CLIENT_GONE:
                yield self.advice.shed(
                    word is RequestEvent.DEADLINE_NEAR or self.hold.too_late(request, self.now),
                    ahead=self.hold.ahead() / self.machine.cores,
                )
            return
        self.hold.took_turn(request)
        self.move(request, ON)
        request.started_at = self.now
        if fresh and request.has_key and guards.fits(self.machine.key_kb):
            guards.keys[request] = self.now + h.latency_objective + fresh
            yield RememberKey(h.latency_objective + fresh)
        word = yield RUN
        while word not in ENDS:
            if word is RequestEvent.CALL_SUCCEEDED:
                word = yield AWAIT
            elif word in (RequestEvent.DEPENDENCY_CALL_NEEDED, RequestEvent.CALL_NOT_SENT, *LOST):
                word = yield from self.call(request, word)
            else:
                word = yield from self.abandon(request, word)
        self.move(request, OVER)
        if word in (RequestEvent.NO_CAPACITY, RequestEvent.NOT_STARTED) and guards.keys.pop(
            request, None
        ):
            yield FORGET_KEY  # nothing was begun: a later try may be the one
        if word is RequestEvent.NO_CAPACITY:  # nowhere to run it: as if it had not been let in
            if not request.answered and not request.client_gone:
                yield self.advice.shed(False, ahead=self.hold.ahead() / self.machine.cores)
            return
        if word is RequestEvent.COMPLETED and self.pools:
            self.pools.ran(h, request.core_time)
        if (
            word is RequestEvent.COMPLETED or self.now - request.started_at > self.hold.cost[h]
        ):  # or it took that long at least
            self.hold.ran(h, self.now - request.started_at)

    def call(self, request, word):
        """At a call: in the line, let out, left out, or given up."""
        h = request.request_class
        self.move(request, OFF)
        if request.answered or request.client_gone:
            return (yield from self.abandon(request, RequestEvent.DEADLINE_NEAR))
        late = self.now + self.below.wait(self.now) > aim(request)
        if h.degraded_value_share > 0 and (late or word is not RequestEvent.DEPENDENCY_CALL_NEEDED):
            self.move(request, ON)
            return (yield SKIP_DEPENDENCY_CALL)
        if late and not h.late_value_share and h.idempotency is Idempotency.IDEMPOTENT:
            return (yield from self.abandon(request, RequestEvent.EVICTED))
        if (
            word in LOST and h.idempotency is not Idempotency.IDEMPOTENT
        ):  # rule 2: it may have had its effect
            return (yield from self.abandon(request, RequestEvent.DEADLINE_NEAR))
        if not self.below.room(request, self.now) or self.below.line:
            self.below.line.append(request)
            word = yield AWAIT
            self.below.line.remove(request)
            if word is RequestEvent.EVICTED and h.degraded_value_share > 0:
                self.move(request, ON)
                return (yield SKIP_DEPENDENCY_CALL)
            if word is not RequestEvent.ADMITTED:
                return (yield from self.abandon(request, word))
        began, patience = self.now, self.below.try_for(request, self.now)
        self.below.began(patience)
        word = yield CallDependency(patience)
        while word in (RequestEvent.DEADLINE_NEAR, RequestEvent.CLIENT_GONE, RequestEvent.EVICTED):
            word = yield from self.abandon(request, word)
        alone = self.below.ended(self.now, word, self.now - began, patience)
        if word is RequestEvent.CALL_SUCCEEDED:
            self.move(request, ON)
        return (
            RequestEvent.DEPENDENCY_CALL_NEEDED
            if alone and word in LOST and h.idempotency is Idempotency.IDEMPOTENT
            else word
        )  # made anew

    def abandon(self, request, word):
        """A run that nobody waits for.

        Answered if it must be, stopped where that is safe and allowed.
        """
        if not request.client_gone and not request.answered:
            request.answered = True
            yield self.advice.shed(True) if word is RequestEvent.EVICTED else FAIL
        if self.stoppable(request):
            yield CANCEL
        return (yield AWAIT)

    def reuse(self, request):
        """A repeat is answered from the one it repeats.

        It is never run beside it and never turned away.
        """
        # Rule 1: too late for the next wake-up. Rule 4: memory. It may have run: no promise.
        if request.deadline <= self.now + TICK or not self.guards.fits(request.memory_kb):
            yield FAIL
            return
        self.move(request, HELD, quiet=True)
        word = yield AWAIT_DUPLICATE
        self.move(request, OVER, quiet=True)
        if word is RequestEvent.DEADLINE_NEAR:
            yield FAIL

    # Book-keeping.

    def worthless(self, request) -> bool:
        """A run past its target that can still be stopped, where a late answer earns nothing."""
        h = request.request_class
        return (
            request.state in (ON, OFF)
            and not h.late_value_share
            and self.stoppable(request)
            and not request.answered
            and self.now > aim(request)
        )

    def stale(self, now: int) -> bool:
        """Whether what is read has grown old unread.

        The cores go to reading first, so that what must be shed is shed while its caller can still
        go elsewhere, and not all at the edge of its time.
        """
        return now - self.last_read < 2 * TICK and self.unread > self.target / 4

    def stoppable(self, request) -> bool:
        """Whether its run may be stopped: the machine can, and no effect is left half made."""
        return (
            self.machine.stop_mode is not StopMode.NEVER
            and request.request_class.idempotency is Idempotency.IDEMPOTENT
        )

    def step(self, request, word) -> None:
        going = False
        try:
            going = self.stage.step(request, word)
        finally:
            # Guards against an error on a req's path: it leaves all tables, and the front answers
            # it.
            if (
                not going
                and self.open.pop(request, request) is None
                and request.state in (HELD, ON, OFF)
            ):
                if request in self.hold.lines[request.request_class][request.over_quota]:
                    self.hold.drop(request)
                self.below.line = [r for r in self.below.line if r is not request]
                self.move(request, OVER)

    def move(self, request, state, quiet=False, shed=0) -> None:
        """Into another state: memory, the counts, and a step of s."""
        was, request.state = request.state, state
        if was == state:
            return
        weight = {
            HELD: 1.0,
            ON: self.machine.running_memory_factor,
            OFF: self.machine.running_memory_factor,
        }
        self.guards.kb += request.memory_kb * (weight.get(state, 0.0) - weight.get(was, 0.0))
        self.on += (state == ON) - (was == ON)
        self.off += (state == OFF) - (was == OFF)
        if self.pools and ON in (was, state):
            self.pools.passed(self.now, self.on + (was == ON) - (state == ON))
            request.core_time += self.pools.virtual if was == ON else -self.pools.virtual
        s = (state in (HELD, ON)) - (was in (HELD, ON))
        if s and not quiet:
            self.learner.count(self.now, s, shed)

    def note_share(self, request) -> None:
        """Whether the req is beyond its customer's share, by this server's part of the quota."""
        if request.tenant is None:
            return
        row = self.quota[request.tenant]
        rate = (
            request.tenant.leased_quota(self.now) or request.tenant.quota / max(1, self.fleet.size)
        ) / 1e6
        row[0] = min(max(8.0, rate * 2_000_000), row[0] + rate * (self.now - row[1]))
        row[1] = self.now
        request.over_quota = row[0] < 1
        row[0] -= not request.over_quota
