"""Configurations with numbers that no program can use, at the start and at a reload."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import unittest

from standins import ROOT, TIMEOUT_S, Sockets

from gullyoke.executors.engine_protocol import parse_gauge
from gullyoke.runtime.close_reasons import ConnectionClosedError

NESTED = "[" * 100_000 + "]" * 100_000
#: A key, its JSON text, and what the fault must name.
FAULTS = [
    ("stop_ms", "Infinity", "'stop_ms' is inf"),
    ("stop_ms", "NaN", "'stop_ms' is nan"),
    ("stop_ms", "1e999", "'stop_ms' is inf"),
    ("stop_ms", "1" + "0" * 400, "'stop_ms' is 1000"),
    ("stop_ms", "1" + "0" * 5000, "NODE_CONFIG"),
    ("stop_ms", NESTED, "NODE_CONFIG"),
    ("limits.sockets", "-Infinity", "'limits.sockets' is -inf"),
    ("settings.FamilyInfo.LingerUs", "1e300", "'FamilyInfo.LingerUs' is '1e+300'"),
    ("settings.FamilyInfo.MemoryKb", "NaN", "'FamilyInfo.MemoryKb' is 'nan'"),
    ("settings.FamilyInfo.ClassSkipWorth", "[NaN, 1]", "'FamilyInfo.ClassSkipWorth' is 'nan,1'"),
    ("settings.Rules.DrainGraceUs", "1e308", "'Rules.DrainGraceUs' is '1e+308'"),
]


def with_value(text, path, value):
    """Return the text of a configuration with another JSON text as the value of a key."""
    whole = json.loads(text)
    *way, last = path.split(".")
    inner = whole
    for key in way:
        inner = inner[key]
    inner[last] = "VALUE"
    return json.dumps(whole).replace('"VALUE"', value)


class Numbers(unittest.TestCase):
    def test_start(self):
        """The start ends with one line that names the key and the value, and with exit code 2."""
        with contextlib.closing(Sockets()) as scene:
            scene.configure_file()
            config = pathlib.Path(scene.config)
            text = config.read_text()
            for path, value, named in FAULTS:
                with self.subTest(path, value=value[:20]):
                    config.write_text(with_value(text, path, value))
                    got = subprocess.run(
                        [sys.executable, "-m", "gullyoke"],
                        cwd=ROOT,
                        env=os.environ | {"NODE_CONFIG": scene.config},
                        capture_output=True,
                        text=True,
                        timeout=TIMEOUT_S,
                    )
                    self.assertEqual(got.returncode, 2, got.stderr[-600:])
                    self.assertEqual(got.stderr.count("\n"), 1, got.stderr[-600:])
                    self.assertIn(named, got.stderr)
            config.unlink()

    def test_reload(self):
        """A reload keeps the configuration in force and says why, and the process goes on."""
        with contextlib.closing(Sockets()) as scene:
            scene.line("engine up warm".split())
            config = pathlib.Path(scene.config)
            text = config.read_text()
            for path, value, named in FAULTS:
                with self.subTest(path, value=value[:20]):
                    scene.lines.clear()
                    config.write_text(with_value(text, path, value))
                    scene.process.send_signal(signal.SIGHUP)
                    scene.said('event="configuration kept"')
                    self.assertIn(named, scene.lines[-1])
                    scene.line("ping 200".split())
            config.write_text(text)
            scene.process.send_signal(signal.SIGHUP)
            scene.said('event="configuration read"')

    def test_gauges(self):
        """A gauge that is no finite number ends the link; the decisions never see it."""
        self.assertEqual(parse_gauge("0.5"), 0.5)
        for text in ("nan", "inf", "-inf", "1e999"):
            with self.assertRaisesRegex(ConnectionClosedError, "not a number"):
                parse_gauge(text)


if __name__ == "__main__":
    unittest.main()
