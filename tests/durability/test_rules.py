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
    Condition,
    Do,
    Ledger,
    Mark,
    Note,
    Phase,
    Put,
    Rooms,
    State,
    Verdict,
    Waits,
    Without,
    judged,
    trusted,
)
from gullyoke.durability.disk_health import BAD, DWELL_LONGEST
from gullyoke.durability.disk_quota import Kind
from gullyoke.durability.folder_trust import marked
from gullyoke.durability.key_ledger import Act, Stage
from gullyoke.durability.key_record import recovered
from gullyoke.durability.pending_writes import LONGEST
from gullyoke.model_checking import key_ledger as notes
from gullyoke.storage import Cells, StoreFaultedError, StoreFullError
from gullyoke.storage.slot_file import NAME, SIZE

HERE = pathlib.Path(__file__).parent
SECOND = 1_000_000


class Disks(unittest.TestCase):
    def test_scenarios(self):
        """disks/*.txt, tests/README.md has the notation."""
        for path in sorted((HERE / "disks").glob("*.txt")):
            draws, out = [0.0], {}
            one = Condition(0, lambda draws=draws: draws[0])
            for number, line in enumerate(path.read_text().splitlines(), 1):
                words = line.partition("#")[0].split()
                if not words:
                    continue
                with self.subTest(path.stem, line=number):
                    self.line(one, draws, out, int(words[0]) * 1000, words[1], words[2:])

    def line(self, one, draws, out, now, what, words):
        if what in ("call", "tried"):
            fault = getattr(errno, words[0]) if words else None
            one.ended(now, one.began(now, what), fault, what == "tried")
        elif what == "begin":
            out[words[0]] = one.began(now, words[0])
        elif what == "end":
            one.ended(now, out.pop(words[0]))
        elif what == "free":
            one.room(now, float(words[0]))
        elif what == "is":
            self.assertEqual(one.state(now).value, " ".join(words))
        elif what == "trial":
            self.assertEqual(one.trial(now), words == ["yes"])
        else:  # takes a share: just under it yes, over it no
            share = float(words[0])
            draws[0] = share - 0.01
            self.assertTrue(one.takes(now))
            draws[0] = share + 0.01
            self.assertEqual(one.takes(now), share == 1)

    @settings(max_examples=60, deadline=None, derandomize=True, database=None)
    @given(st.integers(0, 10**6))
    def test_no_flapping(self, seed):
        """A disk that fails now and then for a while turns at most so often, however calls come; a
        minute and a half after it is well for good it is so said.
        """
        chance, now, turns = random.Random(seed), 0, []
        one = Condition(0, chance.random)
        one.heed.append(turns.append)
        faulty = True
        while now < 600 * SECOND:
            now += chance.randrange(100_000, 400_000)
            faulty = now < 300 * SECOND and chance.random() < 0.3
            trial = one.trial(now)
            if trial or one.state(now) not in BAD:
                one.ended(now, one.began(now, "sync"), errno.EIO if faulty else None, trial)
            if now > 300 * SECOND + DWELL_LONGEST + 30 * SECOND:
                self.assertIs(one.state(now), State.WELL)
        self.assertLessEqual(len(turns), 40)  # 300 s of faults at every third call


class Waiting(unittest.TestCase):
    def test_waits(self):
        """What is usual is learned.

        One that does not come back makes the next one longer, and no promise is asked for that
        would come too late.
        """
        waits = Waits()
        for i in range(100):
            waits.began(i * 10_000, i)
            waits.ended(i * 10_000 + 2_000, i, True)
        self.assertLess(waits.usual(10**6), 3_000)
        self.assertTrue(waits.in_time(0, 100_000, 50_000))
        waits.began(10**6, "stuck")
        self.assertGreater(waits.usual(10**6 + 300_000), 299_000)
        self.assertFalse(waits.in_time(10**6 + 300_000, 10**6 + 800_000, 50_000))
        self.assertFalse(waits.overdue(10**6 + LONGEST - 1, 10**6, 10**9))
        self.assertTrue(waits.overdue(10**6 + LONGEST, 10**6, 10**9))
        waits.ended(10**6 + LONGEST, "stuck", False)
        self.assertLess(waits.usual(10**7), 3_000)


class Shares(unittest.TestCase):
    def test_rooms(self):
        """What is worth least goes first, notes in force never.

        In trouble only promises are written.
        """
        rooms = Rooms(10_000)
        rooms.used |= {Kind.MEMORY: 50, Kind.RECORD: 100, Kind.RESULTS: 4_000, Kind.NOTES: 2_000}
        self.assertAlmostEqual(rooms.left(), 0.385)
        self.assertEqual(
            [(g.kind, g.bytes) for g in rooms.goes(State.NEAR_FULL)],
            [(Kind.MEMORY, 50), (Kind.RECORD, 100), (Kind.RESULTS, 50)],
        )
        self.assertEqual(rooms.goes(State.WELL), [])
        rooms.used |= {Kind.RECORD: 1_600, Kind.NOTES: 9_000}
        self.assertEqual([(g.kind, g.bytes) for g in rooms.goes(State.WELL)], [(Kind.RECORD, 100)])
        self.assertEqual(rooms.goes(State.FULL), [])
        rooms.used |= dict.fromkeys((Kind.MEMORY, Kind.RECORD, Kind.RESULTS), 0)
        self.assertEqual(rooms.goes(State.NEAR_FULL), [])
        self.assertAlmostEqual(rooms.left(), 0.1)
        for state in State:
            written = [kind for kind in Kind if rooms.writes(kind, state)]
            self.assertEqual(written, sorted(written))
            self.assertIn(Kind.PROMISES, written)
        self.assertNotIn(Kind.RECORD, [k for k in Kind if rooms.writes(k, State.NEAR_FULL)])
        self.assertIn(Kind.NOTES, [k for k in Kind if rooms.writes(k, State.NEAR_FULL)])


