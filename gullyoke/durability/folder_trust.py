"""How far a server can trust the data folder that it finds at start.

A folder holds a mark: its format, the server's name, and the number of the last start that wrote to
it. The folder of another server, an older copy, and a folder written by a later release are not
believed. The server then doesn't know which requests were recorded under its name, and is careful
for as long as such a record can be in force: requests marked as retries fail, and a voter grants
nothing (gullyoke/leases/voter.py has a wait of its own for this).
"""

from __future__ import annotations

from typing import Final, NamedTuple

FOLDER_FORMAT: Final = 2  # format 1 had no mark
CLOCK_TOLERANCE_US: Final = 5_000_000  # a clock further behind the mark has been set back


class FolderMark(NamedTuple):
    """The last start that wrote to a folder. The mark is stored as these values in this order.

    Attributes:
        format: The format of the folder.
        name: The name of the server.
        number: The number of the start; it never decreases.
        written_us: When the mark was written, in microseconds of the Unix clock.
    """

    format: int
    name: str
    number: int
    written_us: int


class FolderTrust(NamedTuple):
    """How far a folder is trusted.

    Attributes:
        believed: Whether its records are used.
        writable: Whether the server may write to it.
        doubts_retries: Whether records may be missing, so that a retry may be a duplicate of a
            request that has run.
        reason: The reason as text for the log.
    """

    believed: bool
    writable: bool
    doubts_retries: bool
    reason: str


def assess_folder(
    mark: FolderMark | None, records: int, name: str, known_start: int, now_us: int
) -> FolderTrust:
    """Judge how far a folder can be trusted.

    Args:
        mark: The folder's mark; None if it has none.
        records: How many records the folder has.
        name: The name of this server.
        known_start: The number of the last start under this name that other servers know; 0 if
            there are no other servers or they know of none.
        now_us: The current time, in microseconds of the Unix clock.
    """
    if mark is None:
        return _assess_unmarked(records, known_start)
    if mark.format > FOLDER_FORMAT:
        reason = f"format {mark.format}, newer than {FOLDER_FORMAT}"
        return FolderTrust(False, False, True, reason)
    if mark.name != name:
        return FolderTrust(False, True, known_start > 0, f"the folder of {mark.name}")
    if is_older_copy(mark.number, known_start):
        reason = f"an older copy: start {mark.number}, others know {known_start}"
        return FolderTrust(False, True, True, reason)
    if now_us < mark.written_us - CLOCK_TOLERANCE_US:
        behind_s = (mark.written_us - now_us) // 1_000_000
        return FolderTrust(True, True, False, f"the clock went back by {behind_s} s")
    return FolderTrust(True, True, False, "the server's own folder")


def _assess_unmarked(records: int, known_start: int) -> FolderTrust:
    if records:
        return FolderTrust(True, True, False, "format 1, without a mark")
    reason = "a new folder, but other servers know this name" if known_start else "a new folder"
    return FolderTrust(False, True, known_start > 0, reason)


def is_older_copy(last_start: int, known_start: int) -> bool:
    """Return whether other servers know of a later start than the one in a folder's mark."""
    return 0 < last_start < known_start


def next_mark(mark: FolderMark | None, name: str, number: int, now_us: int) -> FolderMark:
    """Return the mark that this start writes.

    Its number is greater than that of the last start, even if `number`, which is taken from the
    clock, is not.
    """
    last_start = mark.number if mark is not None and mark.name == name else 0
    return FolderMark(FOLDER_FORMAT, name, max(number, last_start + 1), now_us)
