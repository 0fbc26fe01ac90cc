"""Access to the recorded files in data/, shared by the tests of this package."""

from __future__ import annotations

import json
import pathlib
import shutil
import tempfile
import unittest

DATA = pathlib.Path(__file__).parent / "data"


def temporary_folder(test: unittest.TestCase) -> pathlib.Path:
    """An empty folder that is removed when the test ends."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="gullyoke-compatibility-"))
    test.addCleanup(shutil.rmtree, folder, ignore_errors=True)
    return folder


def copy_of(test: unittest.TestCase, name: str) -> pathlib.Path:
    """A writable copy of a recorded folder."""
    copy = temporary_folder(test) / name
    shutil.copytree(DATA / name, copy)
    return copy


def files_in(folder: pathlib.Path) -> dict[str, bytes]:
    """The content of each file of a folder, without the lock file."""
    return {path.name: path.read_bytes() for path in folder.iterdir() if path.name != "lock"}


def recorded_hex(name: str) -> dict[str, bytes]:
    """Recorded messages by name, from a JSON file of hex strings."""
    recorded = json.loads((DATA / name).read_text())
    return {key: bytes.fromhex(text) for key, text in recorded.items()}
