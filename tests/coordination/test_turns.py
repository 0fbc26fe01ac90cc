"""Turns: at most so many at a time, nobody left out, and little more under two views."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from gullyoke.coordination.turns import Turns

SLOT, GAP = 10_000_000, 500_000
NAMES = st.sets(st.sampled_from([f"m{i}" for i in range(40)]), min_size=1, max_size=40)


class Taking(unittest.TestCase):
    @settings(max_examples=80, deadline=None, derandomize=True, database=None)
    @given(NAMES, st.integers(1, 5), st.integers(0, 10**12))
    def test_at_most_k_and_each_in_a_round(self, members, k, start):
        turns = Turns("warm", k, SLOT, GAP)
        slots = -(-len(members) // k)
        first = start // SLOT // slots * slots  # a round's first slot
        had = []
        for number in range(first, first + slots):
            now = {m for m in members if turns.mine(number * SLOT + SLOT // 2, m, members)}
            self.assertLessEqual(len(now), k)
            had += now
        self.assertEqual(sorted(had), sorted(members))

    @settings(max_examples=80, deadline=None, derandomize=True, database=None)
    @given(NAMES, NAMES, st.integers(1, 5), st.integers(0, 10**12))
    def test_two_views(self, one, other, k, wall):
        """Half of the fleet goes by one view, half by another: at most k each."""
        turns = Turns("warm", k, SLOT, GAP)
        for view in (one, other):
            self.assertLessEqual(sum(turns.mine(wall, m, view) for m in view), k)

    def test_gap(self):
        """Clocks that differ by less than the gap: no two slots at once."""
        turns, members = Turns("x", 1, SLOT, GAP), ["a", "b", "c"]
        for wall in range(0, 30 * SLOT, 97_000):
            ahead = [m for m in members if turns.mine(wall + GAP, m, members)]
            behind = [m for m in members if turns.mine(wall - GAP, m, members)]
            if ahead and behind:
                self.assertEqual(ahead, behind)

    def test_what_does_not_fit(self):
        turns = Turns("x", 1, SLOT, GAP)
        self.assertEqual(turns.remaining_us(SLOT // 2), SLOT // 2 - GAP)
        self.assertEqual(turns.remaining_us(SLOT - 1), 0)
        with self.assertRaises(ValueError):
            Turns("x", 0, SLOT, GAP)


if __name__ == "__main__":
    unittest.main()
