"""Runs the command line with disk faults, which a file selects.

For fault tests and tests only.

    python -m gullyoke.fault_testing.faulty FILE serve --operator ...

The file names one fault and is read again at each call; a missing file means no fault. The faults:
`full` (calls that need new space fail), `failing` (I/O errors), `hang` (syncs and writes in place
return after the file changes), `slow MS` (each sync is delayed), `low BYTES` (the free space
reported), `read-only`, `gone`. As on a real full disk, `full` does not affect writes in place to
existing files.
"""

from __future__ import annotations

import errno
import pathlib
import sys
import time

from gullyoke.storage import folder as storage_folder

HANG_POLL_INTERVAL_S = 0.02  # between reads of the file
# The folder's methods that may fail, each with its name in FAULTS and in error messages.
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
    """Return the fault that the file names, with its argument; `well` without a fault."""
    try:
        return path.read_text().split() or ["well"]
    except OSError:
        return ["well"]


def fail(path: pathlib.Path, call: str) -> None:
    """Apply the fault in the file to a call: delay it, or raise `OSError`."""
    what, *more = word(path)
    fault, calls = FAULTS.get(what, (0, ()))
    if call in calls:
        raise OSError(fault, f"{call}: {what}, by the play")
    if what == "slow" and call == "sync":
        time.sleep(float(more[0]) / 1000)
    while call in ("sync", "write_at") and word(path)[0] == "hang":
        time.sleep(HANG_POLL_INTERVAL_S)


def layer(path: pathlib.Path) -> type[storage_folder.StorageFolder]:
    """Return a folder class that applies the fault in the file to each call."""

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

    def with_faults(method: str, call_name: str):
        own = getattr(storage_folder.StorageFolder, method)

        def call(self, *given):
            fail(path, call_name)
            return own(self, *given)

        return call

    for method, call_name in FAILING_METHODS.items():
        setattr(Faulty, method, with_faults(method, call_name))
    return Faulty


def main() -> None:
    """Replace the storage folder class and run the command line."""
    path = pathlib.Path(sys.argv[1])
    storage_folder.StorageFolder = layer(path)  # before other modules import the class
    sys.argv[1:2] = []
    from gullyoke.cli.main import main as command

    command()


if __name__ == "__main__":
    main()
