"""The promises of a voter and the records stored under leases, in the slot file of its folder."""

import gzip
import unittest

from compatibility.recorded import DATA, files_in, temporary_folder
from gullyoke.extensions.duties import FOLDER, OURS, ours
from gullyoke.leases.durations import LeaseDurations
from gullyoke.leases.messages import EpochQuery, EpochReply, LeaseRequest
from gullyoke.leases.promises import Promise
from gullyoke.leases.replicated_record import (
    ReadRecord,
    RecordRead,
    RecordStore,
    RecordWritten,
    StoredRecord,
    WriteRecord,
)
from gullyoke.leases.rolling_restart import RestartPlan
from gullyoke.leases.rolling_restart import unpack_plan as unpacked_plan
from gullyoke.leases.voter import Voter
from gullyoke.membership import MemberRecord as Member
from gullyoke.membership import Status
from gullyoke.peer_transport.lease_codec import decode_voter_entries, encode_promise, pack, unpack
from gullyoke.peer_transport.lease_service import LeaseService
from gullyoke.runtime.metrics import Metrics
from gullyoke.storage import SlotFile, StorageFolder
from gullyoke.storage.slot_file import SLOT_COPY_BYTES, SLOT_FILE_NAME

NOW = 1_700_000_000_000_000
VOTERS = {"server-1": "10.0.0.1:7900", "server-2": "10.0.0.2:7900", "server-3": "10.0.0.3:7900"}

RAW = {
    "voter": b"server-2 3",
    "promise ask": bytes.fromhex("93ce6553f103cd1122a87365727665722d31"),
    "promise roll": bytes.fromhex("93ce6553f104cfffffffffffffffffa87365727665722d33"),
    "kept roll": bytes.fromhex("93ce6553f10402c402ff00"),
}
PROMISED = {
    "ask": Promise(1_700_000_003, 0x1122, "server-1"),
    "roll": Promise(1_700_000_004, 2**64 - 1, "server-3"),
}
KEPT = {"roll": StoredRecord(1_700_000_004, 2, b"\xff\x00")}

PLAN = RestartPlan(
    4,
    "paused",
    1_700_000_000,
    0.25,
    0.5,
    (("server-1", NOW, 1_699_999_000), ("server-3", NOW + 5, 1_699_999_001)),
    ("server-2",),
    0.125,
    "asked for",
)
PLAN_BYTES = (
    b'{"number":4,"state":"paused","before":1700000000,"at_once":0.25,"a_zone":0.5,'
    b'"doing":[["server-1",1700000000000000,1699999000],'
    b'["server-3",1700000000000005,1699999001]],"strays":["server-2"],"shed":0.125,'
    b'"why":"asked for"}'
)


def write_slot_file(folder):
    """Three promises, one of them renewed under a later epoch, and one lease that is removed."""
    disk = StorageFolder(folder)
    slots = SlotFile(disk)
    first = Promise(1_700_000_001, 1, "server-3")
    slots.put([(OURS, b"server-2 2"), ("promise ask", encode_promise(first))])
    slots.put([("promise gone", encode_promise(Promise(5, 6, "server-1")))])
    slots.put([(OURS, RAW["voter"]), ("promise ask", encode_promise(PROMISED["ask"]))])
    slots.put([("promise roll", encode_promise(PROMISED["roll"])), ("kept roll", RAW["kept roll"])])
    slots.put([("promise gone", None)])
    disk.close()


