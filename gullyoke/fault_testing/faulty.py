"""The command line with faults under its disks, by a file that says which.

For plays and tests alone.

    python -m gullyoke.fault_testing.faulty FILE serve --operator ...

The file holds one word, read again at each call, and none where it is missing: `full` (what needs
new room does not fit), `failing` (an error of the device), `hang` (syncs and writes in place come
back once the word changes), `slow MS`, `low BYTES` (so much is left), `read-only`, `gone`. Files
that were made before go on being written in place on a full disk, as they do.
"""

from __future__ import annotations

import errno
import pathlib
import sys
import time

from gullyoke.storage import folder as storage_folder

POLL = 0.02  # seconds between looks at the file while a call hangs
# The folder's methods that may fail, and what the file's words and the faults call them.
FAILING_METHODS = {
    "list_files": "names",
    "read": "read",
    "read_at": "read_at",
    "create": "create",
    "append": "append",
    "sync": "sync",
    "remove": "remove",
    "sync_folder": "sync_folder",
    "allocate": "make",
    "write_at": "write_at",
}
NEW, CHANGE, SYNC = ("create", "append", "make"), ("write_at", "remove"), ("sync", "sync_folder")
FAULTS = {
    "full": (errno.ENOSPC, NEW),
    "failing": (errno.EIO, (*NEW, *CHANGE, *SYNC)),
    "read-only": (errno.EROFS, (*NEW, *CHANGE)),
    "gone": (errno.ENOENT, (*NEW, *CHANGE, *SYNC, "names", "read", "read_at", "free")),
}


def word(path: pathlib.Path) -> list[str]:
    try:
        return path.read_text().split() or ["well"]
    except OSError:
        return ["well"]


def fail(path: pathlib.Path, call: str) -> None:
    """What the file says of a call, before it is made. Raises `OSError`."""
    what, *more = word(path)
    fault, calls = FAULTS.get(what, (0, ()))
    if call in calls:
        raise OSError(fault, f"{call}: {what}, by the play")
    if what == "slow" and call == "sync":
        time.sleep(float(more[0]) / 1000)
    while call in ("sync", "write_at") and word(path)[0] == "hang":
        time.sleep(POLL)


def layer(path: pathlib.Path) -> type[storage_folder.StorageFolder]:
    """A folder whose calls ask the file first."""

    class Faulty(storage_folder.StorageFolder):
        def free_space(self) -> storage_folder.FreeSpace:
            fail(path, "free")
            free_bytes, total_bytes = super().free_space()
            what, *more = word(path)
            if what == "full":
                free_bytes = 0
            elif what == "low":
                free_bytes = int(more[0])
            return storage_folder.FreeSpace(free_bytes, total_bytes)

    def asked(method: str, call_name: str):
        own = getattr(storage_folder.StorageFolder, method)

        def call(self, *given):
            fail(path, call_name)
            return own(self, *given)

        return call

    for method, call_name in FAILING_METHODS.items():
        setattr(Faulty, method, asked(method, call_name))
    return Faulty


def main() -> None:
    path = pathlib.Path(sys.argv[1])
    storage_folder.StorageFolder = layer(path)  # before anything else takes it by its name
    sys.argv[1:2] = []
    from gullyoke.cli.main import main as command

    command()


if __name__ == "__main__":
    main()
