"""The router alone: text scenarios, scripted pools on a stated clock, random scripts held to its
rules.
"""

import pathlib
import random
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st
from test_scenarios import numbers, play

from gullyoke.admission.interface import Idempotency, Request, RequestClass, RequestEvent
from gullyoke.routing import (
    AttemptOutcome,
    BackendPool,
    BackendSettings,
    ConcurrencyLimit,
    HealthState,
    OutlierDetector,
    RetryBudget,
    RoutedRun,
    Router,
    RunEnded,
    SendAttempt,
    outcome_of_close,
)
from gullyoke.routing.outcomes import EVENT_OF_OUTCOME, FAILURES, MAY_STILL_RUN
from gullyoke.runtime.close_reasons import CloseReason

HERE = pathlib.Path(__file__).parent
IDEMPOTENCIES = {
    "r": Idempotency.IDEMPOTENT,
    "u": Idempotency.KEYED,
    "n": Idempotency.NON_IDEMPOTENT,
}
OUTCOMES = {outcome.value: outcome for outcome in AttemptOutcome}
# The scenarios' names of the detector's parameters.
DETECTION = {
    "consecutive": "consecutive_failures",
    "over": "rate_margin",
    "enough": "min_volume",
    "first_out": "first_ejection_us",
    "longest_out": "longest_ejection_us",
    "slow_start": "slow_start_us",
}


def make_run(idempotency=Idempotency.IDEMPOTENT, now=0, patience=10_000_000):
    request_class = RequestClass(
        "h", 1_000_000, patience, 1.0, idempotency, 0.0, 0, False, 0.0, 0.0
    )
    return RoutedRun(Request(request_class, now, now + patience, 1.0))


def make_router(
    names="abc", seed=1, share=0.1, burst=10.0, out=0.5, first=8, most=64, linger=0, **health
):
    detection = {DETECTION[name]: value for name, value in health.items()}
    pool = BackendPool(
        random.Random(seed), out, first, linger, lambda draw: OutlierDetector(draw, **detection)
    )
    router = Router(pool, RetryBudget(share, burst))
    router.configure(0, [BackendSettings(n, most=most) for n in names])
    return router


class Scene:
    """One router under a scenario; tests/README.md has the notation."""

    def __init__(self):
        self.router, self.runs, self.actions, self.given = None, {}, [], {}

    def play(self, parts):
        if parts[0] == "pool":
            self.given = numbers(p for p in parts[1:] if "=" in p)
            names = [p for p in parts[1:] if "=" not in p]
            times = {
                k: int(self.given.pop(k) * 1000)
                for k in ("first_out", "longest_out", "slow_start")
                if k in self.given
            }
            whole = {
                k: int(self.given.pop(k))
                for k in ("first", "most", "seed", "consecutive")
                if k in self.given
            }
            self.router = make_router(names, **times, **whole, **self.given)
        elif parts[0] == ">":
            wanted = [x.strip() for x in " ".join(parts[1:]).split(";") if x.strip()]
            assert len(wanted) == len(self.actions) and all(
                got == text or (text.endswith("*") and got.startswith(text[:-1]))
                for got, text in zip(self.actions, wanted, strict=True)
            ), f"wanted {wanted}, got {self.actions}"
        elif parts[0] == "stands":
            for name, state in (p.split("=") for p in parts[1:]):
                got = self.router.pool.backends[name].health.state.value
                assert got == state, f"{name} is {got}"
        elif parts[0] == "room":
            assert self.router.pool.capacity(self.now) == int(parts[1]), self.router.pool.capacity(
                self.now
            )
        else:
            self.now = int(parts[0]) * 1000
            self.event(parts[1], parts[2:])

    def event(self, verb, rest):
        router, now = self.router, self.now
        if verb == "begin":
            n = numbers(rest[2:])
            run = self.runs[rest[0]] = make_run(
                IDEMPOTENCIES[rest[1]], now, int(n.get("patience", 10_000) * 1000)
            )
            actions = router.begin(now, run)
        elif verb == "state":
            actions, _ = router.configure(now, [BackendSettings(n, most=64) for n in rest])
        elif verb == "turn":
            actions = router.dispatch_queued(now)
        elif verb in ("answered", "gone"):
            name = "answered" if verb == "answered" else "client_disconnected"
            setattr(self.runs[rest[0]].request, name, True)
            actions = []
        elif verb == "stop":
            actions = router.cancel(self.runs[rest[0]])
        else:
            actions = [
                action
                for name in rest
                for action in router.on_attempt_ended(now, self.runs[name], OUTCOMES[verb])
            ]
        names = {run: name for name, run in self.runs.items()}
        self.actions = [
            f"send {names[action.run]} {action.backend.settings.name}"
            if isinstance(action, SendAttempt)
            else f"tell {names[action.run]} {action.event.name.lower()}"
            for action in actions
        ]


