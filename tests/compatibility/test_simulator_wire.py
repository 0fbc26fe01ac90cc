"""The simulator's wire: recorded batches of three servers get the recorded replies."""
import io
import itertools
import pathlib
import subprocess
import sys
import unittest

from compatibility.recorded import DATA
from gullyoke.drill.batches import Malformed, play

ROOT = pathlib.Path(__file__).parents[2]
BATCHES = (DATA / "simulator-batches.txt").read_bytes()
REPLIES = (DATA / "simulator-replies.txt").read_text()

EVENTS = {"configure", "arrival", "finished", "needs", "call_done", "fired", "timed_out_client",
          "quiesce", "power_off"}
ACTIONS = {"start", "bounce", "error", "ask_below", "bypass", "keep", "forget", "answer_from",
           "suspend", "notify_me", "mark_health", "stamp", "keepalive", "log"}


def first_words(text):
    return {line.split(" ")[0] for line in text.splitlines()}


def replies_to(batches):
    """The reply lines, one list for each batch."""
    sink = io.StringIO()
    play(io.BytesIO(batches), sink)
    return by_batch(sink.getvalue())


def by_batch(text):
    replies, lines = [], []
    for line in text.splitlines():
        lines.append(line)
        if line.startswith("eor "):
            replies.append(lines)
            lines = []
    return replies


class SimulatorWire(unittest.TestCase):
    def test_recording_has_each_message(self):
        self.assertEqual(first_words(BATCHES.decode()) - {"frame", "on", "eob"}, EVENTS)
        self.assertEqual(first_words(REPLIES) - {"source", "eor"}, ACTIONS)

    def test_replies(self):
        """The first batch whose reply differs is shown."""
        recorded, found = by_batch(REPLIES), replies_to(BATCHES)
        for expected, lines in itertools.zip_longest(recorded, found):
            self.assertEqual(lines, expected)

    def test_command(self):
        """The command that the simulator starts gives the same output."""
        run = subprocess.run([sys.executable, "-m", "gullyoke.drill"], input=BATCHES, cwd=ROOT,
                             capture_output=True, timeout=60, check=True)
        self.assertEqual(run.stdout.decode(), REPLIES)
        self.assertEqual(run.stderr, b"")

    def test_empty_batch(self):
        self.assertEqual(replies_to(b"frame TimeUs=5 seq=1\neob\n"), [["eor seq=1"]])

    def test_broken_lines_are_refused(self):
        for text in (b"eob\n", b"frame TimeUs=5 seq=1\n", b"frame TimeUs=5 seq=1\narrival Tid=1\n",
                     b"frame TimeUs=5 seq=1\non Who=server_0\nwhat Tid=1\n",
                     b"frame TimeUs=5 seq=1\non Who=server_0\nconfigure Entropy=1\n"):
            with self.subTest(text), self.assertRaises(Malformed):
                replies_to(text)


if __name__ == "__main__":
    unittest.main()
