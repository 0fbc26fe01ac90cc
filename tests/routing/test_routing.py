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
    Budget,
    Dispatch,
    Fate,
    Health,
    Limit,
    Pool,
    Run,
    Send,
    Standing,
    Stated,
    Tell,
    fate_of,
)
from gullyoke.routing.outcomes import FAULTS, MAY_RUN_ON, WORDS
from gullyoke.runtime.close_reasons import CloseReason

HERE = pathlib.Path(__file__).parent
KINDS = {"r": Idempotency.IDEMPOTENT, "u": Idempotency.KEYED, "n": Idempotency.NON_IDEMPOTENT}
FATES = {f.value: f for f in Fate}


def a_run(kind=Idempotency.IDEMPOTENT, now=0, patience=10_000_000):
    request_class = RequestClass("h", 1_000_000, patience, 1.0, kind, 0.0, 0, False, 0.0, 0.0)
    return Run(Request(request_class, now, now + patience, 1.0))


def a_dispatch(
    names="abc", seed=1, share=0.1, burst=10.0, out=0.5, first=8, most=64, linger=0, **health
):
    pool = Pool(random.Random(seed), out, first, linger, lambda draw: Health(draw, **health))
    dispatch = Dispatch(pool, Budget(share, burst))
    dispatch.state(0, [Stated(n, most=most) for n in names])
    return dispatch


class Scene:
    """One router under a scenario; tests/README.md has the notation."""

    def __init__(self):
        self.dispatch, self.runs, self.said, self.given = None, {}, [], {}

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
            self.dispatch = a_dispatch(names, **times, **whole, **self.given)
        elif parts[0] == ">":
            wanted = [x.strip() for x in " ".join(parts[1:]).split(";") if x.strip()]
            assert len(wanted) == len(self.said) and all(
                said == text or (text.endswith("*") and said.startswith(text[:-1]))
                for said, text in zip(self.said, wanted, strict=True)
            ), f"wanted {wanted}, got {self.said}"
        elif parts[0] == "stands":
            for name, standing in (p.split("=") for p in parts[1:]):
                got = self.dispatch.pool.members[name].health.standing.value
                assert got == standing, f"{name} is {got}"
        elif parts[0] == "room":
            assert self.dispatch.pool.room(self.now) == int(parts[1]), self.dispatch.pool.room(
                self.now
            )
        else:
            self.now = int(parts[0]) * 1000
            self.event(parts[1], parts[2:])

    def event(self, verb, rest):
        d, now = self.dispatch, self.now
        if verb == "begin":
            n = numbers(rest[2:])
            run = self.runs[rest[0]] = a_run(
                KINDS[rest[1]], now, int(n.get("patience", 10_000) * 1000)
            )
            moves = d.begin(now, run)
        elif verb == "state":
            moves, _, _ = d.state(now, [Stated(n, most=64) for n in rest])
        elif verb == "turn":
            moves = d.turn(now)
        elif verb in ("answered", "gone"):
            name = "answered" if verb == "answered" else "client_gone"
            setattr(self.runs[rest[0]].request, name, True)
            moves = []
        elif verb == "stop":
            moves = d.stop(now, self.runs[rest[0]])
        else:
            moves = [m for name in rest for m in d.ended(now, self.runs[name], FATES[verb])]
        names = {run: name for name, run in self.runs.items()}
        self.said = [
            f"send {names[m.run]} {m.member.stated.name}"
            if isinstance(m, Send)
            else f"tell {names[m.run]} {m.word.name.lower()}"
            for m in moves
        ]


