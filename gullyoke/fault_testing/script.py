"""Parses the script of a fault test: the fleet, the faults and the checks with their times.

No I/O. An example; the text after `#` on a line is a comment:

    members 5 zones 3 seed 7 load 20    # load: requests per second to each member
    up 4 slots 12 call_ms 100           # members started first; slots of the shared dependency
    backends 8 subset 3 work_ms 20      # SCGI back ends in place of the engines
    voters 3 lease_ms 1500              # singleton tasks, with a resource that checks epochs
    uniqued 0.3 go_on 0                 # share of requests with stored idempotency keys; go_on 1
                                        # continues where keys can't be stored
    at 8 kill m1
    by 14 gone m1
    at 20 start m1
    by 30 equal
    never removed m0 m2..m4
    end 32
"""

from __future__ import annotations

import re
from typing import NamedTuple

from gullyoke.errors import GullyokeError

# Faults and commands, each with the least and the greatest number of words that follow.
FAULTS = {
    "kill": (1, 99),
    "down": (1, 99),
    "stop": (1, 99),
    "start": (1, 99),
    "pause": (2, 2),
    "cut": (3, 4),
    "heal": (0, 0),
    "loss": (1, 1),
    "delay": (2, 2),
    "double": (1, 1),
    "reorder": (1, 1),
    "rate": (2, 2),
    "calls": (1, 1),
    "lame": (1, 99),
    "well": (1, 99),
    "late": (2, 2),
    "disk": (2, 3),
    "holder": (1, 2),
    "hand-over": (0, 1),
    "roll": (1, 3),
    "dead": (1, 1),
    "voters": (1, 1),
}
CHECKS = {
    "gone": (1, 99),
    "equal": (0, 0),
    "stage": (2, 2),
    "sees": (3, 3),
    "size": (2, 2),
    "lent": (1, 1),
    "even": (1, 1),
    "calm": (1, 1),
    "held": (0, 1),
    "moved": (0, 0),
    "nobody": (0, 0),
    "rolled": (0, 1),
    "news": (1, 1),
    "restarted": (1, 99),
    "disks": (2, 3),
    "logged": (2, 9),
}
NEVER = {"removed": (1, 99)}
RANGE = re.compile(r"([mb])(\d+)\.\.\1(\d+)")


class ScriptError(GullyokeError, ValueError):
    """An invalid script; the message names the line and the accepted values."""


class Step(NamedTuple):
    """A fault at `at` seconds, or a check that must hold by then, with its words."""

    at: float
    what: str
    words: tuple[str, ...]
    line: int


class Script(NamedTuple):
    """A parsed script: the settings of the fleet and the steps."""

    members: int
    zones: int
    seed: int
    load: float
    up: int
    slots: int
    call_ms: float
    backends: int
    subset: int
    work_ms: float
    voters: int
    lease_ms: float
    uniqued: float
    go_on: float
    faults: tuple[Step, ...]
    checks: tuple[Step, ...]
    never: tuple[Step, ...]
    end: float

    def names(self) -> list[str]:
        """Return the names of all members."""
        return [f"m{i}" for i in range(self.members)]

    def at_first(self) -> list[str]:
        """Return the members that are started before the first step."""
        return self.names()[: self.up or self.members]

    def homes(self) -> list[str]:
        """Return the members that lend the slots and vote on it: the first five, three or one."""
        first = self.at_first()
        return first[: 5 if len(first) >= 5 else 3 if len(first) >= 3 else 1]

    def faulty(self) -> bool:
        """Return whether the script has disk faults."""
        return any("disk" in (step.what, *step.words[:1]) for step in self.faults)

    def fault_of(self, check: Step) -> Step | None:
        """Return the last fault above a check in the script; the check applies after it."""
        return max(
            (f for f in self.faults if f.line < check.line), key=lambda f: f.line, default=None
        )

    def zone(self, name: str) -> str:
        """Return the zone of a member."""
        return f"z{int(name[1:]) % self.zones}"

    def chosen(self, words: tuple[str, ...]) -> list[str]:
        """Return the members and back ends that words name.

        Accepts `m1`, `m1..m3`, `z0`, `all`, `none` and back ends as `b0..b2`; commas separate
        several in one word.
        """
        found: list[str] = []
        for word in (part for text in words for part in text.split(",")):
            if word == "all":
                found += self.names()
            elif span := RANGE.fullmatch(word):
                found += [f"{span[1]}{i}" for i in range(int(span[2]), int(span[3]) + 1)]
            elif word.startswith("z"):
                found += [name for name in self.names() if self.zone(name) == word]
            elif word != "none":
                found.append(word)
        return list(dict.fromkeys(found))


