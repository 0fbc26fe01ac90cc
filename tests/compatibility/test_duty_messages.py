"""Messages of lease holders: announcements, instructions, the record and lines to applications."""

import json
import pathlib
import socket
import threading
import time
import unittest
from unittest import mock

from compatibility.recorded import temporary_folder
from gullyoke.extensions.charges import Ask, Book, Record, Roll, Told
from gullyoke.extensions.data_folders import DataFolder
from gullyoke.leases.announcements import Announcement, Instruction
from gullyoke.leases.rolling_restart import RestartPlan
from gullyoke.membership import MemberRecord, Status
from gullyoke.operator_config.wanted import OwnDuty
from gullyoke.runtime.metrics import Metrics as Counters

EPOCH = 1_700_000_000
TIMEOUT_S = 10


def fleet_of(name):
    fleet = mock.MagicMock()
    fleet.daemon.configuration.name, fleet.daemon.configuration.seed = name, 7
    return fleet


class LeaseHolderMessages(unittest.TestCase):
    def test_dependency_announcement(self):
        """`ask`: dead or well, as the holder announces it and other members read it."""
        holder, other = (Ask(fleet_of(name), mock.MagicMock()) for name in ("server-1", "server-2"))
        self.assertEqual(holder.notice(), b"well")
        for at in range(20):
            holder.probe.record_call(1_000_000 + at * 100_000, False)
        self.assertEqual(holder.notice(), b"dead")
        for body, dead in ((b"dead", True), (b"well", False)):
            other.heard(5, Announcement("ask", EPOCH, 7, "server-1", body))
            self.assertEqual(other.probe.announced.dead, dead)

    def test_substitutes_announcement(self):
        """`book`: by lender that ended, the address of the server that lends for it."""
        book = Book.__new__(Book)
        book.fleet, book.shares, book.gone = (
            fleet_of("server-1"),
            mock.MagicMock(),
            ("server-3",),
        )
        book.fleet.wanted.advertise = "10.0.0.1:7900"
        self.assertEqual(book.notice(), b'{"server-3": "10.0.0.1:7900"}')
        book.heard(5, Announcement("book", EPOCH, 7, "server-1", book.notice()))
        self.assertEqual(book.shares.shared.substitutes[0], {"server-3": "10.0.0.1:7900"})

    def test_drain_instruction(self):
        """`roll`: an instruction to drain names the start that it is for; a late one is ignored."""
        fleet, duties = fleet_of("server-1"), mock.MagicMock()
        fleet.member.view.records = {
            1: MemberRecord("server-2", EPOCH << 20, Status.ALIVE, "a:1", "-", 2)
        }
        duties.held_epoch.return_value = 9
        roll = Roll(fleet, duties)
        roll.plan = RestartPlan(1, "going", EPOCH + 1, 0.1, 0.5, (("server-2", 5, EPOCH),))
        roll.send(5_000_000, 9)
        duties.instruct.assert_called_once_with("roll", 9, "server-2", "drain", b"1700000000")
        body = roll.notice()
        roll.heard(5, Announcement("roll", EPOCH, 7, "server-1", body))
        self.assertEqual(
            roll.plan, RestartPlan(1, "going", EPOCH + 1, 0.1, 0.5, (("server-2", 5, EPOCH),))
        )
        fleet.member.record.version, fleet.daemon.dispatcher.stop_at = EPOCH << 20, None
        with mock.patch.object(roll, "drain") as drain:
            roll.obey(6, Instruction("roll", 9, 7, "drain", b"1699999999"))
            drain.assert_not_called()
            roll.obey(6, Instruction("roll", 9, 7, "drain", b"1700000000"))
            drain.assert_called_once_with(6, 9)

    def test_record_line(self):
        """`record`: a line of JSON in the holder's folder; the count is passed on as text."""
        folder = temporary_folder(self)
        data_folder = DataFolder(str(folder), 2**20, Counters())
        self.addCleanup(data_folder.monitor.stop)
        record, register = (
            Record(fleet_of("server-1"), mock.MagicMock(), data_folder),
            mock.MagicMock(),
        )
        record.count, record.epoch = 41, EPOCH
        row = {"what": "view", "members": 3, "seen": 2, "digest": f"{7:016x}"}
        record.write(5, row, register)
        register.put.assert_called_once_with(b"42")
        line = self.line_of(folder / "record.jsonl")
        found = json.loads(line)
        self.assertIsInstance(found["at"], int)
        self.assertEqual(
            line,
            json.dumps({"n": 42, "epoch": EPOCH, "by": "server-1", "at": found["at"], **row})
            + "\n",
        )

    def line_of(self, path: pathlib.Path) -> str:
        deadline = time.monotonic() + TIMEOUT_S
        while not path.exists() or not path.read_text().endswith("\n"):
            self.assertLess(time.monotonic(), deadline, "no line was written in time")
            time.sleep(0.01)
        return path.read_text()

    def test_application_line(self):
        """An application gets one line about its lease; the reply STALE releases the lease."""
        received = []
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def serve():
            conn, _ = listener.accept()
            with conn:
                received.append(conn.recv(256))
                conn.sendall(b"STALE\n")

        server = threading.Thread(target=serve)
        server.start()
        duties = mock.MagicMock()
        duties.incarnation = 0x1122
        duties.held_epoch.return_value = EPOCH
        duties.candidates["report"].remaining_us.return_value = 1_500_999
        told = Told(
            fleet_of("server-1"), duties, OwnDuty("report", listener.getsockname(), 400_000)
        )
        told.going.acquire()
        told.tell(EPOCH)
        server.join(TIMEOUT_S)
        self.assertEqual(received, [b"HOLD report 1700000000 4386 1500\n"])
        self.assertEqual(told.stale, 1)
        duties.leave.assert_called_once()


if __name__ == "__main__":
    unittest.main()
