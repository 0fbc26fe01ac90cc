"""The simulator's wire protocol: recorded batches for three servers get the recorded replies."""

import io
import itertools
import pathlib
import subprocess
import sys
import unittest
from unittest import mock

from compatibility.recorded import DATA
from gullyoke.admission.interface import Gauges
from gullyoke.simulator_adapter.batches import BatchReader, answer_batches
from gullyoke.simulator_adapter.wire import MalformedMessageError

CONFIGURE = next(
    line
    for line in (DATA / "simulator-batches.txt").read_text().splitlines()
    if line.startswith("configure ")
)
ROOT = pathlib.Path(__file__).parents[2]
BATCHES = (DATA / "simulator-batches.txt").read_bytes()
REPLIES = (DATA / "simulator-replies.txt").read_text()

EVENTS = {
    "configure",
    "arrival",
    "finished",
    "needs",
    "call_done",
    "fired",
    "timed_out_client",
    "quiesce",
    "power_off",
}
ACTIONS = {
    "start",
    "bounce",
    "error",
    "ask_below",
    "bypass",
    "keep",
    "forget",
    "answer_from",
    "suspend",
    "notify_me",
    "mark_health",
    "stamp",
    "keepalive",
    "log",
}


def first_words(text):
    return {line.split(" ")[0] for line in text.splitlines()}


def replies_to(batches):
    """Return the reply lines, one list for each batch."""
    sink = io.StringIO()
    answer_batches(io.BytesIO(batches), sink)
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
        """Each batch gets the recorded reply; a failure shows the first reply that differs."""
        recorded, found = by_batch(REPLIES), replies_to(BATCHES)
        for expected, lines in itertools.zip_longest(recorded, found):
            self.assertEqual(lines, expected)

    def test_command(self):
        """The command that the simulator starts writes the recorded replies."""
        run = subprocess.run(
            [sys.executable, "-m", "gullyoke.simulator_adapter"],
            input=BATCHES,
            cwd=ROOT,
            capture_output=True,
            timeout=60,
            check=True,
        )
        self.assertEqual(run.stdout.decode(), REPLIES)
        self.assertEqual(run.stderr, b"")

    def test_arrival_fields(self):
        """Each field of an arrival sets its attribute, and an absent one leaves the default."""
        reader = BatchReader()
        for line in (
            "frame TimeUs=1000000 seq=1",
            "on Who=server_0",
            CONFIGURE,
            "arrival Tid=00000000000000a1 Type=book",
            "eob",
            "frame TimeUs=2000000 seq=2",
            "on Who=server_0",
            "arrival Tid=00000000000000a2 NotAfterUs=2700000 BacklogTimeUs=1850 "
            "Update=1 Footprint=24.5 Resent=1 Forerunner=00000000000000a1 NameKey=k:7 "
            "Type=view Standing=0.625 SrcPeer=17 Owner=acme CostUs=12000",
        ):
            reader.read_line(line)
        first, second = reader.servers["server_0"].requests.values()
        self.assertEqual(
            (
                first.request_id,
                first.request_class.name,
                first.arrived,
                first.deadline,
                first.memory_kb,
            ),
            ("00000000000000a1", "book", 1_000_000, 2_200_000, 0.0),
        )
        self.assertEqual(
            (
                first.is_retry,
                first.duplicate_of,
                first.has_key,
                first.tenant,
                first.cost_hint,
                first.rank,
            ),
            (False, None, False, None, 0, 0.0),
        )
        self.assertEqual(
            (
                second.request_id,
                second.request_class.name,
                second.arrived,
                second.deadline,
                second.memory_kb,
            ),
            ("00000000000000a2", "view", 1_998_150, 2_700_000, 24.5),
        )
        self.assertEqual(
            (
                second.is_retry,
                second.duplicate_of,
                second.has_key,
                second.tenant.name,
                second.cost_hint,
                second.rank,
            ),
            (True, first, True, "acme", 12_000, 0.625),
        )

    def test_truth_values(self):
        reader = BatchReader()
        for line in ("frame TimeUs=1000000 seq=1", "on Who=server_0", CONFIGURE):
            reader.read_line(line)
        for request_id, (text, value) in enumerate(
            (("1", True), ("0", False), ("true", True), ("false", False))
        ):
            reader.read_line(f"arrival Tid={request_id:016x} Type=view Resent={text}")
            self.assertIs(reader.servers["server_0"].requests[f"{request_id:016x}"].is_retry, value)

    def test_gauges(self):
        """Gauges are read by their names; an absent one is None."""
        reader = BatchReader()
        for line in ("frame TimeUs=1000000 seq=1", "on Who=server_0", CONFIGURE):
            reader.read_line(line)
        stub = reader.servers["server_0"].controller = mock.MagicMock()
        for text, gauges in (
            ("core_use:0.62,on_cores:3,heap_share:0.41,links:120", Gauges(0.62, 3.0, 120.0)),
            ("links:7", Gauges(None, None, 7.0)),
        ):
            reader.read_line(f"fired Token=1 Telemetry={text}")
            stub.on_tick.assert_called_with(1_000_000, gauges)

    def test_empty_batch(self):
        self.assertEqual(replies_to(b"frame TimeUs=5 seq=1\neob\n"), [["eor seq=1"]])

    def test_malformed_lines_are_refused(self):
        for text in (
            b"eob\n",
            b"frame TimeUs=5 seq=1\n",
            b"frame TimeUs=5 seq=1\narrival Tid=1\n",
            b"frame TimeUs=5 seq=1\non Who=server_0\nwhat Tid=1\n",
            b"frame TimeUs=5 seq=1\non Who=server_0\nconfigure Entropy=1\n",
        ):
            with self.subTest(text), self.assertRaises(MalformedMessageError):
                replies_to(text)


if __name__ == "__main__":
    unittest.main()
