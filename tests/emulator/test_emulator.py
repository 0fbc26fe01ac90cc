"""Tests of the emulator against queueing theory, and of the bound against brute force."""

import itertools
import math
import random
import unittest

import numpy as np
from scipy import stats

from gullyoke.emulator.baselines import PlainPool
from gullyoke.emulator.bound import bound
from gullyoke.emulator.day import SECOND, Callers, Day, Machines, Work, drawn
from gullyoke.emulator.fleet import Running, deciding

ONE = Work("one", 1.0, 100_000, 1.0, 60 * SECOND, 60 * SECOND, 1.0)
W = (
    Work("box-view", 0.57, 280_000, 0.6, 1_700_000, 4_100_000, 1.0, 0.1),
    Work("schedule-set", 0.30, 385_000, 0.6, 2_300_000, 5_700_000, 2.0, 0.1),
    Work("drop-status", 0.13, 165_000, 0.6, 1_000_000, 2_500_000, 3.0, 0.1),
)


def exponential(cores, load, length, seed):
    """Return Poisson arrivals of exponential work on one server with negligible reading work."""
    generator, now, rows = np.random.default_rng(seed), 0, []
    while now < length:
        now += max(1, int(generator.exponential(ONE.work / cores / load)))
        rows.append((now, 0, max(1, int(generator.exponential(ONE.work))), 0))
    machines = Machines(1, cores, 1e9, 1.0, 1.0, 1e9, 1e9, 0.0, 1)
    return Day((ONE,), machines, Callers(tries=0), None, now + 1, rows, seed)


def erlang_b(cores, load):
    offered, out = cores * load, 1.0
    for n in range(1, cores + 1):
        out = offered * out / (n + offered * out)
    return out


class Emulator(unittest.TestCase):
    def interval(self, of, wanted, runs=10):
        """Check that the 99.9% confidence interval of the mean contains the wanted value."""
        got = [of(seed) for seed in range(runs)]
        half = stats.t.ppf(0.9995, runs - 1) * np.std(got, ddof=1) / math.sqrt(runs)
        self.assertLess(abs(np.mean(got) - wanted), half, f"{np.mean(got)} is not {wanted}")
        self.assertLess(half, 0.5 * wanted)  # the interval is narrow enough to be meaningful

    def test_erlang_b(self):
        """Without a queue, the rejected share agrees with Erlang B."""

        def shed(seed):
            day = exponential(6, 0.9, 150 * SECOND, seed)
            counts = Running(day, lambda node: PlainPool(node, 6, 0)).play().counts[0]
            return counts["shed"] / len(day.arrivals)

        self.interval(shed, erlang_b(6, 0.9))

    def test_erlang_c(self):
        """With an unbounded FIFO queue, the mean response time agrees with Erlang C."""
        blocked = erlang_b(4, 0.8)
        waits = blocked / (1 - 0.8 * (1 - blocked))
        wanted = ONE.work + waits * ONE.work / 4 / (1 - 0.8)

        def mean(seed):
            day = exponential(4, 0.8, 150 * SECOND, seed)
            return np.mean(Running(day, lambda node: PlainPool(node, 4, 10**9)).play().times[0])

        self.interval(mean, wanted)

    def test_sharing(self):
        """With all jobs running at once on one core, the mean is that of processor sharing.

        It does not depend on the distribution of work.
        """

        def mean(seed):
            day = exponential(1, 0.6, 150 * SECOND, seed)
            return np.mean(Running(day, lambda node: PlainPool(node, 10**9, 0)).play().times[0])

        self.interval(mean, ONE.work / (1 - 0.6))

    def test_same(self):
        """The same seed gives the same result; another seed gives another."""

        def play(seed):
            return Running(
                drawn(W, Machines(servers=2), 1.5, 5 * SECOND, seed), deciding(True)
            ).play()[:4]

        self.assertEqual(play(3), play(3))
        self.assertNotEqual(play(3), play(4))

    def test_answers(self):
        """Each request gets its final answer in time under overload, swings and bursts.

        No server comes near its limits of memory and crowding.
        """
        for pools in (False, True):
            for load, more in (
                (0.7, {}),
                (3.0, {}),
                (2.0, {"swing": SECOND}),
                (1.5, {"burst": (SECOND, 3 * SECOND, 5.0)}),
            ):
                day = drawn(
                    W,
                    Machines(servers=2, speeds=((2 * SECOND, 0.3), (4 * SECOND, 1.0)), fresh=True),
                    load,
                    6 * SECOND,
                    5,
                    **more,
                )
                running = Running(day, deciding(pools))
                got = running.play()
                self.assertEqual(got.unanswered, 0)
                self.assertEqual(got.overdue, 0)
                self.assertLess(max(got.memory, got.crowd), 0.95)

    def test_bound(self):
        """On tiny days no order of any subset of the requests earns more than the bound.

        The bound is also tight enough: at most 1.5 times the best value on more than half the days.
        """
        generator, close = random.Random(3), 0
        for _ in range(12):
            rows = sorted(
                (
                    generator.randrange(800_000),
                    generator.randrange(2),
                    generator.randrange(100_000, 900_000),
                    0,
                )
                for _ in range(5)
            )
            works = (
                Work("a", 1, 1, 0, 700_000, 700_000, 1.0),
                Work("b", 1, 1, 0, 1_200_000, 1_500_000, 3.0, 0.2),
            )
            day = Day(works, Machines(1, 1, reading=1), Callers(0), None, 800_000, rows, 0)
            best = 0.0
            for n in range(1, 6):
                for order in itertools.permutations(rows, n):
                    now, value = 0, 0.0
                    for time, kind, work, _ in order:
                        now = max(now, time) + work + 1
                        w = works[kind]
                        value += w.value * (
                            1
                            if now <= time + w.target
                            else w.late_share
                            if now <= time + w.timeout
                            else 0
                        )
                    best = max(best, value)
            for slot in (100_000, 300_000):
                found = bound(day, slot)
                self.assertGreaterEqual(found.value, best - 1e-6)
            close += found.value <= 1.5 * max(best, 1.0)
        self.assertGreater(close, 6)

    def test_bound_holds(self):
        """No implemented policy earns more than the planner's bound."""
        for load in (0.8, 2.0):
            day = drawn(W, Machines(servers=2), load, 6 * SECOND, 2)
            most = bound(day)
            self.assertLessEqual(most.share(), 1.0 + 1e-9)
            for make in (deciding(), deciding(True), lambda node: PlainPool(node, 6, 24, True)):
                self.assertLessEqual(sum(Running(day, make).play().earned), most.value + 1e-6)


if __name__ == "__main__":
    unittest.main()
