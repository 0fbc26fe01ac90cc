"""The rules of gullyoke/durability, and the slot file, without a disk."""

import errno
import pathlib
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from gullyoke.durability import (
    ActionKind,
    DiskHealth,
    DiskQuota,
    DiskState,
    DuplicateVerdict,
    FolderMark,
    KeyLedger,
    KeyRecord,
    PendingWrites,
    RecordWrite,
    RunPhase,
    UndurablePolicy,
    assess_folder,
    judge_record,
)
from gullyoke.durability.disk_health import BAD_STATES, MAX_BAD_US
from gullyoke.durability.disk_quota import DataKind
from gullyoke.durability.folder_trust import next_mark
from gullyoke.durability.key_record import recovered_record
from gullyoke.durability.ledger_commands import LedgerAction
from gullyoke.durability.pending_writes import WRITE_TIMEOUT_US
from gullyoke.durability.record_table import KeyStage
from gullyoke.model_checking import key_ledger
from gullyoke.storage import SlotFile, StoreFaultedError, StoreFullError
from gullyoke.storage.slot_file import SLOT_COPY_BYTES, SLOT_FILE_NAME

HERE = pathlib.Path(__file__).parent
SECOND = 1_000_000


class DiskHealthTest(unittest.TestCase):
    def test_scenarios(self):
        """Runs disks/*.txt; tests/README.md describes the notation."""
        for path in sorted((HERE / "disks").glob("*.txt")):
            draws, calls = [0.0], {}
            health = DiskHealth(0, lambda draws=draws: draws[0])
            for number, line in enumerate(path.read_text().splitlines(), 1):
                words = line.partition("#")[0].split()
                if not words:
                    continue
                with self.subTest(path.stem, line=number):
                    self.run_line(health, draws, calls, int(words[0]) * 1000, words[1], words[2:])

    def run_line(self, health, draws, calls, now, verb, words):
        if verb in ("call", "tried"):
            fault = getattr(errno, words[0]) if words else None
            health.call_finished(now, health.call_started(now, verb), fault, verb == "tried")
        elif verb == "begin":
            calls[words[0]] = health.call_started(now, words[0])
        elif verb == "end":
            health.call_finished(now, calls.pop(words[0]))
        elif verb == "free":
            health.set_free_share(float(words[0]))
        elif verb == "is":
            self.assertEqual(health.update_state(now).value, " ".join(words))
        elif verb == "trial":
            self.assertEqual(health.claim_probe(now), words == ["yes"])
        else:  # "takes": random numbers below the share are accepted, those above it are not
            share = float(words[0])
            draws[0] = share - 0.01
            self.assertTrue(health.admit_write(now))
            draws[0] = share + 0.01
            self.assertEqual(health.admit_write(now), share == 1)

    @settings(max_examples=60, deadline=None, derandomize=True, database=None)
    @given(st.integers(0, 10**6))
    def test_no_flapping(self, seed):
        """A disk that fails in random calls changes its state at most 40 times in 300 s.

        It is healthy MAX_BAD_US and 30 s after its last failure.
        """
        rng, now, changes = random.Random(seed), 0, []
        health = DiskHealth(0, rng.random)
        health.listeners.append(changes.append)
        faulty = True
        while now < 600 * SECOND:
            now += rng.randrange(100_000, 400_000)
            faulty = now < 300 * SECOND and rng.random() < 0.3
            probe = health.claim_probe(now)
            if probe or health.update_state(now) not in BAD_STATES:
                health.call_finished(
                    now, health.call_started(now, "sync"), errno.EIO if faulty else None, probe
                )
            if now > 300 * SECOND + MAX_BAD_US + 30 * SECOND:
                self.assertIs(health.update_state(now), DiskState.HEALTHY)
        self.assertLessEqual(len(changes), 40)  # while three calls in ten failed, for 300 s