class Simulated:
    """A pool of back ends on a stated clock: each runs `slots` at once, the rest wait there.

    Figures from it are simulated.
    """

    def __init__(self, dispatch, took, fate=lambda name, now: Fate.DONE, slots=8):
        self.d, self.took, self.fate, self.slots = dispatch, took, fate, slots
        self.events, self.order, self.sent, self.tells = [], 0, [], Counter()
        self.free = {}

    def run(self, rate, until, start=0, patience=10_000_000):
        """Arrivals at `rate` a second, evenly, up to `until`."""
        import heapq

        step, next_in, now = int(1e6 / rate), start, start
        while next_in < until or self.events:
            if (self.events and self.events[0][0] <= next_in) or next_in >= until:
                now, _, run = heapq.heappop(self.events)
                name = run.tried[-1].stated.name
                moves = self.d.ended(now, run, self.fate(name, now))
            else:
                now, next_in = next_in, next_in + step
                moves = self.d.begin(now, a_run(now=now, patience=patience)) + self.d.turn(now)
            for m in moves:
                if isinstance(m, Tell):
                    self.tells[m.word] += 1
                    continue
                name = m.member.stated.name
                self.sent.append((now, name))
                lines = self.free.setdefault(name, [0] * self.slots)
                at = min(range(self.slots), key=lines.__getitem__)
                quick = self.fate(name, now) is not Fate.DONE
                lines[at] = max(now, lines[at]) + (1000 if quick else self.took(name, now))
                self.order += 1
                heapq.heappush(self.events, (now + 1000 if quick else lines[at], self.order, m.run))

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
            before, after = fate_of(end, False), fate_of(end, True)
            self.assertIn(before, (Fate.UNRUN, Fate.STOPPED))
            self.assertIsNot(after, Fate.UNRUN)
            self.assertIsNot(WORDS[after], RequestEvent.NO_CAPACITY)
        self.assertEqual(set(WORDS), set(Fate))
        self.assertFalse(FAULTS & {Fate.DONE, Fate.STOPPED})
        self.assertNotIn(Fate.UNRUN, MAY_RUN_ON)

    def test_failing_fast(self):
        """One of three fails each run within 1 ms: it does not draw runs by being quick.

        It is ejected within half a second, and gets under one run in fifty after that (simulated).
        """
        sim = Simulated(
            a_dispatch(first_out=2_000_000),
            lambda name, now: 40_000,
            lambda name, now: Fate.LOST if name == "b" and now > 2_000_000 else Fate.DONE,
        )
        sim.run(100, 10_000_000)
        self.assertIn(sim.d.pool.members["b"].health.standing, (Standing.OUT, Standing.TRIAL))
        before, first = sim.share("b", 0, 2_000_000), sim.share("b", 2_000_000, 2_500_000)
        self.assertGreater(before, 0.2)
        self.assertLess(first, 0.3)
        self.assertLess(sim.share("b", 2_500_000, 10_000_000), 0.02)
        self.assertLess(sim.tells[RequestEvent.FAILED], 10)
        self.assertLessEqual(sim.d.again, 0.1 * 1000 + 11)

    def test_slow(self):
        """One of three is ten times slower.

        It keeps answering, and gets less than a fifth of the others.
        """
        sim = Simulated(
            a_dispatch(), lambda name, now: 300_000 if name == "c" and now > 1_000_000 else 30_000
        )
        sim.run(150, 12_000_000)
        slow = sim.share("c", 3_000_000, 12_000_000)
        self.assertLess(slow, 0.08)
        self.assertGreater(slow, 0.0)
        self.assertEqual(set(sim.tells), {RequestEvent.COMPLETED})

    def test_return(self):
        """One is gone for 3 s and comes back.

        It has its full share again within 12 s, and its trial and slow start lose nothing more
        (simulated).
        """

        def fate(name, now):
            return Fate.UNRUN if name == "a" and 2_000_000 < now < 5_000_000 else Fate.DONE

        sim = Simulated(a_dispatch(slow_start=3_000_000), lambda name, now: 30_000, fate)
        sim.run(150, 25_000_000)
        self.assertEqual(set(sim.tells), {RequestEvent.COMPLETED})
        self.assertLess(sim.share("a", 2_500_000, 5_000_000), 0.02)
        self.assertGreater(sim.share("a", 17_000_000, 25_000_000), 0.28)
        times = [t for t, n in sim.sent if n == "a" and t > 5_000_000]
        self.assertLess(times[0], 10_000_000)
        early = sim.share("a", times[0], times[0] + 1_000_000)
        self.assertLess(early, 0.25)

    def test_all_gone(self):
        """All refuse: every run is told at once that it can't be run, none waits, and the room is
        0.
        """
        sim = Simulated(a_dispatch(), lambda name, now: 30_000, lambda name, now: Fate.UNRUN)
        sim.run(200, 3_000_000)
        self.assertEqual(set(sim.tells), {RequestEvent.NO_CAPACITY})
        self.assertFalse(sim.d.line.runs)
        gauges = sim.d.gauges(3_000_000, 6)
        self.assertEqual((gauges[0], gauges[2]) if not gauges[2] else (1.0, 0.0), (1.0, 0.0))
        self.assertLess(len(sim.sent), 60)  # back ends that are away are hardly asked
        back = Simulated(sim.d, lambda name, now: 30_000)
        back.run(100, 40_000_000, start=33_000_000)
        self.assertGreater(back.tells[RequestEvent.COMPLETED], 0.9 * sum(back.tells.values()))

    def test_limit(self):
        """A back end that crowds above eight at once.

        The limit finds its way there from both sides.
        """
        for first in (2, 60):
            limit, at = Limit(first, 1, 64), 0
            for _ in range(3000):
                in_hand = int(limit.now)
                took = 30_000 * max(1, in_hand / 8) ** 2
                at += int(took / max(1, in_hand))
                limit.done(at, int(took), in_hand)
            self.assertTrue(8 <= limit.now <= 20, limit.now)
        limit.lost(at := at + 10**7)
        lower = limit.now
        limit.lost(at + 1)  # not twice for one trouble
        self.assertEqual(limit.now, lower)

    def test_same(self):
        """The same events bring the same moves, chance included."""

        def moves(seed):
            sim = Simulated(
                a_dispatch(seed=seed),
                lambda name, now: 30_000 + now % 7000,
                lambda name, now: Fate.LOST if name == "a" and now % 3 else Fate.DONE,
            )
            sim.run(150, 4_000_000)
            return sim.sent

        self.assertEqual(moves(7), moves(7))
        self.assertNotEqual(moves(7), moves(8))

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["begin", "end", "end", "stop", "gone", "state", "turn"]),
                st.integers(0, 400_000),
                st.integers(0, 10**6),
                st.sampled_from(list(Fate)),
                st.sampled_from(list(Idempotency)),
            ),
            max_size=120,
        ),
        st.sampled_from([0.0, 0.1, 0.5]),
        st.sampled_from([0.0, 0.34, 0.5, 1.0]),
    )
    def test_rules(self, script, share, out):
        """Whatever happens: each run is told once.

        A try that may have run is followed by another only where that may be; no run is twice at
        one back end; tries stay within their budget; ejected ones within their share; a back end
        never has more than its limit; nothing is kept of runs that are over.
        """
        d = a_dispatch("abcd", share=share, burst=3.0, out=out)
        now, there, told, begun, first, tries = 0, {}, {}, [], 0, 0

        def follow(moves):
            nonlocal tries
            for m in moves:
                self.assertNotIn(m.run, told)
                if isinstance(m, Tell):
                    told[m.run] = m.word
                    there.pop(m.run, None)
                    continue
                tries += 1
                if m.run.perhaps:
                    self.assertIs(m.run.kind, Idempotency.IDEMPOTENT)
                self.assertEqual(len(set(m.run.tried)), len(m.run.tried))
                self.assertLessEqual(len(m.member.began), max(1, int(m.member.limit.now)))
                self.assertNotIn(
                    m.member.health.standing, (Standing.OUT, Standing.AWAY, Standing.LEAVING)
                )
                there[m.run] = m.member

        for verb, step, pick, fate, kind in script:
            now += step
            if verb == "begin":
                first += 1
                begun.append(run := a_run(kind, now, 50_000 + pick * 5))
                follow(d.begin(now, run))
            elif verb == "end" and there:
                run = list(there)[pick % len(there)]
                del there[run]
                follow(d.ended(now, run, fate))
            elif verb == "stop" and begun:
                run = begun[pick % len(begun)]
                if run not in told:
                    follow(d.stop(now, run))
            elif verb == "gone" and begun:
                begun[pick % len(begun)].request.client_gone = True
            elif verb == "state":
                names = [n for i, n in enumerate("abcdef") if pick >> i & 1] or ["a"]
                follow(d.state(now, [Stated(n) for n in names])[0])
            elif verb == "turn":
                follow(d.turn(now))
            self.assertLessEqual(tries - first, share * first + 3.0 + 1)
            stated = [
                m for m in d.pool.members.values() if m.health.standing is not Standing.LEAVING
            ]
            if verb == "end":
                ejected = sum(m.health.standing is Standing.OUT for m in stated)
                self.assertTrue(
                    ejected <= max(1, out * len(stated)) or "state" in [s[0] for s in script]
                )
        while there:
            run = next(iter(there))
            del there[run]
            now += 1000
            follow(d.ended(now, run, Fate.DONE))
        for run in list(d.line.runs):
            run.request.client_gone = True
        follow(d.turn(now))
        self.assertEqual(set(told), set(begun))
        self.assertFalse(any(m.began for m in d.pool.members.values()) or d.line.runs)


if __name__ == "__main__":
    unittest.main()
