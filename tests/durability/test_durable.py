"""Idempotency keys of real servers over restarts, on disks that fill up, fail, hang or vanish."""

import pathlib
import unittest

from test_scenarios import on_sockets

from gullyoke.fault_testing.play import Play
from gullyoke.fault_testing.script import read

HERE = pathlib.Path(__file__).parent


class DurabilityScenarios(unittest.TestCase):
    def test_scenarios(self):
        on_sockets(self, HERE)

    def test_fleet_with_full_disks_and_an_older_folder(self):
        """Four servers with idempotency keys, three of them voters.

        While the voters' disks are full, the holder of a lease is killed and another server gets
        the lease. Then the disks recover, and one server restarts with an older copy of its folder,
        which it must not believe.
        """
        verdict = Play(
            read("""
            members 4 zones 2 seed 5 load 6 voters 3 lease_ms 1000 uniqued 0.5
            at 0 heal
            by 6 held
            at 2 disk m3 copied
            at 2.5 kill m3
            at 4 start m3
            by 9 equal
            at 5 disk m0..m2 full
            by 8 disks m0..m2 full
            at 6.5 holder kill
            by 12 moved
            at 9 start m0..m3
            by 14 equal
            at 10 disk all well
            at 10.1 kill m3
            at 10.2 disk m3 restored
            at 12 start m3
            by 20 logged m3 keys not believed
            by 20 disks all well
            end 14""")
        ).run()
        self.assertTrue(verdict.good(), "\n".join(verdict.lines()))
        self.assertGreater(verdict.requests["keyed done"], 20)


if __name__ == "__main__":
    unittest.main()
