"""Runs the scenarios of this folder on the admission controller, and on real servers.

The notation of scenarios is in tests/README.md.
"""

import contextlib
import io
import json
import logging
import pathlib
import queue
import tempfile
import unittest
from concurrent.futures import ThreadPoolExecutor
from unittest import mock

from standins import Sockets, site

from gullyoke.admission.controller import AdmissionController
from gullyoke.admission.interface import (
    FAIL,
    RUN,
    Await,
    AwaitDuplicate,
    CallDependency,
    Cancel,
    DependencyFacts,
    Enqueue,
    Fail,
    Fleet,
    ForgetKey,
    Gauges,
    Idempotency,
    Limits,
    Machine,
    Permissions,
    Reject,
    RememberKey,
    Request,
    RequestClass,
    RequestEvent,
    Run,
    SiteFacts,
    SkipDependencyCall,
    StopMode,
    Tenant,
)
from gullyoke.admission.learner import Learner
from gullyoke.admission.timing import TICK_US as TICK
from gullyoke.codec import http, lines
from gullyoke.codec.buffer import Buffer
from gullyoke.daemon.command_router import CommandRouter
from gullyoke.daemon.configuration import load_configuration
from gullyoke.errors import ConfigurationError
from gullyoke.runtime import clock
from gullyoke.runtime.close_reasons import (
    CloseReason,
    ConnectionClosedError,
    PeerKind,
    event_for_closed,
)
from gullyoke.runtime.dispatcher import Dispatcher
from gullyoke.runtime.logs import RateLimitedQueueHandler
from gullyoke.runtime.metrics import Metrics
from gullyoke.settings.reader import flatten_settings
from gullyoke.settings.site_settings import parse_site_facts
from gullyoke.simulator_adapter import batches
from gullyoke.simulator_adapter.wire import MalformedMessageError

HERE = pathlib.Path(__file__).parent
WORDS = {
    "go": RequestEvent.ADMITTED,
    "out": RequestEvent.EVICTED,
    "late": RequestEvent.DEADLINE_NEAR,
    "gone": RequestEvent.CLIENT_DISCONNECTED,
    "done": RequestEvent.COMPLETED,
    "errored": RequestEvent.FAILED,
    "stopped": RequestEvent.CANCELLED,
    "moot": RequestEvent.NOT_STARTED,
    "unrun": RequestEvent.NO_CAPACITY,
    "needs": RequestEvent.DEPENDENCY_CALL_NEEDED,
    "call-ok": RequestEvent.CALL_SUCCEEDED,
    "call-unrun": RequestEvent.CALL_NOT_SENT,
    "call-lost": RequestEvent.CALL_OUTCOME_UNKNOWN,
    "call-spoilt": RequestEvent.CALL_REPLY_LOST,
    "call-unconfirmed": RequestEvent.CALL_REPLY_UNCONFIRMED,
}
COMMANDS = {
    Enqueue: "hold",
    Run: "run",
    Await: "wait",
    CallDependency: "call",
    SkipDependencyCall: "skip",
    AwaitDuplicate: "reuse",
    Cancel: "stop",
    RememberKey: "keep",
    ForgetKey: "forget",
    Reject: "shed",
    Fail: "fail",
}
ENDS = ("done", "errored", "stopped", "moot")


class TrippedError(Exception):
    """The error that a scenario raises by `trip`, in place of a command."""


class Named(Request):
    __slots__ = ("name",)


def numbers(parts):
    """Parse key=value pairs; values that look like numbers become floats."""
    out = {}
    for key, value in (p.split("=", 1) for p in parts):
        out[key] = float(value) if value.replace(".", "", 1).isdigit() else value
    return out