class PendingWritesTest(unittest.TestCase):
    def test_expected_time_of_a_write(self):
        """The expected duration of a write is learned from earlier writes.

        While a write does not return, the expected duration grows with its age, and a request whose
        deadline would then be missed is not recorded.
        """
        writes = PendingWrites()
        for i in range(100):
            writes.write_started(i * 10_000, i)
            writes.write_finished(i * 10_000 + 2_000, i, True)
        self.assertLess(writes.expected_us(10**6), 3_000)
        self.assertTrue(writes.meets_deadline(0, 100_000, 50_000))
        writes.write_started(10**6, "stuck")
        self.assertGreater(writes.expected_us(10**6 + 300_000), 299_000)
        self.assertFalse(writes.meets_deadline(10**6 + 300_000, 10**6 + 800_000, 50_000))
        self.assertFalse(writes.is_overdue(10**6 + WRITE_TIMEOUT_US - 1, 10**6, 10**9))
        self.assertTrue(writes.is_overdue(10**6 + WRITE_TIMEOUT_US, 10**6, 10**9))
        writes.write_finished(10**6 + WRITE_TIMEOUT_US, "stuck", False)
        self.assertLess(writes.expected_us(10**7), 3_000)


class DiskQuotaTest(unittest.TestCase):
    def test_data_dropped_and_written_by_state(self):
        """The least valuable data is dropped first, key records never.

        Lease grants are written in every state, key records also on a disk that is near full, the
        fleet's record only on a healthy disk.
        """
        quota = DiskQuota(10_000)
        quota.used |= {
            DataKind.RUN_TIMES: 50,
            DataKind.FLEET_RECORD: 100,
            DataKind.RESULTS: 4_000,
            DataKind.KEY_RECORDS: 2_000,
        }
        self.assertAlmostEqual(quota.free_share(), 0.385)
        self.assertEqual(
            [(r.kind, r.size_bytes) for r in quota.to_reclaim(DiskState.NEAR_FULL)],
            [(DataKind.RUN_TIMES, 50), (DataKind.FLEET_RECORD, 100), (DataKind.RESULTS, 50)],
        )
        self.assertEqual(quota.to_reclaim(DiskState.HEALTHY), [])
        quota.used |= {DataKind.FLEET_RECORD: 1_600, DataKind.KEY_RECORDS: 9_000}
        self.assertEqual(
            [(r.kind, r.size_bytes) for r in quota.to_reclaim(DiskState.HEALTHY)],
            [(DataKind.FLEET_RECORD, 100)],
        )
        self.assertEqual(quota.to_reclaim(DiskState.FULL), [])
        quota.used |= dict.fromkeys(
            (DataKind.RUN_TIMES, DataKind.FLEET_RECORD, DataKind.RESULTS), 0
        )
        self.assertEqual(quota.to_reclaim(DiskState.NEAR_FULL), [])
        self.assertAlmostEqual(quota.free_share(), 0.1)
        for state in DiskState:
            written = [kind for kind in DataKind if quota.accepts_kind(kind, state)]
            self.assertEqual(written, sorted(written))
            self.assertIn(DataKind.LEASE_GRANTS, written)
        self.assertNotIn(
            DataKind.FLEET_RECORD,
            [k for k in DataKind if quota.accepts_kind(k, DiskState.NEAR_FULL)],
        )
        self.assertIn(
            DataKind.KEY_RECORDS,
            [k for k in DataKind if quota.accepts_kind(k, DiskState.NEAR_FULL)],
        )


class FolderTrustTest(unittest.TestCase):
    def test_every_folder_that_may_be_found(self):
        """Whether each kind of folder is believed and written to, and whether retries are doubted."""
        now = 10**15
        own = FolderMark(2, "n1", 100, now)
        for mark, rows, known, at, wanted in (
            (None, 0, 0, now, (False, True, False)),  # the first start
            (None, 0, 90, now, (False, True, True)),  # a lost folder: other servers know this name
            (None, 5, 0, now, (True, True, False)),  # a folder of format 1
            (own, 5, 100, now, (True, True, False)),
            (own, 5, 101, now, (False, True, True)),  # an older copy
            (own._replace(name="n2"), 5, 0, now, (False, True, False)),
            (own._replace(name="n2"), 5, 7, now, (False, True, True)),
            (own._replace(format=3), 5, 0, now, (False, False, True)),
            (own, 5, 0, now - 3600 * SECOND, (True, True, False)),  # the clock was set back
        ):
            with self.subTest(mark=mark, rows=rows, known=known):
                self.assertEqual(assess_folder(mark, rows, "n1", known, at)[:3], wanted)
        self.assertEqual(next_mark(own, "n1", 40, 7), FolderMark(2, "n1", 101, 7))
        self.assertEqual(next_mark(own, "n2", 40, 7).number, 40)

    def test_clock_that_went_back(self):
        """After the clock was set back, a record stays in force for its window from now."""
        record = KeyRecord(RunPhase.STARTED, 1, 10**15, 10**15 + 60 * SECOND)
        self.assertEqual(recovered_record(record, 10**14).window_end_us, 10**14 + 60 * SECOND)
        self.assertIs(judge_record(record, record.window_end_us + 1), DuplicateVerdict.MAY_RUN)
        self.assertIs(judge_record(record, record.window_end_us), DuplicateVerdict.UNKNOWN)


