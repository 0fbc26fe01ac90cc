"""What is remembered over a restart, and when it is trusted."""

import unittest

from emulator.test_emulator import W

from gullyoke.emulator.day import SECOND, Machines, drawn
from gullyoke.emulator.fleet import Running, deciding
from gullyoke.storage import run_time_history as r
from gullyoke.storage import warmup_history as cold


class Remember(unittest.TestCase):
    def learned(self):
        running = Running(drawn(W, Machines(servers=1), 1.5, 6 * SECOND, 1), deciding(False))
        running.play()
        return running.nodes[0].server

    def test_round(self):
        """A snapshot read back gives a young server its usual times in part, beside its first
        guesses.
        """
        server = self.learned()
        kept = r.taken(server, 7, 100.0)
        found = r.unpacked(r.packed(kept), r.Learned)
        self.assertEqual(found, kept)
        young = Running(drawn(W, Machines(servers=1), 1.5, SECOND, 2), deciding(False))
        young.play()
        fresh = young.nodes[0].server
        before = {h.name: cost for h, cost in fresh.hold.cost.items()}
        r.recall(fresh, found, 0.25)
        for h, cost in fresh.hold.cost.items():
            self.assertAlmostEqual(cost, 0.75 * before[h.name] + 0.25 * found.costs[h.name])
        r.recall(fresh, r.Learned(7, 0.0, {"gone": 5.0}, 0.0), 0.25)  # a handler that is no more
        idle = Running(drawn(W, Machines(), 1, 0, 1), deciding(False)).nodes[0].server
        self.assertIsNone(r.taken(idle, 7, 1.0))
        for spoilt in (None, b"", b"\x93\x01", r.packed(r.Starts(1))[:-1]):
            self.assertIsNone(r.unpacked(spoilt, r.Learned))

    def test_trust(self):
        """Bound to what was stated; discounted by age; never for a crash loop.

        A clock set back is no age.
        """
        found = r.Learned(7, 1000.0, {}, 0.0)
        well = r.Starts(0)
        self.assertEqual(r.trust(found, 7, 1000.0, well).weight, r.MOST)
        self.assertAlmostEqual(r.trust(found, 7, 1000.0 + r.HALF_LIFE, well).weight, r.MOST / 2)
        self.assertEqual(r.trust(found, 7, 500.0, well).weight, r.MOST)
        for row, stated, now, starts in (
            (None, 7, 1000, well),
            (found, 8, 1000, well),
            (found, 7, 1001 + r.OLDEST, well),
            (found, 7, 1000, r.Starts(r.STARTS)),
        ):
            self.assertEqual(r.trust(row, stated, now, starts).weight, 0.0)
        starts = well
        for _ in range(r.STARTS):
            starts = r.began(starts)
        self.assertEqual(r.trust(found, 7, 1000.0, starts).weight, 0.0)
        self.assertTrue(r.calm(r.CALM, 0, False))
        self.assertFalse(
            r.calm(r.CALM, 1, False) or r.calm(r.CALM, 0, True) or r.calm(r.CALM - 1, 0, False)
        )
        self.assertNotEqual(r.digest({"Cores": 4}), r.digest({"Cores": 5}))
        self.assertEqual(r.digest({"a": 1, "b": 2}), r.digest({"b": 2, "a": 1}))

    def test_fit(self):
        """A slow or cold spell, or a drain, is not remembered.

        A lasting change is believed in the end.
        """
        usual = {"a": 100.0}
        self.assertTrue(r.fit({"a": 150.0}, usual, True, False))
        self.assertFalse(r.fit({"a": 250.0}, usual, True, False))
        self.assertFalse(r.fit({"a": 100.0}, usual, False, False))
        self.assertFalse(r.fit({"a": 100.0}, usual, True, True))
        for _ in range(20):
            usual = r.settle({"a": 250.0}, usual)
        self.assertTrue(r.fit({"a": 250.0}, usual, True, False))
        self.assertEqual(r.settle({"a": 50.0}, usual), {"a": 50.0})

    def test_cold(self):
        """What nine in ten runs did not exceed at an age is what a next cold start begins with
        there, together with what earlier ones had; not where other things were stated, and never
        once it is warm.
        """
        curve = cold.Curve()
        for took in range(1, 101):
            curve.ran(600_000, "box-view", took * 1000.0)
            curve.ran(20_000_000, "box-view", 1.0)
        self.assertEqual(len(curve.rows["box-view"][1]), cold.SAMPLES)
        found = curve.taken(7, 1.0, None)
        self.assertAlmostEqual(found.costs["box-view"][1], 93_700.0)
        self.assertEqual(found.costs["box-view"][0], 0.0)
        again = cold.Curve()
        again.ran(600_000, "box-view", 33_700.0)
        again.ran(100_000, "box-view", 5.0)
        both = again.taken(7, 2.0, r.unpacked(r.packed(found), cold.Cold))
        self.assertEqual([round(x) for x in both.costs["box-view"][:2]], [5, 63_700])
        self.assertEqual(again.taken(8, 2.0, found).costs["box-view"][1], 33_700.0)
        server = (
            Running(drawn(W, Machines(servers=1), 1.5, SECOND, 2), deciding(False)).nodes[0].server
        )
        before = {h.name: cost for h, cost in server.hold.cost.items()}
        cold.recall(server, both, 17_000_000)
        self.assertEqual(before, {h.name: cost for h, cost in server.hold.cost.items()})
        cold.recall(server, both, 700_000)
        after = {h.name: cost for h, cost in server.hold.cost.items()}
        self.assertEqual(after, before | {"box-view": both.costs["box-view"][1]})
        self.assertTrue(cold.fit(both, 7, r.Starts(0)))
        self.assertFalse(
            cold.fit(both, 8, r.Starts(0))
            or cold.fit(both, 7, r.Starts(r.STARTS))
            or cold.fit(None, 7, r.Starts(0))
        )


if __name__ == "__main__":
    unittest.main()
