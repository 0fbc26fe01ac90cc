"""The data folder of idempotency keys: segments, records, the mark and the keys' records."""

import unittest

from compatibility.recorded import copy_of, files_in, temporary_folder
from gullyoke.durability import (
    FolderMark,
    KeyLedger,
    KeyRecord,
    RunPhase,
    UndurablePolicy,
    assess_folder,
)
from gullyoke.durability.folder_trust import FOLDER_FORMAT, next_mark
from gullyoke.durability.key_record import DuplicateVerdict, judge_record
from gullyoke.extensions.durable_executor import (
    RECORD_KEY_PREFIX,
    body_digest,
    encode,
    pack_key_record,
    record_key,
    unpack_key_record,
)
from gullyoke.extensions.keys import FOLDER_NAME, MARK_KEY, decode_mark
from gullyoke.peer_transport.start_number import FOLDER as NUMBER_FOLDER
from gullyoke.peer_transport.start_number import KEY as NUMBER_KEY
from gullyoke.peer_transport.start_number import StoredStartNumber
from gullyoke.runtime.metrics import Metrics
from gullyoke.storage import GroupCommitter, StorageFolder, Store, StoreVersionError
from gullyoke.storage.record import (
    SEGMENT_FORMAT,
    LocatedRecord,
    Record,
    RecordKind,
    pack_record,
    scan_records,
    segment_header,
    unpack_record,
)

NOW = 1_700_000_000_000_000
WINDOW_END = NOW + 600_000_000
START = 1_699_999_990

# Keys of records: the digests of a request class's name and the caller's key.
RUNNING = "n0c991d19da7496b1a68b727aba1b98b5"
ENDED = "n0123"
REMOVED = "n4567"
OTHER_START = "n89ab"

MARK_VALUE = FolderMark(2, "server-1", 41, NOW)
RUNNING_RECORD = KeyRecord(RunPhase.STARTED, START, NOW - 5_000, WINDOW_END)
ENDED_RECORD = KeyRecord(
    RunPhase.ENDED,
    START,
    NOW - 9_000,
    WINDOW_END,
    200,
    (("content-type", "text/plain"), ("x-größe", "7")),
    b"order 77\x00\xff",
)
REMOVED_RECORD = KeyRecord(RunPhase.ENDED, START, NOW, WINDOW_END, 500, (), b"r" * 400)
OTHER_START_RECORD = KeyRecord(RunPhase.ENDED, START - 100, NOW - 700_000_000, NOW - 100_000_000)


def write_first_start(folder):
    """Two batches: the mark and three records; then the end of a run, a removal and a record."""
    disk = StorageFolder(folder)
    store = Store(disk, segment_bytes=4096, quota_bytes=2**20)
    store.put(
        [
            (MARK_KEY, encode(tuple(FolderMark(2, "server-1", 40, NOW - 1_000_000)))),
            (RUNNING, pack_key_record(RUNNING_RECORD)),
            (REMOVED, pack_key_record(REMOVED_RECORD)),
            (ENDED, pack_key_record(RUNNING_RECORD)),
        ]
    )
    store.put(
        [
            (ENDED, pack_key_record(ENDED_RECORD)),
            (REMOVED, pack_key_record(None)),
            (OTHER_START, pack_key_record(OTHER_START_RECORD)),
        ]
    )
    disk.close()


def write_second_start(folder):
    """A second start, which begins a segment of its own."""
    disk = StorageFolder(folder)
    Store(disk, segment_bytes=4096, quota_bytes=2**20).put([(MARK_KEY, encode(tuple(MARK_VALUE)))])
    disk.close()


