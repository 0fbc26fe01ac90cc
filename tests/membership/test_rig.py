"""Fault tests with real processes on loopback, and the parsing of their scripts."""

import pathlib
import socket
import tempfile
import unittest

from gullyoke.experiments.ports import free, until
from gullyoke.fault_testing.faults import Faults
from gullyoke.fault_testing.play import Play
from gullyoke.fault_testing.report import write
from gullyoke.fault_testing.script import ScriptError, read

ROOT = pathlib.Path(__file__).parents[2]

PLAY = """
members 5 zones 5 seed 3 load 8
at 0.5 kill m1
by 4 gone m1
at 3.5 start m1
by 7 equal
at 6 pause m3 3
at 9.5 loss 0.2
at 12.5 heal
by 15 equal
at 13 cut m0..m3 -> m4
by 19.5 gone m4
at 19.5 heal
by 28 equal
at 26 stop m0
by 30 gone m0
never removed m0 m2 m3
end 28
"""


ROLLING = """
members 5 zones 5 seed 4 load 8
at 0.5 cut m0,m1 <> m2..m4
by 7 gone m0,m1
at 7 heal
by 16 equal
at 13 stop m2
by 15.5 gone m2
at 15.5 start m2
by 19 equal
at 19 stop m3
by 21.5 gone m3
at 21.5 start m3
by 26 equal
never removed m2 m3 m4
end 26
"""


class Rig(unittest.TestCase):
    def test_split_and_rolling(self):
        """A partition into two and three members, its end, and a rolling restart.

        The smaller side removes no member, a drained member is not counted as removed, and every
        request is answered once.
        """
        verdict = Play(read(ROLLING)).run()
        self.assertTrue(verdict.good(), [check for check in verdict.held if not check.held])
        self.assertEqual(
            {outcome for outcome in verdict.requests if outcome in ("none", "twice", "late")}, set()
        )

    def test_faults(self):
        """A killed process, a pause of 3 s, loss, a member that receives nothing, and a drain.

        Healthy members stay in all views, each fault is detected in time, and every request is
        answered once.
        """
        script = read(PLAY)
        verdict = Play(script).run()
        self.assertTrue(verdict.good(), [check for check in verdict.held if not check.held])
        self.assertGreater(verdict.requests["done"], 500)
        self.assertEqual(
            {outcome for outcome in verdict.requests if outcome in ("none", "twice", "late")}, set()
        )
        with tempfile.TemporaryDirectory() as folder:
            paths = write(verdict, script, pathlib.Path(folder))
            self.assertTrue(all(path.stat().st_size > 500 for path in paths))

    def test_unmet_conditions_are_reported(self):
        """Guards against a rig that reports every condition as met."""
        verdict = Play(
            read(
                "members 2 zones 1 seed 1 load 4\nat 0.2 kill m1\nby 1 stage m0 out\n"
                "never removed m1\nend 3"
            )
        ).run()
        self.assertEqual(
            [check.held for check in verdict.held if check.what.startswith(("by", "never"))],
            [False, False],
        )

    def test_scripts(self):
        """The example script is valid; errors name an invalid line and the valid alternatives."""
        read((ROOT / "deploy/faults.play").read_text())
        for text, message in (
            ("members x", "line 1: 'x'"),
            ("at 1 explode m1", "kill, down"),
            ("at 1 pause m1", "pause with 1 words"),
            ("by 2", "by SECONDS"),
            ("hello", "members, at"),
            ("members 99", "1 to 50"),
        ):
            with self.subTest(text), self.assertRaisesRegex(ScriptError, message):
                read(text)

    def test_ports(self):
        """Addresses are unique, unused, and below the range from which the system assigns ports."""
        addresses = [free() for _ in range(40)]
        with socket.create_server(("127.0.0.1", 0)) as server:
            self.assertTrue(all(port < server.getsockname()[1] for _, port in addresses))
        self.assertTrue(all(port < until() for _, port in addresses))
        self.assertEqual(len(set(addresses)), 40)
        with socket.create_server(addresses[0]):
            self.assertNotIn(addresses[0], [free() for _ in range(40)])

    def test_cut(self):
        """A cut affects only its pairs and directions."""
        script = read("members 3 zones 3 seed 1\nat 1 cut m0 -> m1,m2\nat 2 heal\nend 3")
        faults = Faults(script)
        faults.take(script.faults[0])
        self.assertEqual(
            [faults.fate(a, b) == [] for a, b in (("m0", "m1"), ("m0", "m2"), ("m1", "m0"))],
            [True, True, False],
        )
        faults.take(script.faults[1])
        self.assertEqual(len(faults.fate("m0", "m1")), 1)


if __name__ == "__main__":
    unittest.main()