class KeyLedgerTest(unittest.TestCase):
    def test_every_order_of_events(self):
        """Attempts, failed and late writes, ends of runs and crashes for one key, in every order.

        A request never runs twice, is never rejected after a run, and a reported end is never lost.
        With any one of the guards removed, the exploration finds a violation.
        """
        for policy in UndurablePolicy:
            states, first_violation = key_ledger.explore_ledger(None, 30, policy)
            self.assertIsNone(first_violation)
            self.assertGreater(states, 1_000)
        for guard in key_ledger.MUTANTS:
            with self.subTest(guard):
                self.assertIsNotNone(key_ledger.explore_ledger(guard, 8).violation)

    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    def test_repeat_read_after_the_window(self):
        """The window ends by the arrival; a record stays until no repeat in time can be read."""
        unread = 4 * SECOND
        ledger = KeyLedger(1, UndurablePolicy.REJECT, 20_000, unread)
        write = ledger.request_run(0, "k", 0, 20 * SECOND, 5 * SECOND, 1000, True)
        ledger.write_finished(0, write, True)
        end = ledger.end_run(0, "k", 200, (), b"x", True)
        ledger.write_finished(0, end, True)
        self.assertIsNotNone(ledger.find(20 * SECOND, "k"))
        self.assertIsNone(ledger.find(20 * SECOND + 1, "k"))
        self.assertEqual(ledger.expire(24 * SECOND), [])
        restarted = KeyLedger(2, UndurablePolicy.REJECT, 20_000, unread)
        self.assertEqual(restarted.recover(24 * SECOND, [("k", end.record)]), [])
        self.assertIsNotNone(restarted.find(20 * SECOND, "k"))
        self.assertEqual(ledger.expire(24 * SECOND + 1), ["k"])
        self.assertEqual(restarted.recover(24 * SECOND + 1, [("m", end.record)]), ["m"])
        self.assertEqual((ledger.size_bytes, ledger.expiries), (0, []))

    @given(st.integers(0, 10**6), st.sampled_from(list(UndurablePolicy)))
    def test_bounds_in_random_runs(self, seed, policy):
        """Random outcomes of writes at random times.

        Each requested run gets one answer; the size stays within its limit and is the sum of the
        rows' sizes; when all windows are over, only abandoned rows remain.
        """
        rng, ledger, now, queue = random.Random(seed), KeyLedger(1, policy, 20_000), 0, []
        requested, answered, running = 0, 0, []

        def take(command):
            nonlocal answered
            if isinstance(command, RecordWrite):
                queue.append(command)
            elif isinstance(command, LedgerAction):
                answered += command.kind in (ActionKind.RUN, ActionKind.REJECT)
                if command.kind is ActionKind.RUN:
                    running.append(command.key)
                if command.kind is ActionKind.REJECT:
                    take(ledger.abandon(now, command.key))

        for _ in range(200):
            now += rng.randrange(300_000)
            step = rng.randrange(6)
            if step == 0:
                key = f"k{rng.randrange(40)}"
                known = ledger.find(now, key) is not None
                command = ledger.request_run(
                    now, key, now, now + 20 * SECOND, now + 5 * SECOND, 1000, rng.random() < 0.8
                )
                self.assertEqual(
                    known,
                    isinstance(command, LedgerAction)
                    and command.kind is ActionKind.REPORT_DUPLICATE,
                )
                requested += not known
                take(command)
            elif step in (1, 2) and queue:
                write = queue.pop(0)
                take(
                    ledger.write_finished(now, write, True)
                    if rng.random() < 0.8
                    else ledger.write_rejected(now, write)
                    if rng.random() < 0.5
                    else ledger.write_finished(now, write, False)
                )
            elif step == 3 and running:
                body = b"x" * rng.randrange(300)
                take(ledger.end_run(now, running.pop(), 200, (), body, rng.random() < 0.8))
            elif step == 4:
                for action in ledger.time_out_writes(now):
                    take(action)
            elif step == 5:
                ledger.expire(now)
                queue += ledger.drop_results(now, rng.randrange(200))
            self.assertLessEqual(ledger.size_bytes, 20_000)
            self.assertEqual(
                ledger.size_bytes, sum(row.record.memory_bytes() for row in ledger.rows.values())
            )
        for write in queue:
            take(ledger.write_finished(now, write, True))
        while running:
            take(ledger.end_run(now, running.pop(), 200, (), b"", False))
        self.assertEqual(requested, answered)
        ledger.expire(now + 60 * SECOND)
        self.assertEqual((ledger.expiries, len(ledger.result_keys)), ([], 0))
        self.assertEqual(
            [row.stage for row in ledger.rows.values() if row.stage is not KeyStage.ABANDONED], []
        )


