"""The rules of what lasts, without a disk.

Its state, waits, rooms, trust, the notes of reqs, cells.
"""

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


class Disks(unittest.TestCase):
    def test_scenarios(self):
        """disks/*.txt, tests/README.md has the notation."""
        for path in sorted((HERE / "disks").glob("*.txt")):
            draws, out = [0.0], {}
            one = DiskHealth(0, lambda draws=draws: draws[0])
            for number, line in enumerate(path.read_text().splitlines(), 1):
                words = line.partition("#")[0].split()
                if not words:
                    continue
                with self.subTest(path.stem, line=number):
                    self.line(one, draws, out, int(words[0]) * 1000, words[1], words[2:])

    def line(self, one, draws, out, now, what, words):
        if what in ("call", "tried"):
            fault = getattr(errno, words[0]) if words else None
            one.call_finished(now, one.call_started(now, what), fault, what == "tried")
        elif what == "begin":
            out[words[0]] = one.call_started(now, words[0])
        elif what == "end":
            one.call_finished(now, out.pop(words[0]))
        elif what == "free":
            one.set_free_share(float(words[0]))
        elif what == "is":
            self.assertEqual(one.state(now).value, " ".join(words))
        elif what == "trial":
            self.assertEqual(one.claim_probe(now), words == ["yes"])
        else:  # takes a share: just under it yes, over it no
            share = float(words[0])
            draws[0] = share - 0.01
            self.assertTrue(one.accepts_writes(now))
            draws[0] = share + 0.01
            self.assertEqual(one.accepts_writes(now), share == 1)

    @settings(max_examples=60, deadline=None, derandomize=True, database=None)
    @given(st.integers(0, 10**6))
    def test_no_flapping(self, seed):
        """A disk that fails now and then for a while turns at most so often, however calls come; a
        minute and a half after it is well for good it is so said.
        """
        chance, now, turns = random.Random(seed), 0, []
        one = DiskHealth(0, chance.random)
        one.listeners.append(turns.append)
        faulty = True
        while now < 600 * SECOND:
            now += chance.randrange(100_000, 400_000)
            faulty = now < 300 * SECOND and chance.random() < 0.3
            trial = one.claim_probe(now)
            if trial or one.state(now) not in BAD_STATES:
                one.call_finished(
                    now, one.call_started(now, "sync"), errno.EIO if faulty else None, trial
                )
            if now > 300 * SECOND + MAX_BAD_US + 30 * SECOND:
                self.assertIs(one.state(now), DiskState.HEALTHY)
        self.assertLessEqual(len(turns), 40)  # 300 s of faults at every third call


class Waiting(unittest.TestCase):
    def test_waits(self):
        """What is usual is learned.

        One that does not come back makes the next one longer, and no promise is asked for that
        would come too late.
        """
        waits = PendingWrites()
        for i in range(100):
            waits.started(i * 10_000, i)
            waits.finished(i * 10_000 + 2_000, i, True)
        self.assertLess(waits.expected_us(10**6), 3_000)
        self.assertTrue(waits.in_time(0, 100_000, 50_000))
        waits.started(10**6, "stuck")
        self.assertGreater(waits.expected_us(10**6 + 300_000), 299_000)
        self.assertFalse(waits.in_time(10**6 + 300_000, 10**6 + 800_000, 50_000))
        self.assertFalse(waits.is_overdue(10**6 + WRITE_TIMEOUT_US - 1, 10**6, 10**9))
        self.assertTrue(waits.is_overdue(10**6 + WRITE_TIMEOUT_US, 10**6, 10**9))
        waits.finished(10**6 + WRITE_TIMEOUT_US, "stuck", False)
        self.assertLess(waits.expected_us(10**7), 3_000)


