"""Members on real sockets in one process: joining, refused datagrams, dropped datagrams, status."""

import json
import pathlib
import random
import socket
import tempfile
import threading
import time
import types
import unittest

from click.testing import CliRunner

from gullyoke.cli.main import main
from gullyoke.coordination.signals import LoadReport, ReceivedReports, ServingStage
from gullyoke.errors import ConfigurationError
from gullyoke.extensions.fleet import Fleet
from gullyoke.membership import Member, MemberRecord, Status, start_version
from gullyoke.membership.messages import OutgoingMessage, TopicMessage
from gullyoke.membership.size_estimate import SizeEstimate
from gullyoke.operator_config.read import read
from gullyoke.operator_config.wanted import OperatorFileError, Together
from gullyoke.peer_transport.link import PeerLink
from gullyoke.peer_transport.seal import Seal
from gullyoke.peer_transport.start_number import StoredStartNumber
from gullyoke.peer_transport.status_server import StatusServer, status
from gullyoke.runtime import clock
from gullyoke.runtime.metrics import Metrics

KEY, TIMEOUT_S = b"k" * 32, 20
FILE = 'fleet { name: "f" listen: "127.0.0.1:7900" seed: "127.0.0.1:7900" key_file: "%s" }'


def text(address):
    return "{}:{}".format(*address)