class Simulated:
    """A pool of back ends on a stated clock: each runs `slots` at once, the rest wait there.

    Figures from it are simulated.
    """

    def __init__(self, router, took, outcome=lambda name, now: AttemptOutcome.COMPLETED, slots=8):
        self.router, self.took, self.outcome, self.slots = router, took, outcome, slots
        self.events, self.order, self.sent, self.ended = [], 0, [], Counter()
        self.free = {}

    def run(self, rate, until, start=0, patience=10_000_000):
        """Arrivals at `rate` a second, evenly, up to `until`."""
        import heapq

        step, next_in, now = int(1e6 / rate), start, start
        while next_in < until or self.events:
            if (self.events and self.events[0][0] <= next_in) or next_in >= until:
                now, _, run = heapq.heappop(self.events)
                name = run.attempted[-1].settings.name
                actions = self.router.on_attempt_ended(now, run, self.outcome(name, now))
            else:
                now, next_in = next_in, next_in + step
                actions = self.router.begin(
                    now, make_run(now=now, patience=patience)
                ) + self.router.dispatch_queued(now)
            for action in actions:
                if isinstance(action, RunEnded):
                    self.ended[action.event] += 1
                    continue
                name = action.backend.settings.name
                self.sent.append((now, name))
                lines = self.free.setdefault(name, [0] * self.slots)
                at = min(range(self.slots), key=lines.__getitem__)
                quick = self.outcome(name, now) is not AttemptOutcome.COMPLETED
                lines[at] = max(now, lines[at]) + (1000 if quick else self.took(name, now))
                self.order += 1
                heapq.heappush(
                    self.events, (now + 1000 if quick else lines[at], self.order, action.run)
                )

    def share(self, name, since, until):
        there = [n for t, n in self.sent if since <= t < until]
        return there.count(name) / max(1, len(there))


