"""Quota messages between links on real sockets of one process: leased, passed on, and rejected."""

import contextlib
import random
import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from gullyoke.coordination.limit_parts import ConcurrencyPart
from gullyoke.coordination.quota_messages import (
    LenderClaim,
    LenderVote,
    QuotaGrant,
    QuotaRequest,
    QuotaReturn,
)
from gullyoke.coordination.quota_participant import QuotaParticipant
from gullyoke.membership import Member, MemberRecord, Status, start_version
from gullyoke.peer_transport.field_readers import MalformedDatagramError
from gullyoke.peer_transport.link import PeerLink
from gullyoke.peer_transport.quota_codec import configuration_digest, encode, pack, unpack
from gullyoke.peer_transport.quota_service import TOPIC, SharedSlots
from gullyoke.peer_transport.seal import Seal
from gullyoke.runtime import clock
from gullyoke.runtime.metrics import Metrics

TIMEOUT_S, TOKENS = 25, 8
NUMBER = st.integers(0, 2**63)
MESSAGE = st.one_of(
    st.builds(LenderClaim, st.text(max_size=9), NUMBER, NUMBER),
    st.builds(LenderVote, st.text(max_size=9), NUMBER, NUMBER, st.text(max_size=9), st.booleans()),
    st.builds(
        QuotaRequest, st.text(max_size=9), NUMBER, NUMBER, NUMBER, st.floats(0.01, 100), NUMBER
    ),
    st.builds(QuotaGrant, st.text(max_size=9), NUMBER, NUMBER, NUMBER),
    st.builds(QuotaReturn, st.text(max_size=9), NUMBER, NUMBER, NUMBER),
)


class QuotaMessages(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    @given(MESSAGE, st.binary(max_size=60))
    def test_packing(self, message, noise):
        """A message is unpacked as it was packed; fields that a later release appends are ignored.

        Messages of another limit give None; noise gives None or MalformedDatagramError.
        """
        self.assertEqual(unpack(5, pack(5, message)), message)
        self.assertIsNone(unpack(6, pack(5, message)))
        kind = (LenderClaim, LenderVote, QuotaRequest, QuotaGrant, QuotaReturn).index(type(message))
        self.assertEqual(unpack(5, encode((5, kind, [*message, "more"]))), message)
        for body in (
            noise,
            encode((5, 9, [])),
            encode((5, kind, [noise])),
            encode((5, kind, [-1] * 5)),
        ):
            with contextlib.suppress(MalformedDatagramError):
                self.assertIsNone(unpack(5, body))

    def test_on_sockets(self):
        """Three processes share the tokens of three lenders; one's returned tokens go to another.

        A process with a different configuration is counted and gets nothing; a vote that does not
        come from the voter's configured address is ignored.
        """
        links = [PeerLink(("127.0.0.1", 0), Seal("f", (b"k" * 32,)), Metrics()) for _ in range(4)]
        addresses = ["{}:{}".format(*link.address) for link in links]
        lenders = {f"p{i}": addresses[i] for i in range(3)}
        parts = []
        for i, link in enumerate(links):
            self.addCleanup(link.end)
            incarnation = 100 + i
            limit = TOKENS if i < 3 else TOKENS + 1
            own_participant = QuotaParticipant(
                clock.now(), incarnation, lenders, limit, 1, f"p{i}" if i < 3 else None, i < 3
            )
            part = SharedSlots(
                ConcurrencyPart(own_participant, 0),
                lenders,
                configuration_digest(lenders, limit, 1),
                lambda name: None,
            )
            link.topics[TOPIC] = part
            parts.append(part)
            record = MemberRecord(
                f"p{i}",
                start_version(int(time.time())),
                Status.JOINING,
                addresses[i],
                "z",
                incarnation,
            )
            link.begin(Member(clock.now(), record, (addresses[0],), random.Random(i)))

        def eventually(condition, what):
            deadline = time.monotonic() + TIMEOUT_S
            while not condition():
                self.assertLess(time.monotonic(), deadline, f"did not happen in time: {what}")
                time.sleep(0.05)

        def start_calls(part, count):
            """Start calls while slots are free, up to `count` in flight; return how many are."""
            while part.own.calls_in_flight < count and part.request_slot(
                clock.now(), count - part.own.calls_in_flight - 1
            ):
                part.call_started()
            return part.own.calls_in_flight

        eventually(
            lambda: start_calls(parts[0], 100) == 3 * TOKENS + 1, "all tokens at one process"
        )
        self.assertEqual(start_calls(parts[1], 100), 1)  # its floor only
        for _ in range(parts[0].own.calls_in_flight - 1):
            parts[0].call_ended(clock.now(), False, True)
        eventually(lambda: start_calls(parts[1], 100) == 3 * TOKENS + 1, "tokens passed on")
        self.assertEqual(start_calls(parts[3], 100), 1)  # another configuration: only its floor
        eventually(
            lambda: max(part.others for part in parts[:3]) > 0, "messages of another limit counted"
        )
        self.assertEqual(start_calls(parts[3], 100), 1)
        before = parts[2].own.participant.tenure.until_us
        forged = LenderVote("p2", 102, parts[2].own.participant.tenure.round, "p0", True)
        elsewhere = MemberRecord("p3", 1, Status.ALIVE, addresses[3], "z", 103)
        parts[2].own.participant.tenure.until_us = 0
        self.assertEqual(parts[2].handle(clock.now(), elsewhere, pack(parts[2].digest, forged)), ())
        self.assertLess(parts[2].own.participant.tenure.until_us, before + 1)


if __name__ == "__main__":
    unittest.main()
