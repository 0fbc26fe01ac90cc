"""Customers' quotas lent as rates.

They follow who is asked, and never come to more than there is.
"""

import random
import time
import unittest

from gullyoke.admission.interface import Tenant
from gullyoke.coordination.quota_participant import QuotaParticipant
from gullyoke.coordination.tenant_quotas import BIN_US, ArrivalRate, TenantQuotaPart, tokens
from gullyoke.emulator.quotas import asked
from gullyoke.membership import Member, MemberRecord, Status, start_version
from gullyoke.peer_transport.field_readers import MalformedDatagramError
from gullyoke.peer_transport.link import PeerLink
from gullyoke.peer_transport.quota_codec import configuration_digest, encode
from gullyoke.peer_transport.quota_service import (
    TENANT_QUOTA_TOPIC,
    SharedQuota,
    TenantQuotaService,
)
from gullyoke.peer_transport.seal import Seal
from gullyoke.runtime import clock
from gullyoke.runtime.metrics import Metrics

PATIENCE = 25
SECOND = 1_000_000


class Quotaed(unittest.TestCase):
    def test_follows(self):
        """A customer that asks two of sixteen servers keeps what it is entitled to, and where it
        moves too; by the fleet's size an eighth of it. With loss and without, the parts of all are
        never over the quota.
        """
        for load, moves, loss, least in (
            (0.9, False, 0.0, 0.7),
            (0.9, True, 0.0, 0.45),
            (0.9, False, 0.2, 0.3),
        ):
            with self.subTest(load=load, moves=moves, loss=loss):
                by_size = asked(2, 16, 2, load, False, span=16 * SECOND, moves=moves, loss=loss)
                lent = asked(2, 16, 2, load, True, span=16 * SECOND, moves=moves, loss=loss)
                self.assertLess(by_size.within, 0.2)
                self.assertGreater(lent.within, least)
                self.assertLessEqual(lent.over, 1e-9)
        flood = asked(2, 16, 2, 2.0, True, span=16 * SECOND)
        self.assertLess(flood.rate, 1.05)  # twice the quota and more is not let in
        self.assertLessEqual(flood.over, 1e-9)

    def test_rate(self):
        """Reqs are counted by whole bins; after a pause nothing comes."""
        rate = ArrivalRate()
        for i in range(100):
            rate.record(i * 10_000)
        self.assertEqual(rate.per_second(SECOND), 100.0)
        self.assertEqual(rate.per_second(SECOND + 3 * BIN_US), 0.0)

    def test_not_lent(self):
        self.assertIsNone(Tenant("c", 5.0).count_request(0))

    def test_on_sockets(self):
        """Three servers, two customers.

        Each quota goes by letters of its own, one server comes to have most of one, and what is
        stated otherwise is counted and nothing else.
        """
        links = [PeerLink(("127.0.0.1", 0), Seal("f", (b"k" * 32,)), Metrics()) for _ in range(3)]
        at = ["{}:{}".format(*link.address) for link in links]
        homes, whole = {f"p{i}": at[i] for i in range(3)}, tokens(3)
        topics = []
        for i, link in enumerate(links):
            self.addCleanup(link.end)
            limits = []
            for name in ("big", "small"):
                sharing = QuotaParticipant(clock.now(), 100 + i, homes, 12, 4, f"p{i}", True, 0, 0)
                limits.append(
                    SharedQuota(
                        TenantQuotaPart(sharing, 300.0, whole),
                        homes,
                        configuration_digest(homes, whole, 4, name, "300"),
                        lambda name: None,
                    )
                )
            link.topics[TENANT_QUOTA_TOPIC] = TenantQuotaService(limits)
            topics.append(link.topics[TENANT_QUOTA_TOPIC])
            row = MemberRecord(
                f"p{i}", start_version(int(time.time())), Status.JOINING, at[i], "z", 100 + i
            )
            link.begin(Member(clock.now(), row, (at[0],), random.Random(i)))
        big, small = topics[0].limits.values()
        until, part = time.monotonic() + PATIENCE, 0.0
        while part < 240:
            self.assertLess(time.monotonic(), until, part)
            part = big.count_request(clock.now())
            time.sleep(0.004)
        self.assertEqual(small.own.rate_in_force(clock.now()), 25.0)
        self.assertEqual(topics[0].handle(0, None, encode((1, 0, []))), ())
        self.assertEqual(topics[0].mismatched_messages, 1)
        with self.assertRaises(MalformedDatagramError):
            topics[0].handle(0, None, b"\xc1")


if __name__ == "__main__":
    unittest.main()
