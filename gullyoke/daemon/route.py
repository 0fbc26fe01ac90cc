"""Route: each command of the decisions goes to whoever carries it out.

Only queues are touched.
"""

from __future__ import annotations

from collections.abc import Iterator

from gullyoke.below.database import Database
from gullyoke.core import clock
from gullyoke.core.desk import Desk, Taken
from gullyoke.core.standing import Standing
from gullyoke.core.timer import Timer
from gullyoke.port import FAIL, FORGET, REUSE, RUN, SKIP, STOP, Call, Command, Keep, Shed, Word
from gullyoke.work import Work

STATS_WAIT = 30_000  # how long a wake-up waits for the engine's gauges, in microseconds


class Route:
    """The door of one server of decisions. All of it is called under the desk's lock."""

    def __init__(
        self, desk: Desk, engine: Work, database: Database, timer: Timer, standing: Standing
    ) -> None:
        self.desk, self.engine, self.database, self.timer = desk, engine, database, timer
        self.standing = standing
        self.awaited = 0  # the wake-up that is out; one at a time
        self.due = 0  # when the last one was due

    def do(self, req: Taken, command: Command) -> None:
        desk, engine = self.desk, self.engine
        if command is RUN:
            engine.run(req)
        elif command is SKIP:
            engine.skip(req)
        elif command is STOP:
            engine.halt(req)
        elif command is FAIL or isinstance(command, Shed):
            desk.answer(req, command)
        elif isinstance(command, Call):
            self.database.ask(req, command.try_for)
        elif isinstance(command, Keep):
            desk.repeats.keep(req, desk.now + command.span)
        elif command is FORGET:
            desk.later.extend((waiter, Word.ERRORED) for waiter in desk.repeats.forget(req))
        elif command is REUSE:
            self.reuse(req)

    def reuse(self, req: Taken) -> None:
        entry, _ = self.desk.repeats.find(req, self.desk.now)
        if entry is not None and entry.holder is not None:
            entry.waiting.append(req)
        elif entry is not None and entry.result is not None:
            self.desk.answer(req, Word.DONE, entry.result)
            self.desk.later.append((req, Word.DONE))
        else:
            self.desk.later.append((req, Word.ERRORED))

    def over(self, req: Taken) -> None:
        if req.asked is not None:
            self.database.drop(req)
        self.desk.over(req)

    def wake(self, after: int) -> None:
        """Counted from when the last one was due.

        Waiting for gauges must not push all later ones back.
        """
        self.due = max(self.desk.now, self.due + after)
        self.timer.at(self.due, self.ask)

    def health(self, good: bool, cheap: bool) -> None:
        self.standing.good = good

    def stamp(self, level: float) -> None:
        self.standing.level = level

    def idle(self, span: int) -> None:
        self.standing.idle = span or self.standing.longest_idle

    def log(self, text: str) -> None:
        self.desk.notes.append(text)

    def think(self, work: Iterator) -> None:
        self.desk.thoughts.put(work)

    # The wake-up: the engine's gauges first, or none if they don't come soon.

    def ask(self) -> None:
        self.awaited += 1
        tag = self.awaited
        # From this moment, not from the last event's: where little happens that is older than the
        # whole wait.
        self.timer.at(clock.now() + STATS_WAIT, lambda: self.woken(tag, {}))
        self.engine.stat(tag)

    def woken(self, tag: int, got: dict[str, float]) -> None:
        with self.desk.lock:
            if tag != self.awaited:
                return
            self.awaited += 1
            self.desk.repeats.expire(self.desk.now)
        self.desk.gauges(got)
