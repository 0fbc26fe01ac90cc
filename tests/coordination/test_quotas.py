"""Tenants' quotas leased as rates: they follow the requests and never exceed the quota."""

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

TIMEOUT_S = 25
SECOND = 1_000_000


class TenantQuotas(unittest.TestCase):
    def test_quota_follows_requests(self):
        """A tenant that sends to two of sixteen servers gets most of its quota, also after it moves
        to two others; if the quota were divided by the size of the fleet, it would get an eighth.
        With and without message loss, the parts of all servers never exceed the quota.
        """
        for load, moves, loss, least in (
            (0.9, False, 0.0, 0.7),
            (0.9, True, 0.0, 0.45),
            (0.9, False, 0.2, 0.3),
        ):
            with self.subTest(load=load, moves=moves, loss=loss):
                by_size = asked(2, 16, 2, load, False, span=16 * SECOND, moves=moves, loss=loss)
                leased = asked(2, 16, 2, load, True, span=16 * SECOND, moves=moves, loss=loss)
                self.assertLess(by_size.within, 0.2)
                self.assertGreater(leased.within, least)
                self.assertLessEqual(leased.over, 1e-9)
        overload = asked(2, 16, 2, 2.0, True, span=16 * SECOND)
        self.assertLess(overload.rate, 1.05)  # requests at twice the quota are not all admitted
        self.assertLessEqual(overload.over, 1e-9)

    def test_arrival_rate(self):
        """Requests are counted in complete bins; after a pause the rate is 0."""
        rate = ArrivalRate()
        for i in range(100):
            rate.record(i * 10_000)
        self.assertEqual(rate.per_second(SECOND), 100.0)
        self.assertEqual(rate.per_second(SECOND + 3 * BIN_US), 0.0)

    def test_tenant_without_a_leased_quota(self):
        self.assertIsNone(Tenant("c", 5.0).count_request(0))

    def test_on_sockets(self):
        """Three servers share the quotas of two tenants, each with messages of its own.

        One server gets most of one quota; the other quota is unaffected. A message for an unknown
        quota is counted and ignored, and a malformed one raises.
        """
        links = [PeerLink(("127.0.0.1", 0), Seal("f", (b"k" * 32,)), Metrics()) for _ in range(3)]
        addresses = ["{}:{}".format(*link.address) for link in links]
        lenders, total = {f"p{i}": addresses[i] for i in range(3)}, tokens(3)
        services = []
        for i, link in enumerate(links):
            self.addCleanup(link.end)
            limits = []
            for name in ("big", "small"):
                participant = QuotaParticipant(
                    clock.now(), 100 + i, lenders, 12, 4, f"p{i}", True, 0, 0
                )
                limits.append(
                    SharedQuota(
                        TenantQuotaPart(participant, 300.0, total),
                        lenders,
                        configuration_digest(lenders, total, 4, name, "300"),
                        lambda name: None,
                    )
                )
            link.topics[TENANT_QUOTA_TOPIC] = TenantQuotaService(limits)
            services.append(link.topics[TENANT_QUOTA_TOPIC])
            record = MemberRecord(
                f"p{i}", start_version(int(time.time())), Status.JOINING, addresses[i], "z", 100 + i
            )
            link.begin(Member(clock.now(), record, (addresses[0],), random.Random(i)))
        big, small = services[0].limits.values()
        deadline, rate = time.monotonic() + TIMEOUT_S, 0.0
        while rate < 240:
            self.assertLess(time.monotonic(), deadline, rate)
            rate = big.count_request(clock.now())
            time.sleep(0.004)
        self.assertEqual(small.own.rate_in_force(clock.now()), 25.0)
        self.assertEqual(services[0].handle(0, None, encode((1, 0, []))), ())
        self.assertEqual(services[0].others, 1)
        with self.assertRaises(MalformedDatagramError):
            services[0].handle(0, None, b"\xc1")


if __name__ == "__main__":
    unittest.main()