def read(text: str) -> Script:
    """Parse a script. Raises `ScriptError` at the first invalid line."""
    head = {
        "members": 3.0,
        "zones": 1.0,
        "seed": 1.0,
        "load": 0.0,
        "up": 0.0,
        "slots": 0.0,
        "call_ms": 50.0,
        "backends": 0.0,
        "subset": 0.0,
        "work_ms": 8.0,
        "voters": 0.0,
        "lease_ms": 1500.0,
        "uniqued": 0.0,
        "go_on": 0.0,
    }
    steps: dict[str, list[Step]] = {"at": [], "by": [], "never": []}
    end = 0.0
    for number, line in enumerate(text.splitlines(), 1):
        words = line.partition("#")[0].split()
        if not words:
            continue
        first = words[0]
        if first in head:
            for key, value in zip(words[::2], words[1::2], strict=len(words) % 2 == 0):
                head[key if key in head else wrong(number, f"{key!r}", ", ".join(head))] = (
                    parse_number(value, number)
                )
        elif first in ("at", "by"):
            known = FAULTS if first == "at" else CHECKS
            if len(words) < 3:
                wrong(number, line.strip(), f"`{first} SECONDS WHAT`")
            steps[first].append(
                Step(parse_number(words[1], number), *parse_step(words[2:], known, number))
            )
        elif first == "never":
            steps["never"].append(Step(0.0, *parse_step(words[1:], NEVER, number)))
        elif first == "end" and len(words) == 2:
            end = parse_number(words[1], number)
        else:
            wrong(number, repr(first), "members, at, by, never or end")
    last = max([step.at for step in steps["at"] + steps["by"]], default=0.0)
    script = Script(
        int(head["members"]),
        int(head["zones"]),
        int(head["seed"]),
        head["load"],
        int(head["up"]),
        int(head["slots"]),
        head["call_ms"],
        int(head["backends"]),
        int(head["subset"]),
        head["work_ms"],
        int(head["voters"]),
        head["lease_ms"],
        head["uniqued"],
        head["go_on"],
        tuple(sorted(steps["at"], key=lambda s: s.at)),
        tuple(sorted(steps["by"], key=lambda s: s.at)),
        tuple(steps["never"]),
        max(end, last + 1),
    )
    if not 1 <= script.members <= 50 or script.zones < 1 or script.end > 3600:
        raise ScriptError(
            "members, zones or end out of bounds; right would be 1 to 50 members, 1 h at most"
        )
    return script


def parse_step(words: list[str], known: dict[str, tuple[int, int]], number: int) -> tuple:
    """Return the step's name, its words and its line number, after checking the first two."""
    if not words or words[0] not in known:
        wrong(number, repr(words[0]) if words else "nothing", ", ".join(known))
    least, most = known[words[0]]
    if not least <= len(words) - 1 <= most:
        wrong(number, f"{words[0]} with {len(words) - 1} words", f"{least} to {most}")
    return words[0], tuple(words[1:]), number


def parse_number(text: str, number: int) -> float:
    """Return the number that a word of a line states."""
    try:
        return float(text)
    except ValueError:
        wrong(number, repr(text), "a number")


def wrong(number: int, what: str, right: str):
    """Raise `ScriptError` for a line."""
    raise ScriptError(f"line {number}: {what} can't be; right would be {right}")
