"""The simulation of a day: servers with their admission controllers, a dependency and callers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import numpy as np
import simpy

from gullyoke.admission.class_pools import ClassPools
from gullyoke.admission.controller import AdmissionController
from gullyoke.admission.interface import (
    CALLING_DEPENDENCY,
    FAIL,
    RUN,
    RUNNING,
    SKIP_DEPENDENCY_CALL,
    CallDependency,
    DependencyFacts,
    Fleet,
    Gauges,
    Limits,
    Machine,
    Permissions,
    Reject,
    Request,
    RequestEvent,
    SiteFacts,
    StopMode,
)
from gullyoke.emulator.cores import Cores
from gullyoke.emulator.day import Day, Shared

TICK, MEAN = 100_000, 5_000_000
LEARN, STOP = (
    2_000_000,
    4_000_000,
)  # from the notice to leave until callers know, and until the server stops
LIMITS, RESERVE = "limits", "reserve"  # class pools with one mechanism only, to measure its effect
COLD, WARM = 0.25, 10_000_000  # speed of a fresh server, and time until it is warm


class LastAnswer(NamedTuple):
    """The last answer to a request, over all its attempts.

    `at`: its time; `what`: `done`, `shed` or `errored`; `poorer`: whether the dependency call was
    skipped.
    """

    at: int
    what: str
    poorer: bool = False


class Dependency:
    """The dependency: a number of slots and a FIFO queue; calls take longer the more of them wait.

    It is `down` for good once the mean number of open calls over MEAN exceeds `survives`.
    """

    def __init__(self, shared: Shared, now: Callable[[], int], at) -> None:
        self.shared, self.now, self.at, self.busy, self.most = shared, now, at, 0, 0
        self.waiting: deque[Callable[[], None]] = deque()
        self.down, self.mean, self.seen = False, 0.0, 0
        self.calls = self.failed = 0

    def call(self, done: Callable[[bool], None]) -> None:
        """Start or queue a call; `done` gets whether it succeeded."""
        self.calls += 1
        self._update_mean()
        if self.down:
            self.failed += 1
            self.at(1000, lambda: done(False))
            return
        self.waiting.append(done)
        self.most = max(self.most, self.busy + len(self.waiting))
        self._next()

    def _update_mean(self) -> None:
        now = self.now()
        part = min(1.0, (now - self.seen) / MEAN)
        self.mean += (self.busy + len(self.waiting) - self.mean) * part
        self.seen = now
        self.down |= 0 < self.shared.survives < self.mean

    def _next(self) -> None:
        while self.waiting and self.busy < self.shared.slots:
            done = self.waiting.popleft()
            self.busy += 1
            crowd, slower = 1 + 0.2 * len(self.waiting) / self.shared.slots, self.shared.slower
            if slower and slower[0] <= self.now() < slower[1]:
                crowd *= slower[2]
            self.at(int(self.shared.span * crowd), lambda done=done: self._ended(done))

    def _ended(self, done: Callable[[bool], None]) -> None:
        self._update_mean()
        self.busy -= 1
        done(True)
        self._next()


class Asked(Request):
    """An attempt: a request with its work, its row in the arrivals and its progress."""

    __slots__ = ("answered_at", "call", "first", "left", "poorer", "read_at", "tries", "work")


class Node:
    """A simulated server: the command executor of the admission controller that `make` returns."""

    def __init__(self, number: int, fleet: Running, make: Callable[[Node], object]) -> None:
        day, self.fleet, self.number = fleet.day, fleet, number
        m = day.machines
        self.cores = Cores(m.cores, m.crowd_at, m.loss, fleet.now, fleet.at)
        self.unread: deque[Asked] = deque()
        self.reading, self.kb, self.worst_kb, self.worst_crowd = 0, 0.0, 0.0, 0.0
        self.busy, self.window, self.seen = 0.0, deque(maxlen=20), (0.0, 0.0)
        # Slow servers are spread evenly over the numbers, so any prefix has its share of them.
        self.pace = 0.5 if int((number + 1) * m.slow) > int(number * m.slow) else 1.0
        self.links: dict[int, int] = {}  # by caller, when its connection was last used
        self.idle_timeout, self.listed, self.up, self.good = day.callers.idle, True, True, True
        self.fresh = m.fresh or fleet.now() > 0
        self.server = None
        self.server = make(self)
        self.done = 0
        if self.fresh:
            self.warm(0)
        else:
            self.cores.set_speed(self.pace)

    def warm(self, so_far: int) -> None:
        """Set the speed after `so_far` microseconds of warm-up and schedule the next step."""
        self.cores.set_speed(
            min(1.0, COLD + (1 - COLD) * so_far / WARM) * self.fleet.speed * self.pace
        )
        if so_far < WARM and self.up:
            self.fleet.at(TICK, lambda: self.warm(so_far + TICK))

    def leave(self) -> None:
        """Begin a drain; callers avoid the server after LEARN, and it is down after STOP."""
        now = self.fleet.now()
        self.server.begin_drain(now, now + STOP)
        self.server.dispatch(now)
        self.fleet.at(LEARN, lambda: setattr(self, "listed", False))
        self.fleet.at(STOP, lambda: setattr(self, "up", False))

    # Connections.

    def connected(self, caller: int) -> bool:
        """Reuse or open a connection for a caller, and return whether there is one.

        A new connection costs work and is refused when the table is full.
        """
        m, now = self.fleet.day.machines, self.fleet.now()
        if not m.links or now - self.links.get(caller, -(10**12)) < self.idle_timeout:
            self.links[caller] = now
            return True
        self.links.pop(caller, None)
        if len(self.links) >= m.links:
            self.links = {c: at for c, at in self.links.items() if now - at < self.idle_timeout}
        if len(self.links) >= m.links:
            return False
        self.links[caller] = now
        self.fleet.handshakes += 1
        self.cores.add(m.handshake, lambda: None)
        return True

    # Arrival and reading; at most one request is read per core at a time.

    def arrive(self, request: Asked) -> None:
        """Queue a request to be read."""
        self.unread.append(request)
        self._read()

    def _read(self) -> None:
        while self.unread and self.reading < self.fleet.day.machines.cores:
            self.reading += 1
            request = self.unread.popleft()
            self.cores.add(
                self.fleet.day.machines.reading, lambda request=request: self._read_done(request)
            )

    def _read_done(self, request: Asked) -> None:
        self.reading -= 1
        request.read_at = self.fleet.now()
        self.add_memory(request.memory_kb)
        self.server.on_request(self.fleet.now(), request)
        self.server.dispatch(self.fleet.now())
        self._read()

    def add_memory(self, kb: float) -> None:
        """Add to the memory in use (negative: free it) and record the maximum."""
        self.kb += kb
        self.worst_kb = max(self.worst_kb, self.kb)

    # The command executor.

    def execute(self, request: Asked, command) -> None:
        """Carry out a command of the admission controller."""
        if command is RUN:
            self.add_memory(request.memory_kb * (self.fleet.day.machines.blowup - 1))
            request.left = request.work
            # A run with a dependency call does half of its work before the call.
            first = request.work // 2 if request.call else request.work
            self.cores.add(first, lambda: self._ran(request, first))
        elif isinstance(command, CallDependency):
            self._call(request, command.timeout)
        elif command is SKIP_DEPENDENCY_CALL:
            request.poorer, request.call = True, False
            self.cores.add(request.left, lambda: self._ran(request, request.left))
        elif isinstance(command, Reject) or command is FAIL:
            if request.state not in (RUNNING, CALLING_DEPENDENCY) and not request.left:
                self.add_memory(-request.memory_kb)
            self.fleet.told(request, self, command)

    def finished(self, request: Asked) -> None: ...

    def _ran(self, request: Asked, done: int) -> None:
        request.left -= done
        if request.call and request.left > 0:
            self.report_event(request, RequestEvent.DEPENDENCY_CALL_NEEDED)
            return
        self.add_memory(-request.memory_kb * self.fleet.day.machines.blowup)
        request.left = 0
        if not request.answered_at:
            self.fleet.told(request, self, "done")
            self.done += 1
        self.report_event(request, RequestEvent.COMPLETED)

    def _call(self, request: Asked, timeout_us: int) -> None:
        over = []

        def end(outcome: RequestEvent) -> None:
            if over:
                return
            over.append(outcome)
            if outcome is RequestEvent.CALL_SUCCEEDED:
                request.call = False
                self.cores.add(request.left, lambda: self._ran(request, request.left))
            self.report_event(request, outcome)

        self.fleet.below.call(
            lambda well: end(
                RequestEvent.CALL_SUCCEEDED if well else RequestEvent.CALL_OUTCOME_UNKNOWN
            )
        )
        self.fleet.at(timeout_us, lambda: end(RequestEvent.CALL_OUTCOME_UNKNOWN))

    def report_event(self, request: Asked, event: RequestEvent) -> None:
        """Report an event of a request to the admission controller."""
        self.server.on_event(self.fleet.now(), request, event)
        self.server.dispatch(self.fleet.now())

    def schedule_tick(self, after: int) -> None:
        """Schedule the next tick after `after` microseconds."""
        self.fleet.at(after, self._wake)

    def _wake(self) -> None:
        self.cores.catch_up()
        span = self.fleet.day.machines.cores * TICK
        self.busy += (
            (self.cores.busy - self.seen[0]) / span - self.busy
        ) / 3  # smoothed: about half a second behind
        self.window.append((self.cores.weighted - self.seen[1]) / span)
        self.seen = self.cores.busy, self.cores.weighted
        if len(self.window) == self.window.maxlen:
            mean = sum(self.window) / len(self.window)
            self.worst_crowd = max(self.worst_crowd, mean / self.fleet.day.machines.tip_multiple)
        if self.fleet.now() > self.fleet.last:
            return
        links = float(len(self.links)) if self.fleet.day.machines.links else None
        self.server.on_tick(
            self.fleet.now(), Gauges(min(1.0, self.busy), float(len(self.cores)), links)
        )
        self.server.dispatch(self.fleet.now())

    def set_health(self, good: bool, cheap: bool) -> None:
        """Set whether callers see the server as healthy."""
        self.good = good

    def set_load_signal(self, level: float) -> None: ...

    def set_idle_timeout(self, span: int) -> None:
        """Close idle connections after `span` microseconds, or earlier if callers do."""
        self.idle_timeout = min(span, self.fleet.day.callers.idle)

    def log(self, text: str) -> None: ...

    def run_in_background(self, work) -> None:
        """Run all steps of the work at once."""
        for _ in work:
            pass


class Running:
    """The simulation of one day; `make(node)` returns the admission controller of a node."""

    def __init__(self, day: Day, make: Callable[[Node], object]) -> None:
        self.day, self.env, self.speed = day, simpy.Environment(), 1.0
        self.last = day.length + max(w.timeout for w in day.works)
        self.generator = np.random.default_rng(day.seed + 1)
        self.below = Dependency(day.shared, self.now, self.at) if day.shared else None
        self.request_classes = [w.request_class() for w in day.works]
        self.answers: list[LastAnswer | None] = [None] * len(day.arrivals)
        self.avoided_until: dict[tuple[int, int], int] = {}  # until when a caller avoids a server
        self.heeds = self.generator.random(day.callers.count) < day.callers.heed
        self.sent = self.overdue = self.handshakes = self.unlinked = 0
        self.make, self.nodes = make, []
        self.moves: dict[tuple[int, int], int] = {}  # attempts by second and server
        for number in range(day.machines.servers):
            self.nodes.append(Node(number, self, make))
        for time, speed in day.machines.speeds:
            self.at(time, lambda speed=speed: self.set_speed(speed))
        for time, share in day.machines.leave:
            self.at(time, lambda share=share: self.shrink(share))
        for time, count in day.machines.join:
            self.at(time, lambda count=count: self.grow(count))
        self.schedule_arrivals(0)

    def now(self) -> int:
        """Return the simulated time in microseconds."""
        return int(self.env.now)

    def at(self, delay: int, act: Callable[[], None]) -> None:
        """Schedule an action after `delay` microseconds."""
        self.env.timeout(delay).callbacks.append(lambda _: act())

    def set_speed(self, speed: float) -> None:
        """Change the speed of all servers."""
        self.speed = speed
        for node in self.nodes:
            node.cores.set_speed(speed * node.pace)

    def shrink(self, share: float) -> None:
        """Give a random `share` of the servers notice to leave."""
        candidates = [n for n in self.nodes if n.up and n.listed]
        for i in self.generator.permutation(len(candidates))[: int(share * len(candidates))]:
            candidates[i].leave()

    def grow(self, count: int) -> None:
        """Start `count` more servers."""
        for _ in range(count):
            self.nodes.append(Node(len(self.nodes), self, self.make))

    def schedule_arrivals(self, i: int) -> None:
        """Schedule arrivals from row `i` on, one at a time to keep the event heap small."""
        if i < len(self.day.arrivals):
            wait = max(0, self.day.arrivals[i][0] - self.now())
            self.at(wait, lambda: (self.arrive(i, 1), self.schedule_arrivals(i + 1)))

    def arrive(self, i: int, tries: int, avoid: int = -1) -> None:
        """Send attempt `tries` of arrival `i`, if possible not to the server `avoid`."""
        time, kind, work, caller = self.day.arrivals[i]
        request_class, now = self.request_classes[kind], self.now()
        node = self.choose_server(caller, now, avoid)
        if not node.connected(caller):
            self.unlinked += 1
            if (
                tries <= self.day.callers.tries
                and now + self.day.callers.pause < time + request_class.timeout
            ):
                self.at(self.day.callers.pause, lambda: self.arrive(i, tries + 1, node.number))
            elif self.answers[i] is None:
                self.answers[i] = LastAnswer(now, "errored")
            return
        self.moves[now // 1_000_000, node.number] = (
            self.moves.get((now // 1_000_000, node.number), 0) + 1
        )
        again = tries > 1 and self.day.callers.marked
        request = Asked(
            request_class, now, time + request_class.timeout, self.day.machines.held_kb, again
        )
        (
            request.work,
            request.first,
            request.tries,
            request.answered_at,
            request.poorer,
            request.left,
        ) = (
            work,
            i,
            tries,
            0,
            False,
            0,
        )
        request.call = self.day.works[kind].calls and self.below is not None
        self.sent += 1
        node.arrive(request)

    def choose_server(self, caller: int, now: int, avoid: int) -> Node:
        """Return a server for a caller: listed, healthy, and not one that the caller avoids.

        By subject, the search begins at the caller's preferred server. Otherwise the choice is
        random; in a large fleet a few draws come before a scan of all servers, which is slow.
        """
        nodes, avoided_until = self.nodes, self.avoided_until
        if self.day.callers.by_subject:
            first = caller * 2_654_435_761 % 2**32 * len(nodes) >> 32
            for step in range(len(nodes)):
                node = nodes[(first + step) % len(nodes)]
                if (
                    node.listed
                    and node.good
                    and node.number != avoid
                    and avoided_until.get((caller, node.number), 0) <= now
                ):
                    return node
        elif len(nodes) > 16:
            for _ in range(8):
                node = nodes[int(self.generator.integers(len(nodes)))]
                if (
                    node.listed
                    and node.good
                    and node.number != avoid
                    and avoided_until.get((caller, node.number), 0) <= now
                ):
                    return node
        candidates = (
            [n for n in nodes if n.listed and n.good] or [n for n in nodes if n.listed] or nodes
        )
        left = [
            n
            for n in candidates
            if avoided_until.get((caller, n.number), 0) <= now and n.number != avoid
        ]
        left = left or [n for n in candidates if n.number != avoid] or candidates
        return left[int(self.generator.integers(len(left)))]

    def told(self, request: Asked, node: Node, what) -> None:
        """Record the final answer to an attempt, and schedule a retry if one is due."""
        if request.answered_at:
            return
        request.answered_at = self.now()
        self.overdue += self.now() > request.deadline > request.read_at + TICK
        outcome = what if what == "done" else "shed" if isinstance(what, Reject) else "errored"
        self.answers[request.first] = LastAnswer(self.now(), outcome, request.poorer)
        if outcome == "done":
            return
        caller = self.day.arrivals[request.first][3]
        again = request.tries <= self.day.callers.tries
        if isinstance(what, Reject) and self.heeds[caller]:
            self.avoided_until[caller, node.number] = self.now() + what.retry_after
            again &= not what.stop_retrying
        if again and self.now() + self.day.callers.pause < request.deadline:
            self.at(
                self.day.callers.pause,
                lambda: self.arrive(request.first, request.tries + 1, node.number),
            )

    def play(self) -> Result:
        """Run the whole day and return its result."""
        self.env.run(until=self.last + 1)
        return result(self)


class Result(NamedTuple):
    """The result of a day.

    `offered`, `earned`, `counts`, `times`: by class, the value, the number of requests by outcome,
    and the microseconds to the answer of completed requests. `memory`, `crowd`: the maximum as a
    share of the limit. `tries`: attempts per request. `unanswered`: requests without an answer.
    `overdue`: answers after the deadline to requests read in time. `by_second`: earned value by
    class and second of arrival. `jain`: fairness of completed work among servers relative to their
    speed. `herd`: the largest share of attempts that moved between servers from one second to the
    next. `down`: whether the dependency failed.
    """

    offered: list[float]
    earned: list[float]
    counts: list[dict[str, int]]
    times: list[list[int]]
    memory: float
    crowd: float
    tries: float
    unanswered: int
    overdue: int
    by_second: np.ndarray
    jain: float = 1.0
    herd: float = 0.0
    down: bool = False

    def share(self) -> float:
        """Return the value earned as a share of the value offered."""
        return sum(self.earned) / max(1e-9, sum(self.offered))


def result(run: Running) -> Result:
    """Compute the result of a simulated day."""
    day, n = run.day, len(run.day.works)
    offered, earned = [0.0] * n, [0.0] * n
    counts = [{"done": 0, "late": 0, "shed": 0, "errored": 0} for _ in range(n)]
    times: list[list[int]] = [[] for _ in range(n)]
    by_second = np.zeros((n, day.length // 1_000_000 + 1))
    unanswered = 0
    for (time, kind, _, _), told in zip(day.arrivals, run.answers, strict=True):
        work = day.works[kind]
        offered[kind] += work.value
        if told is None:
            unanswered += 1
            continue
        took = told.at - time
        if told.what != "done":
            counts[kind][told.what] += 1
            continue
        late = took > work.target
        worth = (
            work.value
            * (work.late_share if late else 1.0)
            * (work.skip_share if told.poorer else 1.0)
        )
        worth *= took <= work.timeout
        counts[kind]["late" if late else "done"] += 1
        earned[kind] += worth
        by_second[kind, time // 1_000_000] += worth
        times[kind].append(took)
    m = day.machines
    return Result(
        offered,
        earned,
        counts,
        times,
        max(x.worst_kb for x in run.nodes) / m.memory_kb,
        max(x.worst_crowd for x in run.nodes),
        run.sent / max(1, len(day.arrivals)),
        unanswered,
        run.overdue,
        by_second,
        jain(run),
        herd(run),
        bool(run.below and run.below.down),
    )


def jain(run: Running) -> float:
    """Return Jain's fairness index (Jain, Chiu and Hawe 1984) of the requests done per speed.

    Only servers that run from the start and are still up count.
    """
    done = [x.done / x.pace for x in run.nodes[: run.day.machines.servers] if x.up]
    return sum(done) ** 2 / max(1e-9, len(done) * sum(x * x for x in done)) if done else 1.0


def herd(run: Running) -> float:
    """Return the largest share of attempts that changed servers between two seconds.

    Seconds that follow one with 50 attempts or fewer are not counted.
    """
    seconds: dict[int, dict[int, int]] = {}
    for (second, number), count in run.moves.items():
        seconds.setdefault(second, {})[number] = count
    worst = 0.0
    for second, counts in seconds.items():
        before = seconds.get(second - 1)
        if before and sum(before.values()) > 50:
            whole, then = sum(counts.values()), sum(before.values())
            moved = sum(
                max(0.0, n / whole - before.get(number, 0) / then) for number, n in counts.items()
            )
            worst = max(worst, moved)
    return worst


def deciding(
    pools: bool | str = True,
    minimum: float = 0.02,
    beside: Callable[[Node, DependencyFacts, Fleet], None] = lambda node, below, fleet: None,
) -> Callable[[Node], AdmissionController]:
    """Return a function that makes the admission controller of a node.

    `pools`: whether it has class pools, or LIMITS or RESERVE for one mechanism of them. `beside`
    may connect the controller's facts to those of other servers.
    """

    def make(node: Node) -> AdmissionController:
        day, m = node.fleet.day, node.fleet.day.machines
        below, size = DependencyFacts(day.shared is not None, None, 0, 0), m.told or m.servers
        if day.shared:
            survives = day.shared.survives or 4.0 * day.shared.slots
            below = DependencyFacts(True, survives / size, MEAN, 200_000)
        machine = Machine(m.cores, m.memory_kb, m.blowup, 0.0, node.fresh, StopMode.NEVER, ())
        limits = Limits(100_000, 2_000_000, m.tip_multiple, 1_500_000, COLD, WARM)
        request_classes = node.fleet.request_classes
        shares = (
            ClassPools(
                node.fleet.now(),
                m.cores,
                {h: h for h in request_classes},
                minimum,
                pools != RESERVE,
                pools != LIMITS,
            )
            if pools
            else None
        )
        permissions = Permissions(True, 1_000_000, None, 0, False, True, False, False, 30_000_000)
        fleet = Fleet(size, False, 0.0, 0, day.callers.count)
        beside(node, below, fleet)
        facts = SiteFacts(request_classes, [], machine, limits, below, permissions, fleet)
        return AdmissionController(node.fleet.now(), node, facts, shares)

    return make