class Routing(unittest.TestCase):
    def test_scenarios(self):
        paths = sorted(HERE.glob("*.txt"))
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(path.stem):
                play(path, Scene().play)

    def test_fates(self):
        """Every end of a connection has one meaning, before and after its first byte.

        Only what was never written is known not to have run.
        """
        for end in CloseReason:
            before, after = outcome_of_close(end, False), outcome_of_close(end, True)
            self.assertIn(before, (AttemptOutcome.NOT_STARTED, AttemptOutcome.CANCELLED))
            self.assertIsNot(after, AttemptOutcome.NOT_STARTED)
            self.assertIsNot(EVENT_OF_OUTCOME[after], RequestEvent.NO_CAPACITY)
        self.assertEqual(set(EVENT_OF_OUTCOME), set(AttemptOutcome))
        self.assertFalse(FAILURES & {AttemptOutcome.COMPLETED, AttemptOutcome.CANCELLED})
        self.assertNotIn(AttemptOutcome.NOT_STARTED, MAY_STILL_RUN)

    def test_failing_fast(self):
        """One of three fails each run within 1 ms: it does not draw runs by being quick.

        It is ejected within half a second, and gets under one run in fifty after that (simulated).
        """
        sim = Simulated(
            make_router(first_out=2_000_000),
            lambda name, now: 40_000,
            lambda name, now: (
                AttemptOutcome.CONNECTION_LOST
                if name == "b" and now > 2_000_000
                else AttemptOutcome.COMPLETED
            ),
        )
        sim.run(100, 10_000_000)
        self.assertIn(
            sim.router.pool.backends["b"].health.state, (HealthState.EJECTED, HealthState.PROBING)
        )
        before, first = sim.share("b", 0, 2_000_000), sim.share("b", 2_000_000, 2_500_000)
        self.assertGreater(before, 0.2)
        self.assertLess(first, 0.3)
        self.assertLess(sim.share("b", 2_500_000, 10_000_000), 0.02)
        self.assertLess(sim.ended[RequestEvent.FAILED], 10)
        self.assertLessEqual(sim.router.retries, 0.1 * 1000 + 11)

    def test_slow(self):
        """One of three is ten times slower.

        It keeps answering, and gets less than a fifth of the others.
        """
        sim = Simulated(
            make_router(), lambda name, now: 300_000 if name == "c" and now > 1_000_000 else 30_000
        )
        sim.run(150, 12_000_000)
        slow = sim.share("c", 3_000_000, 12_000_000)
        self.assertLess(slow, 0.08)
        self.assertGreater(slow, 0.0)
        self.assertEqual(set(sim.ended), {RequestEvent.COMPLETED})

    def test_return(self):
        """One is gone for 3 s and comes back.

        It has its full share again within 12 s, and its trial and slow start lose nothing more
        (simulated).
        """

        def outcome(name, now):
            return (
                AttemptOutcome.NOT_STARTED
                if name == "a" and 2_000_000 < now < 5_000_000
                else AttemptOutcome.COMPLETED
            )

        sim = Simulated(make_router(slow_start=3_000_000), lambda name, now: 30_000, outcome)
        sim.run(150, 25_000_000)
        self.assertEqual(set(sim.ended), {RequestEvent.COMPLETED})
        self.assertLess(sim.share("a", 2_500_000, 5_000_000), 0.02)
        self.assertGreater(sim.share("a", 17_000_000, 25_000_000), 0.28)
        times = [t for t, n in sim.sent if n == "a" and t > 5_000_000]
        self.assertLess(times[0], 10_000_000)
        early = sim.share("a", times[0], times[0] + 1_000_000)
        self.assertLess(early, 0.25)

    def test_all_gone(self):
        """All refuse: every run is ended at once as not run, none waits, and the room is
        0.
        """
        sim = Simulated(
            make_router(), lambda name, now: 30_000, lambda name, now: AttemptOutcome.NOT_STARTED
        )
        sim.run(200, 3_000_000)
        self.assertEqual(set(sim.ended), {RequestEvent.NO_CAPACITY})
        self.assertFalse(sim.router.queue.runs)
        gauges = sim.router.gauges(3_000_000, 6)
        self.assertEqual((gauges[0], gauges[2]) if not gauges[2] else (1.0, 0.0), (1.0, 0.0))
        self.assertLess(len(sim.sent), 60)  # back ends that are away are hardly asked
        back = Simulated(sim.router, lambda name, now: 30_000)
        back.run(100, 40_000_000, start=33_000_000)
        self.assertGreater(back.ended[RequestEvent.COMPLETED], 0.9 * sum(back.ended.values()))

    def test_limit(self):
        """A back end that crowds above eight at once.

        The limit finds its way there from both sides.
        """
        for first in (2, 60):
            limit, at = ConcurrencyLimit(first, 1, 64), 0
            for _ in range(3000):
                in_flight = int(limit.current)
                took = 30_000 * max(1, in_flight / 8) ** 2
                at += int(took / max(1, in_flight))
                limit.on_completed(at, int(took), in_flight)
            self.assertTrue(8 <= limit.current <= 20, limit.current)
        limit.on_lost(at := at + 10**7)
        lower = limit.current
        limit.on_lost(at + 1)  # not twice for one trouble
        self.assertEqual(limit.current, lower)

    def test_same(self):
        """The same events bring the same actions, chance included."""

        def actions(seed):
            sim = Simulated(
                make_router(seed=seed),
                lambda name, now: 30_000 + now % 7000,
                lambda name, now: (
                    AttemptOutcome.CONNECTION_LOST
                    if name == "a" and now % 3
                    else AttemptOutcome.COMPLETED
                ),
            )
            sim.run(150, 4_000_000)
            return sim.sent

        self.assertEqual(actions(7), actions(7))
        self.assertNotEqual(actions(7), actions(8))

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["begin", "end", "end", "stop", "gone", "state", "turn"]),
                st.integers(0, 400_000),
                st.integers(0, 10**6),
                st.sampled_from(list(AttemptOutcome)),
                st.sampled_from(list(Idempotency)),
            ),
            max_size=120,
        ),
        st.sampled_from([0.0, 0.1, 0.5]),
        st.sampled_from([0.0, 0.34, 0.5, 1.0]),
    )
    def test_rules(self, script, share, out):
        """Whatever happens: each run is ended once.

        A try that may have run is followed by another only where that may be; no run is twice at
        one back end; attempts stay within their budget; ejected ones within their share; a back end
        never has more than its limit; nothing is kept of runs that are over.
        """
        router = make_router("abcd", share=share, burst=3.0, out=out)
        now, there, ended, begun, first, attempts = 0, {}, {}, [], 0, 0

        def follow(actions):
            nonlocal attempts
            for action in actions:
                self.assertNotIn(action.run, ended)
                if isinstance(action, RunEnded):
                    ended[action.run] = action.event
                    there.pop(action.run, None)
                    continue
                attempts += 1
                if action.run.may_have_run:
                    self.assertIs(action.run.idempotency, Idempotency.IDEMPOTENT)
                self.assertEqual(len(set(action.run.attempted)), len(action.run.attempted))
                self.assertLessEqual(
                    len(action.backend.started), max(1, int(action.backend.limit.current))
                )
                self.assertNotIn(
                    action.backend.health.state,
                    (HealthState.EJECTED, HealthState.UNREACHABLE, HealthState.DRAINING),
                )
                there[action.run] = action.backend

        for verb, step, pick, outcome, idempotency in script:
            now += step
            if verb == "begin":
                first += 1
                begun.append(run := make_run(idempotency, now, 50_000 + pick * 5))
                follow(router.begin(now, run))
            elif verb == "end" and there:
                run = list(there)[pick % len(there)]
                del there[run]
                follow(router.on_attempt_ended(now, run, outcome))
            elif verb == "stop" and begun:
                run = begun[pick % len(begun)]
                if run not in ended:
                    follow(router.cancel(run))
            elif verb == "gone" and begun:
                begun[pick % len(begun)].request.client_disconnected = True
            elif verb == "state":
                names = [n for i, n in enumerate("abcdef") if pick >> i & 1] or ["a"]
                follow(router.configure(now, [BackendSettings(n) for n in names])[0])
            elif verb == "turn":
                follow(router.dispatch_queued(now))
            self.assertLessEqual(attempts - first, share * first + 3.0 + 1)
            configured = [
                m
                for m in router.pool.backends.values()
                if m.health.state is not HealthState.DRAINING
            ]
            if verb == "end":
                ejected = sum(m.health.state is HealthState.EJECTED for m in configured)
                self.assertTrue(
                    ejected <= max(1, out * len(configured)) or "state" in [s[0] for s in script]
                )
        while there:
            run = next(iter(there))
            del there[run]
            now += 1000
            follow(router.on_attempt_ended(now, run, AttemptOutcome.COMPLETED))
        for run in list(router.queue.runs):
            run.request.client_disconnected = True
        follow(router.dispatch_queued(now))
        self.assertEqual(set(ended), set(begun))
        self.assertFalse(any(m.started for m in router.pool.backends.values()) or router.queue.runs)


if __name__ == "__main__":
    unittest.main()