class Scene:
    """Runs a scenario on one admission controller.

    It executes the controller's commands, feeds it the script's events and checks the results.
    """

    def __init__(self):
        self.given = {
            "cores": 2,
            "memory": 1e6,
            "blowup": 4,
            "key": 0,
            "cold": 0,
            "stop": "never",
            "tip": 8,
            "share": "none",
            "tells": 0,
            "fresh": 0,
            "retry": 1000,
            "stamp": None,
            "fleet": 1,
            "grace": 1000,
            "work": 0,
            "over": 0.1,
            "linger": 200,
            "callers": 1,
        }
        self.request_classes, self.tenants, self.requests = {}, {}, {}
        self.server, self.now, self.due, self.core_use, self.links = None, 0, None, 1.0, None
        self.said, self.history, self.notes, self.most = [], [], {}, 0
        self.running, self.trip = set(), None

    # What the controller calls.

    def execute(self, request, command):
        text = f"{COMMANDS[type(command)]} {request.name}"
        if text == self.trip:
            raise TrippedError(text)
        if isinstance(command, CallDependency | RememberKey | Reject):
            self.notes[request.name] = command
        if isinstance(command, Enqueue | Await):
            return
        self.said.append(text)
        self.history.append((self.now, text))
        if command is RUN:
            self.running.add(request.name)

    def finished(self, request):
        self.running.discard(request.name)

    def schedule_tick(self, after):
        self.due = self.now + after

    def set_health(self, good, cheap):
        self.history.append((self.now, f"health {'good' if good else 'bad'}"))

    def set_load_signal(self, level):
        self.history.append((self.now, f"stamp {level}"))

    def set_idle_timeout(self, span):
        self.history.append((self.now, f"idle {span}"))

    def log(self, text):
        pass

    def run_in_background(self, work):
        for _ in work:
            pass

    # The script.

    def open(self):
        g = self.given
        machine = Machine(
            int(g["cores"]),
            g["memory"],
            g["blowup"],
            g["key"],
            bool(g["cold"]),
            StopMode(g["stop"]),
            (),
        )
        limits = Limits(
            80_000, int(g["grace"] * 1000), g["tip"], 1_500_000, 0.25, int(g["cold"] * 1000)
        )
        share, span = (None, 0) if g["share"] == "none" else (g["share"], 5_000_000)
        permissions = Permissions(
            g["retry"] > 0,
            int(g["retry"] * 1000),
            g["stamp"],
            1_000_000,
            bool(g["tells"]),
            True,
            False,
            False,
            30_000_000,
        )
        facts = SiteFacts(
            list(self.request_classes.values()),
            list(self.tenants.values()),
            machine,
            limits,
            DependencyFacts(True, share, span, int(g["linger"] * 1000)),
            permissions,
            Fleet(
                int(g["fleet"]),
                bool(g["work"]),
                g["over"],
                int(g["fresh"] * 1000),
                int(g["callers"]),
            ),
        )
        self.server = AdmissionController(self.now, self, facts)

    def until(self, time):
        """Advance the clock to `time` and run the ticks that are due."""
        while self.due is not None and self.due <= time:
            self.now, self.due = self.due, None
            self.server.on_tick(self.now, Gauges(self.core_use, len(self.running), self.links))
            self.server.dispatch(self.now)
        self.now = time

    def line(self, parts):
        verb = parts[0]
        if verb == "server":
            self.given.update(numbers(parts[1:]))
        elif verb == "handler":
            n = {
                "target": 1000,
                "timeout": 4000,
                "value": 1,
                "kind": "replayable",
                "late": 0,
                "window": 5000,
                "calls": 1,
                "skip": 0,
            }
            n.update(numbers(parts[2:]))
            self.request_classes[parts[1]] = RequestClass(
                parts[1],
                int(n["target"] * 1000),
                int(n["timeout"] * 1000),
                n["value"],
                Idempotency(n["kind"]),
                n["late"],
                int(n["window"] * 1000),
                bool(n["calls"]),
                n["skip"],
                0,
            )
        elif verb == "customer":
            self.tenants[parts[1]] = Tenant(parts[1], float(parts[2]))
        elif verb == ">":
            wanted = [x.strip() for x in " ".join(parts[1:]).split(";") if x.strip()]
            assert self.said == wanted, f"wanted {wanted}, got {self.said}"
        elif verb in ("never", "once", "some"):
            text = " ".join(parts[1:])
            count = sum(said == text or said.startswith(text + " ") for _, said in self.history)
            right = {"never": count == 0, "once": count == 1, "some": count > 0}[verb]
            assert right, f"{count} times '{text}'"
        elif verb == "answered":
            early, late = (int(x) * 1000 for x in parts[2].split("-"))
            times = [
                t for t, said in self.history if said in (f"shed {parts[1]}", f"fail {parts[1]}")
            ]
            assert len(times) == 1 and early <= times[0] <= late, f"{parts[1]} answered at {times}"
        elif verb == "most":
            assert self.most == int(parts[1]), f"most running was {self.most}"
        elif verb == "note":
            wanted = numbers(parts[2:])
            for key, value in wanted.items():
                got = getattr(self.notes[parts[1]], key)
                assert got == value or got is (value == "yes"), f"{key} of {parts[1]} is {got}"
        else:
            raise AssertionError(f"unknown '{verb}'")

    def event(self, time, parts):
        if self.server is None:
            self.open()
        self.until(time)
        self.said = []
        verb = parts[0]
        if verb == "read":
            self.read(parts[1:])
        elif verb == "trip":
            self.trip = " ".join(parts[1:])
        elif verb == "busy":
            self.core_use = float(parts[1])
            self.until((time // TICK + 1) * TICK)
        elif verb in ("shut", "open"):
            self.request_classes[parts[1]].accepting = verb == "open"
        elif verb == "links":
            self.links = float(parts[1])
        elif verb == "leave":
            self.server.begin_drain(self.now, int(parts[1]) * 1000)
        elif verb in WORDS:
            for name in parts[1:]:
                self.server.on_event(self.now, self.requests[name], WORDS[verb])
                if verb == "needs" or verb in ENDS:
                    self.running.discard(name)
                if verb == "call-ok":
                    self.running.add(name)
        elif verb != "wait":
            raise AssertionError(f"unknown '{verb}'")
        with contextlib.suppress(TrippedError):
            self.server.dispatch(self.now)
        self.most = max(self.most, len(self.running))

    def read(self, parts):
        """Read NAME[xN] HANDLER [age=ms] [kb=n] [due=ms] [prior=NAME] [customer=NAME]."""
        first, _, times = parts[0].partition("x")
        request_class, n = self.request_classes[parts[1]], numbers(parts[2:])
        for i in range(int(times or 1)):
            arrived = self.now - int(n.get("age", 0) * 1000)
            due = int(n["due"] * 1000) if "due" in n else arrived + request_class.timeout
            prior = self.requests.get(n.get("prior"))
            request = Named(
                request_class,
                arrived,
                due,
                n.get("kb", 10),
                duplicate_of=prior,
                tenant=self.tenants.get(n.get("customer")),
            )
            request.name = f"{first}{i + 1}" if times else first
            self.requests[request.name] = request
            self.server.on_request(self.now, request)

    def play(self, parts):
        if parts[0].isdigit():
            self.event(int(parts[0]) * 1000, parts[1:])
        else:
            self.line(parts)


def play(path, step):
    for number, raw in enumerate(path.read_text().splitlines(), 1):
        parts = raw.split("#")[0].split()
        if not parts:
            continue
        try:
            step(parts)
        except (AssertionError, OSError, queue.Empty) as fault:
            raise AssertionError(f"{path.name}:{number}: {raw.strip()}: {fault!r}") from None


def on_sockets(case, folder):
    """Run a folder's scenarios on real servers, three at once since they mostly wait."""

    def one(path):
        with contextlib.closing(Sockets()) as scene:
            play(path, scene.line)

    paths = sorted(folder.glob("*.txt"))
    case.assertTrue(paths)
    with ThreadPoolExecutor(3) as pool:
        for path, going in [(path, pool.submit(one, path)) for path in paths]:
            with case.subTest(path.stem):
                going.result()


class Pieces:
    """A receive function for a buffer that returns these pieces, one after another."""

    def __init__(self, *pieces):
        self.pieces = [p for p in pieces[:-1] if p] + [pieces[-1]]

    def __call__(self, view, begun):
        piece = self.pieces[0][: len(view)]
        view[: len(piece)] = piece
        self.pieces[0] = self.pieces[0][len(piece) :]
        if not self.pieces[0] and len(self.pieces) > 1:
            self.pieces.pop(0)
        return len(piece)


class Scenarios(unittest.TestCase):
    def test_malformed_simulator_input(self):
        """Malformed simulator input raises an error that names the line.

        The end of the input between two batches is no error.
        """
        frame = "frame TimeUs=5 seq=1\n"
        self.assertEqual(
            self.wire(frame + "eob\nframe TimeUs=9 seq=2\neob\n"), "eor seq=1\neor seq=2\n"
        )
        for text, said in (
            ("eob\n", "line 1: 'eob' outside"),
            (frame + "on\n", "line 2: missing"),
            (frame + "on Who=server_1\nshout a=1\n", "line 3: unknown message"),
            (frame + "on Who=server_1\nneeds Tid=1\n", "line 3: 'needs' for"),
            (frame + "eob\nframe TimeUs=4 seq=2\n", "line 3: batch 2"),
            (frame, "the input ended inside"),
            (frame + "on x\n", "line 2: 'x' is not"),
            ("frame TimeUs=x seq=1\n", "line 1: invalid literal"),
        ):
            with self.subTest(text), self.assertRaisesRegex(MalformedMessageError, said):
                self.wire(text)

    @staticmethod
    def wire(text):
        out = io.StringIO()
        batches.answer_batches(io.BytesIO(text.encode()), out)
        return out.getvalue()

    def test_split_messages(self):
        """A message split at any byte, with another behind it, reads like a whole one.

        A reader that took one receive for one message would lose or mix up bytes.
        """
        request = b"POST /call/view HTTP/1.1\r\nTrace-Id: 0a\r\nContent-Length: 4\r\n\r\nA\r\nB"
        notice = b"DONE 7 0a ok 12 3\r\n\n\r\n\r\n"
        for at in range(1, len(request) + 1):
            buffer = Buffer(
                Pieces(request[:at], request[at:] + request, b""), http.MAX_MESSAGE_BYTES
            )
            first, again = http.read(buffer), http.read(buffer)
            self.assertEqual(first, again)
            self.assertEqual((first.start_line[1], first.fields["trace-id"]), ("/call/view", "0a"))
            self.assertEqual(first.body, b"A\r\nB")
            self.assertIsNone(http.read(buffer))
        for at in range(1, len(notice) + 1):
            buffer = Buffer(
                Pieces(notice[:at], notice[at:] + notice, b""),
                lines.MAX_MESSAGE_BYTES,
            )
            for _ in range(2):
                self.assertEqual(lines.read(buffer), ["DONE", "7", "0a", "ok", "12", "3"])
                self.assertEqual(lines.read_body(buffer, "3"), b"\n\r\n")
            self.assertIsNone(lines.read(buffer))
            if at < len(notice):
                with self.assertRaises(ConnectionClosedError) as cut:
                    buffer = Buffer(Pieces(notice[:at], b""), lines.MAX_MESSAGE_BYTES)
                    lines.read_body(buffer, lines.read(buffer)[-1])
                self.assertIs(cut.exception.reason, CloseReason.CUT)
        long = Buffer(Pieces(*[b"x" * 4096] * 9), lines.MAX_MESSAGE_BYTES)
        self.assertRaises(ConnectionClosedError, lines.read, long)
        self.assertLess(len(long.data), 9 * 4096)  # input without a line end doesn't fill memory

    def test_configuration_errors(self):
        """Whatever is wrong with a configuration, the error names the key.

        A bad value that went unnoticed would only show once the server runs.
        """
        whole = {
            "name": "n3",
            "listen": "127.0.0.1:7001",
            "engine": "127.0.0.1:1",
            "naming": "127.0.0.1:2",
            "db": "127.0.0.1:3",
            "seed": "8c1f",
            "stop_ms": 3200,
            "limits": {"sockets": 64},
            "settings": site(),
        }
        right = self.load(whole)
        self.assertEqual(
            (right.listen, right.seed, right.stop_after_us),
            (("127.0.0.1", 7001), 0x8C1F, 3_200_000),
        )
        self.assertEqual(right.facts.request_classes[1].idempotency, Idempotency.KEYED)
        self.assertEqual(right.facts.dependency.call_quota, 50.0)
        for path, value, said in (
            ("name", None, "'name'"),
            ("name", "a b", "'name'"),
            ("listen", "7001", "'listen'"),
            ("engine", "x:0", "'engine'"),
            ("db", None, "'db'"),
            ("seed", "xyz", "'seed'"),
            ("stop_ms", 0.5, "'stop_ms'"),
            ("limits.sockets", 5, "'limits.sockets'"),
            ("settings", [], "'settings'"),
            ("settings.FamilyInfo.Cores", "six", "'FamilyInfo.Cores' is 'six'"),
            ("settings.FamilyInfo.Cores", 0, "'FamilyInfo.Cores' is '0'"),
            ("settings.FamilyInfo.StopMode", "kill", "'FamilyInfo.StopMode'"),
            ("settings.Rules.TipMultiple", None, "missing setting 'Rules.TipMultiple'"),
            ("settings.Profiles", [], "'Profiles.count'"),
            ("settings.FamilyInfo.MemoryKb", "nan", "'FamilyInfo.MemoryKb'"),
            (
                "settings.Profiles",
                self.profiles(1, Semantics="maybe"),
                "'Profiles.1.Semantics' is 'maybe'",
            ),
            (
                "settings.Profiles",
                self.profiles(1, Semantics=None),
                "missing setting 'Profiles.1.Semantics'",
            ),
            (
                "settings.Profiles",
                self.profiles(1, KeyTtlUs=None),
                "missing setting 'Profiles.1.KeyTtlUs'",
            ),
            ("settings.Profiles", self.profiles(1, KeyTtlUs=0), "'Profiles.1.KeyTtlUs' is '0'"),
        ):
            wrong = json.loads(json.dumps(whole))
            *way, last = path.split(".")
            inner = wrong
            for key in way:
                inner = inner[key]
            inner[last] = value
            with self.subTest(path), self.assertRaisesRegex(ConfigurationError, said):
                self.load(wrong)
        for env, said in (
            ({}, "NODE_CONFIG"),
            ({"NODE_CONFIG": "/nowhere"}, "NODE_CONFIG: /nowhere"),
        ):
            with self.assertRaisesRegex(ConfigurationError, said):
                load_configuration(env)

    @staticmethod
    def profiles(number, **over):
        """The request classes of `site()`, one of them with other settings."""
        rows = site()["Profiles"]
        rows[number] |= over
        return rows

    def test_no_dependency(self):
        """The database address is required only if the settings name a dependency."""
        alone = {
            "name": "n3",
            "listen": "127.0.0.1:7001",
            "engine": "127.0.0.1:1",
            "naming": "127.0.0.1:2",
            "seed": "8c1f",
            "stop_ms": 3200,
            "settings": site(),
        }
        with self.assertRaisesRegex(ConfigurationError, "missing key 'db'"):
            self.load(alone)
        alone["settings"]["FamilyInfo"]["DependsOn"] = "off"
        self.assertIsNone(self.load(alone).database)
        with self.assertRaisesRegex(ConfigurationError, "key 'db' is 'nowhere'"):
            self.load(alone | {"db": "nowhere"})

    def test_another_servers_file(self):
        """A reload detects the configuration of another server.

        A different name, other request classes or other tenants are a mismatch; addresses are not.
        """
        whole = {
            "name": "n3",
            "listen": "127.0.0.1:7001",
            "engine": "127.0.0.1:1",
            "naming": "127.0.0.1:2",
            "db": "127.0.0.1:3",
            "seed": "8c1f",
            "stop_ms": 3200,
            "settings": site(),
        }
        ours = self.load(whole)
        self.assertIsNone(
            ours.mismatch_with(self.load(whole | {"engine": "127.0.0.1:9", "stop_ms": 99}))
        )
        self.assertEqual(ours.mismatch_with(self.load(whole | {"name": "n4"})), "name")
        self.assertEqual(
            ours.mismatch_with(self.load(whole | {"settings": site(classes="x-")})),
            "settings.Profiles",
        )
        shared = site() | {"Orgs": [{"Name": "one", "QuotaPerS": 5.0}]}
        self.assertEqual(
            ours.mismatch_with(self.load(whole | {"settings": shared})), "settings.Orgs"
        )

    @staticmethod
    def load(config):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(config, file)
            file.flush()
            return load_configuration({"NODE_CONFIG": file.name})

    def test_gauges(self):
        """A tick waits for its gauges from the current time on, not from the last event.

        After a quiet period, that wait would otherwise end at once.
        """
        times, dispatcher = [], mock.Mock(now=0)
        route = CommandRouter(
            dispatcher,
            mock.Mock(),
            mock.Mock(),
            mock.Mock(call_at=lambda time, act: times.append(time)),
            mock.Mock(),
        )
        before = clock.now()
        route.gauge_poller.poll()
        self.assertGreaterEqual(times[0], before + 1000)
        dispatcher.now, route.gauge_poller.scheduled_at = (
            1_000_300,
            1_000_000,
        )  # the tick is handled late, and the next one stays on schedule
        route.schedule_tick(TICK)
        self.assertEqual(times[1], 1_000_000 + TICK)

    def test_internal_error_fails_its_own_request(self):
        """An internal error in the controller fails its own request; the dispatcher goes on."""
        dispatcher, request = (
            Dispatcher(parse_site_facts(flatten_settings(site())), Metrics()),
            mock.Mock(outcome=None, key_entry=None, request_id="a"),
        )
        dispatcher.controller, dispatcher.requests["a"] = mock.Mock(), request
        dispatcher.executor = mock.Mock(finished=dispatcher.on_finished)
        dispatcher.controller.on_event.side_effect = ZeroDivisionError
        with self.assertLogs("gullyoke", "ERROR"):
            dispatcher.notify(request, RequestEvent.DEPENDENCY_CALL_NEEDED)
        self.assertIs(request.outcome, FAIL)
        self.assertTrue(
            request.answer_gate.release.called and dispatcher.controller.dispatch.called
        )
        self.assertFalse(dispatcher.lock.locked() or dispatcher.requests)

    def test_next_tick_after_an_internal_error(self):
        """After an internal error in a tick, the next tick is scheduled all the same."""
        scene = Scene()
        for line in ("handler view timeout=300", "0 read a view", "0 trip fail a"):
            scene.play(line.split())
        with self.assertRaises(TrippedError):
            scene.until(TICK * 3)
        self.assertEqual(scene.due, scene.now + TICK)

    def test_background_work_runs_in_steps(self):
        """A learning episode runs in steps, with the lock free and the old policy between them.

        An episode in one step would hold up all requests until it ends.
        """
        dispatcher, learner = (
            Dispatcher(parse_site_facts(flatten_settings(site())), Metrics()),
            Learner(0, 40, 2, 1e5, 1e-6),
        )
        learner.bias_differences, last = [1.0] * 41, learner.policy
        learner.visits[0][6] += 9.0
        work, steps = learner.start_episode(), 0
        self.assertEqual(
            learner.visits_before_episode, learner.visits
        )  # recorded when the episode starts, not at its first step
        while dispatcher.background_work.run_step(work):
            steps += 1
            self.assertIs(learner.policy, last)
            self.assertFalse(dispatcher.lock.locked())
        self.assertGreater(steps, 1)
        self.assertIsNot(learner.policy, last)

    def test_log_rate_limit(self):
        """Log lines of one event beyond a limit per window are dropped, except errors.

        The next line that is written says how many were dropped.
        """
        handler = RateLimitedQueueHandler(queue.Queue(), lines_per_window=2, window_s=10.0)
        records = [
            logging.makeLogRecord({"msg": "x", "created": created, "levelno": level})
            for created, level in ((0, 30), (1, 30), (2, 30), (3, 30), (4, 40), (11, 30))
        ]
        self.assertEqual(
            [handler.filter(record) for record in records], [True, True, False, False, True, True]
        )
        self.assertEqual(
            [getattr(record, "pairs", None) for record in records[4:]], [{"left_out": 2}, None]
        )

    def test_events_for_closed_connections(self):
        """Each reason for which a connection closes has an event for each kind of peer.

        Only a connection that was never opened proves that the call was not sent; for any other
        reason the call may have run and must not be retried as unsent.
        """
        for reason in CloseReason:
            event = event_for_closed(PeerKind.DATABASE, reason)
            self.assertIs(
                event,
                RequestEvent.CALL_NOT_SENT
                if reason in (CloseReason.REFUSED, CloseReason.UNREACHED)
                else RequestEvent.CALL_REPLY_LOST,
            )
            self.assertIn(
                event_for_closed(PeerKind.GATEWAY, reason), (None, RequestEvent.CLIENT_DISCONNECTED)
            )
            self.assertIsNone(
                event_for_closed(PeerKind.ENGINE, reason)
                or event_for_closed(PeerKind.SERVICE_DISCOVERY, reason)
            )

    def test_scenarios(self):
        paths = sorted(HERE.glob("scenarios/*.txt"))
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(path.stem):
                play(path, Scene().play)

    def test_sockets(self):
        on_sockets(self, HERE / "sockets")


if __name__ == "__main__":
    unittest.main()
