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
    LASTS,
    LEAST,
    MOST,
    YOUNG,
    Heard,
    Judgement,
    Reading,
    Stage,
    Telling,
    outlook,
    unpack,
)

SHARE = st.floats(0, 1)
READING = st.builds(Reading, SHARE, SHARE, st.floats(0, 3), st.sampled_from(Stage))
WELL = Reading(0.6, 0.0, 1.0, Stage.WARM)
FULL = Reading(0.0, 0.6, 1.0, Stage.WARM)


class Signals(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    @given(READING, st.integers(0, 2**64))
    def test_words(self, reading, any_number):
        """A reading comes back within half a step; any number is a reading."""
        again = unpack(reading.pack())
        self.assertLessEqual(abs(again.room - reading.room), 0.04)
        self.assertLessEqual(abs(again.shed - reading.shed), 0.04)
        self.assertLessEqual(abs(again.pace - reading.pace), 0.11)
        self.assertEqual(
            (again.stage, unpack(any_number).pack()), (reading.stage, any_number & 0x3FFF)
        )

    def test_no_flicker(self):
        """A figure that swings around the edge of two steps is told as one."""
        telling, chance = Telling(), random.Random(1)
        words = [
            telling.word(Reading(0.5 + chance.uniform(-0.04, 0.04), 0.1, 1.0, Stage.WARM))
            for _ in range(400)
        ]
        self.assertLessEqual(sum(a != b for a, b in itertools.pairwise(words[20:])), 4)
        for _ in range(30):
            last = telling.word(FULL)
        self.assertEqual(last, FULL.pack())

    @settings(max_examples=100, deadline=None, derandomize=True, database=None)
    @given(
        st.lists(READING.map(lambda r: r._replace(stage=Stage.WARM)), min_size=9, max_size=30),
        READING,
    )
    def test_a_liar_moves_a_median_by_one_place(self, readings, lie):
        """Whatever one says, what is made of them stays between what its neighbours in order
        said.
        """
        told = outlook([*readings, lie._replace(stage=Stage.WARM)])
        for name in ("room", "shed", "pace"):
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
        heard = Heard()
        for sender in range(LEAST):
            heard.hear(0, sender, 5, WELL.pack())
        heard.hear(10, 0, 4, FULL.pack())  # late: an older word of that sender
        self.assertIsNotNone(outlook(heard.young(YOUNG)))
        self.assertGreater(outlook(heard.young(YOUNG)).room, 0.5)
        self.assertIsNone(outlook(heard.young(YOUNG + 1)))
        for sender in range(3 * MOST):
            heard.hear(YOUNG + 2, sender, 1, WELL.pack())
        self.assertEqual(len(heard.rows), MOST)
        heard.paused()
        self.assertIsNone(outlook(heard.young(YOUNG + 3)))
        self.assertIsNone(outlook([WELL._replace(stage=Stage.DRAINING)] * 20))

    def test_slow_or_full(self):
        """Alone slow: its sheds go elsewhere and it takes itself back after a while.

        All full: they do not, and it stays. Nothing known: as without the others.
        """
        judged, slow = Judgement(lambda: 0.5), WELL._replace(pace=2.5)
        self.assertEqual((judged.full(True), judged.full(False)), (True, False))
        self.assertEqual(judged.stay(1000), 1000)
        judged.weigh(0, slow, [WELL] * 10)
        self.assertEqual((judged.full(True), judged.full(False), judged.back), (True, False, False))
        judged.weigh(LASTS, slow, [WELL] * 10)
        self.assertTrue(judged.back)
        judged.weigh(LASTS + 1, WELL, [WELL] * 10)
        judged.weigh(2 * LASTS + 1, WELL, [WELL] * 10)
        self.assertFalse(judged.back)
        for now in (0, LASTS, 3 * LASTS):
            judged.weigh(now, slow, [FULL._replace(pace=2.4)] * 10)
        self.assertEqual((judged.full(False), judged.back), (True, False))

    def test_few_take_themselves_back(self):
        """A third of the fleet turns slow together.

        No more than a tenth and one a look of it goes, the rest serves on. A liar alone never gets
        anybody to go.
        """
        judges = [Judgement(lambda: 0.5) for _ in range(30)]
        paces = [3.0 if i < 10 else 1.0 for i in range(30)]
        for look in range(40):
            now = look * 500_000 + 1
            readings = [
                Reading(0.3, 0.0, paces[i], Stage.BACK if one.back else Stage.WARM)
                for i, one in enumerate(judges)
            ]
            for i, one in enumerate(judges):  # in turn, each hears what those before it did
                readings[i] = Reading(0.3, 0.0, paces[i], Stage.BACK if one.back else Stage.WARM)
                one.weigh(now, readings[i], readings)
                readings[i] = Reading(0.3, 0.0, paces[i], Stage.BACK if one.back else Stage.WARM)
        back = [one.back for one in judges]
        self.assertLessEqual(sum(back), 4)
        self.assertFalse(any(back[10:]))
        beside_liar = Judgement(lambda: 0.5)
        for now in range(0, 10 * LASTS, LASTS // 3):
            beside_liar.weigh(now, WELL, [WELL] * 8 + [Reading(1.0, 0.0, 0.0, Stage.WARM)])
        self.assertFalse(beside_liar.back)

    def test_advice_spreads(self):
        """Those who heed it come back spread over its whole length, later where the others have
        more room.
        """
        judged = Judgement(random.Random(3).random)
        judged.weigh(0, WELL._replace(room=0.0), [WELL] * 10)
        told = [judged.stay(100_000) for _ in range(4000)]
        tenths = Counter((x - 80_000) * 10 // 160_001 for x in told)
        self.assertLess(max(tenths.values()), 2 * min(tenths.values()))
        self.assertGreater(min(told), 79_000)
        judged.weigh(0, WELL._replace(room=0.9), [WELL] * 10)
        level = [judged.stay(100_000) for _ in range(1000)]
        self.assertLess(sum(level) / 1000, sum(told) / 4000)


if __name__ == "__main__":
    unittest.main()
