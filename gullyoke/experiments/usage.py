"""What the system says of a process: its processor time and its memory."""

from __future__ import annotations

import os
import pathlib

TICK = os.sysconf("SC_CLK_TCK")


def cpu(pid: int) -> float:
    """Seconds of CPU time that a process has had."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def resident(pid: int) -> int:
    """Its resident memory in KiB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(text.partition("VmRSS:")[2].split()[0])
