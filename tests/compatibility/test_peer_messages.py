"""Messages between members besides membership: of quota leases and of leases."""

import unittest

import msgspec

from compatibility.recorded import recorded_hex
from gullyoke.coordination.quota_messages import (
    LenderClaim,
    LenderVote,
    QuotaGrant,
    QuotaRequest,
    QuotaReturn,
)
from gullyoke.leases.announcements import Announcement, ForwardedCommand, Instruction
from gullyoke.leases.messages import (
    NOBODY,
    EpochQuery,
    EpochReply,
    HandoverAccept,
    HandoverOffer,
    LeaseRelease,
    LeaseRequest,
    PreVote,
    VoteReply,
)
from gullyoke.leases.replicated_record import ReadRecord, RecordRead, RecordWritten, WriteRecord
from gullyoke.peer_transport import lease_codec, lease_service, quota_codec, quota_service
from gullyoke.peer_transport.field_readers import MalformedDatagramError

U64_MAX = 2**64 - 1
INCARNATION = 0x1122334455667788
LENDERS = {"server-2": "10.0.0.2:7900", "server-1": "10.0.0.1:7900", "server-3": "10.0.0.3:7900"}
SLOTS_DIGEST = 0xC60444CC64F92D3C
QUOTA_DIGEST = 0x9E3265CC29AFA4D2

QUOTA_MESSAGES = {
    "claim": LenderClaim("server-1", INCARNATION, 3),
    "promise": LenderVote("server-1", INCARNATION, 3, "server-2", True),
    "want": QuotaRequest("server-1", INCARNATION, 9, 12, 2.5, 4),
    "want with defaults": QuotaRequest("server-1", INCARNATION, 10, 1),
    "grant": QuotaGrant("server-1", INCARNATION, 9, 11),
    "return": QuotaReturn("server-1", INCARNATION, 9, 7),
}
LEASE_MESSAGES = {
    "sound": PreVote("roll", INCARNATION, "server-1", 5, 2),
    "ask": LeaseRequest("roll", INCARNATION, "server-1", 1_700_000_000, 6, 2),
    "said": VoteReply(
        "roll",
        INCARNATION,
        6,
        "server-2",
        True,
        True,
        1_700_000_000,
        INCARNATION,
        "server-1",
        3_000_000,
        2,
    ),
    "said of nobody": VoteReply(
        "roll", INCARNATION, 5, "server-2", False, False, 0, NOBODY, "", 0, 2
    ),
    "done": LeaseRelease("roll", INCARNATION, 1_700_000_000, "server-3", True),
    "pass": HandoverOffer("roll", INCARNATION, 1_700_000_000),
    "ready": HandoverAccept("roll", U64_MAX, 1_700_000_000),
    "learn": EpochQuery("server-2", INCARNATION, 4),
    "learned": EpochReply(
        "server-3", 4, (("ask", 7, INCARNATION, "server-1"), ("roll", 8, 0, "")), False
    ),
    "learned of a fresh one": EpochReply("server-3", 4, (), True),
    "keep": WriteRecord("roll", INCARNATION, 1_700_000_000, 2, b'{"state":"idle"}\xff'),
    "kept": RecordWritten("roll", INCARNATION, "server-2", 1_700_000_000, 2, True),
    "fetch": ReadRecord("roll", INCARNATION, 1_700_000_000),
    "fetched": RecordRead(
        "roll", INCARNATION, "server-2", 1_700_000_000, 1_699_999_999, 9, b"body"
    ),
    "notice": Announcement("ask", 1_700_000_000, INCARNATION, "server-1", b"dead"),
    "order": Instruction("roll", 1_700_000_000, INCARNATION, "drain", b"1699999999"),
    "plea": ForwardedCommand("roll", "pause"),
}


