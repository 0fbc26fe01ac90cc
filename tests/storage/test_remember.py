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
        kept = r.take_snapshot(server, 7, 100.0)
        found = r.unpack_row(r.pack_row(kept), r.RunTimeSnapshot)
        self.assertEqual(found, kept)
        young = Running(drawn(W, Machines(servers=1), 1.5, SECOND, 2), deciding(False))
        young.play()
        fresh = young.nodes[0].server
        before = {h.name: cost for h, cost in fresh.hold.cost.items()}
        r.apply_snapshot(fresh, found, 0.25)
        for h, cost in fresh.hold.cost.items():
            self.assertAlmostEqual(cost, 0.75 * before[h.name] + 0.25 * found.run_times_us[h.name])
        r.apply_snapshot(
            fresh, r.RunTimeSnapshot(7, 0.0, {"gone": 5.0}, 0.0), 0.25
        )  # a handler that is no more
        idle = Running(drawn(W, Machines(), 1, 0, 1), deciding(False)).nodes[0].server
        self.assertIsNone(r.take_snapshot(idle, 7, 1.0))
        for spoilt in (None, b"", b"\x93\x01", r.pack_row(r.StartHistory(1))[:-1]):
            self.assertIsNone(r.unpack_row(spoilt, r.RunTimeSnapshot))

    def test_trust(self):
        """Bound to what was stated; discounted by age; never for a crash loop.

        A clock set back is no age.
        """
        found = r.RunTimeSnapshot(7, 1000.0, {}, 0.0)
        well = r.StartHistory(0)
        self.assertEqual(r.judge_snapshot(found, 7, 1000.0, well).weight, r.MAX_WEIGHT)
        self.assertAlmostEqual(
            r.judge_snapshot(found, 7, 1000.0 + r.HALF_LIFE_S, well).weight, r.MAX_WEIGHT / 2
        )
        self.assertEqual(r.judge_snapshot(found, 7, 500.0, well).weight, r.MAX_WEIGHT)
        for row, stated, now, starts in (
            (None, 7, 1000, well),
            (found, 8, 1000, well),
            (found, 7, 1001 + r.MAX_AGE_S, well),
            (found, 7, 1000, r.StartHistory(r.MAX_UNHEALTHY_STARTS)),
        ):
            self.assertEqual(r.judge_snapshot(row, stated, now, starts).weight, 0.0)
        starts = well
        for _ in range(r.MAX_UNHEALTHY_STARTS):
            starts = r.start_begun(starts)
        self.assertEqual(r.judge_snapshot(found, 7, 1000.0, starts).weight, 0.0)
        self.assertTrue(r.is_healthy_start(r.HEALTHY_AFTER_S, 0, False))
        self.assertFalse(
            r.is_healthy_start(r.HEALTHY_AFTER_S, 1, False)
            or r.is_healthy_start(r.HEALTHY_AFTER_S, 0, True)
            or r.is_healthy_start(r.HEALTHY_AFTER_S - 1, 0, False)
        )
        self.assertNotEqual(r.settings_digest({"Cores": 4}), r.settings_digest({"Cores": 5}))
        self.assertEqual(r.settings_digest({"a": 1, "b": 2}), r.settings_digest({"b": 2, "a": 1}))

    def test_fit(self):
        """A slow or cold spell, or a drain, is not remembered.

        A lasting change is believed in the end.
        """
        usual = {"a": 100.0}
        self.assertTrue(r.is_worth_keeping({"a": 150.0}, usual, True, False))
        self.assertFalse(r.is_worth_keeping({"a": 250.0}, usual, True, False))
        self.assertFalse(r.is_worth_keeping({"a": 100.0}, usual, False, False))
        self.assertFalse(r.is_worth_keeping({"a": 100.0}, usual, True, True))
        for _ in range(20):
            usual = r.usual_run_times({"a": 250.0}, usual)
        self.assertTrue(r.is_worth_keeping({"a": 250.0}, usual, True, False))
        self.assertEqual(r.usual_run_times({"a": 50.0}, usual), {"a": 50.0})

    def test_cold(self):
        """What nine in ten runs did not exceed at an age is what a next cold start begins with
        there, together with what earlier ones had; not where other things were stated, and never
        once it is warm.
        """
        curve = cold.WarmupRecorder()
        for took in range(1, 101):
            curve.record_run(600_000, "box-view", took * 1000.0)
            curve.record_run(20_000_000, "box-view", 1.0)
        self.assertEqual(len(curve.samples_us["box-view"][1]), cold.MAX_SAMPLES)
        found = curve.take_snapshot(7, 1.0, None)
        self.assertAlmostEqual(found.run_times_us["box-view"][1], 93_700.0)
        self.assertEqual(found.run_times_us["box-view"][0], 0.0)
        again = cold.WarmupRecorder()
        again.record_run(600_000, "box-view", 33_700.0)
        again.record_run(100_000, "box-view", 5.0)
        both = again.take_snapshot(7, 2.0, r.unpack_row(r.pack_row(found), cold.WarmupSnapshot))
        self.assertEqual([round(x) for x in both.run_times_us["box-view"][:2]], [5, 63_700])
        self.assertEqual(again.take_snapshot(8, 2.0, found).run_times_us["box-view"][1], 33_700.0)
        server = (
            Running(drawn(W, Machines(servers=1), 1.5, SECOND, 2), deciding(False)).nodes[0].server
        )
        before = {h.name: cost for h, cost in server.hold.cost.items()}
        cold.apply_snapshot(server, both, 17_000_000)
        self.assertEqual(before, {h.name: cost for h, cost in server.hold.cost.items()})
        cold.apply_snapshot(server, both, 700_000)
        after = {h.name: cost for h, cost in server.hold.cost.items()}
        self.assertEqual(after, before | {"box-view": both.run_times_us["box-view"][1]})
        self.assertTrue(cold.is_usable(both, 7, r.StartHistory(0)))
        self.assertFalse(
            cold.is_usable(both, 8, r.StartHistory(0))
            or cold.is_usable(both, 7, r.StartHistory(r.MAX_UNHEALTHY_STARTS))
            or cold.is_usable(None, 7, r.StartHistory(0))
        )


if __name__ == "__main__":
    unittest.main()
