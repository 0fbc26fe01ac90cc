"""The status server on loopback: a command is one line, the answer is one JSON object."""

import json
import random
import socket
import unittest
from unittest import mock

from gullyoke.coordination.limit_parts import ConcurrencyPart
from gullyoke.coordination.quota_participant import QuotaParticipant
from gullyoke.coordination.signals import LoadReport, ReceivedReports, ServingStage
from gullyoke.durability.disk_health import DiskState
from gullyoke.extensions.duties import FleetLeases
from gullyoke.extensions.singleton_tasks import RollingRestart
from gullyoke.leases.candidate import Candidate
from gullyoke.leases.candidate_state import CandidateState, LeaseChange
from gullyoke.leases.durations import LeaseDurations
from gullyoke.leases.replicated_record import RecordStore
from gullyoke.leases.rolling_restart import RestartPlan
from gullyoke.leases.voter import Promise, Voter
from gullyoke.membership import Member, MemberRecord, Status
from gullyoke.membership.join_state import JoinStage
from gullyoke.operator_config.wanted import DutiesSection
from gullyoke.peer_transport.lease_service import LeaseService
from gullyoke.peer_transport.link import PeerLink
from gullyoke.peer_transport.quota_codec import configuration_digest
from gullyoke.peer_transport.quota_service import SharedSlots
from gullyoke.peer_transport.seal import Seal
from gullyoke.peer_transport.status_server import StatusServer
from gullyoke.runtime import clock
from gullyoke.runtime.metrics import Metrics

NUMBER = 1_700_000_000 << 20
TIMEOUT_S = 10
VOTERS = {"server-1": "10.0.0.1:7900", "server-2": "10.0.0.2:7900", "server-3": "10.0.0.3:7900"}


class StatusServerTest(unittest.TestCase):
    """Base: a member that is alone in its fleet, and its status server."""

    def setUp(self):
        self.metrics = Metrics()
        self.link = PeerLink(("127.0.0.1", 0), Seal("orders", (b"k" * 32,)), self.metrics)
        self.addCleanup(self.link.end)
        self.row = MemberRecord("server-1", NUMBER, Status.JOINING, "10.0.0.1:7900", "makati", 7)
        self.member = Member(clock.now(), self.row, (), random.Random(1))
        self.link.member = self.member
        self.answers = StatusServer(("127.0.0.1", 0), self.link, self.metrics)
        self.answers.start()
        self.addCleanup(self.answers.end)

    def ask(self, line):
        with socket.create_connection(self.answers.sock.getsockname(), TIMEOUT_S) as conn:
            conn.sendall(line + b"\n")
            with conn.makefile("rb") as file:
                answer = file.read()
        self.assertEqual(answer[-1:], b"\n")
        return json.loads(answer)


class MemberCommandsTest(StatusServerTest):
    def test_unknown(self):
        self.assertEqual(self.ask(b"what"), {"fault": "right would be status or events"})

    def test_stages(self):
        """The names in answers of a member's stages, a disk's states and a lease's states."""
        self.assertEqual(
            [stage.value for stage in JoinStage], ["alone", "joining", "in", "out", "displaced"]
        )
        self.assertEqual(
            [state.value for state in DiskState],
            ["well", "near full", "full", "failing", "stalled", "read-only", "gone"],
        )
        self.assertEqual(
            [state.value for state in CandidateState], ["idle", "sounding", "asking", "holding"]
        )

    def test_status(self):
        other = MemberRecord(
            "server-2", NUMBER + (1 << 20) + 3, Status.ALIVE, "10.0.0.2:7900", "-", 8
        )
        self.member.view.merge(clock.now(), other)
        self.link.signals = ReceivedReports()
        self.link.signals.take(
            clock.now(), other.id, 1, LoadReport(0.6, 0.2, 1.4, ServingStage.WARM).pack()
        )
        sharing = QuotaParticipant(clock.now(), 7, VOTERS, 30, 5, "server-1", True)
        slots = SharedSlots(
            ConcurrencyPart(sharing, 0), VOTERS, configuration_digest(VOTERS, 120, 5), VOTERS.get
        )
        self.link.status_sections["shares"] = slots.status
        self.link.status_sections["disks"] = lambda now: {"/var/lib/gullyoke": "well"}
        found = self.ask(b"status")
        self.assertIsInstance(found.pop("age_ms"), int)
        self.assertEqual(
            found,
            {
                "name": "server-1",
                "stage": "in",
                "view": 3,
                "digest": "2dee442c4f426447",
                "members": 2,
                "seen": 2,
                "confidence": 0.5,
                "unsure": False,
                "failing": 0.0,
                "lost": 0.0,
                "rows": [
                    {
                        "name": "server-1",
                        "state": "alive",
                        "zone": "makati",
                        "address": "10.0.0.1:7900",
                        "start": 1_700_000_000,
                        "refuted": 0,
                        "accused_by": 0,
                        "round_trip_ms": None,
                        "room": None,
                        "shed": None,
                        "pace": None,
                    },
                    {
                        "name": "server-2",
                        "state": "alive",
                        "zone": "-",
                        "address": "10.0.0.2:7900",
                        "start": 1_700_000_001,
                        "refuted": 3,
                        "accused_by": 0,
                        "round_trip_ms": None,
                        "room": 0.6,
                        "shed": 0.2,
                        "pace": 1.4,
                    },
                ],
                "shares": {
                    "in_force": 5,
                    "floor": 5,
                    "used": 0,
                    "need": 0,
                    "refused": 0,
                    "home": "server-1",
                    "lends": False,
                    "lent": 0,
                    "others": 0,
                },
                "disks": {"/var/lib/gullyoke": "well"},
            },
        )

    def test_events(self):
        found = self.ask(b"events")
        for event in found["events"]:
            self.assertIsInstance(event.pop("ago_ms"), int)
        self.assertEqual(
            found,
            {
                "name": "server-1",
                "events": [
                    {
                        "view": 2,
                        "what": "changed",
                        "name": "server-1",
                        "status": "alive",
                        "by": "-",
                        "evidence": "own word",
                    }
                ],
            },
        )