class PromiseSlots(unittest.TestCase):
    def folder(self):
        folder = temporary_folder(self)
        data = gzip.decompress((DATA / "cells.gz").read_bytes())
        (folder / "cells").write_bytes(data)
        return folder

    def opened(self):
        disk = StorageFolder(self.folder())
        self.addCleanup(disk.close)
        return SlotFile(disk)

    def voter(self):
        promised, _ = decode_voter_entries(self.opened().items())
        return Voter(NOW, "server-2", 0x22, ["server-1", "server-3"], LeaseDurations(), promised, 3)

    def test_constants(self):
        self.assertEqual(
            (FOLDER, OURS, SLOT_FILE_NAME, SLOT_COPY_BYTES), ("duties", "voter", "cells", 1024)
        )

    def test_recorded_slot_file_is_read(self):
        slots = self.opened()
        found = dict(slots.items())
        self.assertEqual((slots.dropped_copies, found), (0, RAW))
        self.assertEqual(ours(found.pop(OURS)), ("server-2", 3))
        self.assertEqual(decode_voter_entries(found.items()), (PROMISED, KEPT))

    def test_slot_file_is_written_with_the_same_bytes(self):
        folder = temporary_folder(self)
        write_slot_file(folder)
        self.assertEqual(files_in(folder), files_in(self.folder()))

    def test_recorded_promises_bind_the_voter(self):
        """A promised epoch is not granted again; a promise of a later epoch has the same bytes."""
        voter, after = self.voter(), NOW + 10_000_000
        self.assertEqual(
            voter.answer_epoch_query(after, EpochQuery("server-1", 9, 1)),
            EpochReply(
                "server-2",
                1,
                (
                    ("ask", 1_700_000_003, 0x1122, "server-1"),
                    ("roll", 1_700_000_004, 2**64 - 1, "server-3"),
                ),
            ),
        )
        refused = voter.answer_request(
            after, LeaseRequest("ask", 0x33, "server-3", 1_700_000_003, 1, 3)
        )
        self.assertEqual((refused.granted, refused.epoch), (False, 1_700_000_003))
        write = voter.answer_request(
            after, LeaseRequest("ask", 0x33, "server-3", 1_700_000_009, 2, 3)
        )
        self.assertEqual(encode_promise(write.promise).hex(), "93ce6553f10933a87365727665722d33")

    def test_recorded_record_is_read(self):
        _, kept = decode_voter_entries(self.opened().items())
        records = RecordStore(kept)
        self.assertEqual(
            records.read(ReadRecord("roll", 5, 1_700_000_010), "server-2"),
            RecordRead("roll", 5, "server-2", 1_700_000_010, 1_700_000_004, 2, b"\xff\x00"),
        )
        self.assertFalse(records.accepts(WriteRecord("roll", 5, 1_700_000_004, 2, b""), 0))
        self.assertTrue(records.accepts(WriteRecord("roll", 5, 1_700_000_004, 3, b""), 0))

    def test_messages_are_stored_with_the_same_bytes(self):
        """The keys and values that a message makes durable in the slot file."""
        written, sent = [], []

        def write(key, data, on_written):
            written.append((key, data.hex()))
            on_written(True)
            return True

        duties = LeaseService(
            "server-2",
            0x22,
            self.voter(),
            RecordStore(KEPT),
            {},
            VOTERS,
            VOTERS.get,
            write,
            Metrics(),
        )
        duties.send = sent.extend
        after = NOW + 10_000_000
        sender = Member("server-3", 1, Status.ALIVE, "10.0.0.3:7900", "a", 0x33)
        duties.handle(
            after, sender, pack(LeaseRequest("ask", 0x33, "server-3", 1_700_000_009, 2, 3))
        )
        duties.handle(after, sender, pack(WriteRecord("ask", 0x33, 1_700_000_009, 1, b"body")))
        self.assertEqual(
            written,
            [
                ("promise ask", "93ce6553f10933a87365727665722d33"),
                ("kept ask", "93ce6553f10901c404626f6479"),
            ],
        )
        (_, granted), (_, kept) = sent
        self.assertTrue(unpack(granted).granted)
        self.assertEqual(
            unpack(kept), RecordWritten("ask", 0x33, "server-2", 1_700_000_009, 1, True)
        )

    def test_rolling_restart_plan(self):
        """The plan that is stored under the lease `roll`."""
        self.assertEqual(PLAN.pack(), PLAN_BYTES)
        self.assertEqual(unpacked_plan(PLAN_BYTES), PLAN)


if __name__ == "__main__":
    unittest.main()
