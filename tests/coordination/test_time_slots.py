"""Time slots: at most `k` members at a time, each within a round, with any view and clock."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from gullyoke.coordination.time_slots import TimeSlotSchedule

SLOT, GAP = 10_000_000, 500_000
NAMES = st.sets(st.sampled_from([f"m{i}" for i in range(40)]), min_size=1, max_size=40)


class TimeSlots(unittest.TestCase):
    @settings(max_examples=80, deadline=None, derandomize=True, database=None)
    @given(NAMES, st.integers(1, 5), st.integers(0, 10**12))
    def test_at_most_k_at_a_time_and_each_once_a_round(self, members, k, start):
        schedule = TimeSlotSchedule("warm", k, SLOT, GAP)
        slots = -(-len(members) // k)
        first = start // SLOT // slots * slots  # a round's first slot
        served = []
        for number in range(first, first + slots):
            now = {m for m in members if schedule.has_slot(number * SLOT + SLOT // 2, m, members)}
            self.assertLessEqual(len(now), k)
            served += now
        self.assertEqual(sorted(served), sorted(members))

    @settings(max_examples=80, deadline=None, derandomize=True, database=None)
    @given(NAMES, NAMES, st.integers(1, 5), st.integers(0, 10**12))
    def test_two_views(self, one, other, k, wall):
        """If members have two different views, each view gives a slot to at most k members."""
        schedule = TimeSlotSchedule("warm", k, SLOT, GAP)
        for view in (one, other):
            self.assertLessEqual(sum(schedule.has_slot(wall, m, view) for m in view), k)

    def test_gap(self):
        """With clocks that differ by up to two gaps, no two slots overlap."""
        schedule, members = TimeSlotSchedule("x", 1, SLOT, GAP), ["a", "b", "c"]
        for wall in range(0, 30 * SLOT, 97_000):
            ahead = [m for m in members if schedule.has_slot(wall + GAP, m, members)]
            behind = [m for m in members if schedule.has_slot(wall - GAP, m, members)]
            if ahead and behind:
                self.assertEqual(ahead, behind)

    def test_remaining_time_and_invalid_schedules(self):
        schedule = TimeSlotSchedule("x", 1, SLOT, GAP)
        self.assertEqual(schedule.remaining_us(SLOT // 2), SLOT // 2 - GAP)
        self.assertEqual(schedule.remaining_us(SLOT - 1), 0)
        with self.assertRaises(ValueError):
            TimeSlotSchedule("x", 0, SLOT, GAP)


if __name__ == "__main__":
    unittest.main()
