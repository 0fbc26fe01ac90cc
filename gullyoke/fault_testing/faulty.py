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
        def free(self) -> tuple[int, int]:
            fail(path, "free")
            left, size = super().free()
            what, *more = word(path)
            return (0 if what == "full" else int(more[0]) if what == "low" else left), size

    def asked(name: str):
        own = getattr(storage_folder.StorageFolder, name)

        def call(self, *given):
            fail(path, name)
            return own(self, *given)

        return call

    for name in (
        "names",
        "read",
        "read_at",
        "create",
        "append",
        "sync",
        "remove",
        "sync_folder",
        "make",
        "write_at",
    ):
        setattr(Faulty, name, asked(name))
    return Faulty


def main() -> None:
    path = pathlib.Path(sys.argv[1])
    storage_folder.StorageFolder = layer(path)  # before anything else takes it by its name
    sys.argv[1:2] = []
    from gullyoke.cli.main import main as command

    command()


if __name__ == "__main__":
    main()