class Peers(unittest.TestCase):
    def links(self, count, key=KEY):
        links = [PeerLink(("127.0.0.1", 0), Seal("f", (key,)), Metrics()) for _ in range(count)]
        for link in links:
            self.addCleanup(link.end)
        return links

    def begin(self, links, seeds):
        for i, link in enumerate(links):
            record = MemberRecord(
                f"p{i}",
                start_version(int(time.time())),
                Status.JOINING,
                text(link.address),
                "z",
                i + 1,
            )
            link.begin(Member(clock.now(), record, seeds, random.Random(i)))

    def eventually(self, condition, description):
        until = time.monotonic() + TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), until, f"not reached: {description}")
            time.sleep(0.02)

    def test_refused_datagram_does_not_lose_the_next(self):
        """A datagram to a closed port does not cause the next datagram to be lost.

        The system may report the refusal when the next datagram is sent, which was then dropped: a
        member that always came next after a stopped member received nothing.
        """
        links = self.links(2)
        self.begin(links, (text(links[0].address),))
        self.eventually(lambda: all(len(k.member.view.rings) == 2 for k in links), "two in")
        closed = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        closed.bind(("127.0.0.1", 0))
        address = text(closed.getsockname())
        closed.close()
        before = links[1].metrics.counters.get("peers.dropped.topic", 0)
        sender = links[0].member.record
        for _ in range(40):
            links[0].send(OutgoingMessage(address, TopicMessage(sender, 99, b"to nobody")))
            links[0].send(
                OutgoingMessage(text(links[1].address), TopicMessage(sender, 99, b"to one"))
            )
        self.eventually(
            lambda: links[1].metrics.counters.get("peers.dropped.topic", 0) == before + 40, "all 40"
        )
        self.assertNotIn("peers.unsent", links[0].metrics.counters)

    def test_fleet_of_three(self):
        """Three members join, and datagrams that do not verify are dropped and counted.

        When one member ends, its host refuses datagrams, and the others remove it sooner than for
        silence.
        """
        links = self.links(3)
        self.begin(links, (text(links[0].address),))
        self.eventually(lambda: all(len(k.member.view.rings) == 3 for k in links), "three in")
        metrics = links[1].metrics
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for data in (
                b"",
                b"x" * 50,
                b"y" * 1500,
                Seal("f", (b"z" * 32,)).seal(b"strange"),
                Seal("g", (KEY,)).seal(b"another fleet"),
                Seal("f", (KEY,)).seal(b"not a message"),
            ):
                sock.sendto(data, links[1].address)
            self.eventually(lambda: metrics.counters["peers.dropped.seal"] >= 5, "dropped")
            self.eventually(lambda: metrics.counters["peers.dropped.malformed"] == 1, "malformed")
        links[2].end()
        began_at, ended = time.monotonic(), links[2].member.id
        self.eventually(
            lambda: all(ended not in k.member.view.records for k in links[:2]), "removed"
        )
        self.assertLess(time.monotonic() - began_at, 3.5)
        self.assertGreater(
            links[0].metrics.counters["peers.refused"] + metrics.counters["peers.refused"], 0
        )

    def test_closing_is_not_an_error(self):
        """Guards against an internal error that was counted when a link was closed in a drain."""
        (link,) = self.links(1)
        link.begin(
            types.SimpleNamespace(tick=lambda now: link.end(), take_outgoing=list)
        )  # closes the link during an iteration
        link.join(5)
        self.assertFalse(link.is_alive())
        self.assertEqual(
            [name for name in link.metrics.counters if name.startswith("internal_errors")], []
        )

    def test_another_key(self):
        """A member with another key gets no answer and stays in the stage `alone`."""
        (seed,) = self.links(1)
        (other,) = self.links(1, b"q" * 32)
        self.begin([seed, other], (text(seed.address),))
        other.member.join_state.seeds = (text(seed.address),)
        self.eventually(lambda: seed.metrics.counters["peers.dropped.seal"] >= 2, "two hellos")
        self.assertEqual((len(seed.member.view), other.member.join_state.stage.value), (1, "alone"))
        self.assertEqual(seed.metrics.counters["peers.sent"], 0)

    def test_program_error_does_not_end_the_thread(self):
        """A program error in an iteration of the link's loop is counted, and the loop continues."""
        (link,) = self.links(1)
        ticks = []

        def tick(now):
            ticks.append(now)
            raise ValueError("program error")

        link.member = types.SimpleNamespace(tick=tick, take_outgoing=list, view=None)
        link.start()
        self.eventually(lambda: len(ticks) >= 3, "three ticks")
        self.assertGreaterEqual(link.metrics.counters["internal_errors.peers"], 2)

    def test_status(self):
        """Operators' commands show the view and its changes, as JSON and as text."""
        links = self.links(2)
        self.begin(links, (text(links[0].address),))
        self.eventually(lambda: all(len(k.member.view.rings) == 2 for k in links), "two in")
        server = StatusServer(("127.0.0.1", 0), links[0], links[0].metrics)
        server.start()
        self.addCleanup(server.end)
        at = text(server.sock.getsockname())
        run = CliRunner().invoke
        result = run(main, ["fleet", "status", "--at", at, "--json"])
        answer = json.loads(result.stdout)
        self.assertEqual(
            (answer["stage"], answer["members"], [row["state"] for row in answer["rows"]]),
            ("in", 2, ["alive", "alive"]),
        )
        self.assertIn("p1", run(main, ["fleet", "status", "--at", at]).stdout)
        self.assertIn("joined", run(main, ["fleet", "events", "--at", at]).stdout)
        self.assertEqual(run(main, ["fleet", "status", "--at", "127.0.0.1:1"]).exit_code, 2)
        with socket.create_connection(server.sock.getsockname()) as conn:
            conn.sendall(b"what?\n")
            self.assertIn(b"right would be", conn.recv(100))

    def test_signals(self):
        """A member's load signal is piggybacked on its messages and shown in the status."""
        links = self.links(2)
        for link in links:
            link.signals = ReceivedReports()
        self.begin(links, (text(links[0].address),))
        for link in links:
            link.member.on_signal = link.signals.take
        links[1].member.signal = LoadReport(0.4, 0.2, 1.4, ServingStage.WARM).pack()
        self.eventually(lambda: links[0].signals.rows, "a signal")
        row = next(r for r in status(links[0])["rows"] if r["name"] == "p1")
        self.assertEqual((row["room"], row["shed"], row["pace"]), (0.4, 0.2, 1.4))
        self.assertEqual(links[1].signals.rows, {})

    def test_start_version_is_stored(self):
        """The next start takes a higher version, even if the clock has gone back.

        An unusable folder is counted and delays nothing.
        """
        with tempfile.TemporaryDirectory() as folder:
            metrics, first = Metrics(), start_version(1_000_000)
            stored = StoredStartNumber(folder, metrics)
            stored.keep(first)
            stored.close()
            self.assertEqual(metrics.counters["fleet.kept"], 1)
            again = StoredStartNumber(folder, Metrics())
            self.assertGreater(start_version(5, again.known()), first)
            again.close()
            file = pathlib.Path(folder, "file")
            file.touch()
            broken = StoredStartNumber(str(file), metrics)
            broken.keep(7)
            self.assertEqual((broken.known(), metrics.counters["fleet.unkept"]), (0, 1))

    def test_size_for_decisions(self):
        """Decisions use the fleet's estimated size if that is enabled and the estimate is usable.

        Otherwise they use the size given at the start.
        """
        fleet_facts = types.SimpleNamespace(size=12)
        daemon = types.SimpleNamespace(
            configuration=types.SimpleNamespace(facts=types.SimpleNamespace(fleet=fleet_facts)),
            dispatcher=types.SimpleNamespace(lock=threading.Lock()),
            timer=types.SimpleNamespace(call_at=lambda *_: None),
        )
        wanted = Together("f", ("", 0), "", (), "-", "", None, True)
        unit = Fleet("file", wanted, None)
        unit.daemon, unit.told, unit.size = daemon, 12, 12
        unit.link = types.SimpleNamespace(lock=threading.Lock())
        sizes = []
        unit.member = types.SimpleNamespace(size=lambda now: sizes[-1])
        for size, expected in (
            (SizeEstimate(7, 7, 0, 1.0), 7),
            (SizeEstimate(7, 3, 0, 0.4), 12),
            (SizeEstimate(9, 9, 0, 0.9), 9),
            (SizeEstimate(9, 9, 40_000_000, 0.9), 12),
        ):
            sizes.append(size)
            unit.look()
            self.assertEqual(fleet_facts.size, expected)
        unit.wanted = wanted._replace(size=False)
        sizes.append(SizeEstimate(5, 5, 0, 1.0))
        unit.look()
        self.assertEqual(fleet_facts.size, 12)

    def test_operator_file(self):
        """The parsing of `fleet` in the operator's file, and errors in it and in the key file.

        A reload with an invalid key file is rejected.
        """
        with tempfile.TemporaryDirectory() as folder:
            key, path = pathlib.Path(folder, "key"), pathlib.Path(folder, "operator.textproto")
            key.write_text("ab" * 32 + "  # ours\n")
            path.write_text(FILE % key)
            wanted = read(str(path)).fleet
            self.assertEqual(
                (wanted.advertise, wanted.zone, wanted.status, wanted.size),
                ("127.0.0.1:7900", "-", None, False),
            )
            unit = Fleet(str(path), wanted, None)
            self.assertEqual(unit.keys(wanted), (bytes.fromhex("ab" * 32),))
            key.write_text("short")
            with self.assertRaisesRegex(ConfigurationError, "key_file.*expected 32"):
                unit.check_reload(types.SimpleNamespace(fleet=wanted))
            self.assertEqual(
                unit.ignored_changes(types.SimpleNamespace(fleet=wanted._replace(zone="other"))),
                ["fleet.zone"],
            )
            for more, message in (
                ('seed: "127.0.0.1:7900"', r"seed\[1\]: .* twice"),
                ('status: "127.0.0.1:7900"', "status: it is the address"),
                ('status: "10.0.0.1:7900"', "status: .*loopback"),
                ('zone: "A b"', "zone: 'A b' can't be"),
                ("seed: 'x'", r"seed\[1\]: 'x' can't"),
                ("shares { slots: 5 largest: 2 }", "shares.home: missing"),
                (
                    'shares { home { name: "a" address: "h:1" } home { name: "b" '
                    'address: "h:2" } slots: 5 largest: 2 }',
                    "home: 2 of them; .*odd",
                ),
                ('shares { home { name: "a" address: "h:1" } slots: 5 }', "largest: 0 can't be"),
                (
                    'shares { home { name: "a" address: "h:1" } largest: 2 }',
                    "neither slots nor quotas",
                ),
            ):
                path.write_text((FILE % key).replace("key_file", f"{more} key_file"))
                with self.subTest(more), self.assertRaisesRegex(OperatorFileError, message):
                    read(str(path))
            self.assertEqual(
                set(Together._fields) - {"seeds", "key_file"},
                {
                    "name",
                    "listen",
                    "advertise",
                    "zone",
                    "status",
                    "size",
                    "signals",
                    "heed",
                    "shares",
                },
            )
        self.assertEqual(len(CliRunner().invoke(main, ["fleet", "key"]).stdout.strip()), 64)


if __name__ == "__main__":
    unittest.main()
