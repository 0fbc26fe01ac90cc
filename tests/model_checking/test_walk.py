"""The explorer on a world with known states, and the explorations of quota leases and leases."""

import unittest

from gullyoke.fault_testing.script import read
from gullyoke.model_checking import lease_script, leases, quota_leases
from gullyoke.model_checking.explore import walked


class CountingWorld:
    """Two counters up to 4 that grow by one or two; a violation if both are at `forbidden`."""

    def __init__(self, forbidden):
        self.counts, self.forbidden = [0, 0], forbidden

    def moves(self):
        return [("up", i, by) for i in (0, 1) for by in (1, 2) if self.counts[i] + by <= 4]

    def make(self, move):
        self.counts[move[1]] += move[2]

    def key(self):
        return tuple(self.counts)

    def wrong(self):
        return "both forbidden" if self.counts == [self.forbidden] * 2 else None


class ExplorationTest(unittest.TestCase):
    def test_explorer(self):
        """Each state is seen once, a violation is found with the fewest moves, and limits hold."""
        whole = walked(CountingWorld(9), 20)
        self.assertEqual((whole.states, whole.whole, whole.found), (25, True, None))
        found = walked(CountingWorld(4), 20)
        self.assertEqual((found.found, len(found.way)), ("both forbidden", 4))
        self.assertEqual(found.script().count("up"), 4)
        self.assertEqual(walked(CountingWorld(4), 3).found, None)
        self.assertEqual(walked(CountingWorld(9), 20, 7)[:3:2], (7, False))

    def test_quota_leases(self):
        """No order of events brings more tokens in force than the lender has.

        The events are lost and late messages, restarts, two processes with one name, and clocks a
        tick apart. With any one of the guards removed, the exploration finds a violation.
        """
        states, violation = quota_leases.found(None, 4)
        self.assertIsNone(violation)
        self.assertGreater(states, 15_000)
        for guard in quota_leases.MUTANTS:
            with self.subTest(guard):
                self.assertIsNotNone(quota_leases.found(guard, 4)[1])

    def test_leases(self):
        """A lease never has two holders at once, and no epoch goes back, in any order of events.

        Nor is an act admitted after one of a newer epoch. The events are lost and late replies,
        stalls, restarts, wiped and failing disks, and clocks a tick apart. With any one of the
        guards removed, the exploration finds a violation.
        """
        states, violation = leases.found(None, 3)
        self.assertIsNone(violation)
        self.assertGreater(states, 6_000)
        for guard in leases.MUTANTS:
            with self.subTest(guard):
                self.assertIsNotNone(leases.found(guard, 3)[1])

    def test_scripts_of_starts(self):
        """The moves to each start of the exploration become a valid script with their faults."""
        faults = {
            "a voter lost its promises": "disk m1 lost",
            "a disk failed a promise": "disk m2 ill",
            "in the middle of an act": "late x 2.1",
            "a voter starts anew": "kill m1",
        }
        for name, way in leases.STARTS.items():
            text = lease_script.script(
                tuple(step.split()) for step in way.split(";") if step.strip()
            )
            script = read(text)
            self.assertEqual(
                (script.voters, [c.what for c in script.checks]), (3, ["held", "held"])
            )
            self.assertIn(faults.get(name, "heal"), text)


if __name__ == "__main__":
    unittest.main()
