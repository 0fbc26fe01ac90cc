"""The store: power cuts, damaged files, errors of the disk, and killed writers."""

import itertools
import json
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
import unittest

from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from gullyoke.cli.main import main
from gullyoke.runtime.metrics import Metrics
from gullyoke.storage import (
    GroupCommitter,
    StorageFolder,
    Store,
    StoreFaultedError,
    StoreFullError,
    StoreVersionError,
)
from gullyoke.storage.append_file import MAX_QUEUED_LINES, AppendFile
from gullyoke.storage.disk_monitor import DiskMonitor
from gullyoke.storage.record import (
    LocatedRecord,
    Record,
    RecordKind,
    pack_record,
    scan_records,
    segment_header,
)

ROOT = pathlib.Path(__file__).parents[2]


class FolderInMemory:
    """A folder in memory that tracks which data is durable.

    `fail` has, for each operation that fails, how many calls succeed before and the error number;
    `watch` is called before each operation.
    """

    def __init__(self, files=()):
        self.files = dict(files)  # all data that was written
        self.synced = {name: len(data) for name, data in self.files.items()}
        self.folder = set(self.files)  # names that are durable
        self.removed = {}  # files whose removal is not durable yet
        self.fail, self.calls, self.watch = {}, 0, None

    def _call(self, operation):
        if self.watch:
            self.watch()
        self.calls += 1
        if (fault := self.fail.get(operation)) and fault[0] <= 0:
            raise OSError(fault[1], operation)
        if operation in self.fail:
            self.fail[operation] = (self.fail[operation][0] - 1, self.fail[operation][1])

    def list_files(self):
        return sorted(self.files)

    def read(self, name):
        return self.files[name]

    def read_at(self, name, at, size):
        return self.files[name][at : at + size]

    def create(self, name):
        self._call("create")
        self.files[name], self.synced[name] = b"", 0

    def append(self, name, data):
        self._call("append")
        self.files[name] += data
        self._call("appended")

    def sync(self, name):
        self._call("sync")
        self.synced[name] = len(self.files[name])

    def close_file(self, name): ...

    def remove(self, name):
        self._call("remove")
        self.removed[name] = self.files.pop(name)

    def sync_folder(self):
        self._call("sync_folder")
        self.folder, self.removed = set(self.files), {}

    def crashes(self):
        """Every state that a power cut at this moment may leave.

        Unsynced bytes may be cut off anywhere, or a block of them may be missing. Without a sync of
        the folder, new files may be missing and removed files may still exist.
        """
        durable = {
            n: d for n, d in self.files.items() if n in self.folder and self.synced[n] == len(d)
        }
        uncertain = [n for n in self.files if n not in durable]
        choices = []
        for name in uncertain:
            data, safe = self.files[name], self.synced[name]
            states = [data[:cut] for cut in range(safe, len(data) + 1)]
            if len(data) - safe > 8:  # a block in the middle that was never written
                at = safe + (len(data) - safe) // 3
                states.append(data[:at] + bytes(8) + data[at + 8 :])
            choices.append([(name, s) for s in states] + ([] if name in self.folder else [None]))
        choices += [[(n, d), None] for n, d in self.removed.items()]
        for state in itertools.product(*choices):
            yield durable | dict(x for x in state if x)


SCRIPT = [
    [("a", b"1"), ("b", b"22")],
    [("a", b"333")],
    [("c", b"x" * 40)],
    [("b", None)],
    [("a", b"4"), ("d", b"5")],
    [("c", b"y" * 40)],
    [("d", None), ("e", b"6")],
    [("c", b"z" * 40)],
    [("a", b"777")],
    [("f", b"8" * 30)],
]