class Shares(unittest.TestCase):
    def test_rooms(self):
        """What is worth least goes first, notes in force never.

        In trouble only promises are written.
        """
        rooms = DiskQuota(10_000)
        rooms.used |= {
            DataKind.RUN_TIMES: 50,
            DataKind.FLEET_RECORD: 100,
            DataKind.RESULTS: 4_000,
            DataKind.KEY_RECORDS: 2_000,
        }
        self.assertAlmostEqual(rooms.free_share(), 0.385)
        self.assertEqual(
            [(g.kind, g.size_bytes) for g in rooms.to_reclaim(DiskState.NEAR_FULL)],
            [(DataKind.RUN_TIMES, 50), (DataKind.FLEET_RECORD, 100), (DataKind.RESULTS, 50)],
        )
        self.assertEqual(rooms.to_reclaim(DiskState.HEALTHY), [])
        rooms.used |= {DataKind.FLEET_RECORD: 1_600, DataKind.KEY_RECORDS: 9_000}
        self.assertEqual(
            [(g.kind, g.size_bytes) for g in rooms.to_reclaim(DiskState.HEALTHY)],
            [(DataKind.FLEET_RECORD, 100)],
        )
        self.assertEqual(rooms.to_reclaim(DiskState.FULL), [])
        rooms.used |= dict.fromkeys(
            (DataKind.RUN_TIMES, DataKind.FLEET_RECORD, DataKind.RESULTS), 0
        )
        self.assertEqual(rooms.to_reclaim(DiskState.NEAR_FULL), [])
        self.assertAlmostEqual(rooms.free_share(), 0.1)
        for state in DiskState:
            written = [kind for kind in DataKind if rooms.is_written(kind, state)]
            self.assertEqual(written, sorted(written))
            self.assertIn(DataKind.LEASE_GRANTS, written)
        self.assertNotIn(
            DataKind.FLEET_RECORD, [k for k in DataKind if rooms.is_written(k, DiskState.NEAR_FULL)]
        )
        self.assertIn(
            DataKind.KEY_RECORDS, [k for k in DataKind if rooms.is_written(k, DiskState.NEAR_FULL)]
        )


class Trusting(unittest.TestCase):
    def test_folders(self):
        """Each folder that may lie there after a restart.

        Whether it is believed, written to, doubted.
        """
        now = 10**15
        own = FolderMark(2, "n1", 100, now)
        for mark, rows, known, at, wanted in (
            (None, 0, 0, now, (False, True, False)),  # the first start
            (None, 0, 90, now, (False, True, True)),  # a lost folder: others know this name
            (None, 5, 0, now, (True, True, False)),  # of format 1
            (own, 5, 100, now, (True, True, False)),
            (own, 5, 101, now, (False, True, True)),  # an older copy
            (own._replace(name="n2"), 5, 0, now, (False, True, False)),
            (own._replace(name="n2"), 5, 7, now, (False, True, True)),
            (own._replace(format=3), 5, 0, now, (False, False, True)),
            (own, 5, 0, now - 3600 * SECOND, (True, True, False)),
        ):  # the clock went back
            with self.subTest(mark=mark, rows=rows, known=known):
                self.assertEqual(assess_folder(mark, rows, "n1", known, at)[:3], wanted)
        self.assertEqual(next_mark(own, "n1", 40, 7), FolderMark(2, "n1", 101, 7))
        self.assertEqual(next_mark(own, "n2", 40, 7).number, 40)

    def test_clock(self):
        """After a clock went back a note is in force for its window from now, not for a year."""
        note = KeyRecord(RunPhase.STARTED, 1, 10**15, 10**15 + 60 * SECOND)
        self.assertEqual(recovered_record(note, 10**14).window_end_us, 10**14 + 60 * SECOND)
        self.assertIs(judge_record(note, note.window_end_us + 1), DuplicateVerdict.MAY_RUN)
        self.assertIs(judge_record(note, note.window_end_us), DuplicateVerdict.UNKNOWN)


