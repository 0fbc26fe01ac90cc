"""Load reports: compact, stable values, and medians that tell a slow server from a full fleet."""

import itertools
import random
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from gullyoke.coordination.signals import (
    MAX_SENDERS,
    MIN_SENDERS,
    REPORT_VALID_US,
    STATE_DWELL_US,
    LoadAssessment,
    LoadReport,
    ReceivedReports,
    ReportSmoother,
    ServingStage,
    summarize_peers,
    unpack_report,
)

SHARE = st.floats(0, 1)
REPORT = st.builds(LoadReport, SHARE, SHARE, st.floats(0, 3), st.sampled_from(ServingStage))
HEALTHY = LoadReport(0.6, 0.0, 1.0, ServingStage.WARM)
FULL = LoadReport(0.0, 0.6, 1.0, ServingStage.WARM)


class LoadReports(unittest.TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    @given(REPORT, st.integers(0, 2**64))
    def test_packing(self, report, any_number):
        """A packed report is unpacked within half a step; any number is a valid report."""
        unpacked = unpack_report(report.pack())
        self.assertLessEqual(abs(unpacked.free_capacity - report.free_capacity), 0.04)
        self.assertLessEqual(abs(unpacked.rejected_share - report.rejected_share), 0.04)
        self.assertLessEqual(abs(unpacked.latency_ratio - report.latency_ratio), 0.11)
        self.assertEqual(
            (unpacked.stage, unpack_report(any_number).pack()), (report.stage, any_number & 0x3FFF)
        )

    def test_no_flicker(self):
        """A value that varies around the border between two steps is sent as one of them."""
        smoother, rng = ReportSmoother(), random.Random(1)
        sent = [
            smoother.pack(LoadReport(0.5 + rng.uniform(-0.04, 0.04), 0.1, 1.0, ServingStage.WARM))
            for _ in range(400)
        ]
        self.assertLessEqual(sum(a != b for a, b in itertools.pairwise(sent[20:])), 4)
        for _ in range(30):
            last = smoother.pack(FULL)
        self.assertEqual(last, FULL.pack())

    @settings(max_examples=100, deadline=None, derandomize=True, database=None)
    @given(
        st.lists(
            REPORT.map(lambda r: r._replace(stage=ServingStage.WARM)), min_size=9, max_size=30
        ),
        REPORT,
    )
    def test_a_false_report_moves_a_median_by_one_place(self, reports, false_report):
        """With any one report added, the summary stays between the neighbours of the median."""
        summary = summarize_peers([*reports, false_report._replace(stage=ServingStage.WARM)])
        for name in ("free_capacity", "rejected_share", "latency_ratio"):
            ranked = sorted(getattr(r, name) for r in reports)
            middle = len(ranked) // 2
            self.assertLessEqual(ranked[max(0, middle - 1)], getattr(summary, name) + 1e-9)
            self.assertGreaterEqual(
                ranked[min(len(ranked) - 1, middle + 1)] + 1e-9, getattr(summary, name)
            )

    def test_outdated_reports(self):
        """Reports that are too old, out of order or from before a pause do not count, and too few
        reports or none of warm servers give no summary.
        """
        received = ReceivedReports()
        for sender in range(MIN_SENDERS):
            received.take(0, sender, 5, HEALTHY.pack())
        received.take(10, 0, 4, FULL.pack())  # out of order: older than that sender's last report
        self.assertIsNotNone(summarize_peers(received.valid(REPORT_VALID_US)))
        self.assertGreater(summarize_peers(received.valid(REPORT_VALID_US)).free_capacity, 0.5)
        self.assertIsNone(summarize_peers(received.valid(REPORT_VALID_US + 1)))
        for sender in range(3 * MAX_SENDERS):
            received.take(REPORT_VALID_US + 2, sender, 1, HEALTHY.pack())
        self.assertEqual(len(received.rows), MAX_SENDERS)
        received.clear()
        self.assertIsNone(summarize_peers(received.valid(REPORT_VALID_US + 3)))
        self.assertIsNone(summarize_peers([HEALTHY._replace(stage=ServingStage.DRAINING)] * 20))

    def test_slow_or_full(self):
        """A server that alone is slow lets its rejected requests go elsewhere, and withdraws after
        a while until it has recovered.

        If all servers are full, it does neither. Without reports it decides by itself.
        """
        assessment, slow = LoadAssessment(lambda: 0.5), HEALTHY._replace(latency_ratio=2.5)
        self.assertEqual(
            (assessment.is_overloaded(True), assessment.is_overloaded(False)), (True, False)
        )
        self.assertEqual(assessment.retry_after(1000), 1000)
        assessment.update(0, slow, [HEALTHY] * 10)
        self.assertEqual(
            (assessment.is_overloaded(True), assessment.is_overloaded(False), assessment.withdrawn),
            (True, False, False),
        )
        assessment.update(STATE_DWELL_US, slow, [HEALTHY] * 10)
        self.assertTrue(assessment.withdrawn)
        assessment.update(STATE_DWELL_US + 1, HEALTHY, [HEALTHY] * 10)
        assessment.update(2 * STATE_DWELL_US + 1, HEALTHY, [HEALTHY] * 10)
        self.assertFalse(assessment.withdrawn)
        for now in (0, STATE_DWELL_US, 3 * STATE_DWELL_US):
            assessment.update(now, slow, [FULL._replace(latency_ratio=2.4)] * 10)
        self.assertEqual((assessment.is_overloaded(False), assessment.withdrawn), (True, False))

    def test_few_servers_withdraw(self):
        """When a third of the fleet becomes slow together, only about a tenth of it withdraws.

        One sender of false reports never makes another server withdraw.
        """
        assessments = [LoadAssessment(lambda: 0.5) for _ in range(30)]
        ratios = [3.0 if i < 10 else 1.0 for i in range(30)]
        for cycle in range(40):
            now = cycle * 500_000 + 1
            reports = [
                LoadReport(
                    0.3,
                    0.0,
                    ratios[i],
                    ServingStage.WITHDRAWN if one.withdrawn else ServingStage.WARM,
                )
                for i, one in enumerate(assessments)
            ]
            # One after another: each sees the new reports of the earlier ones.
            for i, one in enumerate(assessments):
                reports[i] = LoadReport(
                    0.3,
                    0.0,
                    ratios[i],
                    ServingStage.WITHDRAWN if one.withdrawn else ServingStage.WARM,
                )
                one.update(now, reports[i], reports)
                reports[i] = LoadReport(
                    0.3,
                    0.0,
                    ratios[i],
                    ServingStage.WITHDRAWN if one.withdrawn else ServingStage.WARM,
                )
        out_of_service = [one.withdrawn for one in assessments]
        self.assertLessEqual(sum(out_of_service), 4)
        self.assertFalse(any(out_of_service[10:]))
        deceived = LoadAssessment(lambda: 0.5)
        for now in range(0, 10 * STATE_DWELL_US, STATE_DWELL_US // 3):
            deceived.update(
                now, HEALTHY, [HEALTHY] * 8 + [LoadReport(1.0, 0.0, 0.0, ServingStage.WARM)]
            )
        self.assertFalse(deceived.withdrawn)

    def test_retry_advice_is_spread(self):
        """Clients that follow the advice return spread evenly over its range, and later if the
        peers have more free capacity.
        """
        assessment = LoadAssessment(random.Random(3).random)
        assessment.update(0, HEALTHY._replace(free_capacity=0.0), [HEALTHY] * 10)
        waits = [assessment.retry_after(100_000) for _ in range(4000)]
        tenths = Counter((x - 80_000) * 10 // 160_001 for x in waits)
        self.assertLess(max(tenths.values()), 2 * min(tenths.values()))
        self.assertGreater(min(waits), 79_000)
        assessment.update(0, HEALTHY._replace(free_capacity=0.9), [HEALTHY] * 10)
        shorter_waits = [assessment.retry_after(100_000) for _ in range(1000)]
        self.assertLess(sum(shorter_waits) / 1000, sum(waits) / 4000)


if __name__ == "__main__":
    unittest.main()