class LeaseCommandsTest(StatusServerTest):
    """The commands of a server that votes on leases and runs rolling restarts."""

    def setUp(self):
        super().setUp()
        now = clock.now()
        voter = Voter(
            now,
            "server-1",
            7,
            ["server-2", "server-3"],
            LeaseDurations(),
            {"roll": Promise(1_700_000_003, 8, "server-2")},
            4,
        )
        candidate = Candidate("roll", "server-1", 7, VOTERS, LeaseDurations(), lambda: 0.5, 4)
        self.duties = LeaseService(
            "server-1",
            7,
            voter,
            RecordStore(),
            {"roll": candidate},
            VOTERS,
            VOTERS.get,
            lambda key, data, told: False,
            self.metrics,
        )
        fleet = mock.MagicMock()
        fleet.link, fleet.member, fleet.daemon.configuration.name = (
            self.link,
            self.member,
            "server-1",
        )
        self.roll = RollingRestart(fleet, self.duties)
        self.part = FleetLeases(
            DutiesSection(
                VOTERS, 4, 3_000_000, 1000, "/var/lib/gullyoke", False, False, True, False, ()
            )
        )
        self.part.fleet, self.part.duties = fleet, self.duties
        self.part.tasks = {"roll": self.roll}
        self.part.lease_changes = [
            LeaseChange(now, "held", 1_700_000_001, "granted by server-1, server-2")
        ]
        self.link.commands |= {
            "duties": self.part.answer_duties,
            "roll": self.part.answer_roll,
            "hand-over": self.part.answer_hand_over,
        }

    def test_duties(self):
        found = self.ask(b"duties")
        (turn,) = found["turns"]
        self.assertIsInstance(turn.pop("ago_ms"), int)
        self.assertIsInstance(turn.pop("at"), int)
        self.assertEqual(
            found,
            {
                "name": "server-1",
                "duties": {
                    "roll": {
                        "holder": "",
                        "epoch": 0,
                        "left_ms": 0,
                        "state": "idle",
                        "number": 0,
                        "before": 0,
                        "at_once": 0.1,
                        "a_zone": 0.5,
                        "doing": [],
                        "strays": [],
                        "shed": 0.0,
                        "why": "",
                        "left": [],
                        "members": 1,
                    }
                },
                "votes": {
                    "speaks": False,
                    "fresh": False,
                    "disk_well": True,
                    "refused": 0,
                    "set": 4,
                    "promised": {"roll": [1_700_000_003, "server-2"]},
                },
                "turns": [
                    {"what": "held", "epoch": 1_700_000_001, "why": "granted by server-1, server-2"}
                ],
                "stale_refused": 0,
                "started": 1_700_000_000,
            },
        )

    def test_roll_status(self):
        self.roll.plan = RestartPlan(
            4,
            "paused",
            1_700_000_001,
            0.25,
            0.5,
            (("server-3", 5, 1_699_999_001),),
            ("server-2",),
            0.125,
            "asked for",
        )
        self.assertEqual(
            self.ask(b"roll status"),
            {
                "holder": "",
                "epoch": 0,
                "left_ms": 0,
                "state": "paused",
                "number": 4,
                "before": 1_700_000_001,
                "at_once": 0.25,
                "a_zone": 0.5,
                "doing": [["server-3", 5, 1_699_999_001]],
                "strays": ["server-2"],
                "shed": 0.125,
                "why": "asked for",
                "left": ["server-1"],
                "members": 1,
            },
        )

    def test_faults(self):
        self.assertEqual(self.ask(b"roll start 0.1 0.5"), {"fault": "nobody is known to hold roll"})
        self.assertEqual(self.ask(b"hand-over what"), {"fault": "right would be one of roll"})


if __name__ == "__main__":
    unittest.main()
