"""The table of recent runs is bounded in time and in number."""

import unittest

from gullyoke.runtime.recent_runs import RecentRuns


class Bounds(unittest.TestCase):
    def test_expiry(self):
        """An id is known for the retention after its last run, and then leaves the table."""
        runs = RecentRuns(retention=100)
        runs.add("a", 0)
        runs.add("b", 50)
        runs.add("a", 60)
        self.assertTrue(runs.contains("a", 159) and runs.contains("b", 149))
        self.assertFalse(runs.contains("b", 150) or runs.contains("c", 0))
        runs.add("c", 155)
        self.assertEqual(len(runs), 2)
        runs.add("d", 300)
        self.assertEqual(len(runs), 1)

    def test_number(self):
        """Guards against a table that grows with the requests seen: the oldest ids go first."""
        runs = RecentRuns(retention=10**9, max_ids=3)
        for number in range(1000):
            runs.add(f"{number}", number)
        self.assertEqual(len(runs), 3)
        self.assertTrue(runs.contains("999", 1000) and runs.contains("997", 1000))
        self.assertFalse(runs.contains("996", 1000))


if __name__ == "__main__":
    unittest.main()
