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
from collections import deque

from gullyoke.admission.class_pools import Pools
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
    Reject,
    RememberKey,
    RequestEvent,
    RequestStepper,
    SiteFacts,
    StopMode,
)

TICK = 100_000  # between wake-ups (ours); one wake-up is out at a time
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


def aim(request) -> int:
    """By when an answer earns its full value, as far as this server can know.

    Earlier tries are not told.

    Guards against runs for callers whose patience with a try is shorter than the target.
    """
    h = request.request_class
    return min(
        request.deadline - TICK,
        request.arrived + h.latency_objective + int(h.objective_stretch * request.cost_hint),
    )


class Learner:
    """UCRL-M on s, the reqs held or running.

    Counts a pair (s, action) and module, EVI, episodes by doubling.

    Tables: one row for each pair and module, 2 * 3 * (S + 1), fixed at the start; emptied by a
    restart.
    """

    def __init__(
        self,
        now: int,
        top: int,
        cores: int,
        work: float,
        holding: float,
        modules=3,
        width=0.02,
        prior=4.0,
    ) -> None:
        self.top, self.cores, self.modules, self.width = top, cores, modules, width
        self.step = max(
            1, int(work / cores / 12)
        )  # ours: a dozen steps for each req a full server ends
        self.origin, self.steps, self.s, self.busy = now, 0, 0, False
        self.room = math.inf  # runs that can be had, where the cores are not its own
        self.holding = holding * self.step  # cost of a req for a step; a refusal costs 1
        pairs, rate = 2 * (top + 1), cores * self.step / work
        ends = [rate * min(i // 2, cores) / cores for i in range(pairs)]
        comes = [rate if i % 2 and i // 2 < top else 0.0 for i in range(pairs)]
        shed = [0.0 if i % 2 else rate for i in range(pairs)]
        self.visits = [[prior] * pairs for _ in range(modules)]  # ours: a full server at load 1
        self.ups, self.downs, self.sheds = (
            [[prior * x for x in row] for _ in range(modules)] for row in (comes, ends, shed)
        )
        self.before = [row[:] for row in self.visits]
        self.steepness, self.policy = (
            [0.0] * (top + 1),
            [1] * (top + 1),
        )  # of the bias, from s to s + 1
        self.episodes, self.bound, self.fresh, self.ramp = 0, 0, True, modules

    def admits(self, kept: int = 0) -> bool:
        """The decision on an arrival, as if `kept` more were there.

        Binds only while the cores are busy.
        """
        at = self.s + kept
        admit = not self.binds() or (at < self.top and self.policy[at] == 1)
        self.bound += not admit
        return admit

    def binds(self) -> bool:
        """The gauge speaks of the last half second.

        With fewer reqs than cores a core is free now (ours).
        """
        return self.busy and self.s >= min(self.cores, self.room)

    def count(self, now: int, move: int = 0, shed: int = 0) -> None:
        """One step with at most one arrival or departure, after the empty ones since the last, in
        bulk.
        """
        due = (now - self.origin) // self.step
        if due > self.steps:
            self._add(due - self.steps, 0, 0)
        if move or shed:
            self._add(1, move, shed)
            self.s += move

    def _add(self, n: int, move: int, shed: int) -> None:
        s = min(self.s, self.top)
        pair = 2 * s + (self.policy[s] if self.binds() else 1)
        if shed and not move:  # an arrival refused; one given up later is a departure
            pair = 2 * s
        first, self.steps = self.steps, self.steps + n
        ramping = min(n, self.ramp)  # the ramping phase's samples are thrown away
        self.ramp -= ramping
        first, n = first + ramping, n - ramping
        for k in range(min(n, self.modules)):
            m = (first + k) % self.modules
            self.visits[m][pair] += (n - k - 1) // self.modules + 1
            self.ups[m][pair] += move > 0
            self.downs[m][pair] += move < 0
            self.sheds[m][pair] += shed
            if self.visits[m][pair] >= 2 * max(0.5, self.before[m][pair]):
                self.fresh = True

    def solve(self):
        """A new episode, from now on.

        The work that finds its policy, in pieces; reqs go on between them.
        """
        self.fresh, self.ramp, self.episodes = False, self.modules, self.episodes + 1
        self.before = [row[:] for row in self.visits]
        return self.sweeps()

    def sweeps(self):
        """Finds the policy that is best in the most optimistic model within the widths.

        Widths have UCRL2's form (Jaksch et al. 2010) with the constants of the birth-and-death case
        (Anselmi et al. 2022), scaled by `width` (ours). Tridiagonal; starts from the last bias;
        stops by span.
        """
        log, worst, rows, most = (
            math.log(4 * (self.steps + 2)),
            1 + self.holding * self.top,
            [],
            1e-9,
        )
        for pair in range(2 * (self.top + 1)):
            s, visits = pair // 2, [row[pair] for row in self.visits]
            n = max(visits)
            m, n = visits.index(n), max(1.0, n)
            cost, slack = (
                self.holding * s + self.sheds[m][pair] / n,
                self.width * math.sqrt(8 * log / n) / 2,
            )
            gain = min(0.0, self.width * worst * math.sqrt(2 * log / n) - cost)
            up, down = self.ups[m][pair] / n, self.downs[m][pair] / n
            far_down = min(1.0, down + slack) if s else 0.0
            far_up = min(1.0, up + slack) if s < self.top else 0.0
            rows.append(
                (
                    gain,
                    far_down,
                    min(max(0.0, up - slack), 1 - far_down),
                    min(max(0.0, down - slack), 1 - far_up),
                    far_up,
                )
            )
            most = max(most, far_down + rows[-1][2], far_up + rows[-1][3])
        # Uniformized at the model's own largest rate: the same policy and bias in fewer sweeps.
        scale = 0.95 / most
        rows = [tuple(x * scale for x in row) for row in rows]
        both, steps, policy = list(zip(rows[::2], rows[1::2], strict=True)), self.steepness, []
        for _ in range(30):
            gains, policy, emptier = [], [], 0.0
            for (r0, d0, u0, a0, b0), (r1, d1, u1, a1, b1) in both:
                fuller = steps[len(gains)]
                q0, q1 = r0 - d0 * emptier + u0 * fuller, r1 - d1 * emptier + u1 * fuller
                if fuller > 0:  # unexplored fuller states may look better
                    q0 = max(q0, r0 - a0 * emptier + b0 * fuller)
                    q1 = max(q1, r1 - a1 * emptier + b1 * fuller)
                policy.append(q1 >= q0)
                gains.append(q1 if q1 >= q0 else q0)
                emptier = fuller
            for s in range(self.top):
                steps[s] += gains[s + 1] - gains[s]
            if max(gains) - min(gains) < self.holding * scale / 8:
                break
            yield
        self.policy = policy

    def story(self) -> str:
        """Where the threshold stands (the first s refused), for the log."""
        first = self.policy.index(0, self.cores) if 0 in self.policy[self.cores :] else self.top
        return f"s {self.s} threshold {first} of {self.top} episodes {self.episodes} refused {self.bound}"


class RunningCap:
    """How many may run on the cores.

    Starts at the cores, grows fast while cores are free and work waits.
    """

    def __init__(self, cores: int) -> None:
        self.cores, self.now = cores, float(cores)

    def adjust(self, gauges, waiting: int, ceiling: float) -> None:
        # The share of cores busy is half a second old; what wants a core now says whether one is
        # free. Guards against a cap that runs ahead of its gauge, and so against crowding that
        # never clears.
        free = gauges.runnable < self.cores if gauges.runnable is not None else gauges.busy < 0.95
        self.now += 1 + self.now / 4 if free and waiting else (self.cores - self.now) / 4
        self.now = max(1.0, min(self.now, ceiling))


class Hold:
    """A line a handler, turns by weight.

    Within a line, what is within its customer's share goes first.

    Tables: a line for each handler; a line holds only held reqs, and they leave when run or given
    up.
    """

    def __init__(self, request_classes, by_work: bool, below: CallsBelow) -> None:
        self.by_work, self.below, self.clock, self.size = by_work, below, 0.0, 0
        self.cost = {
            h: h.latency_objective / 6 for h in request_classes
        }  # mean time of a run; first guess ours
        self.lines = {h: (deque(), deque()) for h in request_classes}
        self.turn = dict.fromkeys(request_classes, 0.0)

    def charge(self, h) -> float:
        """What one run advances the handler's turn by."""
        return (self.cost[h] if self.by_work else 1.0) / max(h.priority_weight, 1e-9)

    def ran(self, h, took: int) -> None:
        self.cost[h] += (took - self.cost[h]) / 32

    def add(self, request) -> None:
        h = request.request_class
        if not any(self.lines[h]):
            self.turn[h] = max(self.turn[h], self.clock)
        self.lines[h][request.over_quota].append(request)
        self.size += 1

    def drop(self, request) -> None:
        self.lines[request.request_class][request.over_quota].remove(request)
        self.size -= 1

    def next(self):
        for over in (0, 1):
            waiting = [h for h, pair in self.lines.items() if pair[over]]
            if waiting:
                h = min(waiting, key=lambda h: self.turn[h])
                return self.lines[h][over][0]
        return None

    def took_turn(self, request) -> None:
        h = request.request_class
        self.clock = self.turn[h]
        self.turn[h] += self.charge(h)

    def worst(self, now: int, newcomer):
        """Who goes when one must.

        From the line longest for its weight, the youngest, if it came just now.
        """
        if newcomer.over_quota:
            return newcomer
        for over in (1, 0):
            length = {
                h: len(pair[over]) * self.charge(h) for h, pair in self.lines.items() if pair[over]
            }
            if not over:
                length[newcomer.request_class] = length.get(
                    newcomer.request_class, 0.0
                ) + self.charge(newcomer.request_class)
            for h in sorted(length, key=length.get, reverse=True):
                if not over and h is newcomer.request_class:
                    return newcomer
                last = self.lines[h][over][-1]
                if (now - last.arrived) * 10 < h.timeout:
                    return last
        return newcomer

    def hopeless(self, now: int):
        """The held reqs whose run could no longer earn their value."""
        return [
            r
            for pair in self.lines.values()
            for line in pair
            for r in line
            if self.too_late(r, now)
        ]

    def ahead(self, h=None) -> float:
        """The time on one core of all that is held, or takes its turn before a newcomer of this
        handler.
        """
        turns = (len(self.lines[h][0]) + len(self.lines[h][1])) * self.charge(h) if h else math.inf
        return sum(
            self.cost[g] * min(len(pair[0]) + len(pair[1]), turns / self.charge(g))
            for g, pair in self.lines.items()
        )

    def too_late(self, request, now: int) -> bool:
        """Whether a run begun then would end too late.

        The usual time counts to three quarters of the target (ours): a server that was slow goes on
        trying fresh reqs, and so learns when it is well again.
        """
        h = request.request_class
        below = self.below.wait(now) if h.calls_dependency and not h.degraded_value_share else 0
        return now + min(self.cost[h], 0.75 * h.latency_objective) + below > aim(request)


class CallsBelow:
    """A bound of its own on the time that calls are in hand.

    The line goes by value when it is slow.

    Rule 4 by ourselves: what ended within the span and what is out, each counted to the end of its
    patience and its linger, together stay under our share of the span, also where the share is
    under one call. Tables: the line (left when let out or given up) and `spent` (calls that ended,
    gone after the span).
    """

    def __init__(self, now: int, share: float | None, span: int, linger: int, slots) -> None:
        self.share, self.span, self.linger, self.slots = share, span, linger, slots
        self.budget = math.inf if share is None else 0.95 * share * span  # anew at each wake-up
        self.line, self.spent, self.used, self.booked = [], deque(), 0, 0
        self.window, self.out, self.most = math.inf, 0, 0  # at once: allowed, now, most lately
        self.usual, self.lately, self.hush, self.told, self.well, self.spoilt = (
            0.0,
            0.0,
            now,
            now,
            0,
            False,
        )

    def left(self, now: int) -> float:
        """The call time that is still ours."""
        while self.spent and self.spent[0][0] <= now:
            self.used -= self.spent.popleft()[1]
        return self.budget - self.used - self.booked

    def try_for(self, request, now: int) -> int:
        """The patience with a call.

        A few usual ones (ours), or a quarter of what is left if more.
        """
        most = min(request.deadline, self.slots.until(now) - self.linger) - now
        if self.share is not None:  # a bound is stated, and its span
            most = min(
                most,
                max(4 * self.lately, self.left(now) / 4),
                2 * self.span // 5,
                self.budget - self.linger,
            )
        return max(1, int(most))

    def room(self, request, now: int) -> bool:
        """Whether one more stays within our share, however long it takes."""
        quiet = (
            now < self.hush or self.out >= self.window or not self.slots.free(now, len(self.line))
        )
        return not quiet and self.try_for(request, now) + self.linger <= self.left(now)

    def began(self, patience: int) -> None:
        self.booked, self.out = self.booked + patience + self.linger, self.out + 1
        self.slots.began()
        self.most = max(self.most, self.out)

    def adjust(self, now: int) -> None:
        """Fewer calls at once while they take far longer than usual (ours).

        One that is crowded does less.
        """
        self.share = self.slots.share(now, self.share, self.used + self.booked)
        self.budget = math.inf if self.share is None else 0.95 * self.share * self.span
        most, self.most = min(self.window, self.most or self.window), self.out
        self.window = (
            max(1.0, 0.9 * most) if self.lately > 8 * self.usual else self.window * 1.125 + 1
        )

    def ended(self, now: int, word: RequestEvent, took: int, patience: int) -> bool:
        """Whether it was lost alone.

        A younger one went `well`, or its reply was `spoilt` and not the last. Guards against a
        reply that is spoilt or never comes silencing all calls, as trouble below does.
        """
        self.booked -= patience + self.linger
        self.told, self.out = now, self.out - 1
        self.slots.ended(
            now,
            lost := word not in (RequestEvent.CALL_SUCCEEDED, RequestEvent.CALL_NOT_SENT),
            word is RequestEvent.CALL_SUCCEEDED,
        )
        alone = lost and (
            self.well > now - took or (word is RequestEvent.CALL_REPLY_LOST and not self.spoilt)
        )
        self.spoilt = word is RequestEvent.CALL_REPLY_LOST
        spent = took + (self.linger if lost else 0)
        self.spent.append((now + spent - took + self.span, spent))
        self.used += spent
        if word is RequestEvent.CALL_SUCCEEDED:
            self.well = max(self.well, now - took)
        elif not alone:
            self.hush = now + TICK  # a failed call is not followed at once by another
        if word is RequestEvent.CALL_SUCCEEDED or (
            lost and not alone and took > self.lately
        ):  # one lost took that at least
            self.lately += (took - self.lately) / (8 if self.lately else 1)
        self.usual = min(self.usual or self.lately, self.lately) * 1.001
        return alone

    def wait(self, now: int) -> float:
        """How long a call that joins the line now is likely to take.

        What is ours comes back at our share.
        """
        if self.budget <= self.linger:  # none can be made within our share
            return math.inf
        old = not self.booked and not self.line and now > self.told + self.lately
        call = 0.0 if old else self.lately  # the next call tells how it stands below
        if self.share is None:
            return call * (1 + len(self.line) / self.slots.pace(now))
        short = max(0.0, min(self.budget, self.linger + 4 * call) - self.left(now))
        return call + (len(self.line) * call + short) / min(self.share, self.window)

    def leave_out(self, now: int):
        """Those in the line that must go on without their call now to be in time."""
        return [
            r
            for r in self.line
            if r.request_class.degraded_value_share
            and now + self.lately + r.request_class.latency_objective / 8 > aim(r)
        ]

    def pick(self):
        return (
            max(self.line, key=lambda r: r.request_class.priority_weight)
            if self.lately > 2 * self.usual
            else self.line[0]
        )


class Guards:
    """What the four rules need whatever the rest decides.

    Memory, the crowd on the cores, the drain.
    """

    def __init__(self, now: int, machine, limits) -> None:
        self.machine, self.limits, self.started = machine, limits, now
        self.kb, self.notice, self.stop_at = 0.0, None, None
        self.keys: dict = {}  # kept reqs to the end of their notes; see `expire`

    def speed(self, now: int) -> float:
        """The share of its speed that the server has at the least."""
        low = self.limits.cold_capacity if self.machine.starts_cold else 1.0
        return min(1.0, low + (1 - low) * (now - self.started) / max(1, self.limits.warmup_time))

    def crowd(self, now: int) -> float:
        """What may be on the cores, with a margin (ours).

        Those at a call come back by themselves.
        """
        return (
            0.8 * self.machine.cores * (1 + (self.limits.overload_multiple - 1) * self.speed(now))
        )

    def expire(self, now: int) -> None:
        self.keys = {request: until for request, until in self.keys.items() if until > now}

    def fits(self, kb: float) -> bool:
        return self.kb + kb + len(self.keys) * self.machine.key_kb <= 0.92 * self.machine.memory_kb

    def may_run(self, request, now: int) -> bool:
        """Rule 3: nothing that came later than the grace is run.

        Near the stop nothing more is begun.
        """
        in_grace = self.notice is None or request.arrived <= self.notice + self.limits.drain_grace
        return in_grace and not self.closing(now)

    def closing(self, now: int) -> bool:
        """The stop is near: all in hand is answered now."""
        return self.stop_at is not None and now >= self.stop_at - 2 * TICK


class Advice:
    """Health answers, and when those turned away should come back."""

    def __init__(self, executor, permissions, beside) -> None:
        self.executor, self.permissions, self.beside, self.level = (
            executor,
            permissions,
            beside,
            1.0,
        )
        self.shedding, self.idle, self.told = 0.0, permissions.max_idle / 10, permissions.max_idle
        executor.set_health(True, True)  # checks are answered from store, at little cost

    def shed(self, hopeless: bool, leaving: bool = False, ahead: float = 0.0) -> Reject:
        self.saw(True)
        # Short: callers that all stay away for long move in herds, and overrun one server after
        # another.
        longest = self.permissions.max_retry_after if self.permissions.sends_retry_after else 0
        wait = longest if leaving else min(longest, self.beside.stay(25_000 + int(ahead) // 3))
        return Reject(wait, hopeless or self.beside.full(self.shedding > 0.25))

    def connections(self, links: float | None, callers: int) -> None:
        """Guards against a table full of connections that hardly speak, which costs work and turns
        callers away unheard: where few callers can have one, idle ones are closed soon. While many
        reqs are shed they stay, since a full table is the cheapest refusal; then it opens little by
        little, not as a flood.
        """
        longest = self.permissions.max_idle
        if links is None or not longest:
            return
        change = math.inf if links * 4 > callers else 0.98 if self.shedding < 0.5 else 1.1
        self.idle = max(longest / 10, min(longest, self.idle * change))
        if not 0.9 < self.idle / self.told < 1.1:
            self.told = self.idle
            self.executor.set_idle_timeout(int(self.idle))

    def saw(self, shed: bool) -> None:
        """Count one decision on a req.

        The share shed of late tells whether sheds feed on themselves.
        """
        self.shedding += (shed - self.shedding) / 64

    def stamp(self, speed: float) -> None:
        if self.permissions.load_signal == "weight" and abs(speed - self.level) >= 0.05:
            self.level = speed
            self.executor.set_load_signal(round(speed, 2))


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
