"""Checks that two builds of this program understand each other's messages and stored data.

    python -m gullyoke.fault_testing.compare_builds OLD_CHECKOUT

The present checkout is compared with an older one:

- the simulator adapters of both answer the same recorded batches with the same bytes;
- both read the recorded stores and operator's files to the same result on the command line;
- a fleet of the one build is replaced member by member by the other, in both directions: members
  join, leases and quota leases move, load reports arrive, and each member goes on with the store,
  the idempotency keys and the voter's promises that the other build wrote.

Exit status 1 where anything differs.
"""

from __future__ import annotations

import argparse
import pathlib
import subprocess
import sys
from collections import Counter
from collections.abc import Iterator

from gullyoke.fault_testing.play import Play
from gullyoke.fault_testing.script import read

PRESENT_CHECKOUT = pathlib.Path(__file__).parents[2]
RECORDED = PRESENT_CHECKOUT / "tests/compatibility/data"
COMMAND_TIMEOUT_S = 60.0

REPLACEMENT = """
members 5 zones 5 seed 11 load 8 voters 3 lease_ms 1500 slots 10 call_ms 40 uniqued 0.3
at 0 heal
by 6 held
at 6 stop m0
by 9 gone m0
at 9 start m0
by 15 equal
by 15 held
at 15 stop m1
by 18 gone m1
at 18 start m1
by 24 equal
at 24 hand-over
by 27 moved
at 27 stop m2
by 30 gone m2
at 30 start m2
by 36 equal
by 36 held
at 36 stop m3,m4
by 39 gone m3,m4
at 39 start m3,m4
by 46 equal
by 47 held
by 48 lent 0.3
never removed m0..m4
end 50
"""

RECORDED_COMMANDS = (
    ("store", "dump", str(RECORDED / "notes")),
    ("store", "list", "--json", str(RECORDED / "notes")),
    ("store", "dump", str(RECORDED / "memory")),
    ("store", "list", "--json", str(RECORDED / "memory")),
    ("store", "dump", str(RECORDED / "compacted")),
    ("check", str(RECORDED / "operator.textproto")),
    ("check", str(RECORDED / "operator-defaults.textproto")),
)

FAULT_COUNTERS = (
    "keys_unread",
    "keys_older_copy",
    "memory_faults",
    "memory_refused",
    "duty_unkept",
    "duty_record_faults",
    "duty_roll_unreadable",
    "fleet_unkept",
    "peers_dropped_malformed",
    "peers_dropped_seal",
    "peers_dropped_topic",
)
"""Logged counters of stored data and messages of peers that a process could not read."""


def run_module(checkout: pathlib.Path, module: str, *arguments: str, data: bytes = b"") -> bytes:
    """Return the exit status and the output of a module of a checkout."""
    result = subprocess.run(
        [sys.executable, "-m", module, *arguments],
        cwd=checkout,
        input=data,
        capture_output=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )
    return b"%d\n" % result.returncode + result.stdout


def compare_adapters(old: pathlib.Path) -> Iterator[str]:
    """Yield a difference between the replies of both simulator adapters."""
    batches = (RECORDED / "simulator-batches.txt").read_bytes()
    replies = [
        run_module(checkout, "gullyoke.simulator_adapter", data=batches)
        for checkout in (old, PRESENT_CHECKOUT)
    ]
    lines = replies[0].count(b"\n")
    print(f"simulator adapter: {lines} lines, {'equal' if replies[0] == replies[1] else 'DIFFER'}")
    if replies[0] != replies[1] or lines < 2:
        yield "the simulator adapters' replies differ, or there are none"


def compare_commands(old: pathlib.Path) -> Iterator[str]:
    """Yield each command on recorded data whose output differs between the builds."""
    for command in RECORDED_COMMANDS:
        before, after = (
            run_module(checkout, "gullyoke.cli", *command) for checkout in (old, PRESENT_CHECKOUT)
        )
        shown = " ".join(pathlib.Path(word).name for word in command)
        print(f"{shown}: {len(after)} bytes, {'equal' if before == after else 'DIFFER'}")
        if before != after or not before.startswith(b"0\n"):
            yield f"{shown}: the outputs differ, or the command failed"


class LoadReportPlay(Play):
    """A run that records which load reports members show, by the starts of both members."""

    def __init__(self, checkouts: tuple[pathlib.Path, ...]) -> None:
        super().__init__(read(REPLACEMENT), print, checkouts)
        self.reports: set[tuple[int, int]] = set()
        """Pairs of starts: the reader's, the reporter's."""

    def look(self) -> None:
        """Poll the members, and record the load reports that they show."""
        super().look()
        for reader, view in self.views.items():
            for row in (view or {}).get("rows", ()):
                if row["room"] is not None and row["name"] != reader:
                    starts = self.processes[reader].starts, self.processes[row["name"]].starts
                    self.reports.add(starts)


def replace_members(name: str, checkouts: tuple[pathlib.Path, ...]) -> Iterator[str]:
    """Run the replacement of a fleet; yield each check that failed.

    Args:
        name: The direction, for messages.
        checkouts: The build that each member runs first, and the one that it runs afterwards.
    """
    play = LoadReportPlay(checkouts)
    verdict = play.run()
    print("\n".join(f"{name}: {line}" for line in verdict.lines()))
    yield from (f"{name}: {one.what} did not hold" for one in verdict.held if not one.held)
    for pair in ((1, 2), (2, 1)):
        print(
            f"{name}: load reports of start {pair[1]} read by start {pair[0]}: {pair in play.reports}"
        )
        if pair not in play.reports:
            yield f"{name}: no load report of start {pair[1]} was read by start {pair[0]}"
    counters: Counter[str] = Counter()
    printed = 0
    for process in play.processes.values():
        if process.starts != 2:
            yield f"{name}: {process.name} was started {process.starts} times"
        for line in process.lines:
            if line.get("event") == "counters":
                printed += 1
                counters.update({key: int(line.get(key, 0)) for key in FAULT_COUNTERS})
    print(f"{name}: counters of {printed} processes: {dict(+counters) or 'no fault'}")
    yield from (f"{name}: {key} is {count}" for key, count in (+counters).items())
    if not printed:
        yield f"{name}: no process printed its counters"


def main() -> int:
    """Compare the present checkout with the one that the command line names."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("old", type=pathlib.Path, help="the checkout of the older build")
    old = parser.parse_args().old.resolve()
    differences = [
        *compare_adapters(old),
        *compare_commands(old),
        *replace_members("old to new", (old, PRESENT_CHECKOUT)),
        *replace_members("new to old", (PRESENT_CHECKOUT, old)),
    ]
    print("\n".join(differences) or "no difference")
    return 1 if differences else 0


if __name__ == "__main__":
    raise SystemExit(main())
