"""One script through both fronts' bytes, with a stated clock.

The same decisions, action for action.
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


class Recorded:
    """A command executor, which writes down what it is told and does no work."""

    def __init__(self, dispatcher):
        self.dispatcher, self.said, self.due = dispatcher, [], None

    def execute(self, request, command):
        self.said.append((self.dispatcher.now, command, request.request_id))
        if isinstance(command, Reject | Fail):
            self.dispatcher.answer(request, command)

    def finished(self, request):
        self.said.append((self.dispatcher.now, "over", request.request_id))
        self.dispatcher.on_finished(request)

    def schedule_tick(self, after):
        self.due = self.dispatcher.now + after

    def set_health(self, good, cheap):
        self.said.append((self.dispatcher.now, "health", good))

    def set_load_signal(self, level): ...

    def set_idle_timeout(self, span): ...

    def log(self, text): ...

    def run_in_background(self, work):
        for _ in work:
            pass


class Played:
    """A script of arrivals, ends and gauges.

    `through(i)` says by which protocol the i-th req comes.
    """

    def __init__(self, script, through, cut=None):
        self.now, self.arrived = START, 0
        self.through, self.cut = through, cut
        facts = parse_site_facts(
            flatten_settings(site(target=600, timeout=2500, cores=2, grace=300))
        )
        with (
            mock.patch.object(clock, "now", lambda: self.now),
            mock.patch.object(
                clock, "age_of_unix_ms", lambda stamp: max(0, self.now - stamp * 1000)
            ),
        ):
            self.dispatcher = Dispatcher(facts, Metrics())
            self.executor = Recorded(self.dispatcher)
            self.dispatcher.open(self.executor, START - 20_000_000)
            for step in script:
                self.play(*step)

    def play(self, after, verb, *rest):
        until = self.now + after
        while self.executor.due is not None and self.executor.due <= until:
            self.now, self.executor.due = self.executor.due, None
            self.dispatcher.on_tick({"core_use": self.use, "on_cores": 3.0, "links": 3.0})
        self.now = until
        getattr(self, verb)(*rest)

    use = 0.5

    def busy(self, use):
        self.use = use

    def read(self, name, request_class, age, patience, key):
        by = self.through(self.arrived)
        self.arrived += 1
        fields = {"Accepted-At-Ms": str((self.now - age) // 1000), "Max-Wait-Ms": str(patience)}
        if key:
            fields["Replay-Key"] = key
        data = message(name, request_class, scgi=by is scgi, of=key, **fields)
        at = len(data) // 2 if self.cut is None else self.cut % len(data)
        got = by.read(Buffer(Pieces(data[:at], data[at:]), scgi.BUFFER))
        request_parsing.submit(
            self.dispatcher, request_parsing.parse_request(self.dispatcher, got, by.__name__)
        )

    def tell(self, name, word):
        request = self.dispatcher.requests.get(request_id(name))
        if request is not None:
            self.dispatcher.notify(request, word)

    def leave(self):
        self.dispatcher.begin_drain(1_500_000)


def a_script(seed, length=400):
    """Twice what two cores do, in bursts, with ends at random, slow spells and a drain at the
    end.
    """
    chance, script, names = random.Random(seed), [], []
    for i in range(length):
        after = chance.choice((0, 0, 1000, 15_000, 40_000))
        if i == length * 9 // 10:
            script.append((after, "leave"))
        elif chance.random() < 0.05:
            script.append((after, "busy", chance.choice((0.3, 0.95, 1.0))))
        elif chance.random() < 0.55 or not names:
            names.append(f"r{i}")
            request_class = chance.choice(("view", "book", "pay"))
            key = chance.choice(("k1", "k2", f"k{i}")) if request_class == "book" else None
            script.append(
                (
                    after,
                    "read",
                    names[-1],
                    request_class,
                    chance.choice((0, 5000, 400_000)),
                    chance.choice((300, 2500)),
                    key,
                )
            )
        else:
            word = chance.choice(
                (
                    RequestEvent.COMPLETED,
                    RequestEvent.COMPLETED,
                    RequestEvent.FAILED,
                    RequestEvent.CLIENT_DISCONNECTED,
                )
            )
            script.append((after, "tell", chance.choice(names[-6:]), word))
    return script


class Fronts(unittest.TestCase):
    def test_same_decisions(self):
        """Through HTTP/1.1, through SCGI, and mixed in any order: one sequence of decisions."""
        for seed in range(6):
            script, chance = a_script(seed), random.Random(seed)
            one = Played(script, lambda i: http).executor.said
            self.assertGreater(len(one), 300)
            kinds = {said[1] if isinstance(said[1], str) else type(said[1]) for said in one}
            self.assertLessEqual({Run, Reject, Enqueue, "over", RememberKey, "health"}, kinds)
            self.assertEqual(one, Played(script, lambda i: scgi).executor.said)
            for _ in range(3):
                order = [chance.choice((http, scgi)) for _ in script]
                self.assertEqual(one, Played(script, order.__getitem__).executor.said)

    def test_cuts(self):
        """Where the bytes are cut changes nothing, at any offset."""
        script = a_script(9, 40)
        one = Played(script, lambda i: http).executor.said
        for cut in range(1, 420):
            self.assertEqual(one, Played(script, lambda i: (http, scgi)[i % 2], cut).executor.said)


if __name__ == "__main__":
    unittest.main()