class KeyRecordStore(unittest.TestCase):
    def opened(self, name="notes"):
        disk = StorageFolder(copy_of(self, name))
        self.addCleanup(disk.close)
        return Store(disk, segment_bytes=4096, quota_bytes=2**20)

    def test_constants(self):
        """Numbers and names that are part of the stored form."""
        self.assertEqual((*RecordKind, SEGMENT_FORMAT, FOLDER_FORMAT), (1, 2, 3, 2, 2))
        self.assertEqual([int(phase) for phase in RunPhase], [1, 2])
        self.assertEqual((FOLDER_NAME, MARK_KEY, RECORD_KEY_PREFIX), ("keys", "mark", "n"))
        self.assertEqual((NUMBER_FOLDER, NUMBER_KEY), ("fleet", "number"))
        self.assertEqual([one.value for one in UndurablePolicy], ["shed", "go on"])

    def test_key_digest(self):
        self.assertEqual(record_key("book", "order-77"), RUNNING)
        self.assertEqual(record_key("pay", "größe"), "n04c77956e0ef5ff39f7938843a195e11")

    def test_record(self):
        """The bytes of a record: magic, size, kind, checksum, MessagePack payload."""
        for record, data in (
            (Record(7, "key", b"value"), "f5676c790d00000001954d568f9307a36b6579c40576616c7565"),
            (
                Record(8, "key", b"", RecordKind.DELETED),
                "f5676c79080000000251066da09308a36b6579c400",
            ),
        ):
            self.assertEqual(pack_record(record).hex(), data)
            found = unpack_record(bytes.fromhex(data), 0)
            self.assertEqual(found, LocatedRecord(record, 0, len(data) // 2))
        self.assertEqual(segment_header().hex(), "f5676c7905000000031fc3b3099302a0c400")

    def test_body_digest(self):
        """The digest, and the bytes of a record with it: the last of eight values."""
        digest = body_digest("order-77", b"two boxes")
        self.assertEqual(digest.hex(), "af56a5289d468d83e27999616dcaa7a7")
        data = pack_key_record(RUNNING_RECORD._replace(body_digest=digest))
        self.assertEqual(
            data.hex(),
            "9801ce6553f0f6cf00060a24181e2c78cf00060a243be186000090c400c410af56a5289d468d83e27999616dcaa7a7",
        )
        self.assertEqual(unpack_key_record(data).body_digest, digest)
        self.assertEqual(len(data) - len(pack_key_record(RUNNING_RECORD)), 18)
        self.assertNotEqual(body_digest("order-77", b"two boxes "), digest)
        self.assertNotEqual(body_digest("order-78", b"two boxes"), digest)

    def test_records_of_other_forms(self):
        """A record of the last landing has no digest; one of another length is not taken."""
        without = encode(tuple(ENDED_RECORD)[:-1])
        self.assertEqual(unpack_key_record(without), ENDED_RECORD)
        self.assertEqual(unpack_key_record(without).body_digest, b"")
        self.assertIsNone(unpack_key_record(encode((*ENDED_RECORD, b"more"))))
        self.assertIsNone(unpack_key_record(without[:-1]))

    def test_recorded_folder_is_read(self):
        """The recorded folder gives the same keys and values."""
        store = self.opened()
        self.assertEqual((store.dropped_bytes, store.oldest_format, store.next_segment), (0, 2, 3))
        self.assertEqual(sorted(store.keys()), sorted([MARK_KEY, RUNNING, ENDED, OTHER_START]))
        self.assertEqual(FolderMark(*decode_mark(store.get(MARK_KEY))), MARK_VALUE)
        self.assertEqual(unpack_key_record(store.get(RUNNING)), RUNNING_RECORD)
        self.assertEqual(unpack_key_record(store.get(ENDED)), ENDED_RECORD)
        self.assertEqual(unpack_key_record(store.get(OTHER_START)), OTHER_START_RECORD)
        self.assertIsNone(store.get(REMOVED))

    def test_recorded_key_records_are_in_force(self):
        """After a restart the recorded keys have the same effect on duplicates."""
        store = self.opened()
        records = [
            (key, unpack_key_record(value)) for key, value in store.items() if key != MARK_KEY
        ]
        ledger = KeyLedger(START + 10, UndurablePolicy.REJECT, 2**20)
        self.assertEqual(ledger.recover(NOW, records), [OTHER_START])
        self.assertEqual(ledger.find(NOW, RUNNING), RUNNING_RECORD)
        self.assertIs(judge_record(ledger.find(NOW, RUNNING), NOW), DuplicateVerdict.UNKNOWN)
        self.assertEqual(ledger.find(NOW, ENDED), ENDED_RECORD)
        self.assertIs(judge_record(ledger.find(NOW, ENDED), NOW), DuplicateVerdict.RESULT)
        self.assertIsNone(ledger.find(WINDOW_END + 1, ENDED))
        mark = FolderMark(*decode_mark(store.get(MARK_KEY)))
        self.assertEqual(
            tuple(assess_folder(mark, len(records), "server-1", 41, NOW))[:3], (True, True, False)
        )
        self.assertEqual(
            next_mark(mark, "server-1", 7, NOW + 5), FolderMark(2, "server-1", 42, NOW + 5)
        )

    def test_folder_is_written_with_the_same_bytes(self):
        folder = temporary_folder(self)
        write_first_start(folder)
        write_second_start(folder)
        self.assertEqual(files_in(folder), files_in(copy_of(self, "notes")))

    def test_compaction_writes_the_same_bytes(self):
        """Compaction copies live records unchanged."""
        folder = copy_of(self, "notes")
        disk = StorageFolder(folder)
        store = Store(disk, segment_bytes=4096, quota_bytes=2**20)
        store.compact(16, eager=True)
        disk.close()
        self.assertEqual(files_in(folder), files_in(copy_of(self, "compacted")))

    def test_folder_without_header_is_read(self):
        """In format 1 a segment has records only."""
        folder = temporary_folder(self)
        (folder / "0000000001.seg").write_bytes(pack_record(Record(1, "key", b"value")))
        disk = StorageFolder(folder)
        self.addCleanup(disk.close)
        store = Store(disk)
        self.assertEqual((store.oldest_format, store.get("key")), (1, b"value"))

    def test_newer_folder_is_not_opened(self):
        folder = temporary_folder(self)
        (folder / "0000000001.seg").write_bytes(pack_record(Record(3, "", b"", RecordKind.HEADER)))
        disk = StorageFolder(folder)
        self.addCleanup(disk.close)
        with self.assertRaises(StoreVersionError):
            Store(disk)

    def test_committed_batch_has_the_same_records(self):
        """The committer's thread writes the same records as the store."""
        folder = temporary_folder(self)
        disk = StorageFolder(folder)
        committer = GroupCommitter(
            Store(disk), initial_batch=[(MARK_KEY, encode(tuple(MARK_VALUE)))]
        )
        committer.put(RUNNING, pack_key_record(RUNNING_RECORD))
        committer.put(RUNNING, None)
        self.assertTrue(committer.close(10))
        disk.close()
        found = [one.record for one in scan_records(files_in(folder)["0000000001.seg"])]
        self.assertEqual(
            found,
            [
                Record(2, "", b"", RecordKind.HEADER),
                Record(1, MARK_KEY, encode(tuple(MARK_VALUE))),
                Record(2, RUNNING, pack_key_record(RUNNING_RECORD)),
                Record(3, RUNNING, b"", RecordKind.DELETED),
            ],
        )


class StartNumber(unittest.TestCase):
    """The number of a fleet member's last start, in the folder `fleet`."""

    def test_recorded_number_is_read(self):
        number = StoredStartNumber(str(copy_of(self, "member")), Metrics())
        self.addCleanup(number.close)
        self.assertEqual(number.stored_version(), 1_700_000_000 << 20)

    def test_number_is_written_with_the_same_bytes(self):
        folder = temporary_folder(self)
        number = StoredStartNumber(str(folder), Metrics())
        number.store_version(1_700_000_000 << 20)
        number.close()
        self.assertEqual(files_in(folder / "fleet"), files_in(copy_of(self, "member") / "fleet"))


if __name__ == "__main__":
    unittest.main()
