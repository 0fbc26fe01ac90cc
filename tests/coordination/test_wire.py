"""Shares between links on real sockets of one process.

Lent, passed on, and whatever does not fit dropped.
"""

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

PATIENCE, TOKENS = 25, 8
FIGURE = st.integers(0, 2**63)
LETTER = st.one_of(
    st.builds(LenderClaim, st.text(max_size=9), FIGURE, FIGURE),
    st.builds(LenderVote, st.text(max_size=9), FIGURE, FIGURE, st.text(max_size=9), st.booleans()),
    st.builds(
        QuotaRequest, st.text(max_size=9), FIGURE, FIGURE, FIGURE, st.floats(0.01, 100), FIGURE
    ),
    st.builds(QuotaGrant, st.text(max_size=9), FIGURE, FIGURE, FIGURE),
    st.builds(QuotaReturn, st.text(max_size=9), FIGURE, FIGURE, FIGURE),
)


class Wire(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    @given(LETTER, st.binary(max_size=60))
    def test_letters(self, letter, noise):
        """A letter comes back as it was, with what a later release appends passed over.

        Of another limit none; noise is malformed or none, and never anything else.
        """
        self.assertEqual(unpack(5, pack(5, letter)), letter)
        self.assertIsNone(unpack(6, pack(5, letter)))
        kind = (LenderClaim, LenderVote, QuotaRequest, QuotaGrant, QuotaReturn).index(type(letter))
        self.assertEqual(unpack(5, encode((5, kind, [*letter, "more"]))), letter)
        for body in (
            noise,
            encode((5, 9, [])),
            encode((5, kind, [noise])),
            encode((5, kind, [-1] * 5)),
        ):
            with contextlib.suppress(MalformedDatagramError):
                self.assertIsNone(unpack(5, body))

    def test_on_sockets(self):
        """Three share what two homes' majority lends; what one gives up another gets.

        A sender stated otherwise is counted and gets nothing; a vote from elsewhere than its home's
        address is none.
        """
        links = [PeerLink(("127.0.0.1", 0), Seal("f", (b"k" * 32,)), Metrics()) for _ in range(4)]
        at = ["{}:{}".format(*link.address) for link in links]
        homes = {f"p{i}": at[i] for i in range(3)}
        parts = []
        for i, link in enumerate(links):
            self.addCleanup(link.end)
            life = 100 + i
            limit = TOKENS if i < 3 else TOKENS + 1
            sharing = QuotaParticipant(
                clock.now(), life, homes, limit, 1, f"p{i}" if i < 3 else None, i < 3
            )
            part = SharedSlots(
                ConcurrencyPart(sharing, 0),
                homes,
                configuration_digest(homes, limit, 1),
                lambda name: None,
            )
            link.topics[TOPIC] = part
            parts.append(part)
            row = MemberRecord(
                f"p{i}", start_version(int(time.time())), Status.JOINING, at[i], "z", life
            )
            link.begin(Member(clock.now(), row, (at[0],), random.Random(i)))

        def eventually(ask, what):
            until = time.monotonic() + PATIENCE
            while not ask():
                self.assertLess(time.monotonic(), until, f"never came: {what}")
                time.sleep(0.05)

        def wants(part, count):
            """As many go out as are free, up to so many."""
            while part.own.out < count and part.request_slot(clock.now(), count - part.own.out - 1):
                part.call_started()
            return part.own.out

        eventually(lambda: wants(parts[0], 100) == 3 * TOKENS + 1, "all of it at one")
        self.assertEqual(wants(parts[1], 100), 1)  # its floor alone
        for _ in range(parts[0].own.out - 1):
            parts[0].call_ended(clock.now(), False, True)
        eventually(lambda: wants(parts[1], 100) == 3 * TOKENS + 1, "passed on")
        self.assertEqual(wants(parts[3], 100), 1)  # stated otherwise: none of theirs
        eventually(
            lambda: max(part.mismatched_messages for part in parts[:3]) > 0,
            "letters of another limit",
        )
        self.assertEqual(wants(parts[3], 100), 1)
        before = parts[2].own.participant.tenure.until_us
        forged = LenderVote("p2", 102, parts[2].own.participant.tenure.round, "p0", True)
        elsewhere = MemberRecord("p3", 1, Status.ALIVE, at[3], "z", 103)
        parts[2].own.participant.tenure.until_us = 0
        self.assertEqual(parts[2].handle(clock.now(), elsewhere, pack(parts[2].digest, forged)), ())
        self.assertLess(parts[2].own.participant.tenure.until_us, before + 1)


if __name__ == "__main__":
    unittest.main()
