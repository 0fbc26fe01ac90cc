"""Run times saved for the next start, and when a start may use them."""

import threading
import types
import unittest
from unittest import mock

from emulator.test_emulator import W

from gullyoke.emulator.day import SECOND, Machines, drawn
from gullyoke.emulator.fleet import Running, deciding
from gullyoke.extensions.memory import RunTimeRecorder
from gullyoke.extensions.memory_store import STARTS_KEY
from gullyoke.runtime import clock
from gullyoke.runtime.metrics import Metrics
from gullyoke.storage import run_time_history, warmup_history


class SavedRunTimes(unittest.TestCase):
    def trained_server(self):
        running = Running(drawn(W, Machines(servers=1), 1.5, 6 * SECOND, 1), deciding(False))
        running.play()
        return running.nodes[0].server

    def test_snapshot_is_applied_by_weight(self):
        """A snapshot that is read back moves the run times of a new server by its weight.

        Request classes that no longer exist are ignored, and damaged rows are not read.
        """
        server = self.trained_server()
        saved = run_time_history.take_snapshot(server, 7, 100.0)
        found = run_time_history.unpack_row(
            run_time_history.pack_row(saved), run_time_history.RunTimeSnapshot
        )
        self.assertEqual(found, saved)
        new = Running(drawn(W, Machines(servers=1), 1.5, SECOND, 2), deciding(False))
        new.play()
        new_server = new.nodes[0].server
        before = {c.name: run_time for c, run_time in new_server.queue.run_times.items()}
        run_time_history.apply_snapshot(new_server, found, 0.25)
        for c, run_time in new_server.queue.run_times.items():
            self.assertAlmostEqual(
                run_time, 0.75 * before[c.name] + 0.25 * found.run_times_us[c.name]
            )
        run_time_history.apply_snapshot(
            new_server, run_time_history.RunTimeSnapshot(7, 0.0, {"gone": 5.0}, 0.0), 0.25
        )  # of a request class that no longer exists
        idle = Running(drawn(W, Machines(), 1, 0, 1), deciding(False)).nodes[0].server
        self.assertIsNone(run_time_history.take_snapshot(idle, 7, 1.0))
        for damaged in (
            None,
            b"",
            b"\x93\x01",
            run_time_history.pack_row(run_time_history.StartHistory(1))[:-1],
        ):
            self.assertIsNone(
                run_time_history.unpack_row(damaged, run_time_history.RunTimeSnapshot)
            )

    def test_weight_of_a_snapshot(self):
        """A snapshot counts only for the same settings, less with age, and not in a crash loop.

        If the clock was set back, the age is 0.
        """
        found = run_time_history.RunTimeSnapshot(7, 1000.0, {}, 0.0)
        healthy = run_time_history.StartHistory(0)
        self.assertEqual(
            run_time_history.judge_snapshot(found, 7, 1000.0, healthy).weight,
            run_time_history.MAX_WEIGHT,
        )
        self.assertAlmostEqual(
            run_time_history.judge_snapshot(
                found, 7, 1000.0 + run_time_history.HALF_LIFE_S, healthy
            ).weight,
            run_time_history.MAX_WEIGHT / 2,
        )
        self.assertEqual(
            run_time_history.judge_snapshot(found, 7, 500.0, healthy).weight,
            run_time_history.MAX_WEIGHT,
        )
        for row, digest, now, starts in (
            (None, 7, 1000, healthy),
            (found, 8, 1000, healthy),
            (found, 7, 1001 + run_time_history.MAX_AGE_S, healthy),
            (found, 7, 1000, run_time_history.StartHistory(run_time_history.MAX_UNHEALTHY_STARTS)),
        ):
            self.assertEqual(run_time_history.judge_snapshot(row, digest, now, starts).weight, 0.0)
        starts = healthy
        for _ in range(run_time_history.MAX_UNHEALTHY_STARTS):
            starts = run_time_history.with_new_start(starts)
        self.assertEqual(run_time_history.judge_snapshot(found, 7, 1000.0, starts).weight, 0.0)
        self.assertTrue(
            run_time_history.is_healthy_start(run_time_history.HEALTHY_AFTER_S, 0, False)
        )
        self.assertFalse(
            run_time_history.is_healthy_start(run_time_history.HEALTHY_AFTER_S, 1, False)
            or run_time_history.is_healthy_start(run_time_history.HEALTHY_AFTER_S, 0, True)
            or run_time_history.is_healthy_start(run_time_history.HEALTHY_AFTER_S - 1, 0, False)
        )
        self.assertNotEqual(
            run_time_history.settings_digest({"Cores": 4}),
            run_time_history.settings_digest({"Cores": 5}),
        )
        self.assertEqual(
            run_time_history.settings_digest({"a": 1, "b": 2}),
            run_time_history.settings_digest({"b": 2, "a": 1}),
        )

    def test_which_run_times_are_saved(self):
        """Run times of a slow, cold or draining server are not saved.

        A lasting change is taken over step by step.
        """
        usual = {"a": 100.0}
        self.assertTrue(run_time_history.should_save({"a": 150.0}, usual, True, False))
        self.assertFalse(run_time_history.should_save({"a": 250.0}, usual, True, False))
        self.assertFalse(run_time_history.should_save({"a": 100.0}, usual, False, False))
        self.assertFalse(run_time_history.should_save({"a": 100.0}, usual, True, True))
        for _ in range(20):
            usual = run_time_history.usual_run_times({"a": 250.0}, usual)
        self.assertTrue(run_time_history.should_save({"a": 250.0}, usual, True, False))
        self.assertEqual(run_time_history.usual_run_times({"a": 50.0}, usual), {"a": 50.0})

    def test_warmup_run_times(self):
        """A cold start begins with the ninth decile of the run times of earlier ones at its age.

        Run times of other settings are not used, and none are used once the server is warm.
        """
        recorder = warmup_history.WarmupRecorder()
        for run_time_ms in range(1, 101):
            recorder.record_run(600_000, "box-view", run_time_ms * 1000.0)
            recorder.record_run(20_000_000, "box-view", 1.0)
        self.assertEqual(len(recorder.samples_us["box-view"][1]), warmup_history.MAX_SAMPLES)
        found = recorder.take_snapshot(7, 1.0, None)
        self.assertAlmostEqual(found.run_times_us["box-view"][1], 93_700.0)
        self.assertEqual(found.run_times_us["box-view"][0], 0.0)
        again = warmup_history.WarmupRecorder()
        again.record_run(600_000, "box-view", 33_700.0)
        again.record_run(100_000, "box-view", 5.0)
        both = again.take_snapshot(
            7,
            2.0,
            run_time_history.unpack_row(
                run_time_history.pack_row(found), warmup_history.WarmupSnapshot
            ),
        )
        self.assertEqual([round(x) for x in both.run_times_us["box-view"][:2]], [5, 63_700])
        self.assertEqual(again.take_snapshot(8, 2.0, found).run_times_us["box-view"][1], 33_700.0)
        server = (
            Running(drawn(W, Machines(servers=1), 1.5, SECOND, 2), deciding(False)).nodes[0].server
        )
        before = {c.name: run_time for c, run_time in server.queue.run_times.items()}
        warmup_history.apply_snapshot(server, both, 17_000_000)
        self.assertEqual(before, {c.name: cost for c, cost in server.queue.run_times.items()})
        warmup_history.apply_snapshot(server, both, 700_000)
        after = {c.name: run_time for c, run_time in server.queue.run_times.items()}
        self.assertEqual(after, before | {"box-view": both.run_times_us["box-view"][1]})
        self.assertTrue(warmup_history.is_usable(both, 7, run_time_history.StartHistory(0)))
        self.assertFalse(
            warmup_history.is_usable(both, 8, run_time_history.StartHistory(0))
            or warmup_history.is_usable(
                both, 7, run_time_history.StartHistory(run_time_history.MAX_UNHEALTHY_STARTS)
            )
            or warmup_history.is_usable(None, 7, run_time_history.StartHistory(0))
        )

    def test_healthy_start_counts_from_the_engine(self):
        """The engine comes up long after the process.

        Guards against a start that counts as healthy before the server has served for
        HEALTHY_AFTER_S: one that fails soon after would count as a good one.
        """
        now, stored = 0, []
        controller = types.SimpleNamespace(
            load_snapshot=lambda _: types.SimpleNamespace(running=0, warming_up=False),
            safety=types.SimpleNamespace(max_on_cores=lambda _: 1),
        )
        dispatcher = types.SimpleNamespace(
            lock=threading.Lock(), controller=None, stop_at=None, now=0
        )
        daemon = types.SimpleNamespace(
            timer=types.SimpleNamespace(call_at=lambda *_: None),
            dispatcher=dispatcher,
            metrics=Metrics(),
        )
        store = types.SimpleNamespace(put=lambda key, _: stored.append(key))
        snapshot = run_time_history.RunTimeSnapshot(7, 1.0, {}, 0.0)
        serving_us = int(run_time_history.HEALTHY_AFTER_S * SECOND)
        with (
            mock.patch.object(clock, "now", lambda: now),
            mock.patch.object(RunTimeRecorder, "_exchange", lambda *_: snapshot),
        ):
            recorder = RunTimeRecorder(daemon, store)
            now = up_at = 10 * serving_us
            recorder._update()
            dispatcher.controller = controller
            recorder._update()
            now = up_at + serving_us - 1
            recorder._update()
            self.assertFalse(recorder.start_is_healthy)
            self.assertNotIn(STARTS_KEY, stored)
            now = up_at + serving_us
            dispatcher.stop_at = now  # so that this snapshot is judged at once
            recorder._update()
            self.assertTrue(recorder.start_is_healthy)


if __name__ == "__main__":
    unittest.main()
