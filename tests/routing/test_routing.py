"""Tests of the router alone: text scenarios, simulated pools, and random scripts against rules."""

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
# Names of the detector's parameters in the scenarios.
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
    """A router that a scenario drives; tests/README.md describes the notation."""

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
    """A simulated pool of back ends, each with `slots` concurrent runs and a queue for the rest."""

    def __init__(self, router, took, outcome=lambda name, now: AttemptOutcome.COMPLETED, slots=8):
        self.router, self.took, self.outcome, self.slots = router, took, outcome, slots
        self.events, self.order, self.sent, self.ended = [], 0, [], Counter()
        self.free = {}

    def run(self, rate, until, start=0, patience=10_000_000):
        """Simulate evenly spaced arrivals, `rate` per second, from `start` to `until`."""
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
                slot_free_at = self.free.setdefault(name, [0] * self.slots)
                slot = min(range(self.slots), key=slot_free_at.__getitem__)
                fails_fast = self.outcome(name, now) is not AttemptOutcome.COMPLETED
                slot_free_at[slot] = max(now, slot_free_at[slot]) + (
                    1000 if fails_fast else self.took(name, now)
                )
                self.order += 1
                heapq.heappush(
                    self.events,
                    (now + 1000 if fails_fast else slot_free_at[slot], self.order, action.run),
                )

    def share(self, name, since, until):
        names = [backend_name for time, backend_name in self.sent if since <= time < until]
        return names.count(name) / max(1, len(names))


class Routing(unittest.TestCase):
    def test_scenarios(self):
        paths = sorted(HERE.glob("*.txt"))
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(path.stem):
                play(path, Scene().play)

    def test_outcomes_of_closes(self):
        """Each close reason maps to one outcome before and one after the first byte.

        Only a request of which no byte was written counts as never run.
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
        """One of three back ends fails each run within 1 ms and does not attract runs by that.

        It gets less than 30% of the runs in the first half second, and less than one in fifty of
        the runs after that.
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
        """One of three back ends becomes ten times slower.

        It still gets runs, but less than 8% of them: a fifth of what each other one gets.
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
        """One back end refuses connections for 3 s and then recovers.

        It has its full share again within 12 s, and no run fails during probe and slow start.
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
        """All back ends refuse: each run ends at once as not run, and none stays queued.

        The gauges report a busy pool while the capacity is 0.
        """
        sim = Simulated(
            make_router(), lambda name, now: 30_000, lambda name, now: AttemptOutcome.NOT_STARTED
        )
        sim.run(200, 3_000_000)
        self.assertEqual(set(sim.ended), {RequestEvent.NO_CAPACITY})
        self.assertFalse(sim.router.queue.runs)
        gauges = sim.router.gauges(3_000_000, 6)
        self.assertEqual((gauges[0], gauges[2]) if not gauges[2] else (1.0, 0.0), (1.0, 0.0))
        self.assertLess(len(sim.sent), 60)  # unreachable back ends get few attempts
        back = Simulated(sim.router, lambda name, now: 30_000)
        back.run(100, 40_000_000, start=33_000_000)
        self.assertGreater(back.ended[RequestEvent.COMPLETED], 0.9 * sum(back.ended.values()))

    def test_limit(self):
        """A back end that is overloaded above eight concurrent runs.

        The limit converges from below and from above.
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
        limit.on_lost(at + 1)  # one incident lowers the limit only once
        self.assertEqual(limit.current, lower)

    def test_same(self):
        """The same events and the same seed give the same actions."""

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
        """Rules that hold for any sequence of events.

        Each run ends exactly once. A run that may have run is retried only if it is idempotent. No
        run is sent to the same back end twice. Attempts stay within the retry budget, ejections
        within their share, and the runs of a back end within its limit. No state of finished runs
        is kept.
        """
        router = make_router("abcd", share=share, burst=3.0, out=out)
        now, in_flight, ended, begun, first, attempts = 0, {}, {}, [], 0, 0

        def check_actions(actions):
            nonlocal attempts
            for action in actions:
                self.assertNotIn(action.run, ended)
                if isinstance(action, RunEnded):
                    ended[action.run] = action.event
                    in_flight.pop(action.run, None)
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
                in_flight[action.run] = action.backend

        for verb, step, pick, outcome, idempotency in script:
            now += step
            if verb == "begin":
                first += 1
                begun.append(run := make_run(idempotency, now, 50_000 + pick * 5))
                check_actions(router.begin(now, run))
            elif verb == "end" and in_flight:
                run = list(in_flight)[pick % len(in_flight)]
                del in_flight[run]
                check_actions(router.on_attempt_ended(now, run, outcome))
            elif verb == "stop" and begun:
                run = begun[pick % len(begun)]
                if run not in ended:
                    check_actions(router.cancel(run))
            elif verb == "gone" and begun:
                begun[pick % len(begun)].request.client_disconnected = True
            elif verb == "state":
                names = [n for i, n in enumerate("abcdef") if pick >> i & 1] or ["a"]
                check_actions(router.configure(now, [BackendSettings(n) for n in names])[0])
            elif verb == "turn":
                check_actions(router.dispatch_queued(now))
            self.assertLessEqual(attempts - first, share * first + 3.0 + 1)
            configured = [
                backend
                for backend in router.pool.backends.values()
                if backend.health.state is not HealthState.DRAINING
            ]
            if verb == "end":
                ejected = sum(backend.health.state is HealthState.EJECTED for backend in configured)
                self.assertTrue(
                    ejected <= max(1, out * len(configured)) or "state" in [s[0] for s in script]
                )
        while in_flight:
            run = next(iter(in_flight))
            del in_flight[run]
            now += 1000
            check_actions(router.on_attempt_ended(now, run, AttemptOutcome.COMPLETED))
        for run in list(router.queue.runs):
            run.request.client_disconnected = True
        check_actions(router.dispatch_queued(now))
        self.assertEqual(set(ended), set(begun))
        self.assertFalse(
            any(backend.started for backend in router.pool.backends.values()) or router.queue.runs
        )


if __name__ == "__main__":
    unittest.main()
