"""CPU time and resident memory of a process, read from /proc."""

from __future__ import annotations

import os
import pathlib

TICK = os.sysconf("SC_CLK_TCK")


def cpu(pid: int) -> float:
    """Seconds of CPU time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def resident(pid: int) -> int:
    """Resident memory of a process in KiB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(text.partition("VmRSS:")[2].split()[0])