class SlotFileInMemory:
    """A file in memory; `cut` is the number of bytes after which the next write fails."""

    def __init__(self, data=None):
        self.data = data
        self.cut = None

    def list_files(self):
        return [] if self.data is None else [SLOT_FILE_NAME]

    def read(self, name):
        return bytes(self.data)

    def allocate(self, name, size):
        self.data = (self.data or bytearray()).ljust(size, b"\0")

    def write_at(self, name, at, data):
        size = len(data) if self.cut is None else self.cut
        self.data[at : at + size] = data[:size]
        if self.cut is not None:
            raise OSError(errno.EIO, "cut")

    def sync(self, name):
        pass


class SlotFileTest(unittest.TestCase):
    def test_interrupted_write(self):
        """A write interrupted at every seventh byte leaves the old or the new value, intact.

        The other values stay; the file can be opened again and written to.
        """
        for cut in range(0, SLOT_COPY_BYTES, 7):
            files = SlotFileInMemory()
            slots = SlotFile(files, 3)
            slots.put([("a", b"1"), ("b", b"2")])
            slots.put([("a", b"3")])
            slots.put([("c", b"gone"), ("b", b"4")])
            slots.put([("c", None)])
            files.cut = cut
            with self.assertRaises(StoreFaultedError):
                slots.put([("a", b"5" * 100)])
            files.cut = None
            again = SlotFile(SlotFileInMemory(bytearray(files.data)), 3)
            got = dict(again.items())
            self.assertIn(got.pop("a"), (b"3", b"5" * 100))
            self.assertEqual(got, {"b": b"4"})
            again.put([("a", b"6"), ("d", b"7")])
            self.assertEqual(
                dict(SlotFile(again.files, 3).items()), {"a": b"6", "b": b"4", "d": b"7"}
            )

    @settings(max_examples=100, deadline=None, derandomize=True, database=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from("abcdef"), st.none() | st.binary(max_size=40), st.booleans())
        )
    )
    def test_like_a_dict(self, steps):
        """Compares random puts and deletions with a dict, and reopens the file in between.

        A put may fail only if all four slots are in use.
        """
        files, wanted = SlotFileInMemory(), {}
        slots = SlotFile(files, 4)
        for key, value, reopen in steps:
            try:
                slots.put([(key, value)])
                wanted[key] = value
            except StoreFullError:
                self.assertGreaterEqual(sum(v is not None for v in wanted.values()), 4)
            if reopen:
                slots = SlotFile(files, 4)
            self.assertEqual(
                dict(slots.items()), {k: v for k, v in wanted.items() if v is not None}
            )

    def test_value_too_long_for_a_slot(self):
        with self.assertRaises(StoreFullError):
            SlotFile(SlotFileInMemory(), 2).put([("a", bytes(SLOT_COPY_BYTES))])


if __name__ == "__main__":
    unittest.main()
