"""The commands that a req's generator yields, what it is resumed with, and the stepping."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum, auto
from typing import NamedTuple, Protocol

from gullyoke.port.facts import Req


class Word(Enum):
    """What a waiting generator is resumed with."""

    GO = auto()  # from the decisions: its turn has come
    OUT = auto()  # from the decisions: it is to be given up
    LATE = auto()  # from the decisions: its time is all but up
    GONE = auto()  # its caller no longer waits
    DONE = auto()  # the run ended well, the answer is out
    ERRORED = auto()  # the run failed, the answer is out
    STOPPED = auto()  # the run was stopped, or ended since nobody waits
    MOOT = auto()  # nothing was begun: it was over already
    UNRUN = auto()  # nothing was begun: there is nowhere to run it now
    NEEDS = auto()  # it waits at a call
    CALL_OK = auto()  # the call succeeded; the run goes on by itself
    CALL_UNRUN = auto()  # the call failed and is known not to have run
    CALL_LOST = auto()  # the call failed and may have had its effect
    CALL_SPOILT = (
        auto()
    )  # its reply was lost on the way: the same, but no word on how it stands below


class Order(NamedTuple):
    """A command without details. One that `waits` leaves the generator until a word comes."""

    name: str
    waits: bool


class Call(NamedTuple):
    """Make the call the req is at, given up after `try_for`."""

    try_for: int
    name: str = "call"
    waits: bool = True


class Keep(NamedTuple):
    """Note the req for `span`, so that repeats are known."""

    span: int
    name: str = "keep"
    waits: bool = False


class Shed(NamedTuple):
    """Final answer: turned away unrun.

    The caller may be told when to come back or not to try elsewhere.
    """

    retry_in: int = 0
    dont_retry: bool = False
    name: str = "shed"
    waits: bool = False


HOLD = Order("hold", True)  # stay in the hold
RUN = Order("run", True)  # start, or go on after a freeze
WAIT = Order("wait", True)  # wait for the next word
SKIP = Order("skip", True)  # go on without the call
REUSE = Order("reuse", True)  # be answered from the req this one repeats
STOP = Order("stop", False)  # stop running work
FORGET = Order("forget", False)  # drop the note that Keep made
FAIL = Order("fail", False)  # final answer: errored

Command = Order | Call | Keep | Shed


class Door(Protocol):
    """What a front carries out for the decisions."""

    def do(self, req: Req, command: Command) -> None: ...
    def over(self, req: Req) -> None: ...
    def wake(self, after: int) -> None: ...
    def health(self, good: bool, cheap: bool) -> None: ...
    def stamp(self, level: float) -> None: ...
    def idle(self, span: int) -> None: ...
    def log(self, text: str) -> None: ...

    def think(self, work: Iterator) -> None:
        """Carry on with `work`, a piece a step to its end, one work after the other.

        At once, or between handlings. Never two pieces at a time, and none beside a handling.
        """


class Stage:
    """Steps the generators of one server's reqs."""

    def __init__(self, door: Door) -> None:
        self.do, self.over = door.do, door.over

    def step(self, req: Req, word: Word | None = None) -> bool:
        """Resume `req` with `word`; carry out what it yields until it waits.

        False once it has ended.
        """
        send = req.life.send
        try:
            while True:
                command = send(word)
                self.do(req, command)
                if command.waits:
                    return True
                word = None
        except StopIteration:
            self.over(req)
            return False