class Ledgers(unittest.TestCase):
    def test_walked(self):
        """Every order of tries, writes that fail or come late, ends and crashes of one key, to the
        last state: never a second run, never turned away after one, never an end told that is lost.
        Without one of the guards the walk finds one.
        """
        for policy in UndurablePolicy:
            states, wrong = key_ledger.explore_ledger(None, 30, policy)
            self.assertIsNone(wrong)
            self.assertGreater(states, 1_000)
        for guard in key_ledger.MUTANTS:
            with self.subTest(guard):
                self.assertIsNotNone(key_ledger.explore_ledger(guard, 8).violation)

    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(st.integers(0, 10**6), st.sampled_from(list(UndurablePolicy)))
    def test_bounds(self, seed, without):
        """Whatever the disk says and in whatever moment.

        Each run that was asked for is told one thing; bytes stay within the bound and are those of
        the rows; when all windows are over nothing is left.
        """
        chance, one, now, queue = random.Random(seed), KeyLedger(1, without, 20_000), 0, []
        asked, told, running = 0, 0, []

        def take(said):
            nonlocal told
            if isinstance(said, RecordWrite):
                queue.append(said)
            elif isinstance(said, LedgerAction):
                told += said.kind in (ActionKind.RUN, ActionKind.REJECT)
                if said.kind is ActionKind.RUN:
                    running.append(said.key)
                if said.kind is ActionKind.REJECT:
                    take(one.abandon(now, said.key))

        for _ in range(200):
            now += chance.randrange(300_000)
            what = chance.randrange(6)
            if what == 0:
                key = f"k{chance.randrange(40)}"
                known = one.find(now, key) is not None
                said = one.request_run(
                    now, key, now, now + 20 * SECOND, now + 5 * SECOND, 1000, chance.random() < 0.8
                )
                self.assertEqual(
                    known,
                    isinstance(said, LedgerAction) and said.kind is ActionKind.REPORT_DUPLICATE,
                )
                asked += not known
                take(said)
            elif what in (1, 2) and queue:
                put = queue.pop(0)
                take(
                    one.write_finished(now, put, True)
                    if chance.random() < 0.8
                    else one.write_rejected(now, put)
                    if chance.random() < 0.5
                    else one.write_finished(now, put, False)
                )
            elif what == 3 and running:
                body = b"x" * chance.randrange(300)
                take(one.end_run(now, running.pop(), 200, (), body, chance.random() < 0.8))
            elif what == 4:
                for act in one.time_out_writes(now):
                    take(act)
            elif what == 5:
                one.expire(now)
                queue += one.drop_results(now, chance.randrange(200))
            self.assertLessEqual(one.size_bytes, 20_000)
            self.assertEqual(
                one.size_bytes, sum(row.record.memory_bytes() for row in one.rows.values())
            )
        for put in queue:
            take(one.write_finished(now, put, True))
        while running:
            take(one.end_run(now, running.pop(), 200, (), b"", False))
        self.assertEqual(asked, told)
        one.expire(now + 60 * SECOND)
        self.assertEqual((one.window_ends, len(one.results)), ([], 0))
        self.assertEqual(
            [row.stage for row in one.rows.values() if row.stage is not KeyStage.ABANDONED], []
        )


class Fixed:
    """A file in memory whose writes may be cut."""

    def __init__(self, data=None):
        self.data = data
        self.cut = None  # so many bytes of the next write come there

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


class Cell(unittest.TestCase):
    def test_cuts(self):
        """A write cut at every byte.

        The value before or the new one, whole; all others as they were; it opens and goes on.
        """
        for cut in range(0, SLOT_COPY_BYTES, 7):
            files = Fixed()
            cells = SlotFile(files, 3)
            cells.put([("a", b"1"), ("b", b"2")])
            cells.put([("a", b"3")])
            cells.put([("c", b"gone"), ("b", b"4")])
            cells.put([("c", None)])
            files.cut = cut
            with self.assertRaises(StoreFaultedError):
                cells.put([("a", b"5" * 100)])
            files.cut = None
            again = SlotFile(Fixed(bytearray(files.data)), 3)
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
        """Any puts and removals, starts in between.

        What was put is there; a sixth key finds no cell.
        """
        files, wanted = Fixed(), {}
        cells = SlotFile(files, 4)
        for key, value, anew in steps:
            try:
                cells.put([(key, value)])
                wanted[key] = value
            except StoreFullError:
                self.assertGreaterEqual(sum(v is not None for v in wanted.values()), 4)
            if anew:
                cells = SlotFile(files, 4)
            self.assertEqual(
                dict(cells.items()), {k: v for k, v in wanted.items() if v is not None}
            )

    def test_too_long(self):
        with self.assertRaises(StoreFullError):
            SlotFile(Fixed(), 2).put([("a", bytes(SLOT_COPY_BYTES))])


if __name__ == "__main__":
    unittest.main()
