"""Whose folder one finds, and how far it can be believed.

A folder bears a mark: a format, a name, the number of the last start that wrote to it. A folder
that is another's, of an older copy, or newer than this program says nothing that may be gone by.
What was promised under its name then is not known, and for as long as a promise can last the server
says so: tries that are marked as further ones are errored, and a voter is silent
(gullyoke/leases/voter.py waits by itself).
"""

from __future__ import annotations

from typing import NamedTuple

FORMAT = 2  # of a folder; 1 had no mark
BACK = 5_000_000  # a clock that is behind the mark by more than this went back


class FolderMark(NamedTuple):
    """`number`: the start's, which never goes back; `at`: Unix microseconds of its writing."""

    format: int
    name: str
    number: int
    at: int


class FolderTrust(NamedTuple):
    """`notes`: whether what it says is believed; `writes`.

    Whether it may be written to; `doubts`: whether there were notes that are not known, so that
    further tries must be doubted; `why`, in words.
    """

    believed: bool
    writable: bool
    doubts_retries: bool
    reason: str


def assess_folder(
    mark: FolderMark | None, rows: int, name: str, known: int, now: int
) -> FolderTrust:
    """`rows`: how many records lie there; `known`.

    The number of this name's last start as the others tell, 0 where there is nobody or they know of
    none.
    """
    if mark is not None and mark.format > FORMAT:
        return FolderTrust(False, False, True, f"format {mark.format}, newer than {FORMAT}")
    if mark is not None and mark.name != name:
        return FolderTrust(False, True, known > 0, f"the folder of {mark.name}")
    if mark is None and rows:
        return FolderTrust(True, True, False, "format 1, without a mark")
    if mark is None:
        why = "a fresh folder, though others know this name" if known else "a fresh folder"
        return FolderTrust(False, True, known > 0, why)
    if is_older_copy(mark.number, known):
        return FolderTrust(
            False, True, True, f"an older copy: start {mark.number}, others know {known}"
        )
    if now < mark.at - BACK:
        return FolderTrust(
            True, True, False, f"the clock went back by {(mark.at - now) // 1_000_000} s"
        )
    return FolderTrust(True, True, False, "its own")


def is_older_copy(last: int, known: int) -> bool:
    """Whether the others know of a start after the one that a folder bears.

    It is of an older copy.
    """
    return 0 < last < known


def next_mark(mark: FolderMark | None, name: str, number: int, now: int) -> FolderMark:
    """What this start writes: its number is above the last one's, whatever the clock says."""
    last = mark.number if mark is not None and mark.name == name else 0
    return FolderMark(FORMAT, name, max(number, last + 1), now)
