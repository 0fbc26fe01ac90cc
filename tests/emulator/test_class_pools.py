"""Tests of class pools and the reserve.

They cover limits under random demand, hard cases on emulated days, and the command `lab`.
"""

import pathlib
import tempfile
import unittest

from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from emulator.test_emulator import W
from gullyoke.admission.class_pools import ClassPools
from gullyoke.admission.interface import RUN, Idempotency, RequestClass
from gullyoke.cli.main import main
from gullyoke.emulator.day import SECOND, Machines, Shared, drawn
from gullyoke.emulator.fleet import Running, deciding

BOX, SET, DROP = range(3)


def request_class(name, value, work):
    return RequestClass(
        name, 6 * work, 20 * work, value, Idempotency.IDEMPOTENT, 0.0, 0, False, 0.0, 0.0
    )


class Limits(unittest.TestCase):
    def demand(self, pools, rates, seconds, now=0):
        """Offer each class work for a number of cores, and return the admitted shares.

        The result also has the time at the end.
        """
        admitted, offered = {}, {}
        for _ in range(seconds * 10):
            now += 100_000
            for h, cores in rates.items():
                for _ in range(max(0, round(cores * 100_000 / pools.by_class[h].cost))):
                    offered[h] = offered.get(h, 0) + 1
                    if pools.take(h):
                        admitted[h] = admitted.get(h, 0) + 1
            pools.completed_core_time = pools.cores * 100_000  # the cores are always full
            pools.adjust(100_000, True)
        return {h: admitted.get(h, 0) / offered[h] for h in offered}, now

    def test_order(self):
        """At three times the capacity the most valuable class gets its full demand.

        The least valuable one gets the rest and at least its minimum. Capacity that a class does
        not use is lent, and returned within the time of a run.
        """
        low, high = request_class("low", 1.0, 200_000), request_class("high", 3.0, 100_000)
        pools = ClassPools(0, 4, {low: 1, high: 2}, minimum_share=0.05)
        self.demand(pools, {low: 10.0, high: 2.0}, 5)
        got, now = self.demand(pools, {low: 10.0, high: 2.0}, 5, 5 * SECOND)
        self.assertEqual(got[high], 1.0)
        self.assertTrue(0.15 < got[low] < 0.30, got)
        got, now = self.demand(
            pools, {low: 10.0}, 5, now
        )  # the high class is silent and its capacity lent
        self.assertGreater(got[low], 0.35)
        got, now = self.demand(pools, {low: 10.0, high: 4.0}, 1, now)  # returned at once, in full
        self.assertEqual(got[high], 1.0)
        self.demand(pools, {low: 10.0, high: 8.0}, 5, now)
        got, now = self.demand(pools, {low: 10.0, high: 8.0}, 5, now)
        self.assertGreater(got[low], 0.01)  # the minimum share

    def test_alone(self):
        """A class without a more valuable class beside it is never limited by its pool.

        Only the admission threshold limits it.
        """
        one = request_class("one", 1.0, 100_000)
        pools = ClassPools(0, 2, {one: one})
        got, _ = self.demand(pools, {one: 20.0}, 5)
        self.assertEqual(got, {one: 1.0})
        self.assertEqual(pools.reserved_requests(one), 0)

    def test_tiny_limit(self):
        """Guards against a limit close to zero, by which the computed wait overflows.

        The retry advice stays bounded.
        """
        low, high = request_class("low", 1.0, 2201), request_class("high", 1.0, 2200)
        pools = ClassPools(0, 1, {low: low, high: high}, 2.2e-309)
        self.demand(pools, {low: 2.0, high: 2.0}, 3)
        for pool in pools.pools:
            pool.limit, pool.balance = 2.2e-309, 0.0
        self.assertLessEqual(pools.capacity_wait(low), 10 * SECOND)

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(st.floats(0.1, 10), st.integers(1000, 10**6), st.floats(0, 30)),
            min_size=1,
            max_size=100,
        ),
        st.integers(1, 32),
        st.floats(0, 0.01),
    )
    def test_sums(self, classes, cores, minimum):
        """Invariants hold with up to a hundred classes on up to 32 cores.

        The sum of the limits stays under 1.11 times the capacity, no limit exceeds the demand of
        its class, and the reserve leaves half of the cores to all classes.
        """
        rates = {
            request_class(f"h{i}", value, work): load
            for i, (value, work, load) in enumerate(classes)
        }
        pools = ClassPools(0, cores, {h: h for h in rates}, minimum)
        now = 0
        for _ in range(30):
            now += 100_000
            for h, load in rates.items():
                for _ in range(min(50, int(load * 100_000 / pools.by_class[h].cost))):
                    pools.take(h)
            pools.completed_core_time = cores * 100_000
            pools.adjust(100_000, True)
            self.assertLessEqual(sum(p.limit for p in pools.pools), 1.11 * pools.capacity + 1e-6)
            for h, p in pools.by_class.items():
                self.assertLessEqual(p.limit, p.demand + 1e-9)
                self.assertLessEqual(pools.reserved_requests(h), (cores + 1) // 2)
                self.assertGreaterEqual(pools.capacity_wait(h), 0)


class Days(unittest.TestCase):
    """Compares emulated days with and without class pools, on the same arrivals."""

    def both(self, load, seconds=8, machines=None, works=W, **more):
        day = drawn(works, machines or Machines(servers=2), load, seconds * SECOND, 3, **more)
        out = []
        for pools in (False, True):
            got = Running(day, deciding(pools)).play()
            self.assertEqual((got.unanswered, got.overdue), (0, 0))
            self.assertLess(max(got.memory, got.crowd), 1.0)
            out.append(got)
        return out

    @staticmethod
    def inside(got, kind):
        counts = got.counts[kind]
        return counts["done"] / max(1, sum(counts.values()))

    def test_floods(self):
        """At 2, 5 and 10 times the capacity pools keep the most valuable class in time.

        At 5 and 10 times, clearly more of it is in time than without pools.
        """
        for load, least, more in ((2.0, 0.97, -0.01), (5.0, 0.75, 0.1), (10.0, 0.45, 0.2)):
            without, pooled = self.both(load)
            self.assertGreater(self.inside(pooled, DROP), least)
            self.assertGreater(self.inside(pooled, DROP), self.inside(without, DROP) + more)
            self.assertGreater(pooled.share(), without.share())

    def test_drop(self):
        """Capacity falls to a third at once while all pools are full, and recovers."""
        speeds = (4 * SECOND, 0.33), (8 * SECOND, 1.0)
        without, pooled = self.both(2.0, 12, Machines(servers=2, speeds=speeds))
        self.assertGreater(self.inside(pooled, DROP), 0.6)
        self.assertGreater(pooled.share(), 0.95 * without.share())

    def test_swing(self):
        """The traffic shares rotate among the classes every 2 s."""
        without, pooled = self.both(2.0, 12, swing=2 * SECOND)
        self.assertGreater(pooled.share(), without.share())

    def test_silent(self):
        """A silent class returns with ten times its share.

        Capacity lent to other classes does not delay it for long.
        """
        without, pooled = self.both(2.0, 10, silent=(DROP, 5 * SECOND))
        self.assertGreater(self.inside(pooled, DROP), max(0.55, self.inside(without, DROP) - 0.02))

    def test_odd(self):
        """With a single class, one core, cold servers or low load, pools cost next to nothing."""
        one = (W[BOX],)
        without, pooled = self.both(2.0, works=one)
        self.assertEqual(without.earned, pooled.earned)
        without, pooled = self.both(2.0, 60, Machines(servers=1, cores=1))
        self.assertGreater(pooled.share(), 0.9 * without.share())
        without, pooled = self.both(1.0, machines=Machines(servers=2, fresh=True))
        self.assertGreater(pooled.share(), 0.95 * without.share())
        without, pooled = self.both(0.7)
        self.assertGreater(pooled.share(), without.share() - 0.02)

    def test_memory(self):
        """With little memory the high class is still admitted, and memory stays within its limit."""
        _, pooled = self.both(2.0, machines=Machines(servers=2, memory_kb=2500.0, held_kb=60.0))
        self.assertGreater(self.inside(pooled, DROP), 0.9)

    def test_heavy(self):
        """A class whose runs take ten times as long does not starve the others.

        Its cost is learned.
        """
        works = (
            W[BOX]._replace(work=2_800_000, target=8_000_000, timeout=12_000_000),
            W[SET],
            W[DROP],
        )
        _, pooled = self.both(2.0, 10, works=works)
        self.assertGreater(self.inside(pooled, DROP), 0.8)

    def test_dependency(self):
        """A slow dependency of one class does not hold up classes that make no calls."""
        works = (W[BOX]._replace(calls=True, skip_share=0.3), W[SET], W[DROP])
        _, pooled = self.both(1.5, 10, works=works, shared=Shared(4, 400_000))
        self.assertGreater(self.inside(pooled, DROP), 0.9)

    def test_drain(self):
        """In a drain while pools lend, all requests are answered and late arrivals are not run."""
        day = drawn(W, Machines(servers=2), 2.0, 6 * SECOND, 3)
        running = Running(day, deciding())
        node = running.nodes[0]
        running.at(
            2 * SECOND, lambda: node.server.begin_drain(running.now(), running.now() + 3 * SECOND)
        )
        late, do = [], node.execute

        def watched(request, command):
            if command is RUN and request.arrived > 4 * SECOND:
                late.append(request)
            do(request, command)

        node.server.state.stepper.execute = watched
        got = running.play()
        self.assertEqual((got.unanswered, got.overdue, late), (0, 0, []))


class Lab(unittest.TestCase):
    TEXT = (
        'name: "t" work { name: "a" share: 1 work_ms: 50 target_ms: 300 timeout_ms: 900 value: 1 }\n'
        'work { name: "b" share: 1 work_ms: 20 target_ms: 300 timeout_ms: 900 value: 3 }\n'
        'day { name: "d" load: 2 }\narm { name: "off" policy: NO_POOLS }\narm { name: "on" }\n'
        "seeds: 2 length_s: 2 servers: 1 cores: 2 bound: true\n"
    )

    def test_run(self):
        """Writes tables, charts and a report; `--resume` repeats a truncated row and keeps the rest.

        Rows of another experiment are refused.
        """
        with tempfile.TemporaryDirectory() as name:
            folder, file = pathlib.Path(name, "out"), pathlib.Path(name, "t.experiment")
            file.write_text(self.TEXT)
            run = CliRunner().invoke
            first = run(main, ["lab", "run", str(file), "--out", str(folder), "--workers", "2"])
            self.assertEqual(first.exit_code, 0, first.output)
            text = (folder / "report.md").read_text()
            self.assertIn("| d | on |", text)
            for made in ("plays.parquet", "plays.csv", "day-d.svg", "day-d.png", "shares.svg"):
                self.assertGreater((folder / made).stat().st_size, 100)
            rows = (folder / "rows.jsonl").read_text()
            self.assertEqual(
                run(main, ["lab", "run", str(file), "--out", str(folder)]).exit_code, 2
            )
            (folder / "rows.jsonl").write_text(rows[:-40])
            again = run(
                main, ["lab", "run", str(file), "--out", str(folder), "--resume", "--workers", "2"]
            )
            self.assertEqual(again.exit_code, 0, again.output)
            now = (folder / "rows.jsonl").read_text()
            self.assertEqual(sorted(now.split("\n")), sorted(rows.split("\n")))
            self.assertEqual((folder / "report.md").read_text(), text)
            file.write_text(self.TEXT.replace("seeds: 2", "seeds: 3"))
            other = run(main, ["lab", "run", str(file), "--out", str(folder), "--resume"])
            self.assertEqual(other.exit_code, 2)
            file.write_text(self.TEXT.replace("timeout_ms: 900 value: 3", "timeout_ms: 9 value: 3"))
            wrong = run(main, ["lab", "bound", str(file), "--day", "d"])
            self.assertEqual(wrong.exit_code, 2)
            self.assertIn(":2: work[1].timeout_ms: 9 is under", wrong.stderr)

    def test_try(self):
        """The command `try` runs a daemon and an emulated platform on loopback.

        Every request gets an answer.
        """
        got = CliRunner().invoke(main, ["try", "--seconds", "2", "--load", "2"])
        self.assertEqual(got.exit_code, 0, got.output)
        self.assertIn("value earned", got.output)
        last = [line for line in got.output.split("\n") if "drop-status" in line][-1]
        rows = last.replace("│", "|").split("|")
        offered, done, *rest = (int(x) for x in rows[2:7])
        self.assertGreater(offered, 10)
        self.assertEqual(offered, done + sum(rest))
        self.assertGreater(done, 0)


if __name__ == "__main__":
    unittest.main()
