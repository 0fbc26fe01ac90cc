"""The stored form of the run times that a server saves for its next start."""

import unittest

from compatibility.recorded import copy_of, files_in, temporary_folder
from gullyoke.extensions.data_folders import DataFolder
from gullyoke.extensions.memory_store import (
    RUN_TIMES_KEY,
    STARTS_KEY,
    WARMUP_KEY,
    MemoryStore,
)
from gullyoke.runtime.metrics import Metrics
from gullyoke.storage import StorageFolder, Store
from gullyoke.storage.record import LocatedRecord, scan_records
from gullyoke.storage.run_time_history import (
    RunTimeSnapshot,
    StartHistory,
    judge_snapshot,
    pack_row,
    settings_digest,
    unpack_row,
)
from gullyoke.storage.warmup_history import AGE_BUCKETS_US, WarmupSnapshot

QUOTA = 2**20
SETTINGS = {"Profiles.count": "1", "Profiles.0.Name": "view", "FamilyInfo.Cores": "4"}
SETTINGS_DIGEST = 1_687_762_731

STARTS_VALUE = StartHistory(2)
LEARNED_VALUE = RunTimeSnapshot(
    SETTINGS_DIGEST, 1_700_000_000.5, {"view": 12_500.25, "book": 80_000.0}, 3_000.5
)
COLD_VALUE = WarmupSnapshot(
    SETTINGS_DIGEST,
    1_700_000_001.0,
    {"view": [50_000.0, 40_000.0, 0.0, 20_000.0, 15_000.0, 12_500.5]},
)

STARTS_BYTES = "82a6756e77656c6c02a776657273696f6e01"
LEARNED_BYTES = (
    "85a6737461746564ce6499372ba26174cb41d954fc40200000a5636f73747382a476696577cb40c86a200000"
    "0000a4626f6f6bcb40f3880000000000a463616c6ccb40a7710000000000a776657273696f6e01"
)
COLD_BYTES = (
    "84a6737461746564ce6499372ba26174cb41d954fc40400000a5636f73747381a47669657796cb40e86a0000"
    "000000cb40e3880000000000cb0000000000000000cb40d3880000000000cb40cd4c0000000000cb40c86a40"
    "00000000a776657273696f6e01"
)


def write_memory(folder):
    disk = StorageFolder(folder)
    store = Store(disk, segment_bytes=QUOTA // 8, quota_bytes=QUOTA)
    store.put([(STARTS_KEY, pack_row(STARTS_VALUE))])
    store.put([(WARMUP_KEY, pack_row(COLD_VALUE))])
    store.put([(RUN_TIMES_KEY, pack_row(LEARNED_VALUE))])
    disk.close()


class SavedRows(unittest.TestCase):
    def test_constants(self):
        self.assertEqual((RUN_TIMES_KEY, STARTS_KEY, WARMUP_KEY), ("learned", "starts", "cold"))
        self.assertEqual(
            AGE_BUCKETS_US, (500_000, 1_000_000, 2_000_000, 4_000_000, 8_000_000, 16_000_000)
        )

    def test_settings_digest(self):
        """The digest that ties the saved rows to a server's settings."""
        self.assertEqual(settings_digest(SETTINGS), SETTINGS_DIGEST)

    def test_rows(self):
        """Each row is a MessagePack map; the names of its fields are part of the format."""
        for row, text in (
            (STARTS_VALUE, STARTS_BYTES),
            (LEARNED_VALUE, LEARNED_BYTES),
            (COLD_VALUE, COLD_BYTES),
        ):
            self.assertEqual(pack_row(row).hex(), text)
            self.assertEqual(unpack_row(bytes.fromhex(text), type(row)), row)

    def test_recorded_rows_are_loaded(self):
        """A server that opens the recorded folder reads the same rows, and counts its start."""
        folder = copy_of(self, "memory")
        data_folder = DataFolder(str(folder), QUOTA, Metrics())
        memory = MemoryStore(data_folder, QUOTA, SETTINGS, Metrics())
        self.assertEqual(memory.snapshot, LEARNED_VALUE)
        self.assertEqual(memory.warmup, COLD_VALUE)
        self.assertEqual(memory.starts, STARTS_VALUE)
        self.assertTrue(memory.committer.close(10))
        data_folder.monitor.stop()
        written = [
            one.record
            for one in scan_records(files_in(folder)["0000000002.seg"])
            if isinstance(one, LocatedRecord)
        ][1:]
        self.assertEqual(
            [(one.sequence, one.key, one.value) for one in written],
            [(4, "starts", pack_row(StartHistory(3)))],
        )

    def test_recorded_snapshot_is_trusted(self):
        """The weight of the recorded run times halves in an hour; it is 0 for other settings."""
        disk = StorageFolder(copy_of(self, "memory"))
        self.addCleanup(disk.close)
        found = unpack_row(Store(disk).get(RUN_TIMES_KEY), RunTimeSnapshot)
        now = 1_700_000_000.5
        self.assertEqual(judge_snapshot(found, SETTINGS_DIGEST, now, STARTS_VALUE)[0], 0.5)
        self.assertEqual(judge_snapshot(found, SETTINGS_DIGEST, now + 3600, STARTS_VALUE)[0], 0.25)
        self.assertEqual(judge_snapshot(found, SETTINGS_DIGEST + 1, now, STARTS_VALUE)[0], 0.0)

    def test_folder_is_written_with_the_same_bytes(self):
        folder = temporary_folder(self)
        write_memory(folder)
        self.assertEqual(files_in(folder), files_in(copy_of(self, "memory")))

    def test_unknown_form_is_not_read(self):
        """A row whose fields have other names is ignored; the server starts without it."""
        self.assertIsNone(
            unpack_row(bytes.fromhex("82a3666f6f01a776657273696f6e01"), RunTimeSnapshot)
        )


if __name__ == "__main__":
    unittest.main()