class StoreTest(unittest.TestCase):
    def test_formats(self):
        """A folder of format 1, whose segments have no header, is read and written to.

        A folder of a later format is not opened, and nothing in it changes.
        """
        old = FolderInMemory(
            {
                "0000000001.seg": pack_record(Record(1, "a", b"1"))
                + pack_record(Record(2, "b", b"2"))
            }
        )
        store = Store(old)
        self.assertEqual(
            (store.oldest_format, dict(store.items()), store.dropped_bytes),
            (1, {"a": b"1", "b": b"2"}, 0),
        )
        store.put([("a", b"3")])
        again = Store(FolderInMemory(old.files))
        self.assertEqual((again.oldest_format, dict(again.items())), (1, {"a": b"3", "b": b"2"}))
        self.assertEqual(
            Store(FolderInMemory({"0000000001.seg": segment_header()})).oldest_format, 2
        )
        later = FolderInMemory(
            {
                "0000000001.seg": pack_record(Record(3, "", b"", RecordKind.HEADER))
                + pack_record(Record(1, "a", b"1"))
            }
        )
        before = dict(later.files)
        with self.assertRaises(StoreVersionError):
            Store(later)
        self.assertEqual(later.files, before)

    def test_power_cut_at_every_operation(self):
        """Every state that a power cut may leave at any operation, also during compaction.

        The store opens, acknowledged values are there, those being written are there or not, and
        the store can be written to and opened again.
        """
        files, states, acknowledged, pending = FolderInMemory(), 0, {}, {}
        store, compactions = Store(files, segment_bytes=120), 0

        def check_crash_states():
            nonlocal states
            for state in files.crashes():
                states += 1
                again = Store(FolderInMemory(state), segment_bytes=120)
                got = dict(again.items())
                for key in "abcdef":
                    allowed = {acknowledged.get(key)} | (
                        {pending[key]} if key in pending else set()
                    )
                    self.assertIn(got.get(key), allowed, (key, state))
                self.assertLessEqual(set(got), set("abcdef"))
                if states % 50 == 0:
                    again.put([("new", b"9")])
                    self.assertEqual(
                        dict(Store(FolderInMemory(again.files.files)).items()), got | {"new": b"9"}
                    )

        files.watch = check_crash_states
        for batch in SCRIPT:
            pending = dict(batch)
            store.put(batch)
            acknowledged, pending = acknowledged | pending, {}
            check_crash_states()
            compactions = store.compacted_segments
        self.assertGreater(compactions, 1)
        self.assertGreater(states, 500)
        self.assertEqual(
            dict(store.items()), {k: v for k, v in acknowledged.items() if v is not None}
        )

    def test_damaged_files(self):
        """Each file truncated at each byte, and each byte changed or removed.

        Every record is either intact, or dropped with its bytes counted.
        """
        files = FolderInMemory()
        store = Store(files, segment_bytes=150)
        for batch in SCRIPT:
            store.put(batch)
        ever = {}
        for batch in SCRIPT:
            for key, value in batch:
                ever.setdefault(key, set()).add(value)
        for name, data in files.files.items():
            for at in range(len(data)):
                flipped = bytes([data[at] ^ 0x10])
                for damaged in (
                    data[:at],
                    data[:at] + flipped + data[at + 1 :],
                    data[:at] + data[at + 1 :],
                ):
                    again = Store(FolderInMemory(files.files | {name: damaged}))
                    for key, value in again.items():
                        self.assertIn(value, ever[key])
                    lost = sum(len(d) for d in again.files.files.values()) - sum(
                        f.size_bytes
                        for d in again.files.files.values()
                        for f in scan_records(d)
                        if isinstance(f, LocatedRecord)
                    )
                    self.assertEqual(again.dropped_bytes, lost)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.one_of(
                st.tuples(
                    st.just("put"),
                    st.lists(
                        st.tuples(st.sampled_from("abcdefgh"), st.none() | st.binary(max_size=60)),
                        min_size=1,
                        max_size=4,
                    ),
                ),
                st.tuples(
                    st.sampled_from(["reopen", "compact", "fail"]),
                    st.sampled_from(["append", "appended", "sync", "create"]),
                ),
            ),
            max_size=40,
        )
    )
    def test_like_a_dict(self, script):
        """Compares random puts with a dict, with disk errors, compactions and restarts between."""
        files, wanted = FolderInMemory(), {}
        store, uncertain = Store(files, segment_bytes=200), {}
        for verb, argument in script:
            if verb == "put":
                try:
                    store.put(argument)
                    for key, value in argument:
                        wanted[key] = value
                        uncertain.pop(key, None)
                except StoreFaultedError:
                    for key, value in argument:  # not applied, but a restart may find either value
                        uncertain.setdefault(key, {wanted.get(key)}).add(value)
                files.fail = {}
            elif verb == "fail":
                files.fail = {argument: (0, 5)}
            elif verb == "compact":
                store.compact(9)
            else:
                files.fail = {}
                store = Store(FolderInMemory(files.files), segment_bytes=200)
                files = store.files
                for key, values in uncertain.items():
                    self.assertIn(store.get(key), values)
                    wanted[key] = store.get(key)
                uncertain = {}
            for key in "abcdefgh":
                self.assertEqual(store.get(key), wanted.get(key))

    def test_disk_errors_and_quota(self):
        """Errors of the disk are raised and counted, and later writes succeed.

        A batch that does not fit the quota is rejected.
        """
        files = FolderInMemory()
        store = Store(files, segment_bytes=500, quota_bytes=400)
        store.put([("a", b"1" * 100)])
        for operation in ("append", "appended", "sync", "create"):
            files.fail = {operation: (0, 28)}
            if operation == "create":
                store.active_segment = None
            with self.assertRaises(StoreFaultedError):
                store.put([("a", b"2")])
            files.fail = {}
            self.assertEqual(store.get("a"), b"1" * 100)
        store.put([("b", b"3")])
        self.assertEqual((store.get("b"), store.faults), (b"3", 4))
        with self.assertRaises(StoreFullError):
            store.put([("c", b"4" * 300)])
        self.assertIsNone(store.get("c"))

    def test_space_used_by_overwrites(self):
        """Steady overwrites write at most three times the data, and old segments are removed."""
        files, written = FolderInMemory(), 0
        store, append = Store(files, segment_bytes=4000, quota_bytes=60_000), files.append

        def counted(name, data):
            nonlocal written
            written += len(data)
            append(name, data)

        files.append = counted
        for i in range(4000):
            store.put([(f"k{i % 50}", b"x" * 40)])
        self.assertLess(store.plan.total_bytes(), 4 * 50 * 70 + 8000)
        self.assertLess(written, 3 * 4000 * 70)
        self.assertEqual(len(store.keys()), 50)

    def test_real_folder_and_commands(self):
        """A real folder keeps a second user out, and the commands of `store` read its content."""
        with tempfile.TemporaryDirectory() as folder:
            disk = StorageFolder(folder)
            store = Store(disk, segment_bytes=300)
            for i in range(30):
                store.put([(f"k{i % 7}", b"%d" % i)])
            self.assertRaises(BlockingIOError, StorageFolder, folder)
            run = CliRunner().invoke
            self.assertEqual(run(main, ["store", "check", folder]).exit_code, 2)
            disk.close()
            got = run(main, ["store", "dump", folder, "--json"])
            self.assertEqual(json.loads(got.output), {k: v.hex() for k, v in store.items()})
            listed = run(main, ["store", "list", folder, "--json"])
            self.assertEqual(len(json.loads(listed.output)), 7)
            self.assertEqual(run(main, ["store", "compact", folder, "--json"]).exit_code, 0)
            last = sorted(pathlib.Path(folder).glob("*.seg"))[-1]
            with last.open("ab") as file:
                file.write(b"half a rec")
            damaged = run(main, ["store", "check", folder, "--json"])
            self.assertEqual(
                (damaged.exit_code, json.loads(damaged.output)["dropped_bytes"]), (1, 10)
            )

    def test_committer(self):
        """Entries are committed; after an error of the disk, `degraded` is set until the next."""
        files = FolderInMemory()
        committer = GroupCommitter(Store(files), max_entries=100)
        outcomes, all_finished = [], threading.Semaphore(0)

        def record_outcome(durable):
            outcomes.append(durable)
            all_finished.release()

        for i in range(60):
            self.assertTrue(committer.put(f"k{i}", b"v", record_outcome))
        for _ in range(60):
            self.assertTrue(all_finished.acquire(timeout=10))
        self.assertEqual((outcomes, committer.degraded), ([True] * 60, False))
        files.fail = {"sync": (0, 5)}
        committer.put("x", b"1", record_outcome)
        self.assertTrue(all_finished.acquire(timeout=10))
        self.assertEqual((outcomes[-1], committer.degraded), (False, True))
        files.fail = {}
        committer.put("x", b"2", record_outcome)
        committer.close()
        self.assertEqual(
            (outcomes[-1], committer.degraded, committer.store.get("x")), (True, False, b"2")
        )

    def test_full_queue_rejects(self):
        """While the disk hangs, entries beyond the limit are rejected, and `close` times out."""
        files, released = FolderInMemory(), threading.Event()
        files.watch = lambda: released.wait(10)
        committer = GroupCommitter(Store(files), max_entries=1)
        self.addCleanup(released.set)
        self.assertTrue(committer.put("a", b"1"))
        while not committer.queue.empty():  # until the thread has taken the entry and hangs
            time.sleep(0.001)
        self.assertTrue(committer.put("b", b"2"))
        self.assertFalse(committer.put("c", b"3"))
        self.assertEqual((committer.rejected, committer.pending_bytes), (1, 4))
        self.assertFalse(committer.close(0.01))
        released.set()
        self.assertTrue(committer.close(10))
        self.assertEqual(dict(committer.store.items()), {"a": b"1", "b": b"2"})

    def test_full_append_file(self):
        """Lines beyond a full queue are dropped and counted as faults; the others are written."""
        released = threading.Event()
        self.addCleanup(released.set)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "lines")
            monitor = DiskMonitor(folder, Metrics(), random.random)
            lines = AppendFile(str(path), 10**6, monitor, lambda: released.wait(10))
            lines.add("first")
            while not lines.queue.empty():
                time.sleep(0.001)
            for i in range(MAX_QUEUED_LINES + 2):
                lines.add(str(i))
            self.assertEqual((lines.faults, lines.reason), (2, "the queue is full"))
            released.set()
            deadline = time.monotonic() + 10
            while not lines.queue.empty() or lines.faults:
                self.assertLess(time.monotonic(), deadline)
                time.sleep(0.001)
            expected = ["first", *map(str, range(MAX_QUEUED_LINES))]
            while (written := path.read_text().split()) != expected:
                self.assertLess(time.monotonic(), deadline, written)

    def test_killed_writer(self):
        """A writer is killed with SIGKILL at a random moment.

        The store has every value that the writer had printed as durable, or a later one.
        """
        code = (
            "import sys; from gullyoke.storage import *\n"
            "s = Store(StorageFolder(sys.argv[1]), segment_bytes=3000)\n"
            "for i in range(10**6):\n"
            "    s.put([(f'k{i % 40}', b'%08d' % i * 5)]); print(i, flush=True)\n"
        )
        rng = random.Random(5)
        for _ in range(3):
            with tempfile.TemporaryDirectory() as folder:
                with subprocess.Popen(
                    [sys.executable, "-c", code, folder],
                    cwd=ROOT,
                    text=True,
                    stdout=subprocess.PIPE,
                ) as child:
                    for _ in range(rng.randrange(50, 600)):
                        last = int(child.stdout.readline())
                    child.send_signal(signal.SIGKILL)
                    last = max([last, *(int(x) for x in child.stdout.read().split())])
                store = Store(StorageFolder(folder))
                for key in range(min(40, last + 1)):
                    newest = int(store.get(f"k{key}")[:8])
                    self.assertGreaterEqual(newest, last - (last - key) % 40)

    def test_scanned_records(self):
        """Records are read back; the magic inside a value does not begin another record."""
        record = Record(7, "k", b"\xf5gly" * 5)
        data = pack_record(record) + b"junk" + pack_record(record._replace(sequence=8))
        found = list(scan_records(data))
        self.assertEqual(
            [f.record.sequence if isinstance(f, LocatedRecord) else f.size_bytes for f in found],
            [7, 4, 8],
        )
        self.assertRaises(ValueError, pack_record, Record(1, "k", bytes(2**24)))


if __name__ == "__main__":
    unittest.main()
