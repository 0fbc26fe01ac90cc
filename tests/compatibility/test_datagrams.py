"""Recorded membership datagrams of each kind, the digests that peers compare, and the seal."""

import unittest

import msgspec

from compatibility.recorded import recorded_hex
from gullyoke.coordination.signals import LoadReport, ServingStage, unpack_report
from gullyoke.membership import MemberRecord, Status, start_version
from gullyoke.membership.member_record import (
    REFUTATIONS_PER_START,
    StatusUpdate,
    Suspicion,
    SuspicionKind,
    SuspicionReport,
    member_id,
)
from gullyoke.membership.messages import (
    SIGNAL_BITS,
    Ack,
    Gossip,
    Hello,
    Ping,
    PingRequest,
    TopicMessage,
    ViewDigests,
    ViewRecords,
)
from gullyoke.membership.view import BUCKETS, View
from gullyoke.peer_transport.codec import MAX_DATAGRAM_BYTES, VERSION, pack, unpack
from gullyoke.peer_transport.field_readers import MalformedDatagramError
from gullyoke.peer_transport.seal import Seal, parse_keys

START_VERSION = 1_700_000_000 << 20
U64_MAX = 2**64 - 1
SENDER = MemberRecord(
    "server-1", START_VERSION, Status.ALIVE, "10.0.0.1:7900", "makati", 0x1122334455667788
)
TARGET = MemberRecord("server-2", START_VERSION + 3, Status.JOINING, "10.0.0.2:7900", "-", 2)
LEAVING = MemberRecord("server-3", START_VERSION + 1, Status.LEAVING, "10.0.0.3:7900", "pasig", 3)
LEFT = MemberRecord("server-4", START_VERSION + 2, Status.LEFT, "10.0.0.4:7900", "pasig", 4)
UPDATES = (
    LEAVING,
    StatusUpdate(
        member_id("server-5"), START_VERSION + 7, Status.DEAD, member_id("server-1"), 5, 8
    ),
    SuspicionReport(
        member_id("server-1"),
        START_VERSION,
        12,
        True,
        (
            Suspicion(member_id("server-5"), START_VERSION + 7, SuspicionKind.SILENT),
            Suspicion(member_id("server-6"), START_VERSION, SuspicionKind.REFUSED),
        ),
    ),
    LEFT,
)

MESSAGES = {
    "ping": Ping(SENDER, 7, 0xABCDEF, 0),
    "ping with news and signal": Ping(SENDER, 8, U64_MAX, 255, UPDATES, 5 << 14 | 0x1234),
    "ack": Ack(SENDER, 7, member_id("server-2"), 0xABCDEF, 3, UPDATES[:1], 1),
    "ask": PingRequest(SENDER, 9, TARGET, 0xABCDEF, 3, UPDATES[1:2], 0),
    "gossip": Gossip(SENDER, 0xABCDEF, 3, UPDATES, 77),
    "hello": Hello(SENDER),
    "compare": ViewDigests(SENDER, tuple(range(0, 64 * 1_000_003, 1_000_003))),
    "rows": ViewRecords(SENDER, ((3, 0xABC), (63, U64_MAX)), (TARGET, LEAVING, LEFT), True, 5),
    "letter": TopicMessage(SENDER, 2, b"\x00body\xff"),
}
RECORDED = recorded_hex("membership.json")

FIRST_KEY = bytes(range(32))
SECOND_KEY = b"k" * 16
KEY_FILE = f"# of the fleet\n{FIRST_KEY.hex()}  # seals\n\n{SECOND_KEY.hex()}\n"
SEALED = (
    "0000000000000001c70ea7da4ad147f4b186add4d080918f",
    "000000000000000283c9563e3a91ddd06ae7094c9c1165d1",
)


