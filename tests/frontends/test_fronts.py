"""Replays one script of requests through both protocols, with a simulated clock.

The admission controller must take the same decisions, command for command.
"""

import random
import unittest
from unittest import mock

from standins import message, request_id, site
from test_scenarios import Pieces

from gullyoke.admission.interface import Enqueue, Fail, Reject, RememberKey, RequestEvent, Run
from gullyoke.codec import http, scgi
from gullyoke.codec.buffer import Buffer
from gullyoke.frontends import request_parsing
from gullyoke.runtime import clock
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.metrics import Metrics
from gullyoke.settings.reader import flatten_settings
from gullyoke.settings.site_settings import parse_site_facts

START = 1_764_576_000_000_000


class RecordingExecutor:
    """A command executor that records the commands and runs nothing."""

    def __init__(self, dispatcher):
        self.dispatcher, self.recorded, self.next_tick_at = dispatcher, [], None

    def execute(self, request, command):
        self.recorded.append((self.dispatcher.now, command, request.request_id))
        if isinstance(command, Reject | Fail):
            self.dispatcher.answer(request, command)

    def finished(self, request):
        self.recorded.append((self.dispatcher.now, "over", request.request_id))
        self.dispatcher.on_finished(request)

    def schedule_tick(self, after):
        self.next_tick_at = self.dispatcher.now + after

    def set_health(self, good, cheap):
        self.recorded.append((self.dispatcher.now, "health", good))

    def set_load_signal(self, level): ...

    def set_idle_timeout(self, span): ...

    def log(self, text): ...

    def run_in_background(self, work):
        for _ in work:
            pass


class ReplayedScript:
    """A script of arrivals, events and gauges that is replayed with a simulated clock.

    `protocol_of(i)` is the codec of the i-th request; `cut` is the offset at which its bytes are
    split, by default the middle.
    """

    def __init__(self, script, protocol_of, cut=None):
        self.now, self.arrived = START, 0
        self.protocol_of, self.cut = protocol_of, cut
        site_facts = parse_site_facts(
            flatten_settings(site(target=600, timeout=2500, cores=2, grace=300))
        )
        with (
            mock.patch.object(clock, "now", lambda: self.now),
            mock.patch.object(
                clock, "age_of_unix_ms", lambda stamp: max(0, self.now - stamp * 1000)
            ),
        ):
            self.dispatcher = Dispatcher(site_facts, Metrics())
            self.executor = RecordingExecutor(self.dispatcher)
            self.dispatcher.create_controller(self.executor, START - 20_000_000)
            for step in script:
                self.replay_step(*step)

    def replay_step(self, after, verb, *rest):
        until = self.now + after
        while self.executor.next_tick_at is not None and self.executor.next_tick_at <= until:
            self.now, self.executor.next_tick_at = self.executor.next_tick_at, None
            self.dispatcher.on_tick({"core_use": self.use, "on_cores": 3.0, "links": 3.0})
        self.now = until
        getattr(self, verb)(*rest)

    use = 0.5

    def busy(self, use):
        self.use = use

    def read(self, name, request_class, age_us, max_wait_ms, key):
        by = self.protocol_of(self.arrived)
        self.arrived += 1
        fields = {
            "Accepted-At-Ms": str((self.now - age_us) // 1000),
            "Max-Wait-Ms": str(max_wait_ms),
        }
        if key:
            fields["Replay-Key"] = key
        data = message(name, request_class, scgi=by is scgi, of=key, **fields)
        at = len(data) // 2 if self.cut is None else self.cut % len(data)
        parsed = by.read(Buffer(Pieces(data[:at], data[at:]), scgi.MAX_MESSAGE_BYTES))
        request_parsing.submit(
            self.dispatcher, request_parsing.parse_request(self.dispatcher, parsed, by.__name__)
        )

    def notify(self, name, event):
        request = self.dispatcher.requests.get(request_id(name))
        if request is not None:
            self.dispatcher.notify(request, event)

    def begin_drain(self):
        self.dispatcher.begin_drain(self.now, self.now + 1_500_000)


def random_script(seed, length=400):
    """Return a script with twice the load that two cores can serve.

    Requests arrive in bursts and end at random; the gauges vary, and a drain begins near the end.
    """
    rng, script, names = random.Random(seed), [], []
    for i in range(length):
        after = rng.choice((0, 0, 1000, 15_000, 40_000))
        if i == length * 9 // 10:
            script.append((after, "begin_drain"))
        elif rng.random() < 0.05:
            script.append((after, "busy", rng.choice((0.3, 0.95, 1.0))))
        elif rng.random() < 0.55 or not names:
            names.append(f"r{i}")
            request_class = rng.choice(("view", "book", "pay"))
            key = rng.choice(("k1", "k2", f"k{i}")) if request_class == "book" else None
            script.append(
                (
                    after,
                    "read",
                    names[-1],
                    request_class,
                    rng.choice((0, 5000, 400_000)),
                    rng.choice((300, 2500)),
                    key,
                )
            )
        else:
            event = rng.choice(
                (
                    RequestEvent.COMPLETED,
                    RequestEvent.COMPLETED,
                    RequestEvent.FAILED,
                    RequestEvent.CLIENT_DISCONNECTED,
                )
            )
            script.append((after, "notify", rng.choice(names[-6:]), event))
    return script


class Fronts(unittest.TestCase):
    def test_same_decisions(self):
        """The decisions are the same by HTTP/1.1, by SCGI, and by both mixed in any order."""
        for seed in range(6):
            script, rng = random_script(seed), random.Random(seed)
            expected = ReplayedScript(script, lambda i: http).executor.recorded
            self.assertGreater(len(expected), 300)
            kinds = {
                recorded[1] if isinstance(recorded[1], str) else type(recorded[1])
                for recorded in expected
            }
            self.assertLessEqual({Run, Reject, Enqueue, "over", RememberKey, "health"}, kinds)
            self.assertEqual(expected, ReplayedScript(script, lambda i: scgi).executor.recorded)
            for _ in range(3):
                order = [rng.choice((http, scgi)) for _ in script]
                self.assertEqual(
                    expected, ReplayedScript(script, order.__getitem__).executor.recorded
                )

    def test_cuts(self):
        """The decisions are the same wherever the bytes of the requests are split."""
        script = random_script(9, 40)
        expected = ReplayedScript(script, lambda i: http).executor.recorded
        for cut in range(1, 420):
            self.assertEqual(
                expected,
                ReplayedScript(script, lambda i: (http, scgi)[i % 2], cut).executor.recorded,
            )


if __name__ == "__main__":
    unittest.main()