class Trusting(unittest.TestCase):
    def test_folders(self):
        """Each folder that may lie there after a restart.

        Whether it is believed, written to, doubted.
        """
        now = 10**15
        own = Mark(2, "n1", 100, now)
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
                self.assertEqual(trusted(mark, rows, "n1", known, at)[:3], wanted)
        self.assertEqual(marked(own, "n1", 40, 7), Mark(2, "n1", 101, 7))
        self.assertEqual(marked(own, "n2", 40, 7).number, 40)

    def test_clock(self):
        """After a clock went back a note is in force for its window from now, not for a year."""
        note = Note(Phase.NOTED, 1, 10**15, 10**15 + 60 * SECOND)
        self.assertEqual(recovered(note, 10**14).until, 10**14 + 60 * SECOND)
        self.assertIs(judged(note, note.until + 1), Verdict.RUNS)
        self.assertIs(judged(note, note.until), Verdict.UNKNOWN)


class Ledgers(unittest.TestCase):
    def test_walked(self):
        """Every order of tries, writes that fail or come late, ends and crashes of one key, to the
        last state: never a second run, never turned away after one, never an end told that is lost.
        Without one of the guards the walk finds one.
        """
        for without in Without:
            states, wrong = notes.found(None, 30, without)
            self.assertIsNone(wrong)
            self.assertGreater(states, 1_000)
        for guard in notes.MUTANTS:
            with self.subTest(guard):
                self.assertIsNotNone(notes.found(guard, 8)[1])

    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(st.integers(0, 10**6), st.sampled_from(list(Without)))
    def test_bounds(self, seed, without):
        """Whatever the disk says and in whatever moment.

        Each run that was asked for is told one thing; bytes stay within the bound and are those of
        the rows; when all windows are over nothing is left.
        """
        chance, one, now, queue = random.Random(seed), Ledger(1, without, 20_000), 0, []
        asked, told, running = 0, 0, []

        def take(said):
            nonlocal told
            if isinstance(said, Put):
                queue.append(said)
            elif isinstance(said, Act):
                told += said.do in (Do.RUN, Do.UNRUN)
                if said.do is Do.RUN:
                    running.append(said.key)
                if said.do is Do.UNRUN:
                    take(one.left(now, said.key))

        for _ in range(200):
            now += chance.randrange(300_000)
            what = chance.randrange(6)
            if what == 0:
                key = f"k{chance.randrange(40)}"
                known = one.past(now, key) is not None
                said = one.asked(
                    now, key, now, now + 20 * SECOND, now + 5 * SECOND, 1000, chance.random() < 0.8
                )
                self.assertEqual(known, isinstance(said, Act) and said.do is Do.KNOWN)
                asked += not known
                take(said)
            elif what in (1, 2) and queue:
                put = queue.pop(0)
                take(
                    one.written(now, put, True)
                    if chance.random() < 0.8
                    else one.unqueued(now, put)
                    if chance.random() < 0.5
                    else one.written(now, put, False)
                )
            elif what == 3 and running:
                body = b"x" * chance.randrange(300)
                take(one.ended(now, running.pop(), 200, (), body, chance.random() < 0.8))
            elif what == 4:
                for act in one.overdue(now):
                    take(act)
            elif what == 5:
                one.expire(now)
                queue += one.shrink(now, chance.randrange(200))
            self.assertLessEqual(one.bytes, 20_000)
            self.assertEqual(one.bytes, sum(row.note.size() for row in one.rows.values()))
        for put in queue:
            take(one.written(now, put, True))
        while running:
            take(one.ended(now, running.pop(), 200, (), b"", False))
        self.assertEqual(asked, told)
        one.expire(now + 60 * SECOND)
        self.assertEqual((one.ends, len(one.results)), ([], 0))
        self.assertEqual(
            [row.stage for row in one.rows.values() if row.stage is not Stage.LEFT], []
        )


class Fixed:
    """A file in memory whose writes may be cut."""

    def __init__(self, data=None):
        self.data = data
        self.cut = None  # so many bytes of the next write come there

    def names(self):
        return [] if self.data is None else [NAME]

    def read(self, name):
        return bytes(self.data)

    def make(self, name, size):
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
        for cut in range(0, SIZE, 7):
            files = Fixed()
            cells = Cells(files, 3)
            cells.put([("a", b"1"), ("b", b"2")])
            cells.put([("a", b"3")])
            cells.put([("c", b"gone"), ("b", b"4")])
            cells.put([("c", None)])
            files.cut = cut
            with self.assertRaises(StoreFaultedError):
                cells.put([("a", b"5" * 100)])
            files.cut = None
            again = Cells(Fixed(bytearray(files.data)), 3)
            got = dict(again.items())
            self.assertIn(got.pop("a"), (b"3", b"5" * 100))
            self.assertEqual(got, {"b": b"4"})
            again.put([("a", b"6"), ("d", b"7")])
            self.assertEqual(dict(Cells(again.files, 3).items()), {"a": b"6", "b": b"4", "d": b"7"})

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
        cells = Cells(files, 4)
        for key, value, anew in steps:
            try:
                cells.put([(key, value)])
                wanted[key] = value
            except StoreFullError:
                self.assertGreaterEqual(sum(v is not None for v in wanted.values()), 4)
            if anew:
                cells = Cells(files, 4)
            self.assertEqual(
                dict(cells.items()), {k: v for k, v in wanted.items() if v is not None}
            )

    def test_too_long(self):
        with self.assertRaises(StoreFullError):
            Cells(Fixed(), 2).put([("a", bytes(SIZE))])


if __name__ == "__main__":
    unittest.main()
