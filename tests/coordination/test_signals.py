"""Signals: told in few bits without flicker; one that lies or is stuck has little weight.

Slow is not full.
"""

import itertools
import random
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from gullyoke.coordination.signals import (
    LEAST_SENDERS,
    MAX_SENDERS,
    REPORT_VALID_US,
    STATE_DWELL_US,
    LoadAssessment,
    LoadReport,
    ReceivedReports,
    ReportSmoother,
    ServingStage,
    summarize_peers,
    unpack_report,
)

SHARE = st.floats(0, 1)
READING = st.builds(LoadReport, SHARE, SHARE, st.floats(0, 3), st.sampled_from(ServingStage))
WELL = LoadReport(0.6, 0.0, 1.0, ServingStage.WARM)
FULL = LoadReport(0.0, 0.6, 1.0, ServingStage.WARM)


class Signals(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    @given(READING, st.integers(0, 2**64))
    def test_words(self, reading, any_number):
        """A reading comes back within half a step; any number is a reading."""
        again = unpack_report(reading.pack())
        self.assertLessEqual(abs(again.free_capacity - reading.free_capacity), 0.04)
        self.assertLessEqual(abs(again.rejected_share - reading.rejected_share), 0.04)
        self.assertLessEqual(abs(again.latency_ratio - reading.latency_ratio), 0.11)
        self.assertEqual(
            (again.stage, unpack_report(any_number).pack()), (reading.stage, any_number & 0x3FFF)
        )

    def test_no_flicker(self):
        """A figure that swings around the edge of two steps is told as one."""
        telling, chance = ReportSmoother(), random.Random(1)
        words = [
            telling.pack(LoadReport(0.5 + chance.uniform(-0.04, 0.04), 0.1, 1.0, ServingStage.WARM))
            for _ in range(400)
        ]
        self.assertLessEqual(sum(a != b for a, b in itertools.pairwise(words[20:])), 4)
        for _ in range(30):
            last = telling.pack(FULL)
        self.assertEqual(last, FULL.pack())

    @settings(max_examples=100, deadline=None, derandomize=True, database=None)
    @given(
        st.lists(
            READING.map(lambda r: r._replace(stage=ServingStage.WARM)), min_size=9, max_size=30
        ),
        READING,
    )
    def test_a_liar_moves_a_median_by_one_place(self, readings, lie):
        """Whatever one says, what is made of them stays between what its neighbours in order
        said.
        """
        told = summarize_peers([*readings, lie._replace(stage=ServingStage.WARM)])
        for name in ("free_capacity", "rejected_share", "latency_ratio"):
            ranked = sorted(getattr(r, name) for r in readings)
            middle = len(ranked) // 2
            self.assertLessEqual(ranked[max(0, middle - 1)], getattr(told, name) + 1e-9)
            self.assertGreaterEqual(
                ranked[min(len(ranked) - 1, middle + 1)] + 1e-9, getattr(told, name)
            )

    def test_old_words(self):
        """What is old, came late or was told before a pause does not count, and too few say
        nothing.
        """
        heard = ReceivedReports()
        for sender in range(LEAST_SENDERS):
            heard.take(0, sender, 5, WELL.pack())
        heard.take(10, 0, 4, FULL.pack())  # late: an older word of that sender
        self.assertIsNotNone(summarize_peers(heard.valid(REPORT_VALID_US)))
        self.assertGreater(summarize_peers(heard.valid(REPORT_VALID_US)).free_capacity, 0.5)
        self.assertIsNone(summarize_peers(heard.valid(REPORT_VALID_US + 1)))
        for sender in range(3 * MAX_SENDERS):
            heard.take(REPORT_VALID_US + 2, sender, 1, WELL.pack())
        self.assertEqual(len(heard.rows), MAX_SENDERS)
        heard.clear()
        self.assertIsNone(summarize_peers(heard.valid(REPORT_VALID_US + 3)))
        self.assertIsNone(summarize_peers([WELL._replace(stage=ServingStage.DRAINING)] * 20))

    def test_slow_or_full(self):
        """Alone slow: its sheds go elsewhere and it takes itself back after a while.

        All full: they do not, and it stays. Nothing known: as without the others.
        """
        judged, slow = LoadAssessment(lambda: 0.5), WELL._replace(latency_ratio=2.5)
        self.assertEqual((judged.is_overloaded(True), judged.is_overloaded(False)), (True, False))
        self.assertEqual(judged.retry_after(1000), 1000)
        judged.update(0, slow, [WELL] * 10)
        self.assertEqual(
            (judged.is_overloaded(True), judged.is_overloaded(False), judged.withdrawn),
            (True, False, False),
        )
        judged.update(STATE_DWELL_US, slow, [WELL] * 10)
        self.assertTrue(judged.withdrawn)
        judged.update(STATE_DWELL_US + 1, WELL, [WELL] * 10)
        judged.update(2 * STATE_DWELL_US + 1, WELL, [WELL] * 10)
        self.assertFalse(judged.withdrawn)
        for now in (0, STATE_DWELL_US, 3 * STATE_DWELL_US):
            judged.update(now, slow, [FULL._replace(latency_ratio=2.4)] * 10)
        self.assertEqual((judged.is_overloaded(False), judged.withdrawn), (True, False))

    def test_few_take_themselves_back(self):
        """A third of the fleet turns slow together.

        No more than a tenth and one a look of it goes, the rest serves on. A liar alone never gets
        anybody to go.
        """
        judges = [LoadAssessment(lambda: 0.5) for _ in range(30)]
        paces = [3.0 if i < 10 else 1.0 for i in range(30)]
        for look in range(40):
            now = look * 500_000 + 1
            readings = [
                LoadReport(
                    0.3,
                    0.0,
                    paces[i],
                    ServingStage.WITHDRAWN if one.withdrawn else ServingStage.WARM,
                )
                for i, one in enumerate(judges)
            ]
            for i, one in enumerate(judges):  # in turn, each hears what those before it did
                readings[i] = LoadReport(
                    0.3,
                    0.0,
                    paces[i],
                    ServingStage.WITHDRAWN if one.withdrawn else ServingStage.WARM,
                )
                one.update(now, readings[i], readings)
                readings[i] = LoadReport(
                    0.3,
                    0.0,
                    paces[i],
                    ServingStage.WITHDRAWN if one.withdrawn else ServingStage.WARM,
                )
        back = [one.withdrawn for one in judges]
        self.assertLessEqual(sum(back), 4)
        self.assertFalse(any(back[10:]))
        beside_liar = LoadAssessment(lambda: 0.5)
        for now in range(0, 10 * STATE_DWELL_US, STATE_DWELL_US // 3):
            beside_liar.update(
                now, WELL, [WELL] * 8 + [LoadReport(1.0, 0.0, 0.0, ServingStage.WARM)]
            )
        self.assertFalse(beside_liar.withdrawn)

    def test_advice_spreads(self):
        """Those who heed it come back spread over its whole length, later where the others have
        more room.
        """
        judged = LoadAssessment(random.Random(3).random)
        judged.update(0, WELL._replace(free_capacity=0.0), [WELL] * 10)
        told = [judged.retry_after(100_000) for _ in range(4000)]
        tenths = Counter((x - 80_000) * 10 // 160_001 for x in told)
        self.assertLess(max(tenths.values()), 2 * min(tenths.values()))
        self.assertGreater(min(told), 79_000)
        judged.update(0, WELL._replace(free_capacity=0.9), [WELL] * 10)
        level = [judged.retry_after(100_000) for _ in range(1000)]
        self.assertLess(sum(level) / 1000, sum(told) / 4000)


if __name__ == "__main__":
    unittest.main()
