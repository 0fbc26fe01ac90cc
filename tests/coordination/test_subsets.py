"""Subsets of back ends: even sizes, own zone first, few moves, none for a flapping back end."""

import itertools
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from gullyoke.coordination.subsets import (
    MOVE_INTERVAL_US,
    SETTLE_US,
    Subset,
    apertures,
    choose_subsets,
    moved_share,
)

COUNT = st.integers(1, 60)


def names(prefix, count):
    return [f"{prefix}{i}" for i in range(count)]


class Subsets(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(COUNT, COUNT, st.integers(1, 30))
    def test_subsets_are_even(self, n, m, k):
        """All back ends are in equally many subsets, within one.

        Each subset is complete and has no duplicates, and input order does not matter.
        """
        found = apertures(names("s", n), names("b", m), k)
        uses = Counter(b for subset in found.values() for b in subset)
        counts = [uses[b] for b in names("b", m)]
        self.assertLessEqual(max(counts) - min(counts), 1)
        self.assertTrue(all(len(set(subset)) == min(k, m) for subset in found.values()))
        self.assertEqual(found, apertures(names("s", n)[::-1], names("b", m)[::-1], k))

    def test_few_connections_move(self):
        """One server or back end less moves at most the stated share of the connections, for any of
        those sampled.
        """
        for n, m, k, most in (
            (10, 10, 3, 0.34),
            (50, 50, 10, 0.11),
            (200, 200, 20, 0.06),
            (200, 40, 10, 0.10),
            (40, 200, 20, 0.18),
        ):
            servers, back_ends = names("s", n), names("b", m)
            before = apertures(servers, back_ends, k)
            for i in range(0, n, max(1, n // 10)):
                after = apertures(servers[:i] + servers[i + 1 :], back_ends, k)
                self.assertLessEqual(moved_share(before, after), most, (n, m, k))
            for i in range(0, m, max(1, m // 10)):
                after = apertures(servers, back_ends[:i] + back_ends[i + 1 :], k)
                self.assertLessEqual(moved_share(before, after), most, (n, m, k))

    def test_zones(self):
        """A server takes back ends of its own zone first, and the rest evenly from other zones."""
        servers = {f"s{i}": f"z{i % 3}" for i in range(30)}
        back_ends = {f"b{i}": "z0" if i < 2 else f"z{1 + i % 2}" for i in range(22)}
        found = choose_subsets(servers, back_ends, 6)
        for server, subset in found.items():
            near = sum(back_ends[b] == servers[server] for b in subset)
            self.assertEqual((len(set(subset)), near), (6, 2 if servers[server] == "z0" else 6))
        uses = Counter(
            b
            for s, subset in found.items()
            if servers[s] == "z0"
            for b in subset
            if b not in ("b0", "b1")
        )
        self.assertLessEqual(max(uses.values()) - min(uses.values()), 1)
        self.assertEqual(choose_subsets(servers, {}, 3), dict.fromkeys(servers, ()))

    def test_two_views(self):
        """The subsets stay nearly even while half of the servers do not know yet that a server and
        a back end have left.
        """
        servers, back_ends = names("s", 200), names("b", 100)
        old, new = apertures(servers, back_ends, 10), apertures(servers[1:], back_ends[1:], 10)
        mixed = [old[s] if i % 2 else new[s] for i, s in enumerate(servers) if s in new]
        uses = Counter(b for subset in mixed for b in subset)
        self.assertLessEqual(max(uses.values()), 1.3 * 20)
        self.assertGreaterEqual(min(uses[b] for b in back_ends[1:]), 0.6 * 20)

    def test_flapping(self):
        """A back end that comes and goes moves no connections.

        One that has left for good is replaced, one move at a time.
        """
        subset = Subset(0, ("a", "b", "c"))
        for second in range(0, 60, 2):
            wanted = ("a", "b", "c") if second % 4 else ("a", "c", "d")
            self.assertEqual(subset.follow(second * 1_000_000, wanted), ("a", "b", "c"))
        self.assertEqual(subset.usable({"a", "c"}), ("a", "c"))
        now, seen = 60_000_000, []
        for step in range(100):
            seen.append(subset.follow(now + step * 100_000, ("a", "d", "e")))
        self.assertEqual(set(seen[-1]), {"a", "d", "e"})
        changes = [i for i in range(1, 100) if seen[i] != seen[i - 1]]
        self.assertGreaterEqual(changes[0] * 100_000, SETTLE_US)
        self.assertTrue(
            all((b - a) * 100_000 >= MOVE_INTERVAL_US for a, b in itertools.pairwise(changes))
        )


if __name__ == "__main__":
    unittest.main()