class Messages(unittest.TestCase):
    def test_constants(self):
        self.assertEqual(
            (VERSION, MAX_DATAGRAM_BYTES, SIGNAL_BITS, REFUTATIONS_PER_START, BUCKETS),
            (1, 1200, 14, 2**20, 64),
        )
        self.assertEqual([int(status) for status in Status], [0, 1, 2, 3, 4])
        self.assertEqual([int(kind) for kind in SuspicionKind], [1, 2])

    def test_each_message_is_recorded(self):
        self.assertEqual(list(RECORDED), list(MESSAGES))

    def test_messages_are_read(self):
        for name, message in MESSAGES.items():
            with self.subTest(name):
                decoded = unpack(RECORDED[name])
                self.assertIs(type(decoded), type(message))
                self.assertEqual(decoded, message)

    def test_messages_are_written_with_the_same_bytes(self):
        for name, message in MESSAGES.items():
            with self.subTest(name):
                self.assertEqual(pack(message).hex(), RECORDED[name].hex())

    def test_elements_appended_by_a_later_release_are_ignored(self):
        for name, message in MESSAGES.items():
            with self.subTest(name):
                fields = msgspec.msgpack.decode(RECORDED[name])
                self.assertEqual(len(fields), 13)
                fields[2] += ["later"]
                longer = msgspec.msgpack.encode([*fields, "later", 1])
                self.assertEqual(unpack(longer), message)

    def test_other_version_is_malformed(self):
        fields = msgspec.msgpack.decode(RECORDED["hello"])
        for version, kind in ((0, 4), (1, 8)):
            with self.assertRaises(MalformedDatagramError):
                unpack(msgspec.msgpack.encode([version, kind, *fields[2:]]))


def members(count):
    return [
        MemberRecord(
            f"other-{i}", START_VERSION + i, Status.ALIVE, f"10.0.1.{i}:7900", "cavite", 100 + i
        )
        for i in range(count)
    ]


class Digests(unittest.TestCase):
    """Values on which two releases in one fleet have to agree."""

    def test_id_and_record_digest(self):
        self.assertEqual(f"{member_id('server-1'):016x}", "6a3707065ea30a2c")
        self.assertEqual(f"{SENDER.digest:016x}", "f1c79d4f8ac49715")
        self.assertEqual(f"{LEFT.digest:016x}", "a6e60c4a15b523cd")

    def test_start_version(self):
        self.assertEqual(start_version(1_700_000_000), START_VERSION)
        self.assertEqual(
            start_version(5, START_VERSION, START_VERSION + 2 * REFUTATIONS_PER_START),
            START_VERSION + 3 * REFUTATIONS_PER_START,
        )

    def test_view_digest_and_observers(self):
        view = View(2)
        for record in (SENDER, TARGET, LEAVING, LEFT, *members(6)):
            view.merge(0, record)
        self.assertEqual(f"{view.digest:016x}", "12cc9f6f70b5cba1")
        used = [i for i, digest in enumerate(view.buckets) if digest]
        self.assertEqual(used, [12, 14, 17, 33, 41, 44, 55, 56])
        names = {record.id: record.name for record in view.records.values()}
        observers = sorted(names[observer] for observer in view.rings.observers(SENDER.id))
        self.assertEqual(observers, ["other-3", "other-4"])


class Signals(unittest.TestCase):
    """The load signal of 14 bits."""

    def test_load_reports(self):
        self.assertEqual([int(stage) for stage in ServingStage], [0, 1, 2, 3])
        for report, signal in (
            (LoadReport(1.0, 0.0, 1.0, ServingStage.WARM), 0x150F),
            (LoadReport(0.2, 0.4, 2.4, ServingStage.WITHDRAWN), 0x3C63),
            (LoadReport(0.0, 1.0, 3.0, ServingStage.DRAINING), 0x2FF0),
            (LoadReport(0.0, 0.0, 0.0, ServingStage.COLD), 0),
        ):
            self.assertEqual(report.pack(), signal)
            self.assertEqual(unpack_report(signal), report)


class Seals(unittest.TestCase):
    def test_key_file(self):
        self.assertEqual(parse_keys(KEY_FILE), (FIRST_KEY, SECOND_KEY))

    def test_sealed_datagrams(self):
        """The message, the count and the keyed digest of the first two datagrams of a start."""
        seal = Seal("orders", (FIRST_KEY, SECOND_KEY))
        for count, text in enumerate(SEALED, 1):
            self.assertEqual(seal.seal(RECORDED["hello"]).hex(), RECORDED["hello"].hex() + text)
            sealed = bytes.fromhex(RECORDED["hello"].hex() + text)
            for keys in ((FIRST_KEY,), (SECOND_KEY, FIRST_KEY)):
                self.assertEqual(Seal("orders", keys).open(sealed), (RECORDED["hello"], count))
            self.assertIsNone(Seal("orders", (SECOND_KEY,)).open(sealed))
            self.assertIsNone(Seal("others", (FIRST_KEY,)).open(sealed))


if __name__ == "__main__":
    unittest.main()
