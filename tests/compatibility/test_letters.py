"""Letters between members, beside membership: of shares, of quotas and of duties."""

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

U64_MOST = 2**64 - 1
LIFE = 0x1122334455667788
HOMES = {"server-2": "10.0.0.2:7900", "server-1": "10.0.0.1:7900", "server-3": "10.0.0.3:7900"}
SLOTS_DIGEST = 0xC60444CC64F92D3C
QUOTA_DIGEST = 0x9E3265CC29AFA4D2

SHARES_LETTERS = {
    "claim": LenderClaim("server-1", LIFE, 3),
    "promise": LenderVote("server-1", LIFE, 3, "server-2", True),
    "want": QuotaRequest("server-1", LIFE, 9, 12, 2.5, 4),
    "want with defaults": QuotaRequest("server-1", LIFE, 10, 1),
    "grant": QuotaGrant("server-1", LIFE, 9, 11),
    "return": QuotaReturn("server-1", LIFE, 9, 7),
}
DUTY_LETTERS = {
    "sound": PreVote("roll", LIFE, "server-1", 5, 2),
    "ask": LeaseRequest("roll", LIFE, "server-1", 1_700_000_000, 6, 2),
    "said": VoteReply(
        "roll", LIFE, 6, "server-2", True, True, 1_700_000_000, LIFE, "server-1", 3_000_000, 2
    ),
    "said of nobody": VoteReply("roll", LIFE, 5, "server-2", False, False, 0, NOBODY, "", 0, 2),
    "done": LeaseRelease("roll", LIFE, 1_700_000_000, "server-3", True),
    "pass": HandoverOffer("roll", LIFE, 1_700_000_000),
    "ready": HandoverAccept("roll", U64_MOST, 1_700_000_000),
    "learn": EpochQuery("server-2", LIFE, 4),
    "learned": EpochReply("server-3", 4, (("ask", 7, LIFE, "server-1"), ("roll", 8, 0, "")), False),
    "learned of a fresh one": EpochReply("server-3", 4, (), True),
    "keep": WriteRecord("roll", LIFE, 1_700_000_000, 2, b'{"state":"idle"}\xff'),
    "kept": RecordWritten("roll", LIFE, "server-2", 1_700_000_000, 2, True),
    "fetch": ReadRecord("roll", LIFE, 1_700_000_000),
    "fetched": RecordRead("roll", LIFE, "server-2", 1_700_000_000, 1_699_999_999, 9, b"body"),
    "notice": Announcement("ask", 1_700_000_000, LIFE, "server-1", b"dead"),
    "order": Instruction("roll", 1_700_000_000, LIFE, "drain", b"1699999999"),
    "plea": ForwardedCommand("roll", "pause"),
}


class SharesLetters(unittest.TestCase):
    recorded = recorded_hex("shares-letters.json")

    def test_topics(self):
        self.assertEqual(
            (quota_service.TOPIC, lease_service.TOPIC, quota_service.TENANT_QUOTA_TOPIC), (1, 2, 3)
        )

    def test_digest_of_what_is_stated(self):
        """Servers that are stated alike have the same digest, in any order of the homes."""
        self.assertEqual(quota_codec.configuration_digest(HOMES, 120, 8), SLOTS_DIGEST)
        self.assertEqual(
            quota_codec.configuration_digest(HOMES, 160, 4, "acme", f"{12.5:g}"), QUOTA_DIGEST
        )

    def test_letters_are_read(self):
        self.assertEqual(list(self.recorded), list(SHARES_LETTERS))
        for name, message in SHARES_LETTERS.items():
            with self.subTest(name):
                found = quota_codec.unpack(SLOTS_DIGEST, self.recorded[name])
                self.assertIs(type(found), type(message))
                self.assertEqual(found, message)
                self.assertIsNone(quota_codec.unpack(QUOTA_DIGEST, self.recorded[name]))

    def test_letters_are_written_with_the_same_bytes(self):
        for name, message in SHARES_LETTERS.items():
            with self.subTest(name):
                self.assertEqual(
                    quota_codec.pack(SLOTS_DIGEST, message).hex(), self.recorded[name].hex()
                )

    def test_what_a_later_release_appends_is_passed_over(self):
        for name, message in SHARES_LETTERS.items():
            with self.subTest(name):
                digest, kind, fields = msgspec.msgpack.decode(self.recorded[name])
                longer = msgspec.msgpack.encode([digest, kind, [*fields, "later"]])
                self.assertEqual(quota_codec.unpack(SLOTS_DIGEST, longer), message)

    def test_unknown_kind_is_malformed(self):
        with self.assertRaises(MalformedDatagramError):
            quota_codec.unpack(SLOTS_DIGEST, msgspec.msgpack.encode([SLOTS_DIGEST, 5, []]))


class DutyLetters(unittest.TestCase):
    recorded = recorded_hex("duty-letters.json")

    def test_letters_are_read(self):
        self.assertEqual(list(self.recorded), list(DUTY_LETTERS))
        for name, message in DUTY_LETTERS.items():
            with self.subTest(name):
                found = lease_codec.unpack(self.recorded[name])
                self.assertIs(type(found), type(message))
                self.assertEqual(found, message)

    def test_letters_are_written_with_the_same_bytes(self):
        for name, message in DUTY_LETTERS.items():
            with self.subTest(name):
                self.assertEqual(lease_codec.pack(message).hex(), self.recorded[name].hex())

    def test_what_a_later_release_appends_is_passed_over(self):
        for name, message in DUTY_LETTERS.items():
            with self.subTest(name):
                kind, fields = msgspec.msgpack.decode(self.recorded[name])
                longer = msgspec.msgpack.encode([kind, [*fields, "later"]])
                self.assertEqual(lease_codec.unpack(longer), message)

    def test_unknown_kind_is_malformed(self):
        with self.assertRaises(MalformedDatagramError):
            lease_codec.unpack(msgspec.msgpack.encode([15, []]))


class BoundsOfNumbers(unittest.TestCase):
    """Numbers of letters of both topics are from 0 to 2**64, fractions and nested ones as well."""

    def assert_malformed(self, kind, fields):
        with self.assertRaises(MalformedDatagramError):
            lease_codec.unpack(msgspec.msgpack.encode([kind, fields]))

    def test_fractions_of_shares(self):
        for weight in (-0.5, 2.0**64, float("inf"), float("nan")):
            with self.subTest(weight), self.assertRaises(MalformedDatagramError):
                body = [SLOTS_DIGEST, 2, ["server-1", LIFE, 9, 12, weight, 4]]
                quota_codec.unpack(SLOTS_DIGEST, msgspec.msgpack.encode(body))

    def test_numbers_of_duties(self):
        self.assert_malformed(5, ["roll", -1, 1_700_000_000])
        self.assert_malformed(5, ["roll", LIFE, -1])

    def test_nested_numbers_of_duties(self):
        for entry in (["ask", -1, LIFE, "server-1"], ["ask", 7, -1, "server-1"]):
            with self.subTest(entry):
                self.assert_malformed(7, ["server-3", 4, [["roll", 8, 0, ""], entry], False])


if __name__ == "__main__":
    unittest.main()