class QuotaMessages(unittest.TestCase):
    recorded = recorded_hex("shares-letters.json")

    def test_topics(self):
        self.assertEqual(
            (quota_service.TOPIC, lease_service.TOPIC, quota_service.TENANT_QUOTA_TOPIC), (1, 2, 3)
        )

    def test_configuration_digest(self):
        """The digest depends on the configuration, not on the order of the lenders."""
        self.assertEqual(quota_codec.configuration_digest(LENDERS, 120, 8), SLOTS_DIGEST)
        self.assertEqual(
            quota_codec.configuration_digest(LENDERS, 160, 4, "acme", f"{12.5:g}"), QUOTA_DIGEST
        )

    def test_messages_are_read(self):
        self.assertEqual(list(self.recorded), list(QUOTA_MESSAGES))
        for name, message in QUOTA_MESSAGES.items():
            with self.subTest(name):
                found = quota_codec.unpack(SLOTS_DIGEST, self.recorded[name])
                self.assertIs(type(found), type(message))
                self.assertEqual(found, message)
                self.assertIsNone(quota_codec.unpack(QUOTA_DIGEST, self.recorded[name]))

    def test_messages_are_written_with_the_same_bytes(self):
        for name, message in QUOTA_MESSAGES.items():
            with self.subTest(name):
                self.assertEqual(
                    quota_codec.pack(SLOTS_DIGEST, message).hex(), self.recorded[name].hex()
                )

    def test_appended_fields_are_ignored(self):
        for name, message in QUOTA_MESSAGES.items():
            with self.subTest(name):
                digest, kind, fields = msgspec.msgpack.decode(self.recorded[name])
                longer = msgspec.msgpack.encode([digest, kind, [*fields, "later"]])
                self.assertEqual(quota_codec.unpack(SLOTS_DIGEST, longer), message)

    def test_unknown_kind_is_malformed(self):
        with self.assertRaises(MalformedDatagramError):
            quota_codec.unpack(SLOTS_DIGEST, msgspec.msgpack.encode([SLOTS_DIGEST, 5, []]))


class LeaseMessages(unittest.TestCase):
    recorded = recorded_hex("duty-letters.json")

    def test_messages_are_read(self):
        self.assertEqual(list(self.recorded), list(LEASE_MESSAGES))
        for name, message in LEASE_MESSAGES.items():
            with self.subTest(name):
                found = lease_codec.unpack(self.recorded[name])
                self.assertIs(type(found), type(message))
                self.assertEqual(found, message)

    def test_messages_are_written_with_the_same_bytes(self):
        for name, message in LEASE_MESSAGES.items():
            with self.subTest(name):
                self.assertEqual(lease_codec.pack(message).hex(), self.recorded[name].hex())

    def test_appended_fields_are_ignored(self):
        for name, message in LEASE_MESSAGES.items():
            with self.subTest(name):
                kind, fields = msgspec.msgpack.decode(self.recorded[name])
                longer = msgspec.msgpack.encode([kind, [*fields, "later"]])
                self.assertEqual(lease_codec.unpack(longer), message)

    def test_unknown_kind_is_malformed(self):
        with self.assertRaises(MalformedDatagramError):
            lease_codec.unpack(msgspec.msgpack.encode([15, []]))


class BoundsOfNumbers(unittest.TestCase):
    """Numbers in messages of both topics are from 0 to 2**64, also fractions and nested ones."""

    def assert_malformed(self, kind, fields):
        with self.assertRaises(MalformedDatagramError):
            lease_codec.unpack(msgspec.msgpack.encode([kind, fields]))

    def test_fractions_in_quota_messages(self):
        for weight in (-0.5, 2.0**64, float("inf"), float("nan")):
            with self.subTest(weight), self.assertRaises(MalformedDatagramError):
                body = [SLOTS_DIGEST, 2, ["server-1", INCARNATION, 9, 12, weight, 4]]
                quota_codec.unpack(SLOTS_DIGEST, msgspec.msgpack.encode(body))

    def test_numbers_in_lease_messages(self):
        self.assert_malformed(5, ["roll", -1, 1_700_000_000])
        self.assert_malformed(5, ["roll", INCARNATION, -1])

    def test_nested_numbers_in_lease_messages(self):
        for entry in (["ask", -1, INCARNATION, "server-1"], ["ask", 7, -1, "server-1"]):
            with self.subTest(entry):
                self.assert_malformed(7, ["server-3", 4, [["roll", 8, 0, ""], entry], False])


if __name__ == "__main__":
    unittest.main()
