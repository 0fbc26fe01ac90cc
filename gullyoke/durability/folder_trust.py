"""Whose folder this server finds at its start, and how far it can be believed.

A folder bears a mark: a format, the server's name, the number of the last start that wrote to it.
What a folder of another server, an older copy, or one of a later release says is not believed. What
was recorded under its name then is not known, and for as long as a record can be in force the
server acts so: retries that are marked as such fail, and a voter grants nothing
(gullyoke/leases/voter.py waits by itself).
"""

from __future__ import annotations

from typing import Final, NamedTuple

FOLDER_FORMAT: Final = 2  # format 1 had no mark
CLOCK_TOLERANCE_US: Final = 5_000_000  # a clock behind the mark by more than this went back


class FolderMark(NamedTuple):
    """Which start wrote a folder last. On the disk it is these four values in their order.

    Attributes:
        format: Of the folder.
        name: The server's.
        number: The start's, which never goes back.
        written_us: When it was written, in microseconds of the Unix clock.
    """

    format: int
    name: str
    number: int
    written_us: int


class FolderTrust(NamedTuple):
    """How far a folder is trusted.

    Attributes:
        believed: Whether what it says is believed.
        writable: Whether it may be written to.
        doubts_retries: Whether there may have been records that are not known, so that retries
            must be doubted.
        reason: Why, in words.
    """

    believed: bool
    writable: bool
    doubts_retries: bool
    reason: str


def assess_folder(
    mark: FolderMark | None, records: int, name: str, known_start: int, now_us: int
) -> FolderTrust:
    """Say how far a folder can be trusted.

    Args:
        mark: The mark in it, if there is one.
        records: How many records lie there.
        name: This server's.
        known_start: The number of this name's last start as other servers know it; 0 where there
            are none or they know of none.
        now_us: Microseconds of the Unix clock.
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
    return FolderTrust(True, True, False, "its own")


def _assess_unmarked(records: int, known_start: int) -> FolderTrust:
    if records:
        return FolderTrust(True, True, False, "format 1, without a mark")
    reason = "a fresh folder, though others know this name" if known_start else "a fresh folder"
    return FolderTrust(False, True, known_start > 0, reason)


def is_older_copy(last_start: int, known_start: int) -> bool:
    """Whether other servers know of a start after the one that a folder bears."""
    return 0 < last_start < known_start


def next_mark(mark: FolderMark | None, name: str, number: int, now_us: int) -> FolderMark:
    """Give the mark that this start writes.

    Its number is above the last one's, whatever the clock says.
    """
    last_start = mark.number if mark is not None and mark.name == name else 0
    return FolderMark(FOLDER_FORMAT, name, max(number, last_start + 1), now_us)
